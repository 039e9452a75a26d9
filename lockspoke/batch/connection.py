"""One client connection of the batch API."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

import structlog
from tornado.iostream import IOStream, StreamClosedError

from lockspoke.wire.http.encoding import encode_head, encode_response
from lockspoke.wire.http.messages import HttpError, MessagePart, RequestHead
from lockspoke.wire.http.request_parser import RequestParser
from lockspoke.wire.tcp.close_reason import CloseReason
from lockspoke.wire.tcp.fair_reader import FairReader

from .application import BatchApplication
from .errors import ApiError
from .json_text import SPACED, encode_json
from .messages import ApiRequest, FileResponse, JsonResponse, RequestBody, Response
from .requests_in_progress import StoppingError

FORM_OVERHEAD = 256 * 1024  # bytes that a form may have in addition to the content of its file
LINGER_TIMEOUT = 2.0  # seconds
LINGER_TIMEOUT_AFTER_REQUEST = 0.3  # seconds, while the gateway stops, if the request was read to its end
SEND_SIZE = 64 * 1024  # bytes of a file that are read and sent at a time
SHORT_BODY = 64 * 1024  # the largest body in bytes that is read to its end when the response is an error

log = structlog.get_logger()


def _has_short_body(head: RequestHead) -> bool:
    """Whether the body is certain to arrive and to end soon."""
    may_not_arrive = "transfer-encoding" in head.headers or "expect" in head.headers
    return not may_not_arrive and int(head.headers.get("content-length", "0")) <= SHORT_BODY


def _mark_retrieved(reading: asyncio.Task[bytes]) -> None:
    """Let a read that nobody waits for any more fail without a log line."""
    if not reading.cancelled():
        reading.exception()


class BatchConnection:
    """Answers the requests of one client, one after another."""

    def __init__(self, application: BatchApplication, stream: IOStream) -> None:
        self.application = application
        self.stream = stream
        self.reader = FairReader(stream)
        self.opened_at = self.active_at = self.queued_since = asyncio.get_running_loop().time()
        # The listener first closes connections that have not received any data. This front has few and known
        # clients, so all its connections count as having received data.
        self.has_received = True
        self.close_reason: CloseReason | None = None
        self._between_requests = True
        self._reading: asyncio.Task[bytes] | None = None  # It goes on when the handler is cancelled.
        self._parser = RequestParser(application.limits.body_size + FORM_OVERHEAD)
        self._pieces: list[MessagePart] = []

    @property
    def idle(self) -> bool:
        """Whether the connection is between two requests."""
        has_read = self._reading is not None and self._reading.done()
        return self._between_requests and not self.reader.has_unread and not has_read

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        with suppress(StreamClosedError, OSError):
            while True:
                try:
                    head = await self._next_piece()
                except HttpError as error:
                    await self._send_error(ApiError(error.status, str(error)), keep_alive=False)
                    await self._linger()
                    return
                if not isinstance(head, RequestHead):
                    continue
                self._between_requests = False
                body = RequestBody(self._next_piece)
                if not await self._serve(head, body):
                    stops_soon = self.application.draining and body.complete
                    await self._linger(LINGER_TIMEOUT_AFTER_REQUEST if stops_soon else LINGER_TIMEOUT)
                    return
                self._between_requests = True

    async def _linger(self, timeout: float = LINGER_TIMEOUT) -> None:  # noqa: ASYNC109 - a span, not a deadline
        """Discard input for a while: closing with unread bytes resets the connection and loses a response."""
        self.stream.socket.shutdown(socket.SHUT_WR)
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while True:
                    await self._read()

    async def _next_piece(self) -> MessagePart:
        while not self._pieces:
            data = await self._read()
            self._mark_active()
            self._pieces = self._parser.feed(data)
        return self._pieces.pop(0)

    async def _read(self) -> bytes:
        """Read the next bytes; a read whose caller is cancelled is continued by the next call."""
        if self._reading is None:
            self._reading = asyncio.ensure_future(self.reader.read())
            self._reading.add_done_callback(_mark_retrieved)
        reading = self._reading
        await asyncio.wait([reading])
        self._reading = None
        return reading.result()

    def _mark_active(self) -> None:
        self.active_at = asyncio.get_running_loop().time()

    async def _serve(self, head: RequestHead, body: RequestBody) -> bool:
        """Answer one request; returns whether the connection stays open."""
        keep_alive = head.keep_alive
        try:
            response = await self.application.requests.run(self._handle(head, body))
        except ApiError as error:
            # Unread bytes of the body would be parsed as the next request.
            may_wait = not isinstance(error, StoppingError)
            if may_wait and not body.complete and _has_short_body(head):
                await body.discard()
            keep_alive = keep_alive and body.complete and not self.application.draining
            await self._send_error(error, keep_alive, head.method)
        except HttpError as error:
            keep_alive = False
            await self._send_error(ApiError(error.status, str(error)), keep_alive)
        except StreamClosedError:
            raise
        except Exception:
            log.exception("batch_request_failed", path=head.path)
            keep_alive = False
            await self._send_error(ApiError(500, "The server failed to answer your request."), keep_alive)
        else:
            keep_alive = keep_alive and not self.application.draining
            await self._send(response, keep_alive, head.method)
        return keep_alive

    async def _handle(self, head: RequestHead, body: RequestBody) -> Response:
        if head.headers.get("expect").lower() == "100-continue":
            await self.stream.write(encode_head(100, {}))
        response = await self.application.handle(ApiRequest(head, body))
        await body.discard()
        return response

    async def _send(self, response: Response, keep_alive: bool, method: str) -> None:
        if isinstance(response, FileResponse):
            await self._send_file(response, keep_alive)
        else:
            await self._send_json(response, keep_alive, method)

    async def _send_json(self, response: JsonResponse, keep_alive: bool, method: str) -> None:
        headers = {"Content-Type": "application/json", **response.headers}
        body = encode_json(response.members, SPACED)
        await self.stream.write(encode_response(response.status, body, headers, keep_alive, method))

    async def _send_error(self, error: ApiError, keep_alive: bool, method: str = "GET") -> None:
        await self._send_json(JsonResponse(error.as_object(), error.status), keep_alive, method)

    async def _send_file(self, response: FileResponse, keep_alive: bool) -> None:
        """Send a file in pieces, each once the previous one has been written to the socket."""
        headers = response.headers()
        if not keep_alive:
            headers["Connection"] = "close"
        with response.path.open("rb") as file:
            file.seek(response.range.start)
            await self.stream.write(encode_head(response.status, headers))
            remaining = response.range.length
            while remaining:
                data = file.read(min(SEND_SIZE, remaining))
                if not data:
                    raise StreamClosedError  # The file was truncated: the client receives an incomplete body.
                await self.stream.write(data)
                self._mark_active()
                remaining -= len(data)
