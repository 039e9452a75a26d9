"""What operators call: one call a connection, answered with yes (200) or a no that says why."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, auto

from lockspoke.wire.http.messages import HttpError, Request

_PATH = re.compile(r"/control/(?:(?P<word>[a-z-]+)|replicas/(?P<uid>[^/]+)/(?P<to>[a-z]+))")


class OperatorCommand(Enum):
    """What a call asks for."""

    READY = auto()
    OFFLINE = auto()
    ONLINE = auto()
    OUT_OF_SERVICE = auto()
    IN_SERVICE = auto()


_WORDS = {
    "ready": OperatorCommand.READY,
    "out-of-service": OperatorCommand.OUT_OF_SERVICE,
    "in-service": OperatorCommand.IN_SERVICE,
}
_TO = {"offline": OperatorCommand.OFFLINE, "online": OperatorCommand.ONLINE}


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """One call, understood."""

    command: OperatorCommand
    uid: str = ""  # of the worker, where it is about one


def decode_operator_request(request: Request) -> OperatorRequest:
    """Read a call. Raises HttpError with 404 or 405 and what is wrong."""
    head = request.head
    found = _PATH.fullmatch(head.path)
    ask = (_WORDS.get(found["word"] or "") or _TO.get(found["to"] or "")) if found else None
    if found is None or ask is None:
        raise HttpError(404, f"no such call: {head.path[:200]}")
    wanted = "GET" if ask is OperatorCommand.READY else "POST"
    if head.method != wanted:
        raise HttpError(405, f"{head.path[:200]} wants {wanted}")
    return OperatorRequest(ask, found["uid"] or "")
