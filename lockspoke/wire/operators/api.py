"""What operators call: one call a connection, answered with yes (200) or a no that says why."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, auto

from lockspoke.wire.http.http1 import HttpError, Request

_PATH = re.compile(r"/control/(?:(?P<word>[a-z-]+)|replicas/(?P<uid>[^/]+)/(?P<to>[a-z]+))")


class Ask(Enum):
    """What a call asks for."""

    READY = auto()
    OFFLINE = auto()
    ONLINE = auto()
    OUT_OF_SERVICE = auto()
    IN_SERVICE = auto()


_WORDS = {"ready": Ask.READY, "out-of-service": Ask.OUT_OF_SERVICE, "in-service": Ask.IN_SERVICE}
_TO = {"offline": Ask.OFFLINE, "online": Ask.ONLINE}


@dataclass(frozen=True, slots=True)
class OperatorCall:
    """One call, understood."""

    ask: Ask
    uid: str = ""  # of the worker, where it is about one


def decode_operator_call(request: Request) -> OperatorCall:
    """Read a call. Raises HttpError with 404 or 405 and what is wrong."""
    head = request.head
    found = _PATH.fullmatch(head.path)
    ask = (_WORDS.get(found["word"] or "") or _TO.get(found["to"] or "")) if found else None
    if found is None or ask is None:
        raise HttpError(404, f"no such call: {head.path[:200]}")
    wanted = "GET" if ask is Ask.READY else "POST"
    if head.method != wanted:
        raise HttpError(405, f"{head.path[:200]} wants {wanted}")
    return OperatorCall(ask, found["uid"] or "")
