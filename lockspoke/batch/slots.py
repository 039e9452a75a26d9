"""The bound on lines in flight, and the precedence of interactive requests over lines."""

from __future__ import annotations

import asyncio

from lockspoke.core.core import Core
from lockspoke.units import SECOND

# No line starts for this long after an interactive request was rejected, in nanoseconds.
PAUSE_AFTER_REJECTION = SECOND
# Lines in flight or backing off, as a multiple of the concurrency, above which no new line starts: a long
# overload must not start every line of a file and leave them all backing off.
BACKLOG_FACTOR = 2


class LineSlots:
    """Counts lines in flight and decides whether another one may start."""

    def __init__(self, core: Core, concurrency: int) -> None:
        self.core = core
        self.concurrency = concurrency
        self.in_flight = 0
        self.backing_off = 0  # lines that wait for their next attempt without a slot
        self.stopping = False
        self.changed = asyncio.Event()  # set when the scheduler has something to examine

    @property
    def backlog_full(self) -> bool:
        """Whether so many lines have started that no new one should."""
        return self.in_flight + self.backing_off >= BACKLOG_FACTOR * self.concurrency

    def available(self) -> bool:
        """Whether an attempt may start now; interactive requests go first."""
        waiting = self.core.interactive_request_waiting()
        since_rejection = self.core.clock.now() - self.core.interactive_rejected_at
        if self.stopping or waiting or since_rejection < PAUSE_AFTER_REJECTION:
            return False
        return self.in_flight < self.concurrency

    def acquire(self) -> None:
        """Take a slot, even above the bound: a line that only has to be ended needs one as well."""
        self.in_flight += 1

    def release(self) -> None:
        """Give a slot back."""
        self.in_flight -= 1
        self.changed.set()

    def stop(self) -> None:
        """Let no line start any more."""
        self.stopping = True
        self.changed.set()
