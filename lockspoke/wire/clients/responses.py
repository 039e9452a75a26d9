"""Responses to clients: complete text responses, and the event stream from a replica."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Protocol

from tornado.iostream import IOStream

from lockspoke.units import SECOND
from lockspoke.wire.http.encoding import encode_chunk, encode_head, encode_response
from lockspoke.wire.http.messages import RequestHead
from lockspoke.wire.tcp.closing import is_open_without_input
from lockspoke.wire.tcp.outgoing import OutgoingBuffer

STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}


def encode_text_response(
    status: int,
    text: str,
    keep_alive: bool,
    *,
    headers: Mapping[str, str] | None = None,
    method: str = "GET",
) -> bytes:
    """Encode a complete response with one line of text, for a request with the given method."""
    fields = {"Content-Type": "text/plain; charset=utf-8", **(headers or {})}
    return encode_response(status, f"{text}\n".encode(), fields, keep_alive, method)


def retry_after_header(nanoseconds: int) -> dict[str, str]:
    """Return the header field that tells a client when to retry."""
    return {"Retry-After": f"{nanoseconds / SECOND:.3f}"}


class RespondingConnection(Protocol):
    """The client connection to which a response is written."""

    stream: IOStream
    outgoing: OutgoingBuffer

    def request_released(self) -> None:
        """Stop counting the open request, whose content the core has released."""

    def send_response(
        self, head: RequestHead, status: int, text: str, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a complete response, then answer the next request or close the connection."""

    def stays_open_after(self, head: RequestHead) -> bool:
        """Return whether the connection stays open after a response."""

    def response_finished(self, keep_alive: bool) -> None:
        """After a response has been written, answer the next request or close the connection."""


class StreamingResponse:
    """The response to a forwarded request: an event stream or an error."""

    def __init__(self, connection: RespondingConnection, head: RequestHead) -> None:
        self.connection = connection
        self.request_head = head.without_fields()  # A stream may last long.
        self.chunked = head.minor_version > 0  # In HTTP/1.0 the body ends with the connection.
        self.head_sent = False
        self.keep_alive = False  # Whether the connection stays open afterwards; set when the head is encoded.

    @property
    def has_unread_input(self) -> bool:
        """Whether the client has sent bytes, or closed, and the gateway has not read this yet."""
        return not is_open_without_input(self.connection.stream)

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        """Send events without delay, the first together with the head.

        Returns:
            A future that is done when a slow client has caught up, or None if there is no need to wait.
        """
        encoded = encode_chunk(data) if self.chunked else data
        if not self.head_sent:
            self.head_sent = True
            encoded = self._encode_head() + encoded
            self.connection.request_released()
        return self.connection.outgoing.write(encoded)

    def _encode_head(self) -> bytes:
        self.keep_alive = self.connection.stays_open_after(self.request_head) and self.chunked
        headers = dict(STREAM_HEADERS)
        if self.chunked:
            headers["Transfer-Encoding"] = "chunked"
        if not self.keep_alive:
            headers["Connection"] = "close"
        return encode_head(200, headers)

    def finish(self) -> None:
        """End a complete stream with the last chunk."""
        encoded = encode_chunk(b"") if self.chunked else b""
        self.connection.outgoing.write(encoded if self.head_sent else self._encode_head() + encoded)
        self.connection.response_finished(self.keep_alive)

    def abort(self) -> None:
        """End an incomplete stream without the last chunk, so that the client detects the truncation."""
        self.connection.response_finished(keep_alive=False)

    def reject(self, retry_after: int) -> None:
        """Reject the request because of overload.

        Args:
            retry_after: The advice to the client in nanoseconds, or 0 for none.
        """
        headers = retry_after_header(retry_after) if retry_after else None
        self.connection.send_response(self.request_head, 503, "overloaded", headers)

    def fail(self) -> None:
        """Respond with status 502: the request has failed."""
        self.connection.send_response(self.request_head, 502, "failed")
