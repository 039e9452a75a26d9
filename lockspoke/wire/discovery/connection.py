"""A connection to one discovery address: one request at a time, kept open between requests."""

from __future__ import annotations

import asyncio

from tornado.iostream import StreamClosedError

from lockspoke.rate_limited_log import RateLimitedLog
from lockspoke.wire.http.encoding import encode_request
from lockspoke.wire.http.messages import HttpError
from lockspoke.wire.tcp.dialing import Address, Dial
from lockspoke.wire.tcp.read_ahead import ReadAhead

from .messages import EndpointListRequest, ResponseReader

WATCH_GRACE_SECONDS = 0.4  # A watch without a response counts as lost this long after its hold has ended.
# Limits a request that is not a watch, including the time to connect. Once a response has started, it also
# limits the time until that response is complete.
RESPONSE_TIMEOUT_SECONDS = 1.5
CONNECT_TIMEOUT_SECONDS = 1.0
# A request that follows the last response within this time continues the watch, by the platform's protocol. A
# change in between counts as notified at once, although the gateway has not requested it yet.
MAX_WATCH_GAP_SECONDS = 0.2


class RequestError(Exception):
    """Discovery rejected a request, or it failed; the text says how."""


class WatchLostError(Exception):
    """A watch ended without a response; this alone does not show that discovery has a fault."""


class DiscoveryConnection:
    """Requests to discovery at one address."""

    def __init__(self, endpoint: Address, dial: Dial) -> None:
        self.endpoint = endpoint
        self._dial = dial
        self._connection: ReadAhead | None = None
        self.awaiting_response = False  # whether a request is written and its response is not complete
        self._responded_at: float | None = None  # when the last response was complete, by the loop's clock
        self._delay_log = RateLimitedLog("discovery_request_delayed")

    @property
    def has_unread_data(self) -> bool:
        """Whether discovery has written bytes, or closed, and no response returned so far holds them."""
        return self._connection is not None and self._connection.unread

    async def request(self, request: EndpointListRequest) -> bytes:
        """Send a request; returns the response's body.

        After an error the connection is closed: what would arrive on it answers no later request.

        Raises:
            WatchLostError: a watch got no response, or discovery had closed the idle connection.
            RequestError: any other request failed.
            EndpointListError: the response's status is not 200.
        """
        if self.has_unread_data:
            # Unexpected bytes: later requests would each get the response to the one before.
            self.close()
        reused = self._connection is not None
        try:
            return await self._exchange(request)
        except (StreamClosedError, TimeoutError, OSError, HttpError) as error:
            self.close()
            reason = f"{type(error).__name__}: {error}"
            if request.is_watch or (reused and isinstance(error, StreamClosedError)):
                raise WatchLostError(reason) from None
            raise RequestError(reason) from None
        except BaseException:
            self.close()
            raise
        finally:
            self.awaiting_response = False

    async def _exchange(self, request: EndpointListRequest) -> bytes:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + RESPONSE_TIMEOUT_SECONDS
        reused = self._connection is not None
        if self._connection is None:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                self._connection = ReadAhead(await self._dial(self.endpoint))
        if request.is_watch:
            # Without the time to connect: discovery's hold begins when it receives the request.
            deadline = loop.time() + request.hold_ms / 1000 + WATCH_GRACE_SECONDS
        self._log_delay(loop.time(), reused)
        self.awaiting_response = True
        host = "{}:{}".format(*self.endpoint)
        self._connection.stream.write(encode_request("GET", request.target, {"Host": host}))
        return await self._read_response(self._connection, deadline)

    def _log_delay(self, now: float, reused: bool) -> None:
        """Log that a request is written so late after the last response that the watch was interrupted."""
        if self._responded_at is None:
            return
        delay = now - self._responded_at
        self._responded_at = None
        if delay > MAX_WATCH_GAP_SECONDS:
            self._delay_log.info(now, delay_ms=round(delay * 1000), connection_reused=reused)

    async def _read_response(self, connection: ReadAhead, deadline: float) -> bytes:
        """Read a response. No read is ever cancelled: bytes that arrive at the deadline are used."""
        loop, reader = asyncio.get_running_loop(), ResponseReader()
        while True:
            await asyncio.wait([connection.pending], timeout=max(0.0, deadline - loop.time()))
            if not connection.unread:
                raise TimeoutError("discovery is silent")
            if not reader.started:
                deadline = loop.time() + RESPONSE_TIMEOUT_SECONDS
            body = reader.feed(await connection.read())
            if body is not None:
                self._responded_at = loop.time()
                if not reader.reusable:
                    self.close()
                return body
            if loop.time() > deadline:
                raise TimeoutError("an answer that does not end")

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self._connection is not None:
            self._connection.stream.close()
            self._connection = None
