"""The phases of the program from start to exit."""

from __future__ import annotations

from enum import Enum

import structlog

log = structlog.get_logger()


class ProgramPhase(Enum):
    """The phases of the program; the values appear in logs and in responses on the operators' port."""

    STARTING = "starting"  # Not ready for requests because no replica is known yet.
    READY = "ready"
    DRAINING = "draining"  # SIGTERM was received. Open requests finish, and new ones are still served.
    REJECTING = "turning_away"  # Draining, but new requests are rejected as their streams could be cut off.
    STOPPED = "stopped"


class ProgramState:
    """The current phase, and whether operators have taken the gateway out of service."""

    def __init__(self) -> None:
        self.phase = ProgramPhase.STARTING
        # Requests are still served, but the gateway reports to clients that it isn't available.
        self.out_of_service = False

    @property
    def is_ready(self) -> bool:
        """Whether the program has started and has not begun to stop."""
        return self.phase is ProgramPhase.READY

    @property
    def is_stopping(self) -> bool:
        """Whether a graceful shutdown is in progress."""
        return self.phase in (ProgramPhase.DRAINING, ProgramPhase.REJECTING)

    @property
    def wants_requests(self) -> bool:
        """Whether clients should send requests here."""
        return self.is_ready and not self.out_of_service

    def enter(self, phase: ProgramPhase) -> None:
        """Enter a phase and log the change."""
        log.info("phase", now=phase.value, before=self.phase.value)
        self.phase = phase
