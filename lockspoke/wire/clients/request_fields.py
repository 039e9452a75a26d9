"""The `Req-*` and `Srv-*` header fields: what a client says of a call, what a worker says of its load."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from lockspoke.wire.http.messages import Headers, HttpError

LONGEST_DEADLINE_MS = 3_600_000
LONGEST_NAME = 128


@dataclass(frozen=True, slots=True)
class RequestFields:
    """What the header fields of a request say of it."""

    request_id: str
    kind: str
    deadline_ms: int
    key: str = ""
    prefix: str = ""
    prompt_len: float = 0.0
    prefix_len: float = 0.0
    max_out: float = 0.0
    tenant: str = ""
    retry: bool = False  # a client's marked retry; asking for the rest of a stream is not one


def _name(headers: Headers, field: str, needed: bool = False) -> str:
    value = headers.get(field)
    if (needed and not value) or len(value) > LONGEST_NAME:
        raise HttpError(400, f"{field} is missing or too long")
    return value


def _amount(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise HttpError(400, "Req-Extra holds a bad number") from None
    if not (math.isfinite(value) and 0 <= value <= 1e9):
        raise HttpError(400, "Req-Extra holds a bad number")
    return value


def decode_request_fields(headers: Headers) -> RequestFields:
    """Read the fields of a call; what is missing or out of range is a 400."""
    names = [name for name, _ in headers.fields if name.startswith("req-")]
    if len(set(names)) != len(names):
        # Guards against two readers taking different ones of two values.
        raise HttpError(400, "a Req- field came twice")
    deadline = headers.get("req-deadline-ms")
    if not (deadline.isascii() and deadline.isdigit() and len(deadline) <= 9):
        raise HttpError(400, "Req-Deadline-Ms is missing or bad")
    extra: dict[str, str] = {}
    for part in headers.get("req-extra").split(","):
        name, _, value = part.strip().partition("=")
        extra[name] = value
    return RequestFields(
        request_id=_name(headers, "req-id", needed=True),
        kind=_name(headers, "req-kind", needed=True),
        deadline_ms=min(int(deadline), LONGEST_DEADLINE_MS),
        key=_name(headers, "req-key"),
        prefix=extra.get("prefix", "")[:LONGEST_NAME],
        prompt_len=_amount(extra.get("prompt_len", "0")),
        prefix_len=_amount(extra.get("prefix_len", "0")),
        max_out=_amount(extra.get("max_out", "0")),
        tenant=_name(headers, "req-owner"),
        retry=headers.get("req-retry") == "1",
    )


def decode_load_report(text: str, names: Sequence[str]) -> tuple[float, ...]:
    """A load report in the order of the settings' names; one that lacks a value counts as none."""
    values: dict[str, float] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        try:
            values[name] = float(value)
        except ValueError:
            return ()
    if not names or not all(math.isfinite(values.get(name, math.nan)) for name in names):
        return ()
    return tuple(values[name] for name in names)
