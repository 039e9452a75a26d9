"""The driver of one discovery address: one request at a time, on a connection that is kept between them."""

from __future__ import annotations

import asyncio

from tornado.iostream import StreamClosedError

from lockspoke.wire.http.encoding import encode_request
from lockspoke.wire.http.messages import HttpError
from lockspoke.wire.tcp.dialing import Address, Dial
from lockspoke.wire.tcp.read_ahead import ReadAhead

from .messages import EndpointListRequest, ResponseReader

GRACE = 0.4  # seconds past its wait for which a watch may stay without an answer, until it counts as silent
ANSWER_TIME = (
    1.5  # seconds for a request that may not wait, its connection included; and for an answer that comes
)
CONNECT_TIME = 1.0  # seconds


class RequestError(Exception):
    """Discovery has refused or failed a request; the text says how."""


class WatchLostError(Exception):
    """A watch ended with no answer: nothing shows yet that discovery itself is in trouble."""


class DiscoveryLink:
    """Requests to discovery at one address."""

    def __init__(self, endpoint: Address, dial: Dial) -> None:
        self.endpoint = endpoint
        self._dial = dial
        self._connection: ReadAhead | None = None
        self.awaiting = False  # whether a request is written, and its answer still to come

    @property
    def unread(self) -> bool:
        """Whether discovery has written what no answer that was given out holds."""
        return self._connection is not None and self._connection.unread

    async def ask(self, request: EndpointListRequest) -> bytes:
        """The body of the answer; raises RequestError, WatchLostError, or ListError for a bad status.

        After any of these the connection is closed: what would come on it answers no later request.
        """
        if self.unread:
            # Guards against bytes that nobody asked for: each later request would take the answer to the one
            # before it.
            self.close()
        reused = self._connection is not None
        try:
            return await self._exchange(request)
        except (StreamClosedError, TimeoutError, OSError, HttpError) as error:
            self.close()
            reason = f"{type(error).__name__}: {error}"
            if request.waits or (reused and isinstance(error, StreamClosedError)):
                raise WatchLostError(reason) from None
            raise RequestError(reason) from None
        except BaseException:
            self.close()
            raise
        finally:
            self.awaiting = False

    async def _exchange(self, request: EndpointListRequest) -> bytes:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + ANSWER_TIME
        if self._connection is None:
            async with asyncio.timeout(CONNECT_TIME):
                self._connection = ReadAhead(await self._dial(self.endpoint))
        if request.waits:
            # From here on: discovery counts its wait from when it has the request.
            deadline = loop.time() + request.hold_ms / 1000 + GRACE
        self.awaiting = True
        host = "{}:{}".format(*self.endpoint)
        self._connection.stream.write(encode_request("GET", request.target, {"Host": host}))
        return await self._answer(self._connection, deadline)

    async def _answer(self, connection: ReadAhead, deadline: float) -> bytes:
        """Read an answer. No read is ever cancelled: bytes that have come as the time ends are taken."""
        loop, reader = asyncio.get_running_loop(), ResponseReader()
        while True:
            await asyncio.wait([connection.pending], timeout=max(0.0, deadline - loop.time()))
            if not connection.unread:
                raise TimeoutError("discovery is silent")
            if not reader.begun:
                deadline = loop.time() + ANSWER_TIME
            body = reader.feed(await connection.read())
            if body is not None:
                if not reader.reusable:
                    self.close()
                return body
            if loop.time() > deadline:
                raise TimeoutError("an answer that does not end")

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self._connection is not None:
            self._connection.stream.close()
            self._connection = None
