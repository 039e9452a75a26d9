"""Validation of requests to the batch API: JSON members, query parameters and ranges.

Each function raises `ApiError` for a value that is missing or invalid.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .errors import ApiError
from .input_lines import MAX_ID_LENGTH
from .json_text import parse_json

ENDPOINT = "/v1/chat/completions"  # The only endpoint that batches may use.
PURPOSE = "batch"  # The only purpose that clients may give to files.
MAX_METADATA_PAIRS = 16
MAX_METADATA_KEY_LENGTH = 64
MAX_METADATA_VALUE_LENGTH = 512
MAX_COMPLETION_WINDOW = 7 * 86400  # seconds
_SECONDS_PER_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86400}
_COMPLETION_WINDOW = re.compile(r"([1-9][0-9]{0,4})([smhd])")
_RANGE = re.compile(r"bytes=([0-9]{0,18})-([0-9]{0,18})")


def decode_json(body: bytes) -> dict[str, Any]:
    """Decode the JSON object in a request body; an empty body is decoded as an empty object."""
    try:
        members = parse_json(body or b"{}")
    except (ValueError, RecursionError):
        raise ApiError(400, "We could not parse the JSON body of your request.") from None
    if not isinstance(members, dict):
        raise ApiError(400, "The body of your request is not a JSON object.")
    return members


def text_member(members: Mapping[str, Any], name: str, max_length: int = MAX_ID_LENGTH) -> str:
    """A required string member."""
    value = members.get(name)
    if not isinstance(value, str) or not value:
        raise ApiError(400, f"Missing required parameter: '{name}'.", name, "missing_required_parameter")
    if len(value) > max_length:
        raise ApiError(400, f"'{name}' is too long.", name, "string_above_max_length")
    return value


def size_member(members: Mapping[str, Any], name: str) -> int:
    """A required member that is a size in bytes."""
    value = members.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or value <= 0:
        raise ApiError(400, f"'{name}' must be a whole number above 0.", name, "invalid_value")
    return value


def purpose_member(members: Mapping[str, Any]) -> str:
    """The member `purpose` of a file, which must be 'batch'."""
    purpose = text_member(members, "purpose")
    if purpose != PURPOSE:
        raise ApiError(400, "'purpose' must be 'batch'.", "purpose", "invalid_value")
    return purpose


def require_supported_endpoint(endpoint: str) -> None:
    """Check that batches may use an endpoint."""
    if endpoint != ENDPOINT:
        raise ApiError(400, f"'endpoint' must be {ENDPOINT!r}.", "endpoint", "invalid_value")


def metadata_member(members: Mapping[str, Any]) -> dict[str, str]:
    """The member `metadata` of a batch: up to `MAX_METADATA_PAIRS` pairs of strings."""
    pairs = members.get("metadata") or {}
    is_valid = isinstance(pairs, dict) and len(pairs) <= MAX_METADATA_PAIRS
    if not is_valid or not all(_is_metadata_pair(key, value) for key, value in pairs.items()):
        raise ApiError(400, "'metadata' must be up to 16 pairs of texts.", "metadata", "invalid_value")
    return dict(pairs)


def _is_metadata_pair(key: str, value: Any) -> bool:
    if not isinstance(value, str):
        return False
    return len(key) <= MAX_METADATA_KEY_LENGTH and len(value) <= MAX_METADATA_VALUE_LENGTH


def window_seconds(window: str) -> int:
    """The length of a completion window such as `24h`, in seconds."""
    match = _COMPLETION_WINDOW.fullmatch(window)
    seconds = int(match[1]) * _SECONDS_PER_UNIT[match[2]] if match else 0
    if not match or seconds > MAX_COMPLETION_WINDOW:
        raise ApiError(
            400,
            "'completion_window' must be like '24h', at most 7 days.",
            "completion_window",
            "invalid_value",
        )
    return seconds


def page_limit(text: str, default: int, maximum: int) -> int:
    """Decode the `limit` of a listing; the default if the text is empty."""
    if not text:
        return default
    if not (text.isascii() and text.isdigit() and 1 <= int(text[:9]) <= maximum):
        raise ApiError(400, f"'limit' must be from 1 to {maximum}.", "limit", "invalid_value")
    return int(text)


@dataclass(frozen=True, slots=True)
class ByteRange:
    """A range of bytes in a file."""

    start: int
    end: int  # The offset after the last byte.

    @property
    def length(self) -> int:
        """Number of bytes."""
        return self.end - self.start


def decode_range(text: str, size: int) -> ByteRange | None:
    """Decode a `Range` header; None to send the complete file.

    Headers that a server may ignore result in None: several ranges, units other than bytes, malformed values.

    Raises:
        ApiError: The range starts past the end of the file or is empty (416).
    """
    match = _RANGE.fullmatch(text.replace(" ", ""))
    if not match or match[1] == match[2] == "":
        return None
    first, last = match[1], match[2]
    if first == "":
        start, end = max(0, size - int(last)), size
    else:
        start, end = int(first), min(size, int(last) + 1) if last else size
        if last and int(last) < start:
            return None
    if start >= size or start >= end:
        raise ApiError(416, "The range lies past the end of the file.", "range", "range_not_satisfiable")
    return ByteRange(start, end)
