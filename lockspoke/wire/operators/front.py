"""The operator front, which has a separate listener so that clients cannot use up its connections."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from tornado.iostream import IOStream, StreamClosedError

from lockspoke.wire.http.encoding import encode_response
from lockspoke.wire.http.messages import HttpError, Request
from lockspoke.wire.http.request_assembler import RequestAssembler
from lockspoke.wire.tcp.accepted_connection import close
from lockspoke.wire.tcp.close_reason import CloseReason
from lockspoke.wire.tcp.fair_reader import FairReader
from lockspoke.wire.tcp.listener import Listener

from .api import OperatorRequest, decode_operator_request

MAX_CONNECTIONS = 16  # Beyond this, the connection that has been silent for longest is closed.
CONNECTION_TIMEOUT_SECONDS = 5.0  # This is the limit from accept to close, as a request is one small message.
REDUCED_CONNECTION_TIMEOUT_SECONDS = 0.5  # This applies instead while over half of MAX_CONNECTIONS are open.
READ_SIZE_BYTES = 4096
TEXT_HEADERS = {"Content-Type": "text/plain; charset=utf-8"}

# Returns the text of a 200 response or raises HttpError.
OperatorHandler = Callable[[OperatorRequest], Awaitable[str]]


class OperatorFront:
    """The connections of operators, each of which carries one request."""

    def __init__(self, handler: OperatorHandler) -> None:
        self.handler = handler
        self.listener: Listener[OperatorConnection] = Listener(self._create_connection, MAX_CONNECTIONS)

    def _create_connection(self, stream: IOStream) -> OperatorConnection:
        return OperatorConnection(self.handler, stream)

    def run_periodic_checks(self) -> None:
        """Close connections that have been open for longer than a request should take."""
        many_connections = len(self.listener.connections) > MAX_CONNECTIONS // 2
        timeout = REDUCED_CONNECTION_TIMEOUT_SECONDS if many_connections else CONNECTION_TIMEOUT_SECONDS
        cutoff = asyncio.get_running_loop().time() - timeout
        for connection in list(self.listener.connections):
            if connection.opened_at < cutoff and connection.idle and not connection.reader.has_unread:
                close(connection, CloseReason.STALLED)


class OperatorConnection:
    """A connection of an operator."""

    def __init__(self, handler: OperatorHandler, stream: IOStream) -> None:
        self.stream = stream
        self.reader = FairReader(stream, READ_SIZE_BYTES)
        self.opened_at = self.active_at = self.queued_since = asyncio.get_running_loop().time()
        self.has_received = False
        self.close_reason: CloseReason | None = None
        self._handler = handler
        self._is_answering = False  # Whether its request has been read and its response not been written.
        self._assembler = RequestAssembler()

    @property
    def idle(self) -> bool:
        """Whether the connection may be closed to make room for another: it is open, without a request."""
        return not self.stream.closed() and not self._is_answering

    async def run(self) -> None:
        """Read one request and send its response; the listener then closes the connection."""
        with contextlib.suppress(StreamClosedError):
            await self.stream.write(await self._response())

    async def _response(self) -> bytes:
        try:
            request = await self._read_request()
            self._is_answering = True
            status, text = 200, await self._handler(decode_operator_request(request))
        except HttpError as error:
            status, text = error.status, str(error)
        return encode_response(status, f"{text}\n".encode(), TEXT_HEADERS, keep_alive=False)

    async def _read_request(self) -> Request:
        while True:
            data = await self.reader.read()
            self.has_received = True
            requests = self._assembler.feed(data)
            if requests:
                return requests[0]
