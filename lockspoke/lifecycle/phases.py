"""The phases that the program goes through from start to exit."""

from __future__ import annotations

from enum import Enum

import structlog

log = structlog.get_logger()


class ProgramPhase(Enum):
    """Where the program is between start and exit; the values appear in logs and on the operators' port."""

    STARTING = "starting"  # no replica is known yet: not ready for requests
    READY = "ready"
    DRAINING = "draining"  # SIGTERM was received: open requests finish, new ones are still served
    REJECTING = "turning_away"  # draining, but new requests are rejected: their streams could be cut off
    STOPPED = "stopped"


class ProgramState:
    """The current phase, and whether operators have taken the gateway out of service."""

    def __init__(self) -> None:
        self.phase = ProgramPhase.STARTING
        # Requests that arrive are still served, but the gateway reports that it wants no more.
        self.out_of_service = False

    @property
    def is_ready(self) -> bool:
        """Whether the program has started and has not begun to stop."""
        return self.phase is ProgramPhase.READY

    @property
    def is_stopping(self) -> bool:
        """Whether a graceful shutdown is under way."""
        return self.phase in (ProgramPhase.DRAINING, ProgramPhase.REJECTING)

    @property
    def wants_requests(self) -> bool:
        """Whether clients should send requests here."""
        return self.is_ready and not self.out_of_service

    def enter(self, phase: ProgramPhase) -> None:
        """Change to a phase and log it."""
        log.info("phase", now=phase.value, before=self.phase.value)
        self.phase = phase
