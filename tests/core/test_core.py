"""The core without a socket: workers, discovery, the clock and sinks are stand-ins."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from lockspoke.balancing.actions import SendAttempt
from lockspoke.balancing.events import Outcome, ReplicaState
from lockspoke.balancing.settings import DeduplicationScope, Idempotency, RequestClass
from lockspoke.core.core import Core
from lockspoke.core.identifiers import Identifiers, key_identifier
from lockspoke.core.replica_set import UNKNOWN_VERSION, ListedReplica, Replica, ReplicaListUpdate, ReplicaSet
from lockspoke.core.requests import Attempt, ClientRequest, SendPermission
from lockspoke.core.stream_supervision import CHECK_INTERVAL, MAX_STREAM_SILENCE, OVERDUE_GRACE
from lockspoke.core.totals import RequestOutcome
from lockspoke.units import MILLISECOND as MS
from lockspoke.units import SECOND
from tests.balancing.helpers import settings


class RecordingResponse:
    def __init__(self) -> None:
        self.got: list[Any] = []
        self.waits: asyncio.Future[None] | None = None
        self.has_unread_input = False  # whether the client has sent what is not read yet

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        self.got.append(data)
        return self.waits

    def finish(self) -> None:
        self.got.append("end")

    def abort(self) -> None:
        self.got.append("broken")

    def reject(self, retry_after: int) -> None:
        self.got.append("refused")

    def fail(self) -> None:
        self.got.append("failed")


class FakeTimerHandle:
    def __init__(self, due: list[Any], one: Any) -> None:
        self.due, self.one = due, one

    def cancel(self) -> None:
        if self.one in self.due:
            self.due.remove(self.one)


class World:
    """Everything round the core, and a clock that only moves when told to."""

    def __init__(self, workers: int = 2, **changes: Any) -> None:
        self.time = 1_000 * SECOND
        self.due: list[tuple[int, Callable[[], None]]] = []
        self.started: list[Attempt] = []
        self.stopped: list[Attempt] = []
        self.forgotten: list[Replica] = []
        self.watches: list[bool] = []
        self.connects = True  # whether connections come up at once
        self.has_unread_changes = False  # whether discovery has written what is not in force yet
        self.more: set[Attempt] = set()  # of whose answers more has come than is passed on
        self.core = Core(settings(**changes), 7, ReplicaSet(Identifiers(), ["z"]), self, self, self)
        entries = tuple(
            ListedReplica(f"w{i}", ReplicaState.READY, ("127.0.0.1", 5000 + i), "z") for i in range(workers)
        )
        self.core.endpoint_list_changed(ReplicaListUpdate(1, True, entries), cached=True)

    def now(self) -> int:
        return self.time

    def earliest_arrival(self) -> int:
        return self.time

    def call_later(self, delay: int, callback: Callable[[], None]) -> FakeTimerHandle:
        self.due.append((self.time + delay, callback))
        return FakeTimerHandle(self.due, self.due[-1])

    def start(self, attempt: Attempt) -> None:
        self.started.append(attempt)
        if self.connects:
            assert attempt.permission_to_send() is SendPermission.GRANTED

    def has_unread_response(self, attempt: Attempt) -> bool:
        return attempt in self.more

    def cancel(self, attempt: Attempt) -> None:
        self.stopped.append(attempt)

    def close_idle_connections(self, worker: Replica) -> None:
        self.forgotten.append(worker)

    def watch(self, enable: bool) -> None:
        self.watches.append(enable)

    def call(self, seconds: float = 4, **fields: Any) -> tuple[ClientRequest, RecordingResponse]:
        sink = RecordingResponse()
        call = ClientRequest(sink, 0, int(seconds * SECOND), "id", "POST", "/x", {}, b"{}", **fields)
        self.core.submit(call)
        return call, sink

    def pass_time(self, span: int) -> None:
        end = self.time + span
        while self.due and min(when for when, _ in self.due) <= end:
            at = min(range(len(self.due)), key=lambda i: self.due[i][0])
            self.time, callback = max(self.time, self.due[at][0]), self.due.pop(at)[1]
            callback()
        self.time = end


def test_a_stream_passes_on_as_it_comes_and_ends_once() -> None:
    world = World()
    call, sink = world.call()
    (attempt,) = world.started
    attempt.stream_received(b"a")
    attempt.stream_received(b"b")
    attempt.end(Outcome.OK)
    attempt.end(Outcome.RESET)  # said twice, only the first counts
    assert sink.got == [b"a", b"b", "end"]
    assert not world.core.requests and call.answered
    assert world.core.totals.request_outcomes[RequestOutcome.SERVED] == 1


def test_a_broken_stream_is_told_at_once_and_nothing_is_sent_again() -> None:
    world = World()
    _, sink = world.call()
    world.started[0].stream_received(b"a")
    world.started[0].end(Outcome.RESET)
    world.pass_time(10 * SECOND)
    assert sink.got == [b"a", "broken"]
    assert len(world.started) == 1


def test_a_failed_attempt_is_followed_by_another_elsewhere() -> None:
    world = World()
    _, sink = world.call()
    world.started[0].end(Outcome.CONNECT_FAILED)
    assert len(world.started) == 2 and sink.got == []
    assert world.started[0].replica is not world.started[1].replica


def test_what_a_call_no_longer_needs_is_not_kept() -> None:
    """Bodies of streams and timers of calls long over made the heap grow all day."""
    world = World()
    call, _ = world.call()
    assert len(world.due) == 2  # the decisions' own and the attempt's
    world.started[0].stream_received(b"a")
    assert call.body == b"" and len(world.due) == 1
    world.started[0].end(Outcome.OK)
    for _ in range(50):
        world.call()
        world.started[-1].end(Outcome.ERROR)
        world.started[-1].stream_received(b"a")
        world.started[-1].end(Outcome.OK)
    assert len(world.due) == 1


def test_workers_come_and_go_and_only_those_in_use_are_kept() -> None:
    world = World()
    for n in range(300):
        world.time += SECOND
        new = ListedReplica(f"n{n}", ReplicaState.READY, ("127.0.0.1", 7000 + n), "z")
        old = ListedReplica(f"n{n - 1}", ReplicaState.REMOVED, None, "z")
        world.core.endpoint_list_changed(ReplicaListUpdate(2 + n, False, (new, old) if n else (new,)))
    replica_set = world.core.replica_set
    assert len(replica_set.replicas) < 50 and len(replica_set.identifiers._replica_numbers) < 50
    assert replica_set.ready_count == 3


def test_workers_of_one_kind_of_machine_are_of_one_kind_to_every_gateway() -> None:
    entries = [
        ListedReplica(f"k{n}", ReplicaState.READY, ("127.0.0.1", 8000 + n), "z", machine_kind=kind)
        for n, kind in enumerate("aab")
    ]
    kinds = []
    for _ in range(2):
        registry = ReplicaSet(Identifiers(), ("z",))
        change = registry.apply(
            ReplicaListUpdate(
                1, True, (*entries, ListedReplica("k9", ReplicaState.READY, ("127.0.0.1", 9000)))
            )
        )
        kinds.append([entry.machine_kind for entry in change.event.entries])
    assert kinds[0] == kinds[1]
    assert kinds[0][0] == kinds[0][1] != kinds[0][2] and kinds[0][3] == 0


def test_a_younger_worker_at_an_address_ends_the_older_one() -> None:
    """Discovery tells late that a machine has vanished; its name would bring its heir twice the work."""
    world = World()
    heir = ListedReplica("heir", ReplicaState.READY, ("127.0.0.1", 5000), "z", boot_ms=world.time // MS - 100)
    world.core.endpoint_list_changed(ReplicaListUpdate(2, False, (heir,)))
    assert [worker.uid for worker in world.forgotten] == ["w0"]
    for _ in range(8):
        world.call()
    assert "w0" not in {attempt.replica.uid for attempt in world.started}
    both = tuple(ListedReplica(f"w{i}", ReplicaState.READY, ("127.0.0.1", 5000 + i), "z") for i in range(2))
    world.core.endpoint_list_changed(
        ReplicaListUpdate(3, True, (heir, *both))
    )  # it is still listed, and still gone
    assert {w.uid for w in world.core.replica_set.replicas.values() if w.state == ReplicaState.READY} == {
        "heir",
        "w1",
    }


def test_the_deadline_ends_what_does_not_stream_and_nothing_else() -> None:
    world = World(workers=1)
    (_, silent), (_, streaming) = world.call(), world.call()
    world.started[1].stream_received(b"a")
    for _ in range(5):  # a stream that goes on has no deadline
        world.pass_time(SECOND)
        world.started[1].stream_received(b"b")
    assert silent.got == ["failed"] and world.stopped == [world.started[0]]
    assert world.started[0].outcome is Outcome.TIMEOUT
    assert "broken" not in streaming.got
    world.started[1].end(Outcome.OK)
    assert streaming.got[-1] == "end" and not world.core.requests


def test_what_is_handed_over_can_be_asked_for_elsewhere() -> None:
    """Calls that a kill found open after a planned stop were lost."""
    world = World()
    calls = [world.call() for _ in range(3)]
    world.started[0].stream_received(b"a")
    world.core.hand_off()
    assert [sink.got for _, sink in calls] == [[b"a", "broken"], ["refused"], ["refused"]]
    assert not world.core.requests and len(world.stopped) == 3
    assert not world.core.balancer.requests
    world.core.hand_off()
    assert calls[0][1].got == [b"a", "broken"]


def test_only_calls_that_are_named_are_handed_over() -> None:
    """Those that came by an address which has gone; others go on."""
    world = World()
    (gone, first), (_, second) = world.call(), world.call()
    for attempt in world.started:
        attempt.stream_received(b"a")
    world.core.hand_off([gone])
    assert first.got == [b"a", "broken"] and second.got == [b"a"] and len(world.stopped) == 1
    next(one for one in world.started if one not in world.stopped).end(Outcome.OK)
    assert second.got == [b"a", "end"] and not world.core.requests


def test_without_workers_the_answer_is_an_overload_reply_at_once() -> None:
    world = World(workers=0)
    _, sink = world.call()
    assert sink.got == ["refused"]


def test_a_client_that_left_is_owed_nothing_but_its_attempt_runs_on() -> None:
    world = World()
    call, sink = world.call()
    world.core.client_disconnected(call)
    world.core.client_disconnected(call)
    attempt = world.started[0]
    attempt.stream_received(b"a")
    world.pass_time(2 * SECOND)
    assert sink.got == [] and attempt.outcome is None and world.core.requests
    attempt.end(Outcome.OK)
    assert sink.got == [] and not world.core.requests
    assert world.core.totals.request_outcomes[RequestOutcome.CLIENT_DISCONNECTED] == 1


def keyed(scope: DeduplicationScope = DeduplicationScope.ALL, window: int = 5 * SECOND) -> RequestClass:
    return RequestClass(
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY, deduplication_scope=scope, deduplication_window=window
    )


def left(world: World, call: ClientRequest) -> None:
    world.core.client_disconnected(call)


def drained(world: World, call: ClientRequest) -> None:
    uid = call.attempts[0].replica.uid
    world.core.endpoint_list_changed(
        ReplicaListUpdate(2, False, (ListedReplica(uid, ReplicaState.DRAINING, ("127.0.0.1", 5000), "z"),))
    )


def restarted(world: World, call: ClientRequest) -> None:
    uid, endpoint = call.attempts[0].replica.uid, call.attempts[0].replica.endpoint
    world.core.endpoint_list_changed(
        ReplicaListUpdate(2, False, (ListedReplica(uid, ReplicaState.READY, endpoint, "z", boot_ms=10**6),))
    )


def banned(world: World, call: ClientRequest) -> None:
    assert world.core.set_banned(call.attempts[0].replica.uid, True)


@pytest.mark.parametrize("happens", [left, drained, restarted, banned])
def test_what_happens_while_a_connection_comes_up_is_heard_before_the_first_byte(
    happens: Callable[[World, ClientRequest], None],
) -> None:
    """A request was written after its client had left, and to a worker that had been told to drain."""
    world = World()
    world.connects = False
    call, _ = world.call()
    attempt = world.started[0]
    happens(world, call)
    assert attempt.outcome is None
    assert attempt.permission_to_send() is SendPermission.ENDED and attempt.outcome is Outcome.NEVER_SENT
    # The one whose client still waits goes elsewhere at once.
    others = [one.replica for one in world.started[1:]]
    assert len(others) == (happens is not left) and attempt.replica not in others
    assert bool(world.core.requests) == (happens is not left)


def test_a_repeat_whose_window_ends_while_it_connects_is_not_sent() -> None:
    """Decided within the window, its first byte went out behind it, where a second run is not discarded."""
    world = World(classes=(keyed(window=SECOND),))
    world.call()
    world.connects = False
    world.pass_time(SECOND - 60 * MS)
    world.started[0].end(Outcome.RESET)
    repeat = world.started[1]
    assert repeat.start_by == repeat.started_at + 60 * MS
    world.pass_time(60 * MS)
    assert repeat.permission_to_send() is SendPermission.ENDED and repeat.outcome is Outcome.NEVER_SENT


def test_an_attempt_whose_time_ends_while_it_connects_has_not_run() -> None:
    """Counted as one that may have run, it made a failure of what could be refused."""
    world = World(classes=(RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT),))
    world.connects = False
    _, sink = world.call()
    world.pass_time(4 * SECOND)
    assert world.started[0].outcome is Outcome.NEVER_SENT and sink.got == ["refused"]


@pytest.mark.parametrize(
    ("kind", "sent", "outcome", "told"),
    [
        (RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT), True, None, "failed"),
        (RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT), False, None, "refused"),
        (RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT), True, Outcome.OVERLOADED, "refused"),
        (RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT), False, Outcome.CONNECT_FAILED, "refused"),
        (keyed(), True, None, "refused"),
        (keyed(DeduplicationScope.CELL), True, None, "failed"),
    ],
)
def test_what_is_handed_over_is_refused_unless_a_repeat_may_do_harm(
    kind: RequestClass, sent: bool, outcome: Outcome | None, told: str
) -> None:
    """Whatever had an attempt counted as run, also where the attempt was proved never to have."""
    world = World(workers=1, classes=(kind,), max_attempts=2)
    world.connects = sent
    _, sink = world.call()
    if outcome is not None:
        world.started[0].end(outcome)
    if not sink.got:
        world.core.hand_off()
    assert sink.got == [told]


def test_a_class_that_a_reload_renumbers_keeps_its_effect_for_calls_that_are_open() -> None:
    world = World(workers=1, classes=(RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT),))
    _, sink = world.call()
    world.core.reconfigure(
        settings(classes=(RequestClass(), RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT))), ["z"]
    )
    world.core.hand_off()
    assert sink.got == ["failed"]


def test_a_stream_that_its_worker_has_finished_is_not_cut_by_the_hand_over() -> None:
    """Its last bytes had come, and its client was cut off before them."""

    async def play() -> None:
        world = World(workers=1)
        _, sink = world.call()
        sink.waits = asyncio.get_running_loop().create_future()
        attempt = world.started[0]
        held_up = attempt.stream_received(b"a")
        world.more.add(attempt)
        world.core.hand_off(immediately=False)
        assert held_up is not None and held_up.done(), (
            "what has come is taken whether the client is slow or not"
        )
        assert attempt.stream_received(b"b") is None and sink.got == [b"a", b"b"]
        attempt.end(Outcome.OK)
        world.core.hand_off(immediately=False)
        assert sink.got == [b"a", b"b", "end"]

    asyncio.run(play())


def test_streams_are_handed_over_only_where_clients_ask_for_the_rest_and_at_last_all_of_them() -> None:
    world = World(workers=1)
    (_, stream), (_, waiting) = world.call(), world.call()
    world.started[0].stream_received(b"a")
    world.more.add(world.started[0])
    world.core.hand_off(include_streams=False)
    assert stream.got == [b"a"] and waiting.got == ["refused"]
    world.core.hand_off(immediately=False)
    assert stream.got == [b"a"]
    world.core.hand_off()
    assert stream.got == [b"a", "broken"] and not world.core.requests


def test_a_silent_stream_is_given_up_so_that_its_client_can_ask_for_the_rest() -> None:
    world = World()
    world.core.start()
    _, sink = world.call()
    world.started[0].stream_received(b"a")
    world.pass_time(MAX_STREAM_SILENCE - CHECK_INTERVAL)
    assert sink.got == [b"a"]
    world.pass_time(3 * CHECK_INTERVAL)
    assert sink.got == [b"a", "broken"] and world.stopped == [world.started[0]]


def test_a_slow_client_does_not_count_as_a_silent_worker() -> None:
    async def play() -> None:
        world = World()
        world.core.start()
        _, sink = world.call()
        sink.waits = asyncio.get_running_loop().create_future()
        held_up = world.started[0].stream_received(b"a")
        world.pass_time(2 * MAX_STREAM_SILENCE)
        assert sink.got == [b"a"] and held_up is not None and not held_up.done()
        sink.waits.set_result(None)
        await asyncio.sleep(0)
        assert held_up.done()
        world.pass_time(MAX_STREAM_SILENCE // 2)
        assert sink.got == [b"a"]

    asyncio.run(play())


def test_a_fault_of_the_decisions_leaves_no_call_without_an_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World()
    world.core.start()

    def broken(*_: object) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr(world.core.balancer, "handle", broken)
    _, sink = world.call(seconds=1)
    world.pass_time(SECOND + OVERDUE_GRACE + 2 * CHECK_INTERVAL)
    assert sink.got == ["failed"] and not world.core.requests


def test_a_fault_of_the_decisions_takes_back_nothing_that_was_decided(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A send that they had counted was dropped: from then on each outcome was another attempt's."""
    world = World(workers=1)
    handle = world.core.balancer.handle

    def broken_after(now: int, events: list[Any]) -> None:
        handle(now, events)
        raise ZeroDivisionError

    monkeypatch.setattr(world.core.balancer, "handle", broken_after)
    call, sink = world.call()
    assert len(world.started) == len(call.attempts) == 1
    monkeypatch.undo()
    world.started[0].stream_received(b"a")
    world.started[0].end(Outcome.OK)
    assert sink.got == [b"a", "end"] and not world.core.balancer.requests


def test_a_fault_at_one_event_costs_no_other_that_waits_behind_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """All that had been posted meanwhile was one batch, and was lost with it."""
    world = World(workers=1)
    handle, faults = world.core.balancer.handle, [True]

    def broken_once(now: int, events: list[Any]) -> list[Any]:
        if faults and faults.pop():
            # What follows is posted while this event is decided on.
            world.call()
            raise ZeroDivisionError
        return handle(now, events)

    monkeypatch.setattr(world.core.balancer, "handle", broken_once)
    world.core.endpoint_list_failed()
    assert len(world.started) == 1


def test_a_drain_that_the_decisions_failed_to_take_is_obeyed_and_the_whole_list_is_asked_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = World(workers=1)
    world.connects = False
    handle = world.core.balancer.handle

    def broken(now: int, events: list[Any]) -> list[Any]:
        raise ZeroDivisionError

    monkeypatch.setattr(world.core.balancer, "handle", broken)
    drain = ListedReplica("w0", ReplicaState.DRAINING, ("127.0.0.1", 5000), "z")
    world.core.endpoint_list_changed(ReplicaListUpdate(2, False, (drain,)))
    monkeypatch.setattr(world.core.balancer, "handle", handle)
    assert world.core.replica_set.version == UNKNOWN_VERSION
    world.call()
    assert world.started, "to the decisions it is ready still"
    assert {one.permission_to_send() for one in world.started} == {SendPermission.ENDED}


def test_a_worker_that_drains_gets_nothing_new_and_its_connections_close() -> None:
    world = World()
    told = ReplicaListUpdate(
        2, False, (ListedReplica("w0", ReplicaState.DRAINING, ("127.0.0.1", 5000), "z"),)
    )
    world.core.endpoint_list_changed(told)
    assert [worker.uid for worker in world.forgotten] == ["w0"]
    for _ in range(6):
        world.call()
    assert {attempt.replica.uid for attempt in world.started} == {"w1"}


def test_an_operators_ban_does_not_end_the_asking_for_a_list_that_has_failed() -> None:
    """It was taken for the answer: discovery was never asked again, and every later drain went unheard."""
    world = World(polls_endpoint_list=True)
    world.core.endpoint_list_failed()
    world.watches.clear()
    assert world.core.set_banned("w0", True)
    world.pass_time(SECOND)
    assert world.watches == [True]


def test_an_attempt_waits_for_what_lies_unread_from_discovery_or_its_client() -> None:
    world = World()
    world.connects = False
    _, sink = world.call()
    (attempt,) = world.started
    world.has_unread_changes = True
    assert attempt.permission_to_send() is SendPermission.CHECK_AGAIN
    world.has_unread_changes, sink.has_unread_input = False, True
    assert attempt.permission_to_send() is SendPermission.CHECK_AGAIN and attempt.outcome is None
    sink.has_unread_input = False
    assert attempt.permission_to_send() is SendPermission.GRANTED


def test_a_full_list_drops_what_it_does_not_name() -> None:
    world = World()
    world.core.endpoint_list_changed(
        ReplicaListUpdate(3, True, (ListedReplica("w1", ReplicaState.READY, ("127.0.0.1", 9), "z"),))
    )
    assert {worker.uid: worker.state for worker in world.core.replica_set.replicas.values()} == {
        "w0": ReplicaState.REMOVED,
        "w1": ReplicaState.READY,
    }
    assert {worker.uid for worker in world.forgotten} == {"w0", "w1"}  # w1 has moved


def test_an_attempt_that_comes_too_late_is_moot() -> None:
    world = World()
    call, _ = world.call()
    world.started[0].stream_received(b"a")
    world.core.attempts.start(SendAttempt(call.number, world.started[0].replica.number))
    assert call.attempts[1].outcome is Outcome.NEVER_SENT and len(world.started) == 1


def test_the_first_stream_calls_the_others_off() -> None:
    world = World()
    call, sink = world.call()
    other = next(w for w in world.core.replica_set.replicas.values() if w is not world.started[0].replica)
    world.core.attempts.start(SendAttempt(call.number, other.number))
    world.started[1].stream_received(b"a")
    assert world.stopped == [world.started[0]] and world.started[0].outcome is Outcome.CANCELLED
    world.started[0].stream_received(b"late")
    assert sink.got == [b"a"]


def test_numbers_are_the_same_everywhere_and_never_shared() -> None:
    numbers = Identifiers()
    assert numbers.replica("s-1") == Identifiers().replica("s-1") != numbers.replica("s-2")
    assert numbers.request() != numbers.request()
    assert key_identifier("") == 0 != key_identifier("7f3a") < 1 << 64
    numbers._used_numbers.add(Identifiers().replica("s-3"))
    assert numbers.replica("s-3") != Identifiers().replica("s-3")


def test_the_list_is_asked_for_and_failures_are_told() -> None:
    world = World(polls_endpoint_list=True)
    assert world.watches == [True]
    world.core.endpoint_list_failed()
    world.pass_time(2000 * MS)
    assert world.watches == [True, True]


def test_where_the_list_is_said_to_come_by_itself_it_is_watched_all_the_same() -> None:
    world = World()
    world.core.start()
    assert world.watches == [True]
    world.core.endpoint_list_failed()
    world.pass_time(2 * SECOND)
    assert world.watches == [True, True]
