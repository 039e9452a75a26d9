"""Limits the lines in flight and gives interactive requests precedence over lines."""

from __future__ import annotations

import asyncio

from lockspoke.core.core import Core
from lockspoke.units import SECOND

# No line starts for this long after an interactive request was rejected, in nanoseconds.
PAUSE_AFTER_REJECTION = SECOND
# No new line starts while the lines in flight or backing off reach this multiple of the concurrency. Without
# the limit, a long overload would start every line of a file and leave all of them backing off.
BACKLOG_FACTOR = 2


def max_backlog(concurrency: int) -> int:
    """The most lines in flight or backing off at the same time, with this concurrency."""
    return BACKLOG_FACTOR * concurrency


class LineSlots:
    """Counts lines in flight and decides whether another one may start."""

    def __init__(self, core: Core, concurrency: int) -> None:
        self.core = core
        self.concurrency = concurrency
        self.in_flight = 0
        self.backing_off = 0  # Lines without a slot that are waiting for their next attempt.
        self.stopping = False
        self.changed = asyncio.Event()  # Set to wake the scheduler.

    @property
    def max_backlog(self) -> int:
        """The most lines in flight or backing off at the same time."""
        return max_backlog(self.concurrency)

    @property
    def backlog_full(self) -> bool:
        """Whether too many lines are in flight or backing off for a new one to start."""
        return self.in_flight + self.backing_off >= self.max_backlog

    def available(self) -> bool:
        """Whether an attempt may start now; interactive requests go first."""
        waiting = self.core.interactive_request_waiting()
        since_rejection = self.core.clock.now() - self.core.interactive_rejected_at
        if self.stopping or waiting or since_rejection < PAUSE_AFTER_REJECTION:
            return False
        return self.in_flight < self.concurrency

    def acquire(self) -> None:
        """Take a slot, even above the limit: a line that is only going to be ended takes one as well."""
        self.in_flight += 1

    def release(self) -> None:
        """Release a slot and wake the scheduler."""
        self.in_flight -= 1
        self.changed.set()

    def stop(self) -> None:
        """Make no slot available any more, and wake the scheduler."""
        self.stopping = True
        self.changed.set()
