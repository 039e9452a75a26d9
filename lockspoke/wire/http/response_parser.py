"""The parser of HTTP/1.1 responses."""

from __future__ import annotations

import re

from .messages import Headers, HttpError, MessageEnd, MessagePart, ResponseHead
from .parser import BodyFraming, MessageParser, ParserState, allows_keep_alive

# A replica's chunk holds a few events: a larger size means that the framing is malformed.
RESPONSE_CHUNK_LIMIT_BYTES = 1024 * 1024
MAX_INTERIM_RESPONSES = 8  # How many responses with a status below 200 may precede the final one.
STATUSES_WITHOUT_BODY = (204, 304)

_STATUS_LINE_PATTERN = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x80-\xff]*)?")
_STATUS_LINE_START = b"HTTP/1."


class ResponseParser(MessageParser):
    """Parses one response; bytes after it are not parsed."""

    chunk_limit = RESPONSE_CHUNK_LIMIT_BYTES

    def __init__(self) -> None:
        super().__init__(None)
        self._interim_responses = 0

    @property
    def trailing_bytes(self) -> bytes:
        """The bytes that have arrived after the complete response; empty before it is complete."""
        return bytes(self._buffer) if self._state is ParserState.DONE else b""

    def _read_head(self, parts: list[MessagePart]) -> bool:
        # Checked from the first byte: otherwise input without a line end is buffered until the deadline.
        if not _STATUS_LINE_START.startswith(bytes(self._buffer[: len(_STATUS_LINE_START)])):
            raise HttpError(502, "bad status line")
        return super()._read_head(parts)

    def _end_message(self, parts: list[MessagePart]) -> None:
        parts.append(MessageEnd())
        self._state = ParserState.DONE

    def _start_message(self, start_line: bytes, headers: Headers, parts: list[MessagePart]) -> None:
        match = _STATUS_LINE_PATTERN.fullmatch(start_line)
        if not match:
            raise HttpError(502, "bad status line")
        minor_version, status = int(match[1]), int(match[2])
        if status < 200:
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                raise HttpError(502, "too many interim responses")
            return  # The final response follows.
        framing = BodyFraming() if status in STATUSES_WITHOUT_BODY else self._declared_framing(headers)
        keep_alive = allows_keep_alive(minor_version, headers) and framing is not None
        parts.append(ResponseHead(status, headers, keep_alive))
        if framing is None:
            self._state = ParserState.BODY_UNTIL_CLOSE
        else:
            self._start_body(framing, parts)

    def connection_closed(self) -> bool:
        """Handle the end of the connection; return whether it completes the response."""
        completes = self._state is ParserState.BODY_UNTIL_CLOSE
        self._state = ParserState.FAILED
        return completes
