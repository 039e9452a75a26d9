"""The clock that leases are measured with."""

from __future__ import annotations

import time

# CLOCK_BOOTTIME, where the system has it, continues while the machine is suspended.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_clock() -> int:
    """Nanoseconds since an arbitrary moment in the past; never goes back."""
    return time.clock_gettime_ns(_CLOCK_ID)
