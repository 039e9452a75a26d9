"""Responses to clients: complete ones, and the event stream of a replica."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Protocol

from tornado.iostream import IOStream

from lockspoke.units import SECOND
from lockspoke.wire.http.encoding import encode_chunk, encode_head, encode_response
from lockspoke.wire.http.messages import Request
from lockspoke.wire.tcp.closing import is_quiet
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
    """Return a complete response of one line of text to a request of that method."""
    fields = {"Content-Type": "text/plain; charset=utf-8", **(headers or {})}
    return encode_response(status, f"{text}\n".encode(), fields, keep_alive, method)


def retry_after_header(nanoseconds: int) -> dict[str, str]:
    """Return the header field that advises a client when to retry."""
    return {"Retry-After": f"{nanoseconds / SECOND:.3f}"}


class RespondingConnection(Protocol):
    """The client connection that a response is written to."""

    stream: IOStream
    outgoing: OutgoingBuffer

    def release_body(self) -> None:
        """Stop counting the bytes of the open request's body, which the core has dropped."""

    def send_response(
        self, request: Request, status: int, text: str, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a complete response, then go on with the next request or close."""

    def stays_open_after(self, request: Request) -> bool:
        """Return whether the connection stays open after a response."""

    def response_finished(self, keep_alive: bool) -> None:
        """Go on with the next request, or close, after a response has been written."""


class StreamingResponse:
    """The response to a request that is forwarded: a stream of events, or an error."""

    def __init__(self, connection: RespondingConnection, request: Request) -> None:
        self.connection = connection
        self.request = request
        self.chunked = request.head.minor_version > 0  # in HTTP/1.0 the close ends the body
        self.head_sent = False
        self.keep_alive = False  # whether the connection stays open afterwards, known with the head

    @property
    def has_unread_input(self) -> bool:
        """Whether the client has sent bytes, or its close, that are not read yet."""
        return not is_quiet(self.connection.stream)

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        """Send events at once, the first with the head.

        Returns:
            A future that is done when a slow client has caught up, or None if there is no need to wait.
        """
        encoded = encode_chunk(data) if self.chunked else data
        if not self.head_sent:
            self.head_sent = True
            encoded = self._encode_head() + encoded
            self.connection.release_body()
        return self.connection.outgoing.write(encoded)

    def _encode_head(self) -> bytes:
        self.keep_alive = self.connection.stays_open_after(self.request) and self.chunked
        headers = dict(STREAM_HEADERS)
        if self.chunked:
            headers["Transfer-Encoding"] = "chunked"
        if not self.keep_alive:
            headers["Connection"] = "close"
        return encode_head(200, headers)

    def finish(self) -> None:
        """End a complete stream, with the last chunk."""
        encoded = encode_chunk(b"") if self.chunked else b""
        self.connection.outgoing.write(encoded if self.head_sent else self._encode_head() + encoded)
        self.connection.response_finished(self.keep_alive)

    def abort(self) -> None:
        """End an incomplete stream: without a last chunk the client sees that it is truncated."""
        self.connection.response_finished(keep_alive=False)

    def reject(self, retry_after: int) -> None:
        """Reject the request because of overload; 0 gives no advice when to retry."""
        headers = retry_after_header(retry_after) if retry_after else None
        self.connection.send_response(self.request, 503, "overloaded", headers)

    def fail(self) -> None:
        """Respond that the request has failed."""
        self.connection.send_response(self.request, 502, "failed")
