"""HTTP/1.1 as state machines that are fed bytes; they know no socket and no clock.

A parser takes whatever bytes came and gives back what they complete: a head, pieces of a body, an end.
Where the standard leaves a choice it is strict, since a gateway that guesses where a message ends can be
made to smuggle a second one past itself.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto

HEAD_LIMIT = 16 * 1024
BODY_LIMIT = 256 * 1024  # the protocol's figure
CHUNK_LINE_LIMIT = 256
ANSWER_CHUNK_LIMIT = 1024 * 1024  # a worker's chunk holds an event or a few; one said to hold more is spoilt
MOST_INTERIM = 8  # answers that may stand ahead of the real one
REASONS = {
    100: "Continue",
    200: "OK",
    201: "Created",
    206: "Partial Content",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    415: "Unsupported Media Type",
    416: "Range Not Satisfiable",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(rb"/[!-~]*")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_DIGITS = re.compile(rb"[0-9]{1,15}")
_HEX = re.compile(rb"[0-9A-Fa-f]{1,12}")
_STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x80-\xff]*)?")


class HttpError(ValueError):
    """The other side broke the protocol; `status` is what a server answers to it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Headers:
    """Header fields by lower-case name; a name that came twice keeps both values."""

    def __init__(self, fields: Iterable[tuple[str, str]] = ()) -> None:
        self.fields = list(fields)
        self._first: dict[str, str] = {}
        for name, value in self.fields:
            self._first.setdefault(name, value)

    def get(self, name: str, default: str = "") -> str:
        """The first value of a field."""
        return self._first.get(name, default)

    def all(self, name: str) -> list[str]:
        """Every value of a field, in order."""
        return [value for key, value in self.fields if key == name]

    def __contains__(self, name: str) -> bool:
        """Whether the field came at all."""
        return name in self._first


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The request line and fields of a request."""

    method: str
    target: str
    minor_version: int
    headers: Headers
    keep_alive: bool

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """What follows the question mark."""
        return self.target.partition("?")[2]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The status line and fields of an answer."""

    status: int
    headers: Headers
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """A piece of a body, framing taken off."""

    data: bytes


@dataclass(frozen=True, slots=True)
class MessageEnd:
    """The message is whole."""


MessagePart = RequestHead | ResponseHead | BodyChunk | MessageEnd


class _At(Enum):
    HEAD = auto()
    SIZED = auto()
    CHUNK_SIZE = auto()
    CHUNK_DATA = auto()
    CHUNK_END = auto()
    TRAILER = auto()
    UNTIL_CLOSE = auto()
    DONE = auto()
    FAILED = auto()


class _Parser:
    """The part that requests and answers share: fields and the three framings of a body."""

    chunk_limit: int | None = None

    def __init__(self, body_limit: int | None) -> None:
        self.body_limit = body_limit
        self._at = _At.HEAD
        self._buffer = bytearray()
        self._searched = 0  # of a head that has not ended: guards against searching it anew for each byte
        self._left = 0  # of a sized body or a chunk
        self._body = 0
        self._trailer = 0

    @property
    def between(self) -> bool:
        """Whether no message has begun."""
        return self._at is _At.HEAD and not self._buffer

    @property
    def in_body(self) -> bool:
        """Whether a head has been read whose body has not ended."""
        return self._at not in (_At.HEAD, _At.FAILED)

    def feed(self, data: bytes) -> list[MessagePart]:
        """Take bytes; give what they complete. After an error the parser stays failed."""
        if self._at is _At.FAILED:
            raise HttpError(400, "fed after an error")
        self._buffer += data
        pieces: list[MessagePart] = []
        try:
            while self._step(pieces):
                pass
        except HttpError as error:
            self._at = _At.FAILED
            self._buffer.clear()
            error.pieces = pieces  # type: ignore[attr-defined]
            raise
        return pieces

    def _step(self, pieces: list[MessagePart]) -> bool:
        if self._at is _At.HEAD:
            return self._head(pieces)
        if self._at is _At.DONE:
            return False
        if self._at in (_At.SIZED, _At.CHUNK_DATA):
            return self._counted(pieces)
        if self._at is _At.UNTIL_CLOSE:
            if self._buffer:
                pieces.append(BodyChunk(self._cut(len(self._buffer))))
            return False
        if self._at is _At.CHUNK_END:
            if len(self._buffer) < 2:
                return False
            if self._cut(2) != b"\r\n":
                raise HttpError(400, "chunk does not end in CRLF")
            self._at = _At.CHUNK_SIZE
            return True
        return self._chunk_line(pieces)

    def _cut(self, count: int) -> bytes:
        piece = bytes(self._buffer[:count])
        del self._buffer[:count]
        return piece

    def _head(self, pieces: list[MessagePart]) -> bool:
        buffer = self._buffer
        if not self._searched:
            while buffer.startswith(b"\r\n"):  # empty lines before a message are to be skipped
                del buffer[:2]
        end = buffer.find(b"\r\n\r\n", max(0, self._searched - 3))
        if end + 4 > HEAD_LIMIT or (end < 0 and len(buffer) > HEAD_LIMIT):
            raise HttpError(431, "head too large")
        if end < 0:
            self._searched = len(buffer)
            return False
        self._searched = 0
        lines = self._cut(end + 4)[:-4].split(b"\r\n")
        self._body = 0
        self._begin(lines[0], Headers(map(_field, lines[1:])), pieces)
        return True

    def _begin(self, line: bytes, headers: Headers, pieces: list[MessagePart]) -> None:
        raise NotImplementedError

    def _length(self, headers: Headers) -> int | None:
        """The framing that the fields name: a length, -1 for chunks, or None. Two at once are refused."""
        lengths, codings = headers.all("content-length"), headers.all("transfer-encoding")
        if len(lengths) + len(codings) > 1:
            raise HttpError(400, "body framed twice")
        if codings:
            if codings[0].lower() != "chunked":
                raise HttpError(501, "unknown transfer coding")
            return -1
        if not lengths:
            return None
        if not _DIGITS.fullmatch(lengths[0].encode("latin-1")):
            raise HttpError(400, "bad content length")
        self._check_size(int(lengths[0]))
        return int(lengths[0])

    def _check_size(self, size: int) -> None:
        if self.body_limit is not None and size > self.body_limit:
            raise HttpError(413, "body too large")

    def _frame(self, length: int, pieces: list[MessagePart]) -> None:
        self._left = length
        if length:
            self._at = _At.SIZED if length > 0 else _At.CHUNK_SIZE
        else:
            self._finish(pieces)

    def _finish(self, pieces: list[MessagePart]) -> None:
        pieces.append(MessageEnd())
        self._at = _At.HEAD

    def _counted(self, pieces: list[MessagePart]) -> bool:
        if not self._buffer:
            return False
        data = self._cut(min(self._left, len(self._buffer)))
        self._left -= len(data)
        pieces.append(BodyChunk(data))
        if not self._left:
            if self._at is _At.SIZED:
                self._finish(pieces)
            else:
                self._at = _At.CHUNK_END
        return True

    def _chunk_line(self, pieces: list[MessagePart]) -> bool:
        end = self._buffer.find(b"\r\n")
        if end > CHUNK_LINE_LIMIT or (end < 0 and len(self._buffer) > CHUNK_LINE_LIMIT):
            raise HttpError(400, "chunk line too long")
        if end < 0:
            return False
        line = self._cut(end + 2)[:-2]
        if self._at is _At.TRAILER:
            self._trailer += len(line)
            if self._trailer > HEAD_LIMIT:
                raise HttpError(431, "trailer too large")
            if line:
                _field(line)
            else:
                self._finish(pieces)
            return True
        size, _, extension = line.partition(b";")
        if not _HEX.fullmatch(size.rstrip(b" \t")) or not _VALUE.fullmatch(extension):
            raise HttpError(400, "bad chunk size")
        self._left = int(size, 16)
        if self.chunk_limit is not None and self._left > self.chunk_limit:
            raise HttpError(502, "chunk too large")
        self._body += self._left
        self._check_size(self._body)
        self._at, self._trailer = (_At.CHUNK_DATA, 0) if self._left else (_At.TRAILER, 0)
        return True


def _field(line: bytes) -> tuple[str, str]:
    name, colon, value = line.partition(b":")
    if not colon or not _TOKEN.fullmatch(name):
        raise HttpError(400, "bad header field")
    value = value.strip(b" \t")
    if not _VALUE.fullmatch(value):
        raise HttpError(400, "bad header value")
    return name.decode("ascii").lower(), value.decode("latin-1")


def _stays(minor: int, headers: Headers) -> bool:
    options = {word.strip().lower() for value in headers.all("connection") for word in value.split(",")}
    return "close" not in options if minor else "keep-alive" in options


class RequestParser(_Parser):
    """Requests as a server reads them, one after another."""

    def __init__(self, body_limit: int | None = BODY_LIMIT) -> None:
        super().__init__(body_limit)

    def _begin(self, line: bytes, headers: Headers, pieces: list[MessagePart]) -> None:
        parts = line.split(b" ")
        if len(parts) != 3 or not _TOKEN.fullmatch(parts[0]) or not _TARGET.fullmatch(parts[1]):
            raise HttpError(400, "bad request line")
        if not re.fullmatch(rb"HTTP/[0-9]\.[0-9]", parts[2]):
            raise HttpError(400, "bad version")
        if not parts[2].startswith(b"HTTP/1."):
            raise HttpError(505, "unknown version")
        minor = int(parts[2] != b"HTTP/1.0")
        if len(headers.all("host")) != 1 and (minor or "host" in headers):
            raise HttpError(400, "want one Host")
        if not minor and "transfer-encoding" in headers:
            raise HttpError(400, "chunks in HTTP/1.0")
        length = self._length(headers)
        method, target = parts[0].decode("ascii"), parts[1].decode("ascii")
        pieces.append(RequestHead(method, target, minor, headers, _stays(minor, headers)))
        self._frame(length or 0, pieces)


class ResponseParser(_Parser):
    """One answer, as a client reads it; what comes behind it is nobody's and is not read."""

    chunk_limit = ANSWER_CHUNK_LIMIT

    def __init__(self) -> None:
        super().__init__(None)
        self._interim = 0

    @property
    def ended_cleanly(self) -> bool:
        """Whether the answer is whole and nothing has come behind it."""
        return self._at is _At.DONE and not self._buffer

    def _head(self, pieces: list[MessagePart]) -> bool:
        # Told at the first bytes: noise that never ends a line would be waited for until the deadline.
        if not b"HTTP/1.".startswith(bytes(self._buffer[:7])):
            raise HttpError(502, "bad status line")
        return super()._head(pieces)

    def _finish(self, pieces: list[MessagePart]) -> None:
        pieces.append(MessageEnd())
        self._at = _At.DONE

    def _begin(self, line: bytes, headers: Headers, pieces: list[MessagePart]) -> None:
        match = _STATUS.fullmatch(line)
        if not match:
            raise HttpError(502, "bad status line")
        minor, status = int(match[1]), int(match[2])
        if status < 200:
            self._interim += 1
            if self._interim > MOST_INTERIM:
                raise HttpError(502, "no end of interim answers")
            return  # the real one follows
        length = 0 if status in (204, 304) else self._length(headers)
        stays = _stays(minor, headers) and length is not None
        pieces.append(ResponseHead(status, headers, stays))
        if length is None:
            self._at = _At.UNTIL_CLOSE
        else:
            self._frame(length, pieces)

    def connection_closed(self) -> bool:
        """The connection has ended: whether that ends the answer as it should."""
        ends = self._at is _At.UNTIL_CLOSE
        self._at = _At.FAILED
        return ends


@dataclass(slots=True)
class Request:
    """A whole request, gathered from its pieces."""

    head: RequestHead
    body: bytes = b""


@dataclass(slots=True)
class RequestAssembler:
    """Puts the pieces of requests together, for a front that wants them whole."""

    parser: RequestParser = field(default_factory=RequestParser)
    head: RequestHead | None = None
    parts: list[bytes] = field(default_factory=list)
    size: int = 0  # bytes gathered of a request that is not whole
    continued: bool = False

    @property
    def idle(self) -> bool:
        """Whether nothing of a next request has come."""
        return self.head is None and self.parser.between

    def wants_continue(self) -> bool:
        """Whether the client waits to be told to go on with a body; true once a request."""
        if self.head is None or self.continued or self.size:
            return False
        self.continued = True
        return self.head.headers.get("expect").lower() == "100-continue"

    def feed(self, data: bytes) -> list[Request]:
        """Take bytes; give the requests that they complete."""
        try:
            pieces, failed = self.parser.feed(data), None
        except HttpError as error:
            # Requests that were whole before the error are answered first.
            pieces, failed = getattr(error, "pieces", []), error
        whole: list[Request] = []
        for piece in pieces:
            if isinstance(piece, RequestHead):
                self.head, self.parts, self.size, self.continued = piece, [], 0, False
            elif isinstance(piece, BodyChunk):
                self.parts.append(piece.data)
                self.size += len(piece.data)
            elif self.head is not None:
                whole.append(Request(self.head, b"".join(self.parts)))
                self.head, self.parts, self.size = None, [], 0
        if failed is not None and not whole:
            raise failed
        return whole  # the parser stays failed: the next feed says so


def _fields(headers: Mapping[str, str]) -> str:
    return "".join(f"{name}: {value}\r\n" for name, value in headers.items())


def encode_request(method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """A request with a sized body."""
    sized = {**headers, "Content-Length": str(len(body))} if body or method != "GET" else headers
    return f"{method} {target} HTTP/1.1\r\n{_fields(sized)}\r\n".encode("latin-1") + body


def encode_head(status: int, headers: Mapping[str, str]) -> bytes:
    """The head of an answer."""
    reason = REASONS.get(status, "Status")
    return f"HTTP/1.1 {status} {reason}\r\n{_fields(headers)}\r\n".encode("latin-1")


def encode_response(
    status: int, body: bytes, headers: Mapping[str, str], keep_alive: bool, method: str = "GET"
) -> bytes:
    """A whole answer with a sized body."""
    sized = {**headers, "Content-Length": str(len(body))}
    if not keep_alive:
        sized["Connection"] = "close"
    # A body after the answer to HEAD would be taken for the next answer.
    return encode_head(status, sized) + (b"" if method == "HEAD" else body)


def encode_chunk(data: bytes) -> bytes:
    """One chunk; the empty one ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
