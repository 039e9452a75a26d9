"""Decodes the `Req-*` header fields, by which a client describes its request."""

from __future__ import annotations

import re
from dataclasses import dataclass

from lockspoke.wire.http.messages import Headers, HttpError

MAX_DEADLINE_MS = 3_600_000  # A longer deadline is reduced to this value.
MAX_DEADLINE_DIGITS = 9
MAX_NAME_LENGTH = 128
MAX_TOKENS = 1e9
# A replica and its logs tell requests by this; a space or comma in it could be read as the end of it.
_REQUEST_ID_PATTERN = re.compile(r"[!-+\--~]+")
_NUMBER_PATTERN = re.compile(r"[0-9]+(?:\.[0-9]+)?(?:[eE][+-]?[0-9]{1,2})?", re.ASCII)


@dataclass(frozen=True, slots=True)
class RequestFields:
    """What the `Req-*` header fields of a request say."""

    request_id: str
    kind: str  # The name of the request class in the settings.
    deadline_ms: int  # The time that remains until the deadline.
    key: str = ""  # The identifier of the session.
    prefix: str = ""  # The identifier of the prompt's shared prefix.
    prompt_len: float = 0.0  # The length of the prompt in tokens.
    prefix_len: float = 0.0  # The length of the shared prefix in tokens.
    max_out: float = 0.0  # The maximum length of the output in tokens.
    tenant: str = ""
    retry: bool = False  # Whether the client marks a retry; the continuation of a stream is not one.


def decode_request_fields(headers: Headers) -> RequestFields:
    """Return the fields of a request.

    Raises:
        HttpError: A field is missing, repeated, malformed or out of range (status 400).
    """
    names = [name for name, _ in headers.with_prefix("req-")]
    if len(set(names)) != len(names):
        # The gateway and a replica might each use a different one of the two values.
        raise HttpError(400, "a Req- field came twice")
    deadline_ms = _deadline_ms(headers)
    extra = _extra_fields(headers)
    _check_cost(headers)
    request_id = _name_field(headers, "req-id", required=True)
    if not _REQUEST_ID_PATTERN.fullmatch(request_id):
        raise HttpError(400, "req-id is malformed")
    return RequestFields(
        request_id=request_id,
        kind=_name_field(headers, "req-kind", required=True),
        deadline_ms=deadline_ms,
        key=_name_field(headers, "req-key"),
        prefix=extra.get("prefix", "")[:MAX_NAME_LENGTH],
        prompt_len=_token_count(extra, "prompt_len"),
        prefix_len=_token_count(extra, "prefix_len"),
        max_out=_token_count(extra, "max_out"),
        tenant=_name_field(headers, "req-owner"),
        retry=headers.get("req-retry") == "1",
    )


def _deadline_ms(headers: Headers) -> int:
    text = headers.get("req-deadline-ms")
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DEADLINE_DIGITS):
        raise HttpError(400, "Req-Deadline-Ms is missing or bad")
    return min(int(text), MAX_DEADLINE_MS)


def _extra_fields(headers: Headers) -> dict[str, str]:
    """Return the `name=value` items of the Req-Extra field."""
    extra: dict[str, str] = {}
    for item in filter(None, headers.get("req-extra").split(",")):
        name, equals, value = item.strip().partition("=")
        if not (name and equals) or name in extra:
            raise HttpError(400, "Req-Extra has an item without a value, or twice")
        extra[name] = value
    return extra


def _name_field(headers: Headers, field: str, required: bool = False) -> str:
    value = headers.get(field)
    if (required and not value) or len(value) > MAX_NAME_LENGTH:
        raise HttpError(400, f"{field} is missing or too long")
    return value


def _token_count(extra: dict[str, str], name: str) -> float:
    """Return a number of tokens from Req-Extra, or 0 if it is absent."""
    text = extra.get(name, "0")
    count = float(text) if _NUMBER_PATTERN.fullmatch(text) else -1.0
    if not 0 <= count <= MAX_TOKENS:
        raise HttpError(400, "Req-Extra holds a bad number")
    return count


def _check_cost(headers: Headers) -> None:
    if not _NUMBER_PATTERN.fullmatch(headers.get("req-cost", "0")):
        raise HttpError(400, "Req-Cost is not a number")
