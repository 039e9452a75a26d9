"""Assembles complete requests from the bytes of a connection."""

from __future__ import annotations

from dataclasses import dataclass, field

from .messages import BodyChunk, HttpError, MessagePart, Request, RequestHead
from .request_parser import RequestParser

SMALL_CHUNK_BYTES = 4 * 1024


@dataclass(slots=True)
class RequestAssembler:
    """Joins the parts of each request, for a front that handles complete requests only."""

    parser: RequestParser = field(default_factory=RequestParser)
    head: RequestHead | None = None  # The head of the incomplete request, once it has been read.
    # What has been read of the incomplete request's body. Small chunks are joined, as each has an overhead.
    body_chunks: list[bytes | bytearray] = field(default_factory=list)
    body_size: int = 0  # The bytes in them.
    continue_checked: bool = False  # Whether its Expect field has been checked.
    error: HttpError | None = None  # Why nothing more can be parsed, once that has been detected.

    @property
    def idle(self) -> bool:
        """Whether no byte of the next request has arrived."""
        return self.head is None and self.parser.is_between_messages

    @property
    def size(self) -> int:
        """How many bytes the incomplete request takes so far."""
        head_size = self.head.size if self.head is not None else 0
        return self.parser.buffered_bytes + head_size + self.body_size

    def take_expect_continue(self) -> bool:
        """Return whether the client waits for a 100 before it sends the body; at most once per request."""
        if self.head is None or self.continue_checked or self.body_size:
            return False
        self.continue_checked = True
        return self.head.headers.get("expect").lower() == "100-continue"

    def feed(self, data: bytes) -> list[Request]:
        """Take bytes and return the requests that they complete.

        Raises:
            HttpError: A request is malformed. If the same bytes completed other requests before it, these are
                returned, so that they are answered first; `error` is set, and the next call raises.
        """
        try:
            return self._assemble(self.parser.feed(data))
        except HttpError as error:
            self.error = error
            completed = self._assemble(error.parsed)
            error.parsed = []
            if not completed:
                raise
            completed[-1].followed_by_error = self.head is None
            return completed

    def _assemble(self, parts: list[MessagePart]) -> list[Request]:
        completed: list[Request] = []
        for part in parts:
            if isinstance(part, RequestHead):
                self._reset(part)
            elif isinstance(part, BodyChunk):
                self._append(part.data)
            elif self.head is not None:
                completed.append(Request(self.head, b"".join(self.body_chunks)))
                self._reset(None)
        return completed

    def _append(self, data: bytes) -> None:
        self.body_size += len(data)
        last = self.body_chunks[-1] if self.body_chunks else None
        if isinstance(last, bytearray) and len(last) < SMALL_CHUNK_BYTES:
            last += data
        else:
            self.body_chunks.append(bytearray(data) if len(data) < SMALL_CHUNK_BYTES else data)

    def _reset(self, head: RequestHead | None) -> None:
        self.head = head
        self.body_chunks = []
        self.body_size = 0
        if head is not None:
            self.continue_checked = False
