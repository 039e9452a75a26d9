"""Time since the machine started: a clock that processes share and that nobody can set.

Unlike the Unix time, it is not affected when the wall clock is set. Unlike the monotonic time of
`steady_unix_time`, it also counts while the machine sleeps.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from functools import cache
from pathlib import Path

from lockspoke.units import SECOND

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


@dataclass(frozen=True, slots=True)
class BootTime:
    """A reading of the clock."""

    boot_id: str  # Identifies the start of the machine; empty if the system does not tell it.
    nanoseconds: int  # Since the start of the machine.

    def elapsed_since(self, earlier: BootTime) -> int | None:
        """Return the nanoseconds since an earlier reading; None if the machine has started in between."""
        if not self.boot_id or self.boot_id != earlier.boot_id:
            return None
        elapsed = self.nanoseconds - earlier.nanoseconds
        return None if elapsed < 0 else elapsed


@dataclass(frozen=True, slots=True)
class MachineStart:
    """The start of the machine, as one process's clock of the Unix time dates it."""

    boot_id: str
    unix_time: float  # seconds

    def clock_step_since(self, earlier: MachineStart) -> float:
        """Return by how many seconds this clock is ahead of an earlier process's; 0 if that is not known.

        Both date the same start of the machine. If they differ, the wall clock was set in between.
        """
        if not self.boot_id or self.boot_id != earlier.boot_id:
            return 0.0
        return self.unix_time - earlier.unix_time


def machine_start(boot_time: BootTime, unix_time: float) -> MachineStart:
    """Return the start of the machine according to two clocks that were read at the same time."""
    return MachineStart(boot_time.boot_id, unix_time - boot_time.nanoseconds / SECOND)


UNKNOWN_BOOT_TIME = BootTime("", 0)


@cache
def _boot_id() -> str:
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


def read_boot_time() -> BootTime:
    """Read the clock."""
    return BootTime(_boot_id(), time.clock_gettime_ns(time.CLOCK_BOOTTIME))
