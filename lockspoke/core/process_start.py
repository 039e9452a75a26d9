"""Start times of replicas' processes on the core's clock, corrected for steps of wall clocks.

Discovery lists the start time of a replica in Unix time. The core's clock takes the Unix time when this
process starts and advances steadily from there, whereas the wall clock may be set later, on this machine or
on all machines. A start time is therefore converted once and kept: a later clock step does not change the
age of a replica.
"""

from __future__ import annotations

from dataclasses import dataclass

from lockspoke.units import MILLISECOND, SECOND

MAX_CLOCK_SKEW = SECOND  # tolerated difference between two clocks


@dataclass(frozen=True, slots=True)
class ClockReading:
    """The clocks of this machine at one instant, in nanoseconds since the Unix epoch."""

    now: int  # the core's clock
    wall: int  # the wall clock


@dataclass(frozen=True, slots=True)
class _ProcessStart:
    boot_ms: int
    started_at: int


class ProcessStartTimes:
    """The start times of replicas' processes, each determined when it is first listed."""

    def __init__(self) -> None:
        self._starts: dict[int, _ProcessStart] = {}  # by replica number

    def started_at(self, replica: int, boot_ms: int, clock_reading: ClockReading) -> int:
        """Return when a replica's process started, by the core's clock; 0: long ago.

        Args:
            replica: The replica's number.
            boot_ms: The start time that discovery lists, in Unix time; 0: long ago.
            clock_reading: The current time.
        """
        start = self._starts.get(replica)
        if start is None or start.boot_ms != boot_ms:
            start = self._starts[replica] = _ProcessStart(boot_ms, estimate_start(boot_ms, clock_reading))
        return start.started_at

    def forget(self, replica: int) -> None:
        """Delete the start time of a replica."""
        self._starts.pop(replica, None)


def estimate_start(boot_ms: int, clock_reading: ClockReading) -> int:
    """Return the start time of a newly listed process, by the core's clock; 0: long ago.

    If the clocks of this machine disagree, the lower age is used: a replica whose age is underestimated only
    gets less load during its slow start, but one whose age is overestimated is overloaded. A start
    time that is later than now by more than `MAX_CLOCK_SKEW` is replaced by the current time.
    """
    started_at = boot_ms * MILLISECOND
    if not boot_ms:
        return 0
    age = clock_reading.now - started_at
    if abs(clock_reading.wall - clock_reading.now) > MAX_CLOCK_SKEW:
        # The wall clock has been set since this process started, and `boot_ms` may have been read from a
        # wall clock before or after that.
        age = min(age, clock_reading.wall - started_at)
    return clock_reading.now if age < -MAX_CLOCK_SKEW else clock_reading.now - age
