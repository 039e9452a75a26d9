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
from lockspoke.balancing.settings import BalancerSettings
from lockspoke.units import MILLISECOND, SECOND

from .decision_loop import DecisionLoop
from .replica_set import UNKNOWN_VERSION, ReplicaListUpdate, ReplicaSet
from .requests import Attempt, AttemptStage, ClientRequest, Discovery, SendPermission, Transport

SWEEP = SECOND // 4
SILENT = 3 * SECOND  # a stream that brings nothing for so long has lost its replica
OVERDUE = 10 * MILLISECOND  # past the deadline: an answer that the decisions owe is given for them

log = structlog.get_logger()


class TimerHandle(Protocol):
    """What was asked of the clock, and can be called off."""

    def cancel(self) -> None:
        """It is not wanted any more: nothing is kept for it."""


class Clock(Protocol):
    """The clock, and a way to be called later."""

    def now(self) -> int:
        """Nanoseconds since the Unix epoch, never going back."""

    def earliest_arrival(self) -> int:
        """The earliest moment at which what is taken up now can have come: a busy loop reads late."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> TimerHandle:
        """ClientRequest back after so many nanoseconds."""


class Core:
    """All that one gateway keeps of its requests."""

    def __init__(
        self,
        settings: BalancerSettings,
        seed: int,
        replica_set: ReplicaSet,
        timers: Clock,
        transport: Transport,
        discovery: Discovery,
    ) -> None:
        self.balancer = Balancer(settings, seed)
        decisions = DecisionLoop(self.balancer, timers.now, self._carry_out, self._decisions_failed)
        self._post = decisions.post
        self.replica_set = replica_set
        self.clock = timers
        self.transport = transport
        self.discovery = discovery
        self.requests: dict[int, ClientRequest] = {}
        self.totals: Counter[str] = Counter()
        self.interactive_rejected_at = 0  # when a request that somebody waits for was last turned away
        self._polls_endpoint_list = settings.polls_endpoint_list

    def start(self) -> None:
        """Begin to look after streams and overdue answers."""
        self._sweep()
        if not self._polls_endpoint_list:
            # The decisions expect the list to come by itself; on sockets it never does unasked.
            self.discovery.watch(True)

    def reconfigure(self, settings: BalancerSettings, zones: Sequence[str]) -> bool:
        """New settings from now on; whether the replica set has to be told the whole list again for them."""
        self._polls_endpoint_list = settings.polls_endpoint_list
        self.balancer.reconfigure(settings)
        return self.replica_set.rename_zones(zones)

    # What fronts and discovery say

    def submit(self, request: ClientRequest) -> None:
        """Take a request; from here on it is owed one final answer."""
        request.number = self.replica_set.identifiers.request()
        now = self.clock.now()
        request.deadline = (request.arrived_at or now) + request.time_remaining
        request.class_settings = self.balancer.settings.classes[request.request_class]
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

    def client_disconnected(self, request: ClientRequest) -> None:
        """The client is gone: nothing is owed any more, but what has been sent for it runs on."""
        if request.answered:
            return
        # A replica does not stop for a client that left; read to its end, the stream still tells the
        # decisions how busy that replica is.
        self._answered(request, "left")
        self._post(ClientDisconnected(request.number))

    def endpoint_list_changed(
        self, update: ReplicaListUpdate, cached: bool = False, completes_poll: bool = True
    ) -> None:
        """The list of replicas, or a change of it; `answers`: it ends the request that is out, or due."""
        told, left = self.replica_set.apply(update, cached, completes_poll)
        for replica in left:
            self.transport.close_idle_connections(replica)
        self._post(told)
        # What discovery has named all day would be kept for ever: only what is still in use is.
        self.replica_set.prune(self.balancer.replicas)

    def set_banned(self, uid: str, banned: bool) -> bool:
        """An operator takes a replica out of use or puts it back; False where no list has named it."""
        found = self.replica_set.set_banned(uid, banned)
        if found is None:
            return False
        told, closing = found
        for replica in closing:
            self.transport.close_idle_connections(replica)
        if told.entries:
            self._post(told)
        return True

    def endpoint_list_failed(self) -> None:
        """A request for the list has failed; the old list still holds."""
        self.totals["list_failed"] += 1
        self._post(EndpointListUpdate(EndpointListKind.FAILED))
        if not self._polls_endpoint_list:
            self.clock.call_later(SECOND, lambda: self.discovery.watch(True))

    def hand_off(
        self,
        requests: Iterable[ClientRequest] | None = None,
        include_streams: bool = True,
        immediately: bool = True,
    ) -> None:
        """Give requests away to other gateways: those named, or all; streams too if clients ask for the rest.

        A stream ends without its end, and its client goes on elsewhere. If that is not pressing (`at_once`),
        one of which more has come than was passed on is let go on meanwhile: its replica may have finished
        it. A request that has not begun gets an overload reply if it may be repeated. What replicas still run
        for them is of no use any more.
        """
        for request in list(self.requests.values() if requests is None else requests):
            if (
                request.streaming_attempt is not None
                and request.streaming_attempt.outcome is None
                and not request.answered
            ):
                if not include_streams:
                    continue
                request.handing_off = True
                self._unthrottle(request.streaming_attempt)
                if not immediately and self.transport.has_unread_response(request.streaming_attempt):
                    continue
            if not request.answered:
                if request.streaming_attempt is not None:
                    self._answered(request, "handed_over")
                    request.response.abort()
                elif request.safe_to_reject:
                    self._answered(request, "refused")
                    request.response.reject(0)
                else:
                    self._answered(request, "failed")
                    request.response.fail()
                self._post(ClientDisconnected(request.number))
            for attempt in request.attempts:
                self._give_up(attempt, Outcome.CANCELLED)

    def _give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt that is out; of one that was never sent nothing may have run, whatever ends it."""
        if attempt.outcome is None:
            self.transport.cancel(attempt)
            self.attempt_ended(attempt, outcome if attempt.maybe_ran else Outcome.NEVER_SENT)

    def interactive_request_waiting(self) -> bool:
        """Whether a request that somebody waits for is held, since no replica has room for it."""
        return any(
            not request.background
            and not request.answered
            and all(one.outcome is not None for one in request.attempts)
            for request in self.requests.values()
        )

    # What attempts say

    def permission_to_send(self, attempt: Attempt) -> SendPermission:
        """Its connection is up: whether its first byte may go out now.

        Connecting takes its time, and what was decided before may not hold any more: the client has left,
        the replica was told to drain or has begun anew, the time in which a repeat does no harm has passed.
        A busy loop reads late, so what lies unread from discovery or the client is taken first: both count
        from when they were written. This is the one way to a first byte, for every attempt of every front.
        """
        now, request, replica = self.clock.now(), attempt.request, attempt.replica
        if attempt.outcome is not None:
            return SendPermission.ENDED
        late = now >= attempt.deadline or (attempt.start_by and now >= attempt.start_by)
        moved = replica.incarnation != attempt.replica_incarnation or not self.replica_set.accepts_requests(
            replica
        )
        if request.answered or request.streaming_attempt is not None or late or moved:
            self.attempt_ended(attempt, Outcome.NEVER_SENT)
            return SendPermission.ENDED
        if self.discovery.has_unread_changes or request.response.has_unread_input:
            return SendPermission.CHECK_AGAIN
        attempt.stage = AttemptStage.SENT
        return SendPermission.GRANTED

    def stream_received(self, attempt: Attempt, data: bytes) -> asyncio.Future[None] | None:
        """A piece of a stream: the first makes the request this attempt's, all pass on as they come."""
        request = attempt.request
        if attempt.outcome is not None:
            return None
        attempt.last_received_at = self.clock.now()
        if request.streaming_attempt is None:
            request.streaming_attempt, attempt.stage = attempt, AttemptStage.STREAMING
            request.body = b""  # nothing is sent again for a request that streams, and streams are long
            self._call_off(attempt)
            self._first_token(attempt)
            for other in request.attempts:
                if other is not attempt:
                    self._give_up(other, Outcome.CANCELLED)
        if request.answered or request.streaming_attempt is not attempt:
            return None
        written = request.response.write(data)
        if written is None or request.handing_off:
            return None
        attempt.backpressure = asyncio.get_running_loop().create_future()
        written.add_done_callback(lambda _: self._unthrottle(attempt))
        return attempt.backpressure

    def _unthrottle(self, attempt: Attempt) -> None:
        """Its client has caught up, or is not waited for any more."""
        waits, attempt.backpressure = attempt.backpressure, None
        if waits is not None:
            attempt.last_received_at = self.clock.now()
            if not waits.done():
                waits.set_result(None)

    def _first_token(self, attempt: Attempt) -> None:
        elapsed = attempt.last_received_at - attempt.started_at
        number = attempt.replica.number
        self._post(FirstToken(attempt.request.number, attempt.index, number, elapsed))

    def attempt_ended(
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
                request.response.finish()
            elif request.streaming_attempt is attempt:
                self._answered(request, "broken")
                request.response.abort()
        elapsed = self.clock.now() - attempt.started_at
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
                attempt.connection_reused,
            )
        )
        self._drop_if_over(request)

    # The decisions

    def _decisions_failed(self, event: Event) -> None:
        self.totals["decisions_failed"] += 1
        if isinstance(event, EndpointListUpdate):
            # They may know a part of it only: the whole list is asked for next.
            self.replica_set.version = UNKNOWN_VERSION

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendAttempt(number, replica, timeout, begin_within):
                self._send(number, replica, timeout, begin_within)
            case Reject(number, retry_after):
                request = self.requests.get(number)
                if request is not None and not request.answered:
                    if not request.background:
                        self.interactive_rejected_at = self.clock.now()
                    self._answered(request, "refused")
                    request.response.reject(retry_after)
            case Fail(number):
                request = self.requests.get(number)
                if request is not None and not request.answered:
                    self._answered(request, "failed")
                    request.response.fail()
            case SetTimer(delay, token):
                self.clock.call_later(delay, lambda: self._post(TimerFired(token)))
            case WatchEndpointList(enable):
                self.discovery.watch(enable)
            case Log(text):
                log.warning("decision", text=text)

    def _send(self, number: int, replica_number: int, timeout: int, begin_within: int = 0) -> None:
        request, replica = self.requests.get(number), self.replica_set.replicas.get(replica_number)
        if request is None or replica is None:
            log.error("send_unknown", call=number, worker=replica_number)
            return
        now = self.clock.now()
        deadline = min(now + timeout, request.deadline) if timeout else request.deadline
        attempt = Attempt(request, len(request.attempts), replica, now, deadline, self)
        attempt.replica_incarnation = replica.incarnation
        attempt.start_by = now + begin_within if begin_within else 0
        request.attempts.append(attempt)
        if request.answered or request.streaming_attempt is not None or now >= deadline:
            self.attempt_ended(attempt, Outcome.NEVER_SENT)
            return
        self.totals["attempts"] += 1
        attempt.timer = self.clock.call_later(deadline - now, lambda: self._timed_out(attempt))
        self.transport.start(attempt)

    @staticmethod
    def _call_off(attempt: Attempt) -> None:
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None

    def _timed_out(self, attempt: Attempt) -> None:
        # A stream that has begun has no deadline.
        if attempt.request.streaming_attempt is not attempt:
            self._give_up(attempt, Outcome.TIMEOUT)

    # The end of a request

    def _answered(self, request: ClientRequest, how: str) -> None:
        request.answered = True
        self.totals[how] += 1
        self._drop_if_over(request)

    def _drop_if_over(self, request: ClientRequest) -> None:
        if request.finished and self.requests.pop(request.number, None) is not None:
            request.body = b""

    def _sweep(self) -> None:
        now = self.clock.now()
        for request in list(self.requests.values()):
            owner = request.streaming_attempt
            if owner is not None and owner.outcome is None:
                # A machine that vanished leaves its connections open and silent: its client would wait
                # for ever, where it could ask for the rest.
                if owner.backpressure is None and now - owner.last_received_at > SILENT:
                    self.transport.cancel(owner)
                    self.attempt_ended(owner, Outcome.RESET)
            elif not request.answered and owner is None and now > request.deadline + OVERDUE:
                self._answered(request, "overdue")
                log.error("answer_overdue", call=request.number)
                request.response.fail()
                self._post(ClientDisconnected(request.number))
        self.clock.call_later(SWEEP, self._sweep)
