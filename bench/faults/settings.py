"""Which system calls fail, how often, and how a wall clock is set: what a faulty process is given."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass

VARIABLE = "FAULT_SETTINGS"  # the environment variable that holds them


@dataclass(frozen=True, slots=True)
class FaultSettings:
    """Shares are of the calls, from 0 to 1; times are seconds since the process began."""

    seed: int = 0
    accept_share: float = 0.0  # accept: errors of one connection, and shortages
    accept_until: float = 1e9  # when accept stops to fail
    socket_share: float = 0.0  # socket: too many open files, no buffers
    connect_share: float = 0.0  # connect: no address, network unreachable, no buffers
    break_share: float = 0.0  # recv and send: the connection has timed out or its host is unreachable
    short_share: float = 0.0  # recv and send: fewer bytes than asked for
    wall_step: float = 0.0  # seconds by which the wall clock is set
    wall_step_at: float = 0.0
    disk_share: float = 0.0  # write, fsync, ftruncate and replace, while the disk fails
    disk_period: float = 4.0  # the disk fails for a quarter of this time, again and again
    disk_phase: float = 0.0  # where in its period it begins to fail, from 0 to 0.75

    def encode(self) -> str:
        """The text for the environment variable."""
        return json.dumps(asdict(self))


def decode_settings(text: str) -> FaultSettings:
    """Read what `FaultSettings.encode` has written."""
    return FaultSettings(**json.loads(text))
