"""The part of an HTTP/1.1 parser that requests and responses share: header fields and body framing.

A parser is a state machine that takes bytes; it uses no socket and no clock. Where the standard allows a
choice it is strict: a gateway that guesses where a message ends is open to request smuggling.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, auto

from .messages import BodyChunk, Headers, HttpError, MessageEnd, MessagePart

HEAD_LIMIT_BYTES = 16 * 1024
BODY_LIMIT_BYTES = 256 * 1024  # The platform's protocol allows no larger request body.
CHUNK_LINE_LIMIT_BYTES = 256

TOKEN_PATTERN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
FIELD_VALUE_PATTERN = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_CONTENT_LENGTH_PATTERN = re.compile(r"[0-9]{1,15}", re.ASCII)
# The size of a chunk, and extensions in any form.
LENIENT_CHUNK_LINE_PATTERN = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")


class ParserState(Enum):
    """What a parser expects next."""

    HEAD = auto()
    SIZED_BODY = auto()
    CHUNK_SIZE = auto()
    CHUNK_DATA = auto()
    CHUNK_END = auto()
    TRAILER = auto()
    BODY_UNTIL_CLOSE = auto()
    DONE = auto()
    FAILED = auto()


@dataclass(slots=True)
class BodyFraming:
    """How the end of a body is found: by its length in bytes, or by its last chunk."""

    length: int = 0
    chunked: bool = False


class MessageParser:
    """Parses bytes into message parts; subclasses parse the start line."""

    chunk_limit: int | None = None  # In bytes; None for no limit.
    chunk_line_pattern = LENIENT_CHUNK_LINE_PATTERN  # Its first group is the size.

    def __init__(self, body_limit: int | None) -> None:
        self.body_limit = body_limit
        self._state = ParserState.HEAD
        self._buffer = bytearray()
        self._searched = 0  # How many bytes of an incomplete head have been searched for its end.
        self._remaining = 0  # How many bytes of a sized body or a chunk have not been read.
        self._body_size = 0  # The sum of the chunk sizes in bytes.
        self._trailer_size = 0  # bytes

    @property
    def is_between_messages(self) -> bool:
        """Whether no message has begun."""
        return self._state is ParserState.HEAD and not self._buffer

    @property
    def buffered_bytes(self) -> int:
        """How many bytes have been taken that no message part holds yet."""
        return len(self._buffer)

    @property
    def in_body(self) -> bool:
        """Whether a head has been read whose body has not ended."""
        return self._state not in (ParserState.HEAD, ParserState.FAILED)

    def feed(self, data: bytes) -> list[MessagePart]:
        """Take bytes and return the message parts that they complete.

        Raises:
            HttpError: The message is malformed. Each further call raises, too.
        """
        if self._state is ParserState.FAILED:
            raise HttpError(400, "fed after an error")
        self._buffer += data
        parts: list[MessagePart] = []
        try:
            while self._advance(parts):
                pass
        except HttpError as error:
            self._state = ParserState.FAILED
            self._buffer.clear()
            error.parsed = parts
            raise
        return parts

    def _advance(self, parts: list[MessagePart]) -> bool:
        """Parse one element; return whether another may follow in the buffer."""
        state = self._state
        if state is ParserState.CHUNK_DATA or state is ParserState.SIZED_BODY:
            return self._read_counted_data(parts)
        if state is ParserState.HEAD:
            return self._read_head(parts)
        if state is ParserState.CHUNK_SIZE:
            return self._read_chunk_size()
        if state is ParserState.CHUNK_END:
            return self._read_chunk_end()
        if state is ParserState.TRAILER:
            return self._read_trailer_line(parts)
        if state is ParserState.BODY_UNTIL_CLOSE and self._buffer:
            parts.append(BodyChunk(self._consume(len(self._buffer))))
        return False

    def _consume(self, count: int) -> bytes:
        consumed = bytes(self._buffer[:count])
        del self._buffer[:count]
        return consumed

    def _read_head(self, parts: list[MessagePart]) -> bool:
        buffer = self._buffer
        while buffer.startswith(b"\r\n"):  # The standard allows empty lines before a message.
            del buffer[:2]
            self._searched = 0
        end = buffer.find(b"\r\n\r\n", max(0, self._searched - 3))
        if end + 4 > HEAD_LIMIT_BYTES or (end < 0 and len(buffer) > HEAD_LIMIT_BYTES):
            raise HttpError(431, "head too large")
        if end < 0:
            self._check_incomplete_head(buffer)
            self._searched = len(buffer)
            return False
        self._searched = 0
        lines = self._consume(end + 4)[:-4].split(b"\r\n")
        self._body_size = 0
        self._start_message(lines[0], Headers(map(parse_field, lines[1:])), parts)
        return True

    def _check_incomplete_head(self, buffer: bytearray) -> None:
        """Check the beginning of a head that has not ended; raises HttpError if it cannot become valid."""

    def _check_trailer(self, name: str) -> None:
        """Check the name of a trailer field; raises HttpError if it is not allowed."""

    def _start_message(self, start_line: bytes, headers: Headers, parts: list[MessagePart]) -> None:
        """Check a head, append it to the parts, and set the state for its body."""
        raise NotImplementedError

    def _declared_framing(self, headers: Headers) -> BodyFraming | None:
        """Return the framing that the header fields declare, or None.

        Raises:
            HttpError: The framing is declared more than once, unknown or malformed, or the body is too large.
        """
        has_length, has_coding = headers.count("content-length"), headers.count("transfer-encoding")
        if has_length + has_coding > 1:
            raise HttpError(400, "body framed twice")
        if has_coding:
            if headers.get("transfer-encoding").lower() != "chunked":
                raise HttpError(501, "unknown transfer coding")
            return BodyFraming(chunked=True)
        if not has_length:
            return None
        declared = headers.get("content-length")
        if not _CONTENT_LENGTH_PATTERN.fullmatch(declared):
            raise HttpError(400, "bad content length")
        length = int(declared)
        self._check_body_size(length)
        return BodyFraming(length)

    def _check_body_size(self, size: int) -> None:
        if self.body_limit is not None and size > self.body_limit:
            raise HttpError(413, "body too large")

    def _start_body(self, framing: BodyFraming, parts: list[MessagePart]) -> None:
        self._remaining = framing.length
        if framing.chunked:
            self._state = ParserState.CHUNK_SIZE
        elif framing.length:
            self._state = ParserState.SIZED_BODY
        else:
            self._end_message(parts)

    def _end_message(self, parts: list[MessagePart]) -> None:
        parts.append(MessageEnd())
        self._state = ParserState.HEAD

    def _read_counted_data(self, parts: list[MessagePart]) -> bool:
        """Read the buffered bytes of a sized body or a chunk."""
        if not self._buffer:
            return False
        data = self._consume(min(self._remaining, len(self._buffer)))
        self._remaining -= len(data)
        parts.append(BodyChunk(data))
        if self._remaining:
            return True
        if self._state is ParserState.SIZED_BODY:
            self._end_message(parts)
        else:
            self._state = ParserState.CHUNK_END
        return True

    def _read_chunk_end(self) -> bool:
        if len(self._buffer) < 2:
            return False
        if self._consume(2) != b"\r\n":
            raise HttpError(400, "chunk does not end in CRLF")
        self._state = ParserState.CHUNK_SIZE
        return True

    def _read_line(self) -> bytes | None:
        """Return a line of the chunked framing without its CRLF, or None if it is incomplete."""
        end = self._buffer.find(b"\r\n")
        if end > CHUNK_LINE_LIMIT_BYTES or (end < 0 and len(self._buffer) > CHUNK_LINE_LIMIT_BYTES):
            raise HttpError(400, "chunk line too long")
        return None if end < 0 else self._consume(end + 2)[:-2]

    def _read_chunk_size(self) -> bool:
        line = self._read_line()
        if line is None:
            return False
        match = self.chunk_line_pattern.fullmatch(line)
        if match is None:
            raise HttpError(400, "bad chunk size")
        self._remaining = int(match[1], 16)
        if self.chunk_limit is not None and self._remaining > self.chunk_limit:
            raise HttpError(502, "chunk too large")
        self._body_size += self._remaining
        self._check_body_size(self._body_size)
        self._trailer_size = 0
        self._state = ParserState.CHUNK_DATA if self._remaining else ParserState.TRAILER
        return True

    def _read_trailer_line(self, parts: list[MessagePart]) -> bool:
        """Check a trailer field and drop it; the empty line ends the message."""
        line = self._read_line()
        if line is None:
            return False
        self._trailer_size += len(line)
        if self._trailer_size > HEAD_LIMIT_BYTES:
            raise HttpError(431, "trailer too large")
        if line:
            self._check_trailer(parse_field(line)[0])
        else:
            self._end_message(parts)
        return True


def parse_field(line: bytes) -> tuple[str, str]:
    """Return the lower-case name and the value of a header field.

    Raises:
        HttpError: The line is malformed.
    """
    name, colon, value = line.partition(b":")
    if not colon or not TOKEN_PATTERN.fullmatch(name):
        raise HttpError(400, "bad header field")
    value = value.strip(b" \t")
    if not FIELD_VALUE_PATTERN.fullmatch(value):
        raise HttpError(400, "bad header value")
    return name.decode("ascii").lower(), value.decode("latin-1")


def allows_keep_alive(minor_version: int, headers: Headers) -> bool:
    """Return whether the connection may carry another message; the default depends on the HTTP version."""
    options = headers.tokens("connection")
    return "close" not in options if minor_version else "keep-alive" in options
