"""HTTP/1.1 messages: heads, header fields and body parts, and the error for a malformed message."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace


class Headers:
    """Header fields by lower-case name; a repeated name keeps all its values.

    They are kept as one text, since an object for each of thousands of short fields would take many times
    their size.
    """

    __slots__ = ("_lines",)

    def __init__(self, fields: Iterable[tuple[str, str]] = ()) -> None:
        """Take names and values, neither of which may contain a line feed."""
        self._lines = "\n" + "".join(f"{name}:{value}\n" for name, value in fields)

    @property
    def fields(self) -> list[tuple[str, str]]:
        """The names and values, in order."""
        return list(self)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        """Iterate over the names and values, in order."""
        for line in self._lines[1:-1].split("\n"):
            name, colon, value = line.partition(":")
            if colon:
                yield name, value

    def with_prefix(self, prefix: str) -> Iterator[tuple[str, str]]:
        """Iterate over the names and values of the fields whose names begin with a prefix."""
        lines, marker = self._lines, f"\n{prefix}"
        start = lines.find(marker)
        while 0 <= start < len(lines) - 1:
            end = lines.index("\n", start + 1)
            name, _, value = lines[start + 1 : end].partition(":")
            yield name, value
            start = lines.find(marker, end)

    @property
    def size(self) -> int:
        """How many characters they take, about as many as in the message."""
        return len(self._lines)

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a field."""
        marker = f"\n{name}:"
        start = self._lines.find(marker)
        if start < 0:
            return default
        start += len(marker)
        return self._lines[start : self._lines.index("\n", start)]

    def all(self, name: str) -> list[str]:
        """Return every value of a field, in order."""
        count = self.count(name)
        if count < 2:
            return [self.get(name)] if count else []
        return [value for _, value in self.with_prefix(f"{name}:")]

    def count(self, name: str) -> int:
        """Return how often a field is present."""
        return self._lines.count(f"\n{name}:")

    def __contains__(self, name: str) -> bool:
        """Return whether the field is present."""
        return f"\n{name}:" in self._lines

    def tokens(self, name: str) -> set[str]:
        """Return the comma-separated tokens of all values of a field, in lower case."""
        return {token.strip().lower() for value in self.all(name) for token in value.split(",")}


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The request line and header fields of a request."""

    method: str
    target: str
    minor_version: int  # 0 for HTTP/1.0, 1 for any later HTTP/1 version.
    headers: Headers
    keep_alive: bool

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """The part of the target after the question mark."""
        return self.target.partition("?")[2]

    @property
    def size(self) -> int:
        """How many characters it takes."""
        return self.headers.size + len(self.target)

    def without_fields(self) -> RequestHead:
        """Return what a response depends on: the head without its target and header fields."""
        return replace(self, target="", headers=Headers())

    @property
    def declares_length(self) -> bool:
        """Whether the head says how the end of the body is found; without that, the body is empty."""
        return "content-length" in self.headers or "transfer-encoding" in self.headers


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The status line and header fields of a response."""

    status: int
    headers: Headers
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """Bytes of a body, without their framing."""

    data: bytes


@dataclass(frozen=True, slots=True)
class MessageEnd:
    """The message is complete."""


MessagePart = RequestHead | ResponseHead | BodyChunk | MessageEnd


@dataclass(slots=True)
class Request:
    """A complete request."""

    head: RequestHead
    body: bytes = b""
    followed_by_error: bool = False  # Whether the bytes right behind it cannot be a request.

    @property
    def size(self) -> int:
        """How many bytes it takes."""
        return self.head.size + len(self.body)


class HttpError(ValueError):
    """The peer violated the protocol, or a request is rejected.

    Attributes:
        status: The status of the server's response.
        parsed: The message parts that the same bytes completed before the error.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.parsed: list[MessagePart] = []
