"""Lines that may have run when a process ends: the next one repeats them only where their class allows it.

`review/10`: lines of a class with deduplication by key were at replicas at a planned stop. The hand-off
rejects their requests, since a client may repeat them within the window; the runner took each rejection for a
proof that the line had not run, left it open, and the next process sent it again 5.6 s after the first time,
under a new ID, past the window of 5 s. The journal held nothing between the batch's start and the ends of
its lines.

`review/6`: lines of a class that may run once were at replicas at a kill. The store knew the ends of lines
only, so the next process counted these lines as not started and ran all of them a second time.
"""

from __future__ import annotations

import asyncio
import errno
import json
import os
import shutil
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path

import pytest

from lockspoke.balancing.events import Outcome, ReplicaState
from lockspoke.balancing.settings import DeduplicationScope, Idempotency, RequestClass
from lockspoke.batch.line_runner import POLL_INTERVAL
from lockspoke.batch.records import Batch, BatchStatus, LineStatus
from lockspoke.core.replica_set import EndpointListReplica, ReplicaListUpdate
from lockspoke.units import SECOND
from tests.core.harness import idempotent_with_key
from tests.standins import EVENTS, until

from .harness import Harness, lines

WINDOW = 5 * SECOND
HOUR = 3600 * SECOND
REPEATABLE = RequestClass()
ONCE = RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT)
WITH_KEY = idempotent_with_key(window=WINDOW)
WITH_KEY_IN_ZONE = idempotent_with_key(DeduplicationScope.ZONE, WINDOW)
WITH_KEY_IN_CELL = idempotent_with_key(DeduplicationScope.CELL, WINDOW)


def only_batch(harness: Harness) -> Batch:
    (batch,) = harness.store.batches.values()
    return batch


def stop_with_open_lines(harness: Harness, count: int) -> list[str]:
    """Stop a process while lines are at replicas that don't answer; returns the IDs of their requests."""
    request_ids: list[str] = []

    async def scenario() -> None:
        await harness.create_batch(*lines(count))
        await until(lambda: len(harness.in_flight()) == count)
        request_ids.extend(attempt.request.request_id for attempt in harness.in_flight())
        harness.runner.slots.stop()
        harness.core_harness.core.hand_off()

    harness.run(scenario)
    return request_ids


def restart(
    folder: Path,
    stopped: Harness,
    pause: int,
    request_class: RequestClass,
    replicas: int = 2,
    concurrency: int = 2,
) -> Harness:
    """The next process, `pause` nanoseconds later."""
    harness = Harness(folder, concurrency, replicas=replicas, classes=(request_class,))
    harness.core_harness.time = stopped.core_harness.time + pause
    harness.clock = stopped.clock + pause / SECOND
    return harness


def serve_all(harness: Harness) -> Callable[[], Awaitable[None]]:
    """A scenario that answers every attempt until the batch is final."""

    async def scenario() -> None:
        def is_final() -> bool:
            for attempt in harness.in_flight():
                harness.serve(attempt)
            return only_batch(harness).is_final

        await until(is_final)

    return scenario


def check_repeats(harness: Harness, request_class: RequestClass, sent: int, request_ids: list[str]) -> None:
    """Run the two lines that an earlier process had sent, of which so many may be sent again."""
    harness.run(serve_all(harness))
    assert len(harness.core_harness.started) == sent
    expected = "served" if sent else "upstream_failed"
    assert harness.results(only_batch(harness)) == dict.fromkeys(("c0", "c1"), expected)
    if sent and request_class is not REPEATABLE:
        repeated = [attempt.request.request_id for attempt in harness.core_harness.started]
        assert sorted(repeated) == sorted(request_ids), "replicas recognize a repetition by its ID"


REPEATS = pytest.mark.parametrize(
    ("request_class", "pause", "sent"),
    [
        (REPEATABLE, 20 * SECOND, 2),
        (WITH_KEY, 4 * SECOND, 2),
        (WITH_KEY, 6 * SECOND, 0),
        (WITH_KEY_IN_ZONE, 4 * SECOND, 2),
        (WITH_KEY_IN_ZONE, 6 * SECOND, 0),
        (WITH_KEY_IN_CELL, 4 * SECOND, 2),
        (ONCE, SECOND, 0),
    ],
)


@REPEATS
def test_a_line_at_a_replica_at_a_planned_stop_is_repeated_only_within_its_window(
    tmp_path: Path, request_class: RequestClass, pause: int, sent: int
) -> None:
    """Guards against: lines were sent again after the window of their class, and failed within it."""
    first = Harness(tmp_path, classes=(request_class,))
    request_ids = stop_with_open_lines(first, 2)
    check_repeats(restart(tmp_path, first, pause, request_class), request_class, sent, request_ids)


@pytest.mark.parametrize(("pause", "sent"), [(4 * SECOND, 1), (6 * SECOND, 0)])
@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_setting_the_wall_clock_between_two_starts_does_not_change_the_window(
    tmp_path: Path, pause: int, sent: int, step: int
) -> None:
    first = Harness(tmp_path, classes=(WITH_KEY,))
    first.core_harness.time += 2 * HOUR
    stop_with_open_lines(first, 1)
    second = restart(tmp_path, first, pause + step, WITH_KEY)
    second.clock = first.clock
    second.boot_time_offset = -step
    second.run(serve_all(second))
    assert len(second.core_harness.started) == sent


def test_after_a_start_of_the_machine_no_window_is_taken_as_open(tmp_path: Path) -> None:
    first = Harness(tmp_path, classes=(WITH_KEY,))
    stop_with_open_lines(first, 1)
    second = restart(tmp_path, first, SECOND, WITH_KEY)
    second.boot_id = "boot-2"
    second.run(serve_all(second))
    assert not second.core_harness.started
    assert second.results(only_batch(second)) == {"c0": "upstream_failed"}


@pytest.mark.parametrize(
    ("request_class", "zone", "cell", "result"),
    [
        (WITH_KEY, "y", 1, "served"),
        (WITH_KEY_IN_ZONE, "z", 1, "served"),
        (WITH_KEY_IN_ZONE, "y", 0, "upstream_failed"),
        (WITH_KEY_IN_CELL, "y", 0, "served"),
        (WITH_KEY_IN_CELL, "z", 1, "upstream_failed"),
    ],
)
def test_a_repetition_after_a_restart_stays_in_its_scope(
    tmp_path: Path, request_class: RequestClass, zone: str, cell: int, result: str
) -> None:
    """The first attempt was in zone z and cell 0; the next process knows another replica, in this place."""
    first = Harness(tmp_path, classes=(request_class,))
    stop_with_open_lines(first, 1)
    second = restart(tmp_path, first, SECOND, request_class, replicas=0)
    entry = EndpointListReplica("w9", ReplicaState.READY, ("127.0.0.1", 5009), zone, cell)
    second.core_harness.core.endpoint_list_changed(ReplicaListUpdate(2, True, (entry,)))

    async def scenario() -> None:
        while not only_batch(second).is_final:
            await asyncio.sleep(POLL_INTERVAL)
            for attempt in second.in_flight():
                second.serve(attempt)
            if second.runner.slots.backing_off:  # Time passes up to the window's end.
                second.clock += 0.5
                second.core_harness.advance_time(SECOND // 2)

    second.run(scenario)
    assert len(second.core_harness.started) == (result == "served")
    assert second.results(only_batch(second)) == {"c0": result}


def test_a_line_whose_answer_was_lost_is_repeated_within_its_window(tmp_path: Path) -> None:
    """Within one process the same rule holds: up to the window's end, under the same ID."""
    harness = Harness(tmp_path, max_attempts=9, classes=(WITH_KEY,))

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(1))
        while True:
            await until(lambda: bool(harness.in_flight()) or batch.is_final)
            if batch.is_final:
                break
            (attempt,) = harness.in_flight()
            attempt.stream_received(EVENTS[0])  # The core does not attempt a truncated stream again.
            attempt.end(Outcome.RESET)
            await until(lambda: harness.runner.slots.backing_off == 1 or batch.is_final)
            harness.clock += 2
            harness.core_harness.advance_time(2 * SECOND)
        assert harness.results(batch) == {"c0": "upstream_failed"}

    harness.run(scenario)
    started = harness.core_harness.started
    assert len(started) > 1 and started[-1].started_at - started[0].started_at < WINDOW
    assert len({attempt.request.request_id for attempt in started}) == 1


def copy_at_kill(harness: Harness, folder: Path) -> Path:
    """The store as a kill at this moment leaves it; the process goes on with its own."""
    killed = folder / f"killed-{harness.core_harness.time}"
    shutil.copytree(harness.store.journal.path.parent, killed)
    return killed


def kill_with_open_lines(harness: Harness, folder: Path, count: int) -> tuple[Path, list[str]]:
    """Kill a process while lines are at replicas; returns its store and the IDs of the requests."""
    request_ids: list[str] = []
    killed: list[Path] = []

    async def scenario() -> None:
        if not harness.store.batches:
            await harness.create_batch(*lines(count))
        await until(lambda: len(harness.in_flight()) == count)
        request_ids.extend(attempt.request.request_id for attempt in harness.in_flight())
        killed.append(copy_at_kill(harness, folder))
        harness.runner.slots.stop()
        harness.core_harness.core.hand_off()

    harness.run(scenario)
    return killed[0], request_ids


@REPEATS
def test_a_line_at_a_replica_at_a_kill_is_repeated_only_as_its_class_allows(
    tmp_path: Path, request_class: RequestClass, pause: int, sent: int
) -> None:
    """Guards against: lines that may run once and were at replicas at a kill ran a second time."""
    first = Harness(tmp_path / "store", classes=(request_class,))
    killed, request_ids = kill_with_open_lines(first, tmp_path, 2)
    check_repeats(restart(killed, first, pause, request_class), request_class, sent, request_ids)


def test_a_line_that_has_not_been_sent_is_served_after_a_kill(tmp_path: Path) -> None:
    """Its first attempt is connecting, and the second line has not begun."""
    first = Harness(tmp_path / "store", concurrency=1, classes=(ONCE,))
    first.core_harness.connects_at_once = False
    killed: list[Path] = []

    async def scenario() -> None:
        await first.create_batch(*lines(2))
        await until(lambda: len(first.core_harness.started) == 1)
        killed.append(copy_at_kill(first, tmp_path))
        first.runner.slots.stop()
        first.core_harness.core.hand_off()

    first.run(scenario)
    second = restart(killed[0], first, SECOND, ONCE)
    second.run(serve_all(second))
    assert second.results(only_batch(second)) == {"c0": "served", "c1": "served"}


@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.CONNECT_FAILED])
def test_a_line_that_has_been_proved_not_to_have_run_is_served_after_a_kill(
    tmp_path: Path, outcome: Outcome
) -> None:
    """Guards against: the record of an attempt outlived the proof that it had not run."""
    first = Harness(tmp_path / "store", replicas=1, classes=(ONCE,))
    killed: list[Path] = []

    async def scenario() -> None:
        batch = await first.create_batch(*lines(1))
        await until(lambda: len(first.in_flight()) == 1)
        first.in_flight()[0].end(outcome)
        await until(lambda: not batch.runs.get(0))
        killed.append(copy_at_kill(first, tmp_path))
        first.runner.slots.stop()
        first.core_harness.core.hand_off()

    first.run(scenario)
    second = restart(killed[0], first, SECOND, ONCE)
    second.run(serve_all(second))
    assert second.results(only_batch(second)) == {"c0": "served"}


def test_a_line_is_not_sent_while_the_store_cannot_be_written(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = Harness(tmp_path, classes=(ONCE,))

    def fail(*_: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    async def scenario() -> None:
        harness.runner.slots.stopping = True  # No line starts yet.
        batch = await harness.create_batch(*lines(1))
        await until(lambda: batch.status is BatchStatus.IN_PROGRESS)
        with monkeypatch.context() as patch:
            patch.setattr(os, "write", fail)
            harness.runner.slots.stopping = False
            harness.runner.notify()
            await until(lambda: bool(harness.core_harness.started))
            await asyncio.sleep(0.3)
            assert not harness.in_flight()
        while not harness.in_flight():
            await asyncio.sleep(POLL_INTERVAL)
            harness.clock += 0.1  # The backoff of the rejected request ends.
        harness.serve(harness.in_flight()[0])
        await until(lambda: batch.is_final)
        assert harness.results(batch) == {"c0": "served"}

    harness.run(scenario)


def test_two_kills_in_a_row(tmp_path: Path) -> None:
    """The window counts from the first of all attempts, and a third process knows of both earlier ones."""
    processes = [Harness(tmp_path / "store", classes=(WITH_KEY,))]
    ids = set()
    for _ in range(2):
        killed, request_ids = kill_with_open_lines(processes[-1], tmp_path, 1)
        ids |= set(request_ids)
        processes.append(restart(killed, processes[-1], 2 * SECOND, WITH_KEY))
    shutil.copytree(killed, tmp_path / "late")
    late = restart(tmp_path / "late", processes[-2], 3 * SECOND, WITH_KEY)
    for harness, result in ((processes[-1], "served"), (late, "upstream_failed")):
        harness.run(serve_all(harness))
        assert harness.results(only_batch(harness)) == {"c0": result}
        ids |= {attempt.request.request_id for attempt in harness.core_harness.started}
    assert len(ids) == 1


def test_two_kills_before_a_line_that_may_run_once_has_ended(tmp_path: Path) -> None:
    first = Harness(tmp_path / "store", classes=(ONCE,))
    killed, _ = kill_with_open_lines(first, tmp_path, 1)
    shutil.copytree(
        killed, tmp_path / "again"
    )  # The second process is killed before it has written anything.
    for folder in (killed, tmp_path / "again"):
        harness = restart(folder, first, SECOND, ONCE)
        harness.run(serve_all(harness))
        assert not harness.core_harness.started
        assert harness.results(only_batch(harness)) == {"c0": "upstream_failed"}


def test_the_record_of_an_attempt_that_a_kill_has_torn_does_not_count(tmp_path: Path) -> None:
    """The first byte is sent once the record is complete on the disk, so the attempt was not sent."""
    first = Harness(tmp_path / "store", classes=(ONCE,))
    killed, _ = kill_with_open_lines(first, tmp_path, 1)
    journal = killed / "journal.log"
    journal.write_bytes(journal.read_bytes()[:-5])
    second = restart(killed, first, SECOND, ONCE)
    second.run(serve_all(second))
    assert second.results(only_batch(second)) == {"c0": "served"}


async def cancel(harness: Harness) -> None:
    await harness.store.set_status(only_batch(harness), BatchStatus.CANCELLING)
    harness.runner.notify()


def error_messages(harness: Harness) -> dict[str, tuple[str, bool]]:
    """The error code of each line, and whether its message says that the line may have run."""
    path = harness.store.path(only_batch(harness).error_file_id)
    rows = [json.loads(row) for row in path.read_bytes().splitlines()]
    errors = {row["custom_id"]: row["error"] for row in rows}
    return {name: (error["code"], "may have run" in error["message"]) for name, error in errors.items()}


@pytest.mark.parametrize("request_class", [REPEATABLE, WITH_KEY, ONCE])
@pytest.mark.parametrize("cancelled_before_the_kill", [True, False])
def test_the_error_of_a_cancelled_line_says_that_it_may_have_run(
    tmp_path: Path, request_class: RequestClass, cancelled_before_the_kill: bool
) -> None:
    """Guards against: "was not executed" of a line that was at a replica at a kill, beside a cancellation."""
    first = Harness(tmp_path / "store", concurrency=1, classes=(request_class,))
    killed: list[Path] = []

    async def scenario() -> None:
        await first.create_batch(*lines(6))
        await until(lambda: len(first.in_flight()) == 1)
        if cancelled_before_the_kill:
            await cancel(first)
            await until(lambda: only_batch(first).line_counts.get(LineStatus.CANCELLED) == 5)
        killed.append(copy_at_kill(first, tmp_path))
        first.runner.slots.stop()
        first.core_harness.core.hand_off()

    first.run(scenario)
    second = restart(killed[0], first, 6 * SECOND, request_class)
    second.runner.slots.stopping = True  # No line starts before the cancellation.

    async def after_the_restart() -> None:
        if not cancelled_before_the_kill:
            await cancel(second)
        await until(lambda: only_batch(second).is_final)

    second.run(after_the_restart)
    assert not second.core_harness.started
    assert only_batch(second).status is BatchStatus.CANCELLED
    messages = error_messages(second)
    assert messages["c0"] == ("batch_cancelled", True)
    assert messages["c5"] == ("batch_cancelled", False)


@pytest.mark.parametrize("request_class", [REPEATABLE, ONCE])
def test_the_error_of_an_expired_line_says_that_it_may_have_run(
    tmp_path: Path, request_class: RequestClass
) -> None:
    first = Harness(tmp_path / "store", concurrency=1, classes=(request_class,))
    killed, _ = kill_with_open_lines(first, tmp_path, 1)
    second = restart(killed, first, 100 * SECOND, request_class)
    second.run(serve_all(second))
    assert only_batch(second).status is BatchStatus.EXPIRED
    assert error_messages(second) == {"c0": ("batch_expired", True)}


def test_the_error_of_a_line_that_failed_before_it_was_cancelled_says_that_it_may_have_run(
    tmp_path: Path,
) -> None:
    """The same within one process: the line waits for its next attempt as the batch is cancelled."""
    harness = Harness(tmp_path)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(1))
        await until(lambda: len(harness.in_flight()) == 1)
        harness.in_flight()[0].stream_received(EVENTS[0])
        harness.in_flight()[0].end(Outcome.RESET)
        await until(lambda: harness.runner.slots.backing_off == 1)
        await cancel(harness)
        await until(lambda: batch.is_final)

    harness.run(scenario)
    assert error_messages(harness) == {"c0": ("batch_cancelled", True)}


def test_lines_of_a_batch_without_records_may_have_run(tmp_path: Path) -> None:
    """Guards against: lines that an older version, or one with other settings, had sent ran a second time.

    They are the first open ones, as many as may be open at once.
    """
    first = Harness(tmp_path / "store", classes=(REPEATABLE,))
    killed: list[Path] = []

    async def begin() -> None:
        await first.create_batch(*lines(8))
        await until(lambda: len(first.in_flight()) == 2)
        killed.append(copy_at_kill(first, tmp_path))
        first.runner.slots.stop()
        first.core_harness.core.hand_off()

    first.run(begin)
    second = restart(killed[0], first, SECOND, ONCE)
    killed_again, _ = kill_with_open_lines(second, tmp_path, 2)
    third = restart(killed_again, second, SECOND, ONCE)
    third.run(serve_all(third))
    unknown = [f"c{line}" for line in range(second.runner.slots.max_backlog)]
    recorded, unsent = ["c4", "c5"], ["c6", "c7"]
    failed = dict.fromkeys([*unknown, *recorded], "upstream_failed")
    assert third.results(only_batch(third)) == failed | dict.fromkeys(unsent, "served")


def test_lines_of_a_batch_without_records_run_again_if_their_class_allows_it(tmp_path: Path) -> None:
    first = Harness(tmp_path / "store", classes=(ONCE,))
    killed, _ = kill_with_open_lines(first, tmp_path, 2)
    second = restart(killed, first, SECOND, REPEATABLE)
    assert only_batch(second).attempts_recorded
    second.run(serve_all(second))
    assert second.results(only_batch(second)) == {"c0": "served", "c1": "served"}
    assert not only_batch(second).attempts_recorded


def change_class(harness: Harness, request_class: RequestClass) -> None:
    """Reload the settings with another class of lines."""
    core = harness.core_harness.core
    core.reconfigure(replace(core.balancer.settings, classes=(request_class,)), ["z"])


def test_a_line_that_ran_while_its_class_was_free_is_not_repeated_once_it_may_run_once(
    tmp_path: Path,
) -> None:
    """Guards against: the class in force decides, and attempts under another one were forgotten."""
    harness = Harness(tmp_path, max_attempts=9, classes=(REPEATABLE,))

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(1))
        await until(lambda: len(harness.in_flight()) == 1)
        harness.in_flight()[0].stream_received(EVENTS[0])
        harness.in_flight()[0].end(Outcome.RESET)
        await until(lambda: harness.runner.slots.backing_off == 1)
        change_class(harness, ONCE)
        harness.clock += 2
        await until(lambda: batch.is_final)
        assert harness.results(batch) == {"c0": "upstream_failed"}

    harness.run(scenario)
    assert len(harness.core_harness.started) == 1


def test_a_batch_that_began_with_records_keeps_them_while_its_class_is_free(tmp_path: Path) -> None:
    first = Harness(tmp_path / "store", concurrency=1, classes=(ONCE,))
    killed: list[Path] = []

    async def scenario() -> None:
        await first.create_batch(*lines(2))
        await until(lambda: len(first.in_flight()) == 1)
        change_class(first, REPEATABLE)
        first.serve(first.in_flight()[0])
        await until(lambda: len(first.core_harness.started) == 2 and len(first.in_flight()) == 1)
        killed.append(copy_at_kill(first, tmp_path))
        first.serve(first.in_flight()[0])
        await until(lambda: only_batch(first).is_final)

    first.run(scenario)
    second = restart(killed[0], first, SECOND, ONCE)
    second.run(serve_all(second))
    assert second.results(only_batch(second)) == {"c0": "served", "c1": "upstream_failed"}


def kill_with_some_lines_sent(
    harness: Harness, folder: Path, sent: int, raised_to: int | None = None
) -> Path:
    """Kill a process while the first of 12 lines are at replicas; returns its store."""
    killed: list[Path] = []

    async def scenario() -> None:
        await harness.create_batch(*lines(12))
        if raised_to is not None:
            await until(lambda: len(harness.in_flight()) == 1)
            harness.runner.reconfigure(raised_to, 2)
        await until(lambda: len(harness.in_flight()) == sent)
        killed.append(copy_at_kill(harness, folder))
        harness.runner.slots.stop()
        harness.core_harness.core.hand_off()

    harness.run(scenario)
    return killed[0]


RAISED = pytest.mark.parametrize(("concurrency", "raised_to"), [(4, None), (1, 4)])


@RAISED
def test_a_lower_concurrency_leaves_no_line_out_that_may_have_run(
    tmp_path: Path, concurrency: int, raised_to: int | None
) -> None:
    """Guards against: a line that an earlier process had sent ran again, as fewer may be open at once now."""
    first = Harness(tmp_path / "store", concurrency, classes=(REPEATABLE,))
    killed = kill_with_some_lines_sent(first, tmp_path, 4, raised_to)
    second = restart(killed, first, SECOND, ONCE, concurrency=1)
    second.run(serve_all(second))
    results = second.results(only_batch(second))
    assert {results[f"c{line}"] for line in range(4)} == {"upstream_failed"}
    assert {results[f"c{line}"] for line in range(8, 12)} == {"served"}


@RAISED
def test_a_lower_concurrency_does_not_make_an_error_say_that_a_line_was_not_executed(
    tmp_path: Path, concurrency: int, raised_to: int | None
) -> None:
    first = Harness(tmp_path / "store", concurrency, classes=(REPEATABLE,))
    killed = kill_with_some_lines_sent(first, tmp_path, 4, raised_to)
    second = restart(killed, first, SECOND, REPEATABLE, concurrency=1)
    second.runner.slots.stopping = True  # No line starts before the cancellation.

    async def scenario() -> None:
        await cancel(second)
        await until(lambda: only_batch(second).is_final)

    second.run(scenario)
    messages = error_messages(second)
    assert {messages[f"c{line}"] for line in range(4)} == {("batch_cancelled", True)}
    assert {messages[f"c{line}"] for line in range(8, 12)} == {("batch_cancelled", False)}


def test_a_higher_concurrency_does_not_make_lines_count_as_sent(tmp_path: Path) -> None:
    """What the earlier process could have sent decides, not what this one may."""
    first = Harness(tmp_path / "store", concurrency=1, classes=(REPEATABLE,))
    killed = kill_with_some_lines_sent(first, tmp_path, 1)
    second = restart(killed, first, SECOND, ONCE, concurrency=4)
    second.run(serve_all(second))
    results = second.results(only_batch(second))
    assert results.pop("c0") == results.pop("c1") == "upstream_failed"
    assert set(results.values()) == {"served"}
