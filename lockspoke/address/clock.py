"""The clock of leases."""

from __future__ import annotations

import time

# A clock that continues while the machine is suspended, if the system has one.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_clock() -> int:
    """Nanoseconds since some moment in the past; never goes back."""
    return time.clock_gettime_ns(_CLOCK_ID)
