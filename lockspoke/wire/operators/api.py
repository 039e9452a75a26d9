"""Decodes the requests of operators.

A connection carries one request, whose response is a 200 or an error with the reason in its text.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, auto

from lockspoke.wire.http.messages import HttpError, Request

_PATH_PATTERN = re.compile(
    r"/control/(?:(?P<command>[a-z-]+)|replicas/(?P<uid>[^/]+)/(?P<replica_command>[a-z]+))"
)
_MAX_ECHOED_CHARACTERS = 200  # An error message repeats at most this much of a path.


class OperatorCommand(Enum):
    """The operation that an operator requests."""

    READY = auto()
    OFFLINE = auto()
    ONLINE = auto()
    OUT_OF_SERVICE = auto()
    IN_SERVICE = auto()


_GATEWAY_COMMANDS = {
    "ready": OperatorCommand.READY,
    "out-of-service": OperatorCommand.OUT_OF_SERVICE,
    "in-service": OperatorCommand.IN_SERVICE,
}
_REPLICA_COMMANDS = {"offline": OperatorCommand.OFFLINE, "online": OperatorCommand.ONLINE}


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """A decoded request of an operator."""

    command: OperatorCommand
    uid: str = ""  # The uid of the replica, for a command that concerns one replica.


def decode_operator_request(request: Request) -> OperatorRequest:
    """Return the operator's request.

    Raises:
        HttpError: The path is unknown (status 404), or the method is not the one that it requires (405).
    """
    head = request.head
    decoded = _decode_path(head.path)
    if decoded is None:
        raise HttpError(404, f"no such call: {head.path[:_MAX_ECHOED_CHARACTERS]}")
    method = "GET" if decoded.command is OperatorCommand.READY else "POST"
    if head.method != method:
        raise HttpError(405, f"{head.path[:_MAX_ECHOED_CHARACTERS]} wants {method}")
    return decoded


def _decode_path(path: str) -> OperatorRequest | None:
    match = _PATH_PATTERN.fullmatch(path)
    if match is None:
        return None
    uid = match["uid"] or ""
    if uid:
        command = _REPLICA_COMMANDS.get(match["replica_command"])
    else:
        command = _GATEWAY_COMMANDS.get(match["command"])
    return None if command is None else OperatorRequest(command, uid)
