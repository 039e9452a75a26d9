"""The messages of the discovery protocol: requests for the endpoint list and their responses."""

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
    """A request for the complete endpoint list, or for its changes since a version."""

    version: int  # Changes since this version are requested, or the complete list for UNKNOWN_VERSION.
    hold_ms: int = 0  # Discovery may delay its response for this long to wait for a change.

    @property
    def target(self) -> str:
        """The path and query of the request."""
        if self.version == UNKNOWN_VERSION:
            return LIST_PATH
        return f"{LIST_PATH}?from={self.version}&hold_ms={self.hold_ms}"

    @property
    def is_watch(self) -> bool:
        """Whether discovery delays the response until the list changes or the hold ends."""
        return self.version != UNKNOWN_VERSION and self.hold_ms > 0


class ResponseReader:
    """Reads one response from its bytes, however they are split."""

    def __init__(self) -> None:
        self.started = False  # Whether any byte of the response has arrived.
        self.keep_alive = False  # Whether the connection stays open after this response.
        self.trailing_bytes = b""  # What has arrived after this response.
        self._parser = ResponseParser()
        self._body = bytearray()
        self._head: ResponseHead | None = None

    def feed(self, data: bytes) -> bytes | None:
        """Parse received bytes; return the body once it is complete.

        Raises:
            HttpError: The response is malformed or too large.
            EndpointListError: The status of the response is not 200.
        """
        self.started = True
        for piece in self._parser.feed(data):
            if isinstance(piece, ResponseHead):
                self._head = piece
            elif isinstance(piece, BodyChunk):
                self._body += piece.data
                if len(self._body) > MAX_LIST_SIZE_BYTES:
                    raise HttpError(502, f"endpoint list larger than {MAX_LIST_SIZE_BYTES} bytes")
            elif isinstance(piece, MessageEnd) and self._head is not None:
                self.keep_alive = self._head.keep_alive
                self.trailing_bytes = self._parser.trailing_bytes
                if self._head.status != 200:
                    raise EndpointListError(f"status {self._head.status}")
                return bytes(self._body)
        return None
