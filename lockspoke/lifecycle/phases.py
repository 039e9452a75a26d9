"""The phases that the program goes through from start to exit."""

from __future__ import annotations

from enum import Enum


class ProgramPhase(Enum):
    """Where the program stands between start and exit."""

    STARTING = "starting"  # no replica known yet: not ready to be sent requests
    READY = "ready"
    DRAINING = "draining"  # told to stop: answers what it has taken, and what still comes
    REJECTING = "turning_away"  # the same, but what comes now goes elsewhere: its stream could be cut
    STOPPED = "stopped"
