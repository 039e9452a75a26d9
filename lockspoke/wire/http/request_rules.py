"""Rules on the header and trailer fields of requests, beyond the syntax of a single field.

A request that breaks one of them could mean something else to a replica, or to a proxy in between, than to
this gateway.
"""

from __future__ import annotations

import re

from .messages import Headers, HttpError
from .parser import TOKEN_PATTERN

MAX_PORT = 65535
CONTINUE_EXPECTATION = "100-continue"
# Of these fields, two values would contradict each other.
SINGLE_VALUE_FIELDS = ("host", "content-type", "authorization", "expect")
# What these fields say applies to the whole way to the replica, so no connection option may remove them.
END_TO_END_FIELDS = frozenset(
    {"authorization", "content-encoding", "content-length", "content-type", "expect", "host"}
)
# These fields must come before the body, because they say how to read it or where it goes.
FIELDS_NOT_IN_TRAILERS = END_TO_END_FIELDS | {"connection", "transfer-encoding"}
PLATFORM_FIELD_PREFIX = "req-"

_HOST_PATTERN = re.compile(
    r"(?:[A-Za-z0-9\-._~!$&'()*+;=%]*|\[[0-9A-Fa-f:.]{2,45}\])(?::(?P<port>[0-9]{0,5}))?", re.ASCII
)


def check_request_fields(headers: Headers) -> None:
    """Check the header fields of a request together.

    Raises:
        HttpError: They contradict each other, or one of them cannot be obeyed.
    """
    for name in SINGLE_VALUE_FIELDS:
        if headers.count(name) > 1:
            raise HttpError(400, f"{name} came twice")
    _check_host(headers.get("host"))
    _check_connection_options(headers)
    if headers.get("expect", CONTINUE_EXPECTATION).lower() != CONTINUE_EXPECTATION:
        raise HttpError(417, "unknown expectation")


def check_trailer_field(name: str) -> None:
    """Check the name of a trailer field of a request.

    Raises:
        HttpError: The field has to come before the body.
    """
    if name in FIELDS_NOT_IN_TRAILERS or name.startswith(PLATFORM_FIELD_PREFIX):
        raise HttpError(400, f"{name} in a trailer")


def _check_host(host: str) -> None:
    match = _HOST_PATTERN.fullmatch(host)
    if match is None or int(match["port"] or "0") > MAX_PORT:
        raise HttpError(400, "bad Host")


def _check_connection_options(headers: Headers) -> None:
    if "connection" not in headers:
        return
    for option in headers.tokens("connection"):
        if option and not TOKEN_PATTERN.fullmatch(option.encode("latin-1")):
            raise HttpError(400, "bad Connection option")
        if option in END_TO_END_FIELDS or option.startswith(PLATFORM_FIELD_PREFIX):
            raise HttpError(400, "a Connection option names a field of the request")
