"""Unix time that runs on steadily though the wall clock is set while the process runs."""

from __future__ import annotations

import time

from lockspoke.units import SECOND

_OFFSET = time.time_ns() - time.monotonic_ns()  # the Unix time of the monotonic clock's zero, in nanoseconds


def steady_unix_time_ns() -> int:
    """Return nanoseconds since the Unix epoch: the wall clock at the start, and the real time since then."""
    return _OFFSET + time.monotonic_ns()


def steady_unix_time() -> float:
    """Return the same in seconds."""
    return steady_unix_time_ns() / SECOND
