"""Periodic checks of open requests: silent streams, and requests past their deadline without an answer."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from lockspoke.balancing.events import ClientDisconnected, Event, Outcome
from lockspoke.units import MILLISECOND, SECOND

from .attempt_lifecycle import AttemptLifecycle
from .interfaces import Clock
from .request_lifecycle import RequestLifecycle
from .requests import Attempt, ClientRequest
from .totals import RequestOutcome
from .transport import Transport

CHECK_INTERVAL = SECOND // 4
# A stream without a complete event for longer than this is ended: its replica is considered unreachable.
# Its client may be left waiting for 5 s after the last event.
MAX_STREAM_SILENCE = 4_400 * MILLISECOND
# How long after its deadline a request may stay unanswered before the check fails it.
OVERDUE_GRACE = 10 * MILLISECOND

log = structlog.get_logger()


class OpenRequestChecks:
    """Ends streams of unreachable replicas, and fails requests for which the balancer made no decision."""

    def __init__(
        self,
        requests: RequestLifecycle,
        attempts: AttemptLifecycle,
        clock: Clock,
        transport: Transport,
        post: Callable[[Event], None],
    ) -> None:
        self._requests = requests
        self._attempts = attempts
        self._clock = clock
        self._transport = transport
        self._post = post

    def run(self) -> None:
        """Check all open requests, and schedule the next check."""
        now = self._clock.now()
        for request in list(self._requests.open_requests.values()):
            stream = request.streaming_attempt
            if stream is None:
                self._check_overdue(request, now)
            elif stream.outcome is None:
                self._check_silent(stream, now)
        self._clock.call_later(CHECK_INTERVAL, self.run)

    def _check_silent(self, stream: Attempt, now: int) -> None:
        """End a stream that has received no data for longer than `MAX_STREAM_SILENCE`.

        The connections of a machine that fails suddenly stay open without any data. Without this check the
        clients of its streams would wait forever; once their streams are aborted, they can request the rest
        from another replica.
        """
        # While reading is paused for a slow client, missing data does not indicate a fault of the replica.
        if stream.backpressure is None and now - stream.last_received_at > MAX_STREAM_SILENCE:
            self._transport.cancel(stream)
            self._attempts.attempt_ended(stream, Outcome.RESET)

    def _check_overdue(self, request: ClientRequest, now: int) -> None:
        """Fail a request that is unanswered after its deadline, for example because of a balancer fault.

        After the process has been suspended, this check may run before timers of the balancer that are also
        due. `call_later` with no delay lets them run first.
        """
        if not request.answered and now > request.deadline + OVERDUE_GRACE:
            self._clock.call_later(0, lambda: self._fail_overdue(request))

    def _fail_overdue(self, request: ClientRequest) -> None:
        if request.answered or request.streaming_attempt is not None:
            return
        self._requests.complete(request, RequestOutcome.OVERDUE)
        log.error("request_overdue", request=request.number)
        request.response.fail()
        self._post(ClientDisconnected(request.number))
