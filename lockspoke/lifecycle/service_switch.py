"""Takes the gateway out of service for its clients, and back."""

from __future__ import annotations

from lockspoke.wire.clients.admission import AdmissionMode
from lockspoke.wire.clients.front import ClientFront

from .phases import ProgramState


class ServiceSwitch:
    """Whether this process offers the gateway to clients, as far as operators decide it."""

    def __init__(self, state: ProgramState, clients: ClientFront) -> None:
        self._state = state
        self._clients = clients

    def set_out_of_service(self, out_of_service: bool) -> None:
        """Serve requests but take no further ones, or take them again; a shutdown goes on as it is."""
        self._state.out_of_service = out_of_service
        if not self._state.is_stopping:
            self._clients.admission_mode = (
                AdmissionMode.ACCEPT_AND_CLOSE if out_of_service else AdmissionMode.ACCEPT
            )
