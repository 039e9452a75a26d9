"""A circuit breaker with bounded trials, one for each replica."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from lockspoke.units import SECOND

if TYPE_CHECKING:
    from .records import TrackedAttempt

FAILURE_THRESHOLD = 5  # the source's figure
SUCCESS_THRESHOLD = 2  # the source's figure
RECOVERY = 2 * SECOND  # the source's 60 s outlast most troubles; doubled by each failed trial
LONGEST_RECOVERY = 16 * SECOND  # a replica that is back is found within this time
STALE_TRIAL = 30 * SECOND  # the source's figure: a silent trial frees its slot


class BreakerState(Enum):
    """The three states of a breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class Breaker:
    """Closed while a replica answers, open after failures in a row, half-open while it is tried again."""

    def __init__(self) -> None:
        self.state = BreakerState.CLOSED
        self.failures = self.successes = self.last_failure = self.trial_at = 0
        self.recovery = RECOVERY
        self.trial: TrackedAttempt | None = None

    def look(self, now: int) -> BreakerState:
        """The state at this moment; time alone half-opens a breaker and frees a stale trial's slot."""
        if self.state is BreakerState.OPEN and now - self.last_failure >= self.recovery:
            self.state, self.successes, self.trial = BreakerState.HALF_OPEN, 0, None
        if self.trial is not None and now - self.trial_at >= STALE_TRIAL:
            self.trial = None
        return self.state

    def shut_until(self) -> int:
        """When it half-opens; 0 unless it is open."""
        return self.last_failure + self.recovery if self.state is BreakerState.OPEN else 0

    def succeeded(self, attempt: TrackedAttempt) -> None:
        """A first token, or an answer without one. Only a trial's own success counts when not closed."""
        if self.state is BreakerState.CLOSED:
            self.failures = 0
        elif self.trial is attempt:
            self.trial, self.successes = None, self.successes + 1
            if self.successes >= SUCCESS_THRESHOLD:
                self.state, self.failures, self.recovery = BreakerState.CLOSED, 0, RECOVERY

    def failed(self, now: int, may_open: bool, weight: int = 1) -> None:
        """A counted failure; in any state but closed it opens the breaker and restarts the timer."""
        self.failures, self.last_failure = self.failures + weight, now
        if self.state is BreakerState.HALF_OPEN:
            self.recovery = min(2 * self.recovery, LONGEST_RECOVERY)
        if self.state is not BreakerState.CLOSED or (self.failures >= FAILURE_THRESHOLD and may_open):
            self.state, self.trial = BreakerState.OPEN, None

    def released(self, attempt: TrackedAttempt) -> None:
        """The trial ended without a verdict (full, cancelled): its slot is free."""
        if self.trial is attempt:
            self.trial = None
