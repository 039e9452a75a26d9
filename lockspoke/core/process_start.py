"""When the processes of replicas started, by the core's clock, though a wall clock may be wrong.

Discovery gives the start of a replica in Unix time. The core's clock counts on from the Unix time at which
this process started; the wall clock may have been set since, on this machine or on all of them. What was
derived from a start once is kept: a later step of a clock changes no span of time.
"""

from __future__ import annotations

from dataclasses import dataclass

from lockspoke.units import MILLISECOND, SECOND

CLOCK_TOLERANCE = SECOND  # by which the clocks of two machines may differ


@dataclass(frozen=True, slots=True)
class ClockReading:
    """The clocks of this machine at one moment, in nanoseconds since the Unix epoch."""

    now: int  # the core's clock
    wall: int  # the wall clock


@dataclass(frozen=True, slots=True)
class _ProcessStart:
    boot_ms: int
    started_at: int


class ProcessStarts:
    """The starts of replicas' processes, each fixed when it is first listed."""

    def __init__(self) -> None:
        self._starts: dict[int, _ProcessStart] = {}  # by replica number

    def started_at(self, replica: int, boot_ms: int, reading: ClockReading) -> int:
        """Return when a replica's process started, by the core's clock.

        Args:
            replica: The replica's number.
            boot_ms: Its start as discovery lists it, in Unix time; 0: long ago.
            reading: The clocks now.
        """
        known = self._starts.get(replica)
        if known is None or known.boot_ms != boot_ms:
            known = self._starts[replica] = _ProcessStart(boot_ms, estimate_start(boot_ms, reading))
        return known.started_at

    def forget(self, replica: int) -> None:
        """Forget a replica."""
        self._starts.pop(replica, None)


def estimate_start(boot_ms: int, reading: ClockReading) -> int:
    """Return when a process started that is listed for the first time, by the core's clock; 0: long ago.

    Where the clocks contradict each other, the younger age counts: a replica that is taken for younger than
    it is gets less for the time of its slow start, one that is taken for older is overloaded.
    """
    started_at = boot_ms * MILLISECOND
    if not boot_ms:
        return 0
    age = reading.now - started_at
    if abs(reading.wall - reading.now) > CLOCK_TOLERANCE:
        # The wall clock has been set since this process started, and `boot_ms` may be from before or after.
        age = min(age, reading.wall - started_at)
    return reading.now if age < -CLOCK_TOLERANCE else reading.now - age
