"""Settings of injected faults: which system calls fail and how often, and the step of the wall clock."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass

SETTINGS_VARIABLE = "FAULT_SETTINGS"  # the environment variable that contains the encoded settings


@dataclass(frozen=True, slots=True)
class FaultSettings:
    """Shares are fractions of the calls, from 0 to 1; times are seconds since the start of the process."""

    seed: int = 0
    accept_share: float = 0.0  # accept: errors of one connection, too many open files, no buffers
    accept_until: float = 1e9  # time after which accept no longer fails
    socket_share: float = 0.0  # socket: too many open files, no buffers
    connect_share: float = 0.0  # connect: no address, network unreachable, no buffers
    break_share: float = 0.0  # recv and send: the connection has timed out or its host is unreachable
    short_share: float = 0.0  # recv and send: fewer bytes than asked for
    wall_step: float = 0.0  # seconds by which the wall clock is set
    wall_step_at: float = 0.0  # time of the step
    disk_share: float = 0.0  # write, fsync, ftruncate and replace, while the disk fails
    disk_period: float = 4.0  # the disk fails for a quarter of each period
    disk_phase: float = 0.0  # part of the period after which it begins to fail, from 0 to 0.75

    def encode(self) -> str:
        """The value of the environment variable."""
        return json.dumps(asdict(self))


def decode_settings(text: str) -> FaultSettings:
    """Decode the result of `FaultSettings.encode`."""
    return FaultSettings(**json.loads(text))
