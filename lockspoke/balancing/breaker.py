"""A circuit breaker, one for each replica; when half-open it lets one trial request through at a time.

Times and durations are integer nanoseconds.
"""

from __future__ import annotations

from enum import Enum

from lockspoke.units import SECOND

FAILURE_THRESHOLD = 5  # This many consecutive failures open a closed breaker.
SUCCESS_THRESHOLD = 2  # This many consecutive successful trials close a half-open breaker.
# How long a breaker stays open at first; each failed trial doubles it. The customary 60 s would outlast most
# faults.
INITIAL_RECOVERY = 2 * SECOND
MAX_RECOVERY = 16 * SECOND  # A replica that has recovered is tried again within this time.
TRIAL_TIMEOUT = 30 * SECOND  # After this time, a trial without a result no longer blocks further trials.


class BreakerState(Enum):
    """The three states of a breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class Trial:
    """An attempt that a half-open breaker lets through. Trials are compared by identity."""

    __slots__ = ("started_at",)

    def __init__(self, started_at: int) -> None:
        self.started_at = started_at


class Breaker:
    """Closed while a replica answers, open after consecutive failures, half-open while trials test it."""

    __slots__ = ("failures", "last_failure_at", "recovery", "state", "successes", "trial")

    def __init__(self) -> None:
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.successes = 0
        self.last_failure_at = 0
        self.recovery = INITIAL_RECOVERY
        self.trial: Trial | None = None

    def refresh(self, now: int) -> BreakerState:
        """Update the state to the given time and return it.

        An open breaker becomes half-open after its recovery time; a trial without a result expires.
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
        """The time at which an open breaker becomes half-open; 0 if it is not open."""
        return self.last_failure_at + self.recovery if self.state is BreakerState.OPEN else 0

    def begin_trial(self, now: int) -> Trial:
        """Start the only trial and return it; the caller passes it back with its result."""
        self.trial = Trial(now)
        return self.trial

    def record_success(self, trial: Trial | None = None) -> None:
        """Count a first token, or an answer without one.

        If the breaker is not closed, only a success of the current trial counts.
        """
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
        """Count a failure; if the breaker is not closed, it opens and its recovery time starts again."""
        self.failures += weight
        self.last_failure_at = now
        if self.state is BreakerState.HALF_OPEN:
            self.recovery = min(2 * self.recovery, MAX_RECOVERY)
        if self.state is not BreakerState.CLOSED or (self.failures >= FAILURE_THRESHOLD and may_open):
            self.state = BreakerState.OPEN
            self.trial = None

    def release_trial(self, trial: Trial | None) -> None:
        """End a trial with an outcome that is neither success nor failure (overloaded, cancelled)."""
        if trial is not None and trial is self.trial:
            self.trial = None
