"""The connection of one client: reads its requests and answers them in order, one at a time."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Protocol

import structlog
from tornado.iostream import IOStream, StreamClosedError

from lockspoke.core.core import Core
from lockspoke.core.requests import ClientRequest
from lockspoke.units import MILLISECOND, SECOND
from lockspoke.wire.http.encoding import encode_head
from lockspoke.wire.http.messages import HttpError, RequestHead
from lockspoke.wire.http.request_assembler import RequestAssembler
from lockspoke.wire.tcp.accepted_connection import close, close_if_no_input
from lockspoke.wire.tcp.arrival import seconds_since_last_data
from lockspoke.wire.tcp.close_reason import CloseReason
from lockspoke.wire.tcp.fair_reader import FairReader
from lockspoke.wire.tcp.outgoing import OutgoingBudget, OutgoingBuffer

from .admission import AdmissionMode
from .body_check import LengthError, check_body
from .forwarding import ReceivedRequest, client_request
from .rejection_log import RejectionLog
from .request_fields import RequestFields, decode_request_fields
from .responses import StreamingResponse, encode_text_response, retry_after_header

COMPLETIONS_PATH = "/v1/chat/completions"
READINESS_PATH = "/up"
METHODS = {COMPLETIONS_PATH: "POST", READINESS_PATH: "GET"}  # The allowed method of each path.
# At most this many requests may wait on a connection; the platform's clients send one at a time.
MAX_PIPELINED_REQUESTS = 4
FIRST_BYTE_TIMEOUT_SECONDS = 2.25  # A new connection is closed if no byte arrives within this time.
REQUEST_TIMEOUT_SECONDS = 2.25  # This is the limit from the first byte of a request to its last.
# The arrival time is queried from the kernel only if data may have waited there for at least this long.
MIN_KERNEL_WAIT_SECONDS = 0.02
OPEN_REQUEST_OVERHEAD_BYTES = 4 * 1024  # What an open request takes beside its bytes, at least.
LINGER_SECONDS = 1.0  # After its last response the client has this long to close the connection.
LINGER_MAX_BYTES = 256 * 1024  # After the last response, reading stops when more than this was discarded.
STALL_TIMEOUT_SECONDS = 20.0  # A client that accepts no byte of its response for this long is disconnected.
# The values for Retry-After are in nanoseconds.
OVERLOAD_RETRY_AFTER = SECOND  # The advice when too many bytes are buffered.
RECONNECT_RETRY_AFTER = 50 * MILLISECOND  # The advice when a new connection leads to another instance.


log = structlog.get_logger()


class ConnectionPhase(Enum):
    """How a client connection treats its input, from normal service to the close."""

    SERVING = "serving"  # Input is parsed, and requests are answered.
    LAST_RESPONSES = "last responses"  # Input is discarded; requests read earlier are still answered.
    CLOSING = "closing"  # The last response is written; input is discarded until the client closes.


class ConnectionOwner(Protocol):
    """The client front that a connection belongs to, with the state that all its connections share."""

    core: Core
    admission_mode: AdmissionMode
    classes: Mapping[str, int]  # The index of each request class by its name.
    tenants: Mapping[str, int]  # The index of each tenant by its name.
    buffered_bytes: int  # The bytes of requests, complete or not, on all connections.
    max_buffered_bytes: int
    outgoing_budget: OutgoingBudget
    gateway_responses: Counter[int]  # Responses created by the gateway, by status.
    rejection_log: RejectionLog
    is_ready: Callable[[], bool]

    @property
    def read_size(self) -> int:
        """How many bytes a connection reads at a time."""

    def make_room(self, now: float) -> None:
        """Reject requests of slow clients while all requests take too much memory."""


class ClientConnection:
    """Reads the requests of one client connection and writes their responses."""

    def __init__(self, front: ConnectionOwner, stream: IOStream) -> None:
        self.front = front
        self.stream = stream
        self.outgoing = OutgoingBuffer(stream, front.outgoing_budget)
        self.reader = FairReader(stream)
        self.closed_by_timeout = asyncio.Event()
        self.opened_at = self.active_at = self.queued_since = asyncio.get_running_loop().time()
        self.assembler = RequestAssembler()
        self.buffered_bytes = 0  # The bytes of requests, complete or not.
        self.pipelined: deque[ReceivedRequest | HttpError] = deque()  # Waiting to be answered, in this order.
        self.open_request: ClientRequest | None = None  # Submitted to the core and not answered yet.
        self.has_received = False  # Whether any byte has arrived.
        self._has_received_request = False  # Whether any request has been read completely.
        self.close_reason: CloseReason | None = None
        self.phase = ConnectionPhase.SERVING
        # This is set when the service address of the connection moves to another instance.
        self.closes_after_response = False
        # For a connection over the service address, this returns whether the instance still holds the lease.
        self.lease_is_valid: Callable[[], bool] | None = None

    @property
    def idle(self) -> bool:
        """Whether the connection is between two requests."""
        return (
            self.open_request is None
            and not self.reader.has_unread
            and not self.pipelined
            and self.assembler.idle
            and not self.outgoing.unsent
        )

    async def run(self) -> None:
        """Read and answer requests until the client closes.

        A read is always pending, so a close by the client is noticed at once.
        """
        try:
            await self._read()
        except StreamClosedError:
            pass
        finally:
            abandoned = self._release_request()
            # This must follow the release, or the open request would still count.
            self._set_buffered_bytes(0)
            if abandoned is not None:
                if self.close_reason is not None:
                    log.error(
                        "request_dropped", request_id=abandoned.request_id, reason=self.close_reason.value
                    )
                self.front.core.client_disconnected(abandoned)

    async def _read(self) -> None:
        discarded = 0
        while True:
            self.reader.set_size(self.front.read_size)
            # No variable refers to the bytes, which would stay in memory until the next ones arrive.
            discarded += self._process(await self.reader.read())
            if self.open_request is None:
                # A client that reads no response gets no further request answered.
                await self.outgoing.drain()
            if self.phase is ConnectionPhase.CLOSING and discarded > LINGER_MAX_BYTES:
                # A client that keeps sending is blocked once its input is not read. The linger timeout then
                # closes the connection.
                await self.closed_by_timeout.wait()

    def _process(self, data: bytes) -> int:
        """Handle bytes that have been read; return how many of them were discarded."""
        if self.phase is not ConnectionPhase.SERVING:
            return len(data)
        self._receive(data)
        return 0

    def check_timeouts(self, now: float) -> None:
        """Close the connection if its client has sent or accepted nothing for too long.

        Args:
            now: The time in seconds of the event loop's clock.
        """
        # This is None until the response has been sent, so the linger timeout does not limit reading it.
        flushed_at = self.outgoing.ended_at
        lingered = flushed_at is not None and now - flushed_at > LINGER_SECONDS
        if lingered or self.outgoing.stalled(now, STALL_TIMEOUT_SECONDS):
            close(self, CloseReason.RESPONDED if lingered else CloseReason.STALLED)
            self.closed_by_timeout.set()
        elif not self.has_received and now - self.opened_at > FIRST_BYTE_TIMEOUT_SECONDS:
            close_if_no_input(self, CloseReason.NO_REQUEST)
        elif self.is_receiving_request and now - self.active_at > REQUEST_TIMEOUT_SECONDS:
            self._reject_and_close(HttpError(408, "request took too long"))

    @property
    def is_receiving_request(self) -> bool:
        """Whether the connection waits for the rest of an incomplete request."""
        return self.open_request is None and self.phase is ConnectionPhase.SERVING and not self.assembler.idle

    def _receive(self, data: bytes) -> None:
        """Parse input and answer the requests that it completes."""
        if self.assembler.idle:
            self.active_at = asyncio.get_running_loop().time()
        self._parse(data)
        self.has_received = True
        self._limit_pipelining()
        self._update_buffered_bytes()
        if self.open_request is not None:
            return
        if self.pipelined:
            self.front.make_room(asyncio.get_running_loop().time())
        if self.front.buffered_bytes > self.front.max_buffered_bytes:
            # Enforces the memory limit: of many large requests at once, some are rejected, not buffered.
            self.reject_for_memory()
        else:
            self._answer_pipelined()
            self._update_buffered_bytes()

    def reject_for_memory(self) -> None:
        """Reject the request that is being received, since all requests together take too much memory."""
        self._reject_and_close(HttpError(503, "too many bytes held"))
        self._set_buffered_bytes(0)
        self.assembler = RequestAssembler()

    def _parse(self, data: bytes) -> None:
        try:
            arrived_at = self._earliest_arrival()
            requests = self.assembler.feed(data)
            self.pipelined.extend(ReceivedRequest(request, arrived_at) for request in requests)
            self._has_received_request = self._has_received_request or bool(requests)
            if self.assembler.error is not None:
                self._stop_parsing(self.assembler.error)
            elif self.assembler.take_expect_continue():
                self.outgoing.write(encode_head(100, {}))
        except HttpError as error:
            self._stop_parsing(error)

    def _earliest_arrival(self) -> int:
        """Return the earliest time at which the bytes just read can have arrived, by the core's clock.

        The first request may have waited in the kernel along with its connection. A request that takes
        several reads may have arrived completely before the first read.
        """
        clock = self.front.core.clock
        arrived_at = clock.earliest_arrival()
        waiting_since = self.active_at if self._has_received_request else self.queued_since
        possible_wait = asyncio.get_running_loop().time() - waiting_since
        if possible_wait < MIN_KERNEL_WAIT_SECONDS:
            return arrived_at
        waited = min(possible_wait, seconds_since_last_data(self.stream.socket))
        return min(arrived_at, clock.now() - int(waited * SECOND))

    def _limit_pipelining(self) -> None:
        if len(self.pipelined) <= MAX_PIPELINED_REQUESTS or self.phase is not ConnectionPhase.SERVING:
            return
        # The requests within the limit are still answered: closing now would drop an accepted request.
        while len(self.pipelined) > MAX_PIPELINED_REQUESTS:
            self.pipelined.pop()
        self._stop_parsing(HttpError(503, "too many requests sent ahead"))

    def _stop_parsing(self, error: HttpError) -> None:
        """Discard further input, and send the error as the last response, after those to earlier requests."""
        # Its traceback would keep the frames of the parser and their bytes until the next garbage collection.
        self.pipelined.append(error.with_traceback(None))
        self.phase = ConnectionPhase.LAST_RESPONSES
        self.assembler = RequestAssembler()

    def _update_buffered_bytes(self) -> None:
        waiting = sum(one.request.size for one in self.pipelined if isinstance(one, ReceivedRequest))
        self._set_buffered_bytes(self.assembler.size + waiting)

    def _set_buffered_bytes(self, size: int) -> None:
        """Set the number of buffered bytes; `size` excludes the open request, which is added here."""
        if self.open_request is not None:
            size += self.open_request.size + OPEN_REQUEST_OVERHEAD_BYTES
        self.front.buffered_bytes += size - self.buffered_bytes
        self.buffered_bytes = size

    def _release_request(self) -> ClientRequest | None:
        """Clear and return the open request, which has been answered or whose client has disconnected."""
        released, self.open_request = self.open_request, None
        return released

    def _answer_pipelined(self) -> None:
        """Answer waiting requests until one of them is submitted to the core."""
        while self.pipelined and self.open_request is None and self.phase is not ConnectionPhase.CLOSING:
            received = self.pipelined.popleft()
            if isinstance(received, HttpError):
                self._reject_and_close(received)
                return
            try:
                self._answer(received)
            except LengthError as error:
                self._reject_and_close(error, received.request.head)
            except HttpError as error:
                self.front.rejection_log.rejected(error.status, str(error), received.request.head)
                self.send_response(received.request.head, error.status, str(error))

    def _answer(self, received: ReceivedRequest) -> None:
        head = received.request.head
        allowed = METHODS.get(head.path)
        if allowed is None:
            raise HttpError(404, "no such path")
        if head.method != allowed:
            self.front.rejection_log.rejected(405, "wrong method", head)
            self.send_response(head, 405, "wrong method", {"Allow": allowed})
        elif head.path == COMPLETIONS_PATH:
            self._submit_or_reject(received)
        elif self.front.is_ready():
            self.send_response(head, 200, "ready")
        else:
            self.send_response(head, 503, "not ready")

    def _submit_or_reject(self, received: ReceivedRequest) -> None:
        if self.lease_is_valid is not None and not self.lease_is_valid():
            # The lease ended, for example while the process was suspended; another instance may hold it now.
            self.closes_after_response = True
            self._reject_for_reconnect(received.request.head, "the address has moved")
        elif self.front.admission_mode is AdmissionMode.REJECT:
            self._reject_for_reconnect(received.request.head, "stopping")
        else:
            self._submit(received, decode_request_fields(received.request.head.headers))

    def _reject_for_reconnect(self, head: RequestHead, reason: str) -> None:
        self.front.rejection_log.rejected(503, reason, head)
        self.send_response(head, 503, reason, retry_after_header(RECONNECT_RETRY_AFTER))

    def _submit(self, received: ReceivedRequest, fields: RequestFields) -> None:
        check_body(received.request)
        request_class = self.front.classes.get(fields.kind)
        if request_class is None:
            raise HttpError(400, "unknown Req-Kind")
        if self.front.core.request_id_is_taken(fields.request_id):
            # A replica would mistake the request for a hedged copy of another client's request.
            raise HttpError(409, "Req-Id is in use")
        response = StreamingResponse(self, received.request.head)
        request = client_request(received, fields, response, request_class, self.front.tenants)
        self.open_request = request
        self.front.core.submit(request)

    def request_released(self) -> None:
        """Stop counting the open request, whose content the core has released."""
        self._update_buffered_bytes()

    def send_response(
        self, head: RequestHead, status: int, text: str, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a complete response, then answer the next request or close the connection."""
        keep_alive = self.stays_open_after(head)
        self.front.gateway_responses[status] += 1
        self.outgoing.write(
            encode_text_response(status, text, keep_alive, headers=headers, method=head.method)
        )
        self.response_finished(keep_alive)

    def _reject_and_close(self, error: HttpError, head: RequestHead | None = None) -> None:
        """Send an error as the last response, because the start of the next message is unknown.

        Args:
            error: Its status and text are sent.
            head: The head of the rejected request; None for the request that is still being received.
        """
        headers = retry_after_header(OVERLOAD_RETRY_AFTER) if error.status == 503 else None
        self.front.gateway_responses[error.status] += 1
        self.front.rejection_log.rejected(error.status, str(error), head or self.assembler.head)
        self.outgoing.write(encode_text_response(error.status, str(error), keep_alive=False, headers=headers))
        self.active_at = asyncio.get_running_loop().time()
        self._close_gracefully()

    def _close_gracefully(self) -> None:
        """Shut down sending after the last response, and discard further input.

        A request that arrives after that response is not run; its client sends it again.
        """
        self.phase = ConnectionPhase.CLOSING
        self.pipelined.clear()
        self.outgoing.finish()

    def stays_open_after(self, head: RequestHead) -> bool:
        """Return whether the connection stays open after a response.

        A connection that is due to be closed stays open until all requests already read are answered.
        """
        closing = self.closes_after_response or self.front.admission_mode is not AdmissionMode.ACCEPT
        return head.keep_alive and not (closing and not self.pipelined)

    def response_finished(self, keep_alive: bool) -> None:
        """After a response has been written, answer the next request or close the connection."""
        self._release_request()
        self.active_at = asyncio.get_running_loop().time()
        if keep_alive:
            self._update_buffered_bytes()
            self._answer_pipelined()
        else:
            self._close_gracefully()
