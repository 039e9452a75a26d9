"""Exchanges one request and its response with a replica over an established connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tornado.iostream import StreamClosedError

from lockspoke.balancing.events import Outcome
from lockspoke.core.requests import Attempt
from lockspoke.units import MILLISECOND
from lockspoke.wire.http.encoding import encode_request_head
from lockspoke.wire.http.messages import BodyChunk, HttpError, MessageEnd, ResponseHead
from lockspoke.wire.http.response_parser import ResponseParser
from lockspoke.wire.http.sse import EventStream, EventStreamError

from .connection import ReplicaConnection
from .errors import ConnectError

# The longest silence between a response's first byte and its first event. The deadline applies, too.
SILENCE_BEFORE_FIRST_EVENT_SECONDS = 1.0
MAX_COPIED_BODY_BYTES = 32 * 1024


@dataclass(frozen=True, slots=True)
class ReplicaResponse:
    """How a replica responded to one attempt."""

    outcome: Outcome
    cached_tokens: int = 0  # The number of prompt tokens that the replica found in its cache.
    load_report: str = ""  # The load report as the replica sent it; empty if it sent none.
    # Whether the response violated HTTP or the event stream format, or went silent before its first event.
    malformed: bool = False


class Exchange:
    """Sends one attempt's request and reads the response, forwarding its events as they arrive."""

    __slots__ = ("_attempt", "_complete", "_connection", "_event_stream", "_head", "_outcome", "_parser")

    def __init__(self, connection: ReplicaConnection, attempt: Attempt) -> None:
        self._connection = connection
        self._attempt = attempt
        self._parser = ResponseParser()
        self._event_stream = EventStream()
        self._head: ResponseHead | None = None
        self._outcome = Outcome.RESET
        self._complete = False  # Whether the response has been read to its end.

    async def run(self, now: int) -> ReplicaResponse:
        """Send the request, then read the response to its end.

        Args:
            now: nanoseconds since the Unix epoch, from which the replica's deadline is computed.

        Raises:
            ConnectError: the connection broke before the complete request was written, or bytes had arrived
                on it before the first byte of the request was.
        """
        await self._send_request(now)
        try:
            async with asyncio.timeout(None) as silence_timeout:
                return await self._read_response(silence_timeout)
        except (StreamClosedError, HttpError, EventStreamError, TimeoutError) as error:
            return self._result_of_error(error)

    async def _send_request(self, now: int) -> None:
        if self._connection.has_unread:
            # What arrives before the request is no response to it, even if it looks like one.
            raise ConnectError
        request = self._attempt.request
        headers = {
            "Req-Id": request.request_id,
            "Req-Deadline-Ms": str(max(1, (self._attempt.deadline - now) // MILLISECOND)),
            "Connection": "close",
            "Content-Length": str(len(request.body)),
        }
        head = encode_request_head(request.method, request.target, request.forwarded_fields, headers)
        try:
            await self._write(head, request.body)
        except StreamClosedError:
            # A replica starts a request when it has its last byte, so this one has not run. It is not sent
            # again here: every attempt is the balancer's decision.
            raise ConnectError from None

    async def _write(self, head: bytes, body: bytes) -> None:
        stream = self._connection.stream
        if len(body) <= MAX_COPIED_BODY_BYTES:
            await stream.write(head + body)
            return
        # The stream refers to a large body that is written on its own, instead of copying it.
        await asyncio.gather(stream.write(head), stream.write(body))

    async def _read_response(self, silence_timeout: asyncio.Timeout) -> ReplicaResponse:
        while True:
            # No variable refers to the bytes, which would stay in memory until the next ones arrive.
            backpressure = self._receive(await self._connection.read(), silence_timeout)
            if backpressure is not None:
                await asyncio.wait([backpressure])
            if self._complete:
                return ReplicaResponse(self._outcome, self._event_stream.cached_tokens, self._load_report())

    def _receive(self, received: bytes, silence_timeout: asyncio.Timeout) -> asyncio.Future[None] | None:
        """Forward the events that received bytes complete.

        Returns:
            A future that is done when a slow client has caught up, or None if there is no need to wait.
        """
        if not self._attempt.streaming:
            now = asyncio.get_running_loop().time()
            silence_timeout.reschedule(now + SILENCE_BEFORE_FIRST_EVENT_SECONDS)
        body, message_ended = self._parse(received)
        self._complete = message_ended and self._head is not None
        if self._outcome is not Outcome.OK:
            return None
        # Events that arrive together are forwarded together, in a single write to the client.
        stream = self._event_stream
        data = stream.feed(body) + (stream.remainder() if message_ended else b"")
        if not data:
            return None
        silence_timeout.reschedule(None)
        return self._attempt.stream_received(data)

    def _parse(self, received: bytes) -> tuple[bytes, bool]:
        """Parse received bytes; return the body bytes in them, and whether they end the response."""
        body, complete = b"", False
        for part in self._parser.feed(received):
            if isinstance(part, ResponseHead):
                self._head, self._outcome = part, outcome_of_response(part)
            elif isinstance(part, BodyChunk):
                body += part.data
            else:
                complete = isinstance(part, MessageEnd)
        return body, complete

    def _result_of_error(self, error: Exception) -> ReplicaResponse:
        """Return the result of a response that ended with an error."""
        outcome, malformed = self._outcome, False
        if outcome in (Outcome.OK, Outcome.RESET) and not isinstance(error, StreamClosedError):
            # The replica ran the request and responded incorrectly; the connection itself did not fail.
            outcome, malformed = Outcome.ERROR, True
        elif outcome is Outcome.OK:
            outcome = Outcome.RESET
        return ReplicaResponse(outcome, load_report=self._load_report(), malformed=malformed)

    def _load_report(self) -> str:
        """Return the last load report: from the stream's comments, else from the header fields."""
        return self._event_stream.latest_load_report or (
            self._head.headers.get("srv-load") if self._head is not None else ""
        )


def outcome_of_response(head: ResponseHead) -> Outcome:
    """Return an attempt's outcome by its response's status, as defined by the replicas' protocol."""
    if head.status == 200:
        return Outcome.OK
    if head.status in (503, 504) and head.headers.get("srv-declined") == "1":
        return Outcome.OVERLOADED
    if 400 <= head.status < 500 and head.status not in (408, 429):
        return Outcome.INVALID_REQUEST  # a client error says nothing about the replica's health
    return Outcome.ERROR
