"""The core: feeds the decisions with events, carries out their actions, and owes each request one answer.

It knows no wire. Fronts hand it a `ClientRequest` with a sink for the answer; replicas and discovery are
reached through the small interfaces of `requests.py`.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

import structlog

from lockspoke.balancing import Balancer
from lockspoke.balancing.actions import Action, Fail, Log, Reject, SendAttempt, SetTimer, WatchEndpointList
from lockspoke.balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    FirstToken,
    Outcome,
    RequestArrived,
    TimerFired,
)
from lockspoke.balancing.settings import Settings

from .decision_loop import DecisionLoop
from .replica_set import UNKNOWN_VERSION, ReplicaSet, ReplicaUpdate
from .requests import Attempt, Clearance, ClientRequest, Discovery, Stage, Transport

MS = 1_000_000
SECOND = 1_000 * MS
SWEEP = SECOND // 4
SILENT = 3 * SECOND  # a stream that brings nothing for so long has lost its replica
OVERDUE = 10 * MS  # past the deadline: an answer that the decisions owe is given for them

log = structlog.get_logger()


class Timer(Protocol):
    """What was asked of the clock, and can be called off."""

    def cancel(self) -> None:
        """It is not wanted any more: nothing is kept for it."""


class Timers(Protocol):
    """The clock, and a way to be called later."""

    def now(self) -> int:
        """Nanoseconds since the Unix epoch, never going back."""

    def arrived(self) -> int:
        """The earliest moment at which what is taken up now can have come: a busy loop reads late."""

    def later(self, delay: int, callback: Callable[[], None]) -> Timer:
        """ClientRequest back after so many nanoseconds."""


class Core:
    """All that one gateway keeps of its requests."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        replica_set: ReplicaSet,
        timers: Timers,
        transport: Transport,
        discovery: Discovery,
    ) -> None:
        self.balancer = Balancer(settings, seed)
        decisions = DecisionLoop(self.balancer, timers.now, self._carry_out, self._decisions_failed)
        self._post = decisions.post
        self.replica_set = replica_set
        self.timers = timers
        self.transport = transport
        self.discovery = discovery
        self.requests: dict[int, ClientRequest] = {}
        self.totals: Counter[str] = Counter()
        self.live_refused_at = 0  # when a request that somebody waits for was last turned away
        self._asks = settings.polls_endpoint_list

    def start(self) -> None:
        """Begin to look after streams and overdue answers."""
        self._sweep()
        if not self._asks:
            # The decisions expect the list to come by itself; on sockets it never does unasked.
            self.discovery.watch(True)

    def reconfigure(self, settings: Settings, zones: Sequence[str]) -> bool:
        """New settings from now on; whether the replica set has to be told the whole list again for them."""
        self._asks = settings.polls_endpoint_list
        self.balancer.reconfigure(settings)
        return self.replica_set.rename_zones(zones)

    # What fronts and discovery say

    def submit(self, request: ClientRequest) -> None:
        """Take a request; from here on it is owed one final answer."""
        request.number = self.replica_set.numbers.request()
        now = self.timers.now()
        request.deadline = (request.arrived or now) + request.time_left
        request.kind = self.balancer.settings.classes[request.request_class]
        self.requests[request.number] = request
        self.totals["calls"] += 1
        self._post(
            RequestArrived(
                request=request.number,
                time_remaining=max(0, request.deadline - now),
                request_class=request.request_class,
                tenant=request.tenant,
                session=request.session,
                prefix=request.prefix,
                prompt_tokens=request.prompt_tokens,
                prefix_tokens=request.prefix_tokens,
                max_tokens=request.max_tokens,
                client_retry=request.client_retry,
            )
        )

    def client_left(self, request: ClientRequest) -> None:
        """The client is gone: nothing is owed any more, but what has been sent for it runs on."""
        if request.answered:
            return
        # A replica does not stop for a client that left; read to its end, the stream still tells the
        # decisions how busy that replica is.
        self._answered(request, "left")
        self._post(ClientDisconnected(request.number))

    def list_changed(self, update: ReplicaUpdate, cached: bool = False, answers: bool = True) -> None:
        """The list of replicas, or a change of it; `answers`: it ends the request that is out, or due."""
        told, left = self.replica_set.apply(update, cached, answers)
        for replica in left:
            self.transport.forget(replica)
        self._post(told)
        # What discovery has named all day would be kept for ever: only what is still in use is.
        self.replica_set.prune(self.balancer.replicas)

    def ban(self, uid: str, banned: bool) -> bool:
        """An operator takes a replica out of use or puts it back; False where no list has named it."""
        found = self.replica_set.ban(uid, banned)
        if found is None:
            return False
        told, closing = found
        for replica in closing:
            self.transport.forget(replica)
        if told.entries:
            self._post(told)
        return True

    def list_failed(self) -> None:
        """A request for the list has failed; the old list still holds."""
        self.totals["list_failed"] += 1
        self._post(EndpointListUpdate(EndpointListKind.FAILED))
        if not self._asks:
            self.timers.later(SECOND, lambda: self.discovery.watch(True))

    def hand_over(
        self, requests: Iterable[ClientRequest] | None = None, streams: bool = True, at_once: bool = True
    ) -> None:
        """Give requests away to other gateways: those named, or all; streams too if clients ask for the rest.

        A stream ends without its end, and its client goes on elsewhere. If that is not pressing (`at_once`),
        one of which more has come than was passed on is let go on meanwhile: its replica may have finished
        it. A request that has not begun gets an overload reply if it may be repeated. What replicas still run
        for them is of no use any more.
        """
        for request in list(self.requests.values() if requests is None else requests):
            if request.owner is not None and request.owner.outcome is None and not request.answered:
                if not streams:
                    continue
                request.leaving = True
                self._unthrottle(request.owner)
                if not at_once and self.transport.unread(request.owner):
                    continue
            if not request.answered:
                if request.owner is not None:
                    self._answered(request, "handed_over")
                    request.sink.broken()
                elif request.refusable:
                    self._answered(request, "refused")
                    request.sink.refuse(0)
                else:
                    self._answered(request, "failed")
                    request.sink.fail()
                self._post(ClientDisconnected(request.number))
            for attempt in request.attempts:
                self._give_up(attempt, Outcome.CANCELLED)

    def _give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt that is out; of one that was never sent nothing may have run, whatever ends it."""
        if attempt.outcome is None:
            self.transport.stop(attempt)
            self.ended(attempt, outcome if attempt.maybe_ran else Outcome.NEVER_SENT)

    def live_held(self) -> bool:
        """Whether a request that somebody waits for is held, since no replica has room for it."""
        return any(
            not request.background
            and not request.answered
            and all(one.outcome is not None for one in request.attempts)
            for request in self.requests.values()
        )

    # What attempts say

    def clear(self, attempt: Attempt) -> Clearance:
        """Its connection is up: whether its first byte may go out now.

        Connecting takes its time, and what was decided before may not hold any more: the client has left,
        the replica was told to drain or has begun anew, the time in which a repeat does no harm has passed.
        A busy loop reads late, so what lies unread from discovery or the client is taken first: both count
        from when they were written. This is the one way to a first byte, for every attempt of every front.
        """
        now, request, replica = self.timers.now(), attempt.request, attempt.replica
        if attempt.outcome is not None:
            return Clearance.OVER
        late = now >= attempt.deadline or (attempt.begin_by and now >= attempt.begin_by)
        moved = replica.place != attempt.place or not self.replica_set.takes(replica)
        if request.answered or request.owner is not None or late or moved:
            self.ended(attempt, Outcome.NEVER_SENT)
            return Clearance.OVER
        if self.discovery.changes_unread or request.sink.unread:
            return Clearance.ASK_AGAIN
        attempt.stage = Stage.SENT
        return Clearance.SEND

    def streamed(self, attempt: Attempt, data: bytes) -> asyncio.Future[None] | None:
        """A piece of a stream: the first makes the request this attempt's, all pass on as they come."""
        request = attempt.request
        if attempt.outcome is not None:
            return None
        attempt.heard_at = self.timers.now()
        if request.owner is None:
            request.owner, attempt.stage = attempt, Stage.STREAMING
            request.body = b""  # nothing is sent again for a request that streams, and streams are long
            self._call_off(attempt)
            self._first_token(attempt)
            for other in request.attempts:
                if other is not attempt:
                    self._give_up(other, Outcome.CANCELLED)
        if request.answered or request.owner is not attempt:
            return None
        written = request.sink.event(data)
        if written is None or request.leaving:
            return None
        attempt.waits_for_client = asyncio.get_running_loop().create_future()
        written.add_done_callback(lambda _: self._unthrottle(attempt))
        return attempt.waits_for_client

    def _unthrottle(self, attempt: Attempt) -> None:
        """Its client has caught up, or is not waited for any more."""
        waits, attempt.waits_for_client = attempt.waits_for_client, None
        if waits is not None:
            attempt.heard_at = self.timers.now()
            if not waits.done():
                waits.set_result(None)

    def _first_token(self, attempt: Attempt) -> None:
        elapsed = attempt.heard_at - attempt.sent_at
        number = attempt.replica.number
        self._post(FirstToken(attempt.request.number, attempt.index, number, elapsed))

    def ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        cached_tokens: int = 0,
        report: tuple[float, ...] = (),
    ) -> None:
        """An attempt is over; what it means for its request follows from whether it had begun to stream."""
        if attempt.outcome is not None:
            return
        attempt.outcome = outcome
        self._call_off(attempt)
        request = attempt.request
        self.totals[f"outcome_{outcome.name.lower()}"] += 1
        if not request.answered:
            if outcome is Outcome.OK:
                self._answered(request, "served")
                request.sink.end()
            elif request.owner is attempt:
                self._answered(request, "broken")
                request.sink.broken()
        elapsed = self.timers.now() - attempt.sent_at
        number = attempt.replica.number
        self._post(
            AttemptEnded(
                request.number,
                attempt.index,
                number,
                outcome,
                elapsed,
                request.answered,
                cached_tokens,
                report,
                attempt.reused,
            )
        )
        self._drop_if_over(request)

    # The decisions

    def _decisions_failed(self, event: Event) -> None:
        self.totals["decisions_failed"] += 1
        if isinstance(event, EndpointListUpdate):
            # They may know a part of it only: the whole list is asked for next.
            self.replica_set.rev = UNKNOWN_VERSION

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendAttempt(number, replica, timeout, begin_within):
                self._send(number, replica, timeout, begin_within)
            case Reject(number, retry_after):
                request = self.requests.get(number)
                if request is not None and not request.answered:
                    if not request.background:
                        self.live_refused_at = self.timers.now()
                    self._answered(request, "refused")
                    request.sink.refuse(retry_after)
            case Fail(number):
                request = self.requests.get(number)
                if request is not None and not request.answered:
                    self._answered(request, "failed")
                    request.sink.fail()
            case SetTimer(delay, token):
                self.timers.later(delay, lambda: self._post(TimerFired(token)))
            case WatchEndpointList(enable):
                self.discovery.watch(enable)
            case Log(text):
                log.warning("decision", text=text)

    def _send(self, number: int, replica_number: int, timeout: int, begin_within: int = 0) -> None:
        request, replica = self.requests.get(number), self.replica_set.replicas.get(replica_number)
        if request is None or replica is None:
            log.error("send_unknown", call=number, worker=replica_number)
            return
        now = self.timers.now()
        deadline = min(now + timeout, request.deadline) if timeout else request.deadline
        attempt = Attempt(request, len(request.attempts), replica, now, deadline, self)
        attempt.place = replica.place
        attempt.begin_by = now + begin_within if begin_within else 0
        request.attempts.append(attempt)
        if request.answered or request.owner is not None or now >= deadline:
            self.ended(attempt, Outcome.NEVER_SENT)
            return
        self.totals["attempts"] += 1
        attempt.timer = self.timers.later(deadline - now, lambda: self._timed_out(attempt))
        self.transport.start(attempt)

    @staticmethod
    def _call_off(attempt: Attempt) -> None:
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None

    def _timed_out(self, attempt: Attempt) -> None:
        # A stream that has begun has no deadline.
        if attempt.request.owner is not attempt:
            self._give_up(attempt, Outcome.TIMEOUT)

    # The end of a request

    def _answered(self, request: ClientRequest, how: str) -> None:
        request.answered = True
        self.totals[how] += 1
        self._drop_if_over(request)

    def _drop_if_over(self, request: ClientRequest) -> None:
        if request.over and self.requests.pop(request.number, None) is not None:
            request.body = b""

    def _sweep(self) -> None:
        now = self.timers.now()
        for request in list(self.requests.values()):
            owner = request.owner
            if owner is not None and owner.outcome is None:
                # A machine that vanished leaves its connections open and silent: its client would wait
                # for ever, where it could ask for the rest.
                if owner.waits_for_client is None and now - owner.heard_at > SILENT:
                    self.transport.stop(owner)
                    self.ended(owner, Outcome.RESET)
            elif not request.answered and owner is None and now > request.deadline + OVERDUE:
                self._answered(request, "overdue")
                log.error("answer_overdue", call=request.number)
                request.sink.fail()
                self._post(ClientDisconnected(request.number))
        self.timers.later(SWEEP, self._sweep)
