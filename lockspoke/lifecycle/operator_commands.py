"""Executes the requests that arrive on the operators' port."""

from __future__ import annotations

import structlog

from lockspoke.wire.http.messages import HttpError
from lockspoke.wire.operators.api import OperatorCommand, OperatorRequest

from .operator_state import BanChange, Change, ServiceChange
from .operator_state_storage import NotSharedError, OperatorStateStorage, UnknownReplicaError
from .phases import ProgramState

log = structlog.get_logger()


class OperatorCommands:
    """Executes operators' requests on one gateway."""

    def __init__(self, state: ProgramState, operator_state: OperatorStateStorage) -> None:
        self._state = state
        self._operator_state = operator_state

    async def execute(self, request: OperatorRequest) -> str:
        """Execute a request; returns the text of the response. Raises HttpError if it is rejected."""
        match request.command:
            case OperatorCommand.READY:
                return self._check_ready()
            case OperatorCommand.OFFLINE | OperatorCommand.ONLINE:
                await self._set_banned(request.uid, request.command is OperatorCommand.OFFLINE)
            case OperatorCommand.OUT_OF_SERVICE | OperatorCommand.IN_SERVICE:
                await self._set_out_of_service(request.command is OperatorCommand.OUT_OF_SERVICE)
        log.info("operator_request", command=request.command.name.lower(), replica=request.uid)
        return "done"

    def _check_ready(self) -> str:
        if not self._state.is_ready:
            raise HttpError(503, f"not ready: {self._state.phase.value}")
        return "ready"

    async def _set_banned(self, uid: str, banned: bool) -> None:
        try:
            await self._change(BanChange(uid, banned))
        except UnknownReplicaError:
            raise HttpError(404, f"no list has named {uid[:200]}") from None

    async def _set_out_of_service(self, out_of_service: bool) -> None:
        if self._state.is_stopping:
            raise HttpError(409, "the gateway is stopping")
        await self._change(ServiceChange(out_of_service))

    async def _change(self, change: Change) -> None:
        try:
            await self._operator_state.change(change)
        except NotSharedError as error:
            raise HttpError(503, f"{error}; try again") from None
