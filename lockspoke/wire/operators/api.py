"""The requests of operators: one per connection, answered with 200 or an error that names the reason."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, auto

from lockspoke.wire.http.messages import HttpError, Request

_PATH_PATTERN = re.compile(
    r"/control/(?:(?P<command>[a-z-]+)|replicas/(?P<uid>[^/]+)/(?P<replica_command>[a-z]+))"
)
_MAX_ECHOED_PATH = 200  # characters of a path that an error repeats


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
    """A decoded request."""

    command: OperatorCommand
    uid: str = ""  # of the replica, for a command about one


def decode_operator_request(request: Request) -> OperatorRequest:
    """Return the operator's request.

    Raises:
        HttpError: 404 for an unknown path, 405 for another method than the path's.
    """
    head = request.head
    decoded = _decode_path(head.path)
    if decoded is None:
        raise HttpError(404, f"no such call: {head.path[:_MAX_ECHOED_PATH]}")
    method = "GET" if decoded.command is OperatorCommand.READY else "POST"
    if head.method != method:
        raise HttpError(405, f"{head.path[:_MAX_ECHOED_PATH]} wants {method}")
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
