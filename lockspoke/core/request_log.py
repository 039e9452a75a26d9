"""Log lines for requests that did not get a complete response."""

from __future__ import annotations

from lockspoke.rate_limited_log import RateLimitedLog
from lockspoke.units import MILLISECOND, SECOND

from .interfaces import Clock
from .requests import Attempt, ClientRequest
from .totals import RequestOutcome

MAX_ATTEMPTS_LOGGED = 8  # the latest attempts of a request


class RequestLog:
    """Logs requests that were not served, at most one line per second for each outcome."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._logs: dict[RequestOutcome, RateLimitedLog] = {
            outcome: RateLimitedLog("request_not_served")
            for outcome in RequestOutcome
            if outcome is not RequestOutcome.SERVED
        }

    def completed(self, request: ClientRequest, outcome: RequestOutcome) -> None:
        """Log a completed request, with the replica, stage and outcome of its latest attempts."""
        outcome_log = self._logs.get(outcome)
        if outcome_log is None:
            return
        now = self._clock.now()
        outcome_log.info(
            now / SECOND,
            request_id=request.request_id,
            outcome=outcome.value,
            remaining_ms=(request.deadline - now) // MILLISECOND,
            attempts=[_describe(attempt) for attempt in request.attempts[-MAX_ATTEMPTS_LOGGED:]],
        )


def _describe(attempt: Attempt) -> str:
    """Return the replica of an attempt, its stage, and its outcome, or `open` if it has not ended."""
    outcome = "open" if attempt.outcome is None else attempt.outcome.name.lower()
    return f"{attempt.replica.uid} {attempt.stage.value} {outcome}"
