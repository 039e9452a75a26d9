"""A circuit breaker with one trial at a time; each replica has its own.

Times and durations are integer nanoseconds.
"""

from __future__ import annotations

from enum import Enum

from lockspoke.units import SECOND

FAILURE_THRESHOLD = 5  # consecutive failures that open a closed breaker
SUCCESS_THRESHOLD = 2  # consecutive successful trials that close a half-open one
INITIAL_RECOVERY = 2 * SECOND  # most faults are shorter than the customary 60 s; doubled by each failed trial
MAX_RECOVERY = 16 * SECOND  # a replica that has recovered is found within this time
TRIAL_TIMEOUT = 30 * SECOND  # a trial without a result frees its slot after this time


class BreakerState(Enum):
    """The three states of a breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class Trial:
    """An attempt that a half-open breaker lets through. Compared by identity."""

    __slots__ = ("started_at",)

    def __init__(self, started_at: int) -> None:
        self.started_at = started_at


class Breaker:
    """Closed while a replica answers, open after consecutive failures, half-open while it is tried again."""

    __slots__ = ("failures", "last_failure_at", "recovery", "state", "successes", "trial")

    def __init__(self) -> None:
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.successes = 0
        self.last_failure_at = 0
        self.recovery = INITIAL_RECOVERY
        self.trial: Trial | None = None

    def refresh(self, now: int) -> BreakerState:
        """Apply the passage of time and return the state.

        An open breaker half-opens after its recovery time; a trial without a result frees its slot.
        """
        if self.state is BreakerState.OPEN and now - self.last_failure_at >= self.recovery:
            self.state = BreakerState.HALF_OPEN
            self.successes = 0
            self.trial = None
        if self.trial is not None and now - self.trial.started_at >= TRIAL_TIMEOUT:
            self.trial = None
        return self.state

    @property
    def accepts_trial(self) -> bool:
        """Whether a trial may be sent now."""
        return self.state is BreakerState.HALF_OPEN and self.trial is None

    @property
    def half_opens_at(self) -> int:
        """When it half-opens; 0 unless it is open."""
        return self.last_failure_at + self.recovery if self.state is BreakerState.OPEN else 0

    def begin_trial(self, now: int) -> Trial:
        """Occupy the trial slot and return the trial, to be passed back with its result."""
        self.trial = Trial(now)
        return self.trial

    def record_success(self, trial: Trial | None = None) -> None:
        """Count a first token, or an answer without one; unless closed, only the current trial's counts."""
        if self.state is BreakerState.CLOSED:
            self.failures = 0
        elif trial is not None and trial is self.trial:
            self.trial = None
            self.successes += 1
            if self.successes >= SUCCESS_THRESHOLD:
                self._close()

    def _close(self) -> None:
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.recovery = INITIAL_RECOVERY

    def record_failure(self, now: int, *, may_open: bool, weight: int = 1) -> None:
        """Count a failure; in any state but closed it opens the breaker and restarts its recovery time."""
        self.failures += weight
        self.last_failure_at = now
        if self.state is BreakerState.HALF_OPEN:
            self.recovery = min(2 * self.recovery, MAX_RECOVERY)
        if self.state is not BreakerState.CLOSED or (self.failures >= FAILURE_THRESHOLD and may_open):
            self.state = BreakerState.OPEN
            self.trial = None

    def release_trial(self, trial: Trial | None) -> None:
        """Free the slot of a trial that ended without a verdict (overloaded, cancelled)."""
        if trial is not None and trial is self.trial:
            self.trial = None
