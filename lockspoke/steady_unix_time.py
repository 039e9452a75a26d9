"""Unix time that is not affected when the wall clock is set while the process runs."""

from __future__ import annotations

import time

from lockspoke.units import SECOND

_OFFSET = time.time_ns() - time.monotonic_ns()  # the Unix time at monotonic time 0, in nanoseconds


def steady_unix_time_ns() -> int:
    """Return nanoseconds since the Unix epoch: the wall-clock time at import plus the time since then."""
    return _OFFSET + time.monotonic_ns()


def steady_unix_time() -> float:
    """Return seconds since the Unix epoch, from the same clock as `steady_unix_time_ns`."""
    return steady_unix_time_ns() / SECOND
