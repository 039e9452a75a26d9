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
# By the platform's protocol, a request that follows the last response within this time continues the watch:
# discovery counts a change between the two as notified at once, although no request for it has been written.
MAX_WATCH_GAP_SECONDS = 0.2


class RequestError(Exception):
    """A request failed, or discovery rejected it; the message gives the reason."""


class WatchLostError(Exception):
    """A watch ended without a response, which alone does not mean that discovery is failing."""


class NoResponseError(TimeoutError):
    """No byte of a response has arrived within the time limit."""


class DiscoveryConnection:
    """Sends requests to discovery at one address, one at a time."""

    def __init__(self, endpoint: Address, dial: Dial) -> None:
        self.endpoint = endpoint
        self._dial = dial
        self._connection: ReadAhead | None = None
        self._trailing_bytes = b""  # What was read together with the last response, but after it.
        self.awaiting_response = False  # True from writing a request until its response is complete.
        # The time when the last response was complete, by the event loop's clock. It is None before the first
        # response, and again once the next request has been written.
        self._responded_at: float | None = None
        self._delay_log = RateLimitedLog("discovery_request_delayed")

    @property
    def has_unread_data(self) -> bool:
        """Whether discovery has sent bytes, or closed the connection, after the last complete response."""
        return self._connection is not None and (bool(self._trailing_bytes) or self._connection.has_unread)

    async def request(self, request: EndpointListRequest) -> bytes:
        """Send a request and return the body of its response.

        After an error the connection is closed, so that a late response is not taken for that of a later
        request.

        Raises:
            WatchLostError: A watch got no response, or discovery had closed the idle connection.
            RequestError: Any other request failed.
            EndpointListError: The status of the response is not 200.
        """
        if self.has_unread_data:
            # If the bytes are a response, each later request would get the response to the one before it.
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

    async def read_further_response(self, seconds: float) -> bytes | None:
        """Wait this many seconds for another response, although none is due; return its body, or None.

        If the last response did not belong to its request, the one that does is still to come.

        Raises:
            EndpointListError: The status of the response is not 200.
        """
        if self._connection is None:
            await asyncio.sleep(seconds)
            return None
        self.awaiting_response = True
        try:
            return await self._read_response(self._connection, asyncio.get_running_loop().time() + seconds)
        except NoResponseError:
            return None
        except (StreamClosedError, TimeoutError, OSError, HttpError):
            self.close()
            return None
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
            # The time to connect does not count: the hold begins when discovery receives the request.
            deadline = loop.time() + request.hold_ms / 1000 + WATCH_GRACE_SECONDS
        self._log_delay(loop.time(), reused)
        self.awaiting_response = True
        host = "{}:{}".format(*self.endpoint)
        self._connection.stream.write(encode_request("GET", request.target, {"Host": host}))
        return await self._read_response(self._connection, deadline)

    def _log_delay(self, now: float, reused: bool) -> None:
        """Log a request that is written too late after the last response to continue the watch."""
        if self._responded_at is None:
            return
        delay = now - self._responded_at
        self._responded_at = None
        if delay > MAX_WATCH_GAP_SECONDS:
            self._delay_log.info(now, delay_ms=round(delay * 1000), connection_reused=reused)

    async def _read_response(self, connection: ReadAhead, deadline: float) -> bytes:
        """Read a response.

        The read is never cancelled, so that bytes that arrive just at the deadline are not lost.
        """
        loop, reader = asyncio.get_running_loop(), ResponseReader()
        received, self._trailing_bytes = self._trailing_bytes, b""
        while True:
            if not received:
                await asyncio.wait([connection.pending], timeout=max(0.0, deadline - loop.time()))
                if not connection.has_unread:
                    raise NoResponseError("no data within the time limit")
                received = await connection.read()
            if not reader.started:
                deadline = loop.time() + RESPONSE_TIMEOUT_SECONDS
            body, received = reader.feed(received), b""
            if body is not None:
                self._responded_at = loop.time()
                self._trailing_bytes = reader.trailing_bytes
                if not reader.keep_alive:
                    self.close()
                return body
            if loop.time() > deadline:
                raise TimeoutError("response not complete within the time limit")

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self._connection is not None:
            self._connection.stream.close()
            self._connection = None
            self._trailing_bytes = b""
