"""Decodes the lines of an input file, and validates the whole file before any line runs."""

from __future__ import annotations

import contextlib
from array import array
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Any, BinaryIO

from lockspoke.wire.http.parser import BODY_LIMIT_BYTES

from .json_text import parse_json

MAX_ID_LENGTH = 512  # characters of a `custom_id`, and of other required string members
MAX_REPORTED_ERRORS = 100  # Validation stops after this many invalid lines.
# Bytes read at a time. A longer line is read in pieces and reported as too large, because its first piece
# already exceeds the limit of a line.
READ_LIMIT = 2 * BODY_LIMIT_BYTES


class LineError(ValueError):
    """A line is not a valid request."""

    def __init__(self, code: str, message: str, param: str | None = None) -> None:
        super().__init__(message)
        self.code = code
        self.param = param

    def as_object(self, line_number: int | None) -> dict[str, Any]:
        """The entry in the batch's `errors`; line numbers start at 1, None for an error of the whole file."""
        return {"code": self.code, "message": str(self), "param": self.param, "line": line_number}


class InvalidInputFileError(Exception):
    """An input file is invalid; `errors` are the entries for the batch's `errors`."""

    def __init__(self, errors: list[dict[str, Any]]) -> None:
        super().__init__(f"{len(errors)} invalid lines")
        self.errors = errors


def file_error(code: str, message: str) -> InvalidInputFileError:
    """An error of the whole file instead of one of its lines."""
    return InvalidInputFileError([LineError(code, message).as_object(None)])


@dataclass(frozen=True, slots=True)
class InputLine:
    """One line of an input file."""

    custom_id: str
    body: dict[str, Any]
    # Milliseconds from the batch's creation to the line's own deadline; an extension of the public API.
    deadline_ms: int | None


def decode_line(raw: bytes, endpoint: str, size_limit: int) -> InputLine:
    """Decode and validate a line of an input file for a batch with this endpoint.

    Raises:
        LineError: The line is not a valid request.
    """
    if len(raw) > size_limit:
        raise LineError("line_too_large", f"The line is larger than {size_limit} bytes.")
    line = _decode_object(raw)
    custom_id = line.get("custom_id")
    if not isinstance(custom_id, str) or not 0 < len(custom_id) <= MAX_ID_LENGTH:
        raise LineError("missing_required_parameter", "Missing required parameter: 'custom_id'.", "custom_id")
    if line.get("method") != "POST":
        raise LineError("invalid_method", "Invalid method: want 'POST'.", "method")
    if line.get("url") != endpoint:
        raise LineError("invalid_url", f"The URL must match the batch's endpoint, {endpoint!r}.", "url")
    return InputLine(custom_id, _checked_body(line.get("body")), _checked_deadline(line.get("deadline_ms")))


def _decode_object(raw: bytes) -> dict[str, Any]:
    try:
        line = parse_json(raw)
    except (ValueError, RecursionError):
        raise LineError("invalid_json_line", "This line is not parseable as valid JSON.") from None
    if not isinstance(line, dict):
        raise LineError("invalid_json_line", "This line is not a JSON object.")
    return line


def _checked_body(body: Any) -> dict[str, Any]:
    if not isinstance(body, dict):
        raise LineError("missing_required_parameter", "Missing required parameter: 'body'.", "body")
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages or not all(isinstance(m, dict) for m in messages):
        raise LineError(
            "missing_required_parameter", "Missing required parameter: 'messages'.", "body.messages"
        )
    return body


def _checked_deadline(deadline_ms: Any) -> int | None:
    if deadline_ms is None:
        return None
    if isinstance(deadline_ms, bool) or not isinstance(deadline_ms, int) or deadline_ms <= 0:
        raise LineError("invalid_value", "'deadline_ms' must be a whole number above 0.", "deadline_ms")
    return deadline_ms


@dataclass(slots=True)
class InputIndex:
    """Offsets and deadlines of the lines of a valid input file; blank lines are not counted."""

    offsets: array[int] = field(default_factory=lambda: array("Q"))  # Byte offsets by line number.
    # The `deadline_ms` of the lines that have one, by line number.
    deadlines_ms: dict[int, int] = field(default_factory=dict)


def index_input_file(file: BinaryIO, endpoint: str, max_lines: int) -> InputIndex:
    """Validate an input file line by line.

    Raises:
        InvalidInputFileError: The file is empty, too long, or has invalid lines.
    """
    index = InputIndex()
    errors: list[dict[str, Any]] = []
    numbers_by_id: dict[str, int] = {}
    offset = 0
    for number, raw in enumerate(_read_lines(file), 1):
        if raw.strip():
            try:
                line = _decode_unique(raw.strip(), endpoint, number, numbers_by_id)
            except LineError as error:
                errors.append(error.as_object(number))
            else:
                if line.deadline_ms is not None:
                    index.deadlines_ms[len(index.offsets)] = line.deadline_ms
                index.offsets.append(offset)
        offset += len(raw)
        if len(index.offsets) > max_lines:
            raise file_error("too_many_lines", f"More than {max_lines} lines.")
        if len(errors) >= MAX_REPORTED_ERRORS:
            break
    if errors:
        raise InvalidInputFileError(errors)
    if not index.offsets:
        raise file_error("empty_file", "The input file holds no requests.")
    return index


def reindex_input_file(file: BinaryIO, endpoint: str, total: int) -> InputIndex:
    """Find the lines of an input file that `index_input_file` has accepted before, however they are now.

    Lines that are missing, because the file has been changed since, are at its end and cannot be decoded.
    """
    index = InputIndex()
    offset = 0
    for raw in _read_lines(file):
        if raw.strip() and len(index.offsets) < total:
            with contextlib.suppress(LineError):
                line = decode_line(raw.strip(), endpoint, BODY_LIMIT_BYTES)
                if line.deadline_ms is not None:
                    index.deadlines_ms[len(index.offsets)] = line.deadline_ms
            index.offsets.append(offset)
        offset += len(raw)
    index.offsets.extend([offset] * (total - len(index.offsets)))
    return index


def _read_lines(file: BinaryIO) -> Iterator[bytes]:
    return iter(partial(file.readline, READ_LIMIT), b"")


def _decode_unique(raw: bytes, endpoint: str, number: int, numbers_by_id: dict[str, int]) -> InputLine:
    line = decode_line(raw, endpoint, BODY_LIMIT_BYTES)
    first_number = numbers_by_id.setdefault(line.custom_id, number)
    if first_number != number:
        message = f"The custom_id stands on line {first_number} already."
        raise LineError("duplicate_custom_id", message, "custom_id")
    return line


def read_line(file: BinaryIO, offset: int, endpoint: str) -> InputLine:
    """Read the line at an offset of a file that `index_input_file` has accepted."""
    file.seek(offset)
    return decode_line(file.readline(READ_LIMIT).strip(), endpoint, BODY_LIMIT_BYTES)
