"""Log lines about requests that did not end with a complete response."""

from __future__ import annotations

from lockspoke.rate_limited_log import RateLimitedLog
from lockspoke.units import MILLISECOND, SECOND

from .interfaces import Clock
from .requests import Attempt, ClientRequest
from .totals import RequestOutcome

MAX_ATTEMPTS_LOGGED = 8  # the last ones


class RequestLog:
    """Logs how requests ended that were not served, at most one line a second for each outcome."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lines: dict[RequestOutcome, RateLimitedLog] = {
            outcome: RateLimitedLog("request_not_served")
            for outcome in RequestOutcome
            if outcome is not RequestOutcome.SERVED
        }

    def completed(self, request: ClientRequest, outcome: RequestOutcome) -> None:
        """Log the end of a request, with the replica and the outcome of each attempt."""
        line = self._lines.get(outcome)
        if line is None:
            return
        now = self._clock.now()
        line.info(
            now / SECOND,
            request_id=request.request_id,
            outcome=outcome.value,
            remaining_ms=(request.deadline - now) // MILLISECOND,
            attempts=[_describe(attempt) for attempt in request.attempts[-MAX_ATTEMPTS_LOGGED:]],
        )


def _describe(attempt: Attempt) -> str:
    """The replica of an attempt, how far it came, and its outcome if it has ended."""
    outcome = "open" if attempt.outcome is None else attempt.outcome.name.lower()
    return f"{attempt.replica.uid} {attempt.stage.value} {outcome}"
