"""Messages of discovery's protocol: requests for the endpoint list, and the framing of responses."""

from __future__ import annotations

from dataclasses import dataclass

from lockspoke.core.replica_set import UNKNOWN_VERSION
from lockspoke.wire.http.messages import BodyChunk, HttpError, MessageEnd, ResponseHead
from lockspoke.wire.http.response_parser import ResponseParser

from .endpoint_list import EndpointListError

LIST_PATH = "/discovery/hosts"
MAX_LIST_SIZE_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class EndpointListRequest:
    """One request for the list."""

    version: int  # changes since this version are requested; UNKNOWN_VERSION: the complete list
    hold_ms: int = 0  # how long discovery may wait for a change

    @property
    def target(self) -> str:
        """Path and query."""
        if self.version == UNKNOWN_VERSION:
            return LIST_PATH
        return f"{LIST_PATH}?from={self.version}&hold_ms={self.hold_ms}"

    @property
    def is_watch(self) -> bool:
        """Whether discovery holds the response until something changes, or until the hold is over."""
        return self.version != UNKNOWN_VERSION and self.hold_ms > 0


class ResponseReader:
    """Reads one response from its bytes, however they are split."""

    def __init__(self) -> None:
        self.started = False  # whether any byte has arrived
        self.reusable = False  # whether the connection can carry another request after this response
        self._parser = ResponseParser()
        self._body = bytearray()
        self._head: ResponseHead | None = None

    def feed(self, data: bytes) -> bytes | None:
        """Take bytes; returns the body once it is complete.

        Raises:
            HttpError: the response is malformed or too large.
            EndpointListError: its status is not 200.
        """
        self.started = True
        for piece in self._parser.feed(data):
            if isinstance(piece, ResponseHead):
                self._head = piece
            elif isinstance(piece, BodyChunk):
                self._body += piece.data
                if len(self._body) > MAX_LIST_SIZE_BYTES:
                    raise HttpError(502, f"a list of more than {MAX_LIST_SIZE_BYTES} bytes")
            elif isinstance(piece, MessageEnd) and self._head is not None:
                self.reusable = self._head.keep_alive and self._parser.ended_cleanly
                if self._head.status != 200:
                    raise EndpointListError(f"status {self._head.status}")
                return bytes(self._body)
        return None
