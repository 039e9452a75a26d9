"""Log lines for attempts that a replica did not serve."""

from __future__ import annotations

from lockspoke.balancing.events import Outcome
from lockspoke.rate_limited_log import RateLimitedLog
from lockspoke.units import MILLISECOND, SECOND

from .interfaces import Clock
from .requests import Attempt

# The gateway ended these attempts itself, or never began them.
UNREMARKABLE_OUTCOMES = (Outcome.OK, Outcome.CANCELLED, Outcome.NEVER_SENT)


class AttemptLog:
    """Logs attempts that were not served, at most one line per second for each outcome."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._logs = {
            outcome: RateLimitedLog("attempt_not_served")
            for outcome in Outcome
            if outcome not in UNREMARKABLE_OUTCOMES
        }

    def ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Log the outcome of an attempt, and whether its request can still be served by another one."""
        outcome_log = self._logs.get(outcome)
        if outcome_log is None:
            return
        now = self._clock.now()
        outcome_log.info(
            now / SECOND,
            request_id=attempt.request.request_id,
            attempt=attempt.index,
            replica=attempt.replica.uid,
            stage=attempt.stage.value,
            outcome=outcome.name.lower(),
            elapsed_ms=(now - attempt.started_at) // MILLISECOND,
            answered=attempt.request.answered,
        )
