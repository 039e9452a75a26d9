"""The platform's front: its protocol on client connections, kept thin."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType

from tornado.iostream import IOStream, StreamClosedError

from lockspoke.core.core import Core
from lockspoke.core.identifiers import key_identifier
from lockspoke.core.requests import ClientRequest
from lockspoke.units import MILLISECOND, SECOND
from lockspoke.wire.http.encoding import encode_chunk, encode_head, encode_response
from lockspoke.wire.http.messages import Headers, HttpError, Request
from lockspoke.wire.http.request_assembler import RequestAssembler
from lockspoke.wire.tcp.closing import is_quiet
from lockspoke.wire.tcp.listener import READ_SIZE, Listener, OutgoingBuffer, close_if_quiet

from .request_fields import decode_request_fields

CALLS_PATH = "/v1/chat/completions"
READY_PATH = "/up"
HOST = "origin.svc"  # told to replicas where an HTTP/1.0 client named none
METHODS = {CALLS_PATH: "POST", READY_PATH: "GET"}
WAITING = 4  # requests that one connection may have sent ahead; clients send one at a time
IDLE = 30.0  # seconds a connection is kept between requests
CROWDED_IDLE = 2.0  # the same, once more than CROWDED of the places are taken
CROWDED = 0.5
FIRST = 2.25  # seconds a new connection may stand without a byte: it holds a place that others need
HALF = 2.25  # seconds a request may take to arrive
LINGER_SECONDS = (
    1.0  # seconds that a connection stays open once its last answer is sent: clients close before
)
LINGER_BYTES = 256 * 1024  # of bad input that are still read: what follows is not worth the CPU
STALL = 20.0  # seconds a client may take nothing of its answer
BUSY_RETRY = SECOND  # advice with the overload reply to what would go past the bound on held bytes
NOT_PASSED = {"connection", "content-length", "transfer-encoding", "expect", "keep-alive", "te", "trailer"}
NOT_PASSED |= {"upgrade", "req-id", "req-deadline-ms", "proxy-connection"}
MOVED_RETRY = 50 * MILLISECOND  # advice to a client that a new connection leads elsewhere
STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}


class AdmissionMode(Enum):
    """What the front does with a request that comes now."""

    ACCEPT = "open"  # taken; its connection is kept for the next
    ACCEPT_AND_CLOSE = "last"  # taken; its connection ends with the answer
    REJECT = "closed"  # told to go elsewhere: it could not be answered whole


class ClientFront:
    """Client connections of the platform's port."""

    def __init__(
        self,
        core: Core,
        classes: Mapping[str, int],
        most: int,
        most_bytes: int,
        ready: Callable[[], bool],
        tenants: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        self.core = core
        self.ready = ready
        self.admission_mode = AdmissionMode.ACCEPT
        self.buffered_bytes = 0
        self.open_ids: set[str] = set()  # of requests that are owed an answer
        self.listener = Listener(lambda stream: ClientConnection(self, stream), most)
        self.reconfigure(classes, most, most_bytes, tenants)

    def reconfigure(
        self,
        classes: Mapping[str, int],
        most: int,
        most_bytes: int,
        tenants: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        """Classes and tenants, and the bounds on connections and on the bytes of requests, from now on."""
        self.classes = classes
        self.tenants = tenants
        self.listener.max_connections = most
        self.max_buffered_bytes = most_bytes

    def run_periodic_checks(self) -> None:
        """Close connections that stand idle, stalled, or amid a request for too long."""
        now = asyncio.get_running_loop().time()
        crowded = len(self.listener.connections) > CROWDED * self.listener.max_connections
        self.listener.close_idle(CROWDED_IDLE if crowded else IDLE)
        self.listener.enforce_limit()
        for connection in list(self.listener.connections):
            assert isinstance(connection, ClientConnection)
            connection.check_timeouts(now)


@dataclass(frozen=True, slots=True)
class Received:
    """A request that has been read whole."""

    request: Request
    arrived: int  # when its last byte came at the earliest


class ConnectionPhase(Enum):
    """What a client's connection is good for."""

    SERVING = "serving"  # what comes is read and answered
    LAST = "last"  # what comes is dropped, since where a message begins is not known; answers owed go out
    ENDING = "ending"  # the last answer is written: what comes is dropped until the client closes


class ClientConnection:
    """One client: its requests are answered in order, one at a time."""

    def __init__(self, front: ClientFront, stream: IOStream) -> None:
        self.front = front
        self.stream = stream
        self.outgoing = OutgoingBuffer(stream)
        self.ended = asyncio.Event()
        self.opened_at = self.active_at = asyncio.get_running_loop().time()
        self.gatherer = RequestAssembler()
        self.held = 0  # bytes of requests, read or half read
        self.waiting: deque[Received | HttpError] = deque()
        self.open_request: ClientRequest | None = None
        self.has_received = False  # whether a byte has ever come
        self.phase = ConnectionPhase.SERVING
        self.closes_after_response = (
            False  # the address that it came by has gone elsewhere: it ends after this answer
        )
        self.lease_is_valid: Callable[[], bool] | None = (
            None  # whether what comes by that address still counts
        )

    @property
    def idle(self) -> bool:
        """Between two requests."""
        return (
            self.open_request is None and not self.waiting and self.gatherer.idle and not self.outgoing.unsent
        )

    async def run(self) -> None:
        """Read until the client closes; the read that is always pending notices that at once."""
        dropped = 0
        try:
            while True:
                data = await self.stream.read_bytes(READ_SIZE, partial=True)
                if self.phase is ConnectionPhase.SERVING:
                    self._receive(data)
                    continue
                dropped += len(data)
                if self.phase is ConnectionPhase.ENDING and dropped > LINGER_BYTES:
                    # Left unread, the rest blocks a client that sends on and on; the sweep closes soon.
                    await self.ended.wait()
        except StreamClosedError:
            pass
        finally:
            released = self._let_go()
            self._hold(0)  # without the request: its bytes are given back too, or the bound fills by and by
            if released is not None:
                self.front.core.client_disconnected(released)

    def check_timeouts(self, now: float) -> None:
        """Guards against clients that take or send nothing for ever."""
        sent_at = self.outgoing.ended_at  # until then a slow client still takes its answer
        if self.outgoing.stalled(now, STALL) or (sent_at is not None and now - sent_at > LINGER_SECONDS):
            self.stream.close()
            self.ended.set()
        elif not self.has_received and now - self.opened_at > FIRST:
            close_if_quiet(self)
        elif (
            self.open_request is None
            and self.phase is ConnectionPhase.SERVING
            and not self.gatherer.idle
            and now - self.active_at > HALF
        ):
            self._refuse_input(HttpError(408, "request took too long"))

    def _receive(self, data: bytes) -> None:
        self.has_received = True
        self.active_at = self.active_at if not self.gatherer.idle else asyncio.get_running_loop().time()
        try:
            arrived = self.front.core.clock.earliest_arrival()
            self.waiting.extend(Received(request, arrived) for request in self.gatherer.feed(data))
            if self.gatherer.take_expect_continue():
                self.outgoing.write(encode_head(100, {}))
        except HttpError as error:
            self._read_no_more(error)
        if len(self.waiting) > WAITING and self.phase is ConnectionPhase.SERVING:
            # What came first is still answered: to close now would lose a request that was taken.
            while len(self.waiting) > WAITING:
                self.waiting.pop()
            self._read_no_more(HttpError(503, "too many requests sent ahead"))
        self._hold(self.gatherer.body_size + self._waiting_bytes())
        if self.front.buffered_bytes > self.front.max_buffered_bytes and self.open_request is None:
            # Guards the memory limit: many large requests at once are turned away, not buffered.
            self._refuse_input(HttpError(503, "too many bytes held"))
        elif self.open_request is None:
            self._next()

    def _read_no_more(self, error: HttpError) -> None:
        """This is the last answer here, after those that are owed already; the rest goes unread."""
        self.waiting.append(error)
        self.phase = ConnectionPhase.LAST
        self.gatherer = RequestAssembler()

    def _waiting_bytes(self) -> int:
        return sum(len(one.request.body) for one in self.waiting if isinstance(one, Received))

    def _let_go(self) -> ClientRequest | None:
        """The request is answered, or its client gone."""
        released, self.open_request = self.open_request, None
        if released is not None:
            self.front.open_ids.discard(released.request_id)
        return released

    def _hold(self, size: int) -> None:
        size += len(self.open_request.body) if self.open_request is not None else 0
        self.front.buffered_bytes += size - self.held
        self.held = size

    def _next(self) -> None:
        """Answer what waits, up to the first that goes to a replica."""
        while self.waiting and self.open_request is None and self.phase is not ConnectionPhase.ENDING:
            received = self.waiting.popleft()
            if isinstance(received, HttpError):
                self._refuse_input(received)
                return
            try:
                self._answer(received)
            except HttpError as error:
                self.whole(received.request, error.status, str(error))

    def _answer(self, received: Received) -> None:
        request = received.request
        head = request.head
        method = METHODS.get(head.path)
        if method is None:
            raise HttpError(404, "no such path")
        if head.method != method:
            self.whole(request, 405, "wrong method", {"Allow": method})
        elif method == "GET":
            self.whole(request, *((200, "ready") if self.front.ready() else (503, "not ready")))
        else:
            self._submit(request, received.arrived)

    def _submit(self, request: Request, arrived: int) -> None:
        head = request.head
        if self.lease_is_valid is not None and not self.lease_is_valid():
            # Read after a pause that outlasted the lease: another instance has the address by now.
            self.closes_after_response = True
            self.whole(request, 503, "the address has moved", {"Retry-After": _seconds(MOVED_RETRY)})
            return
        if self.front.admission_mode is AdmissionMode.REJECT:
            self.whole(request, 503, "stopping", {"Retry-After": _seconds(MOVED_RETRY)})
            return
        fields = decode_request_fields(head.headers)
        if fields.kind not in self.front.classes:
            raise HttpError(400, "unknown Req-Kind")
        if fields.request_id in self.front.open_ids:
            # Sent on, a replica would take it for a second copy of another client's request.
            raise HttpError(409, "Req-Id is in use")
        submitted = ClientRequest(
            response=StreamingResponse(self, request),
            request_class=self.front.classes[fields.kind],
            time_remaining=fields.deadline_ms * MILLISECOND,
            request_id=fields.request_id,
            method=head.method,
            target=head.target,
            headers=_passed_on(head.headers),
            body=request.body,
            # The wire knows no owner outside the settings: one that they do not name counts as the first.
            tenant=self.front.tenants.get(fields.tenant, 0),
            session=key_identifier(fields.key),
            prefix=key_identifier(fields.prefix),
            prompt_tokens=fields.prompt_len,
            prefix_tokens=fields.prefix_len,
            max_tokens=fields.max_out,
            client_retry=fields.retry,
            arrived_at=arrived,
        )
        self.open_request = submitted
        self.front.open_ids.add(submitted.request_id)
        self.front.core.submit(submitted)

    def body_sent(self) -> None:
        """The core needs the request's body no more."""
        self._hold(self.gatherer.body_size + self._waiting_bytes())

    def whole(
        self, request: Request, status: int, text: str, headers: Mapping[str, str] | None = None
    ) -> None:
        """Give a whole answer in one piece."""
        keep = self.keeps(request)
        body = f"{text}\n".encode()
        self.outgoing.write(encode_response(status, body, _plain(headers), keep, request.head.method))
        self.answered(keep)

    def _refuse_input(self, error: HttpError) -> None:
        """Where a message ends is not known any more, so the connection ends with the answer."""
        headers = {"Retry-After": _seconds(BUSY_RETRY)} if error.status == 503 else None
        self.outgoing.write(encode_response(error.status, f"{error}\n".encode(), _plain(headers), False))
        self.active_at = asyncio.get_running_loop().time()
        self._end()

    def _end(self) -> None:
        """The last answer is written. A request that has crossed it is not run: its client sends it again."""
        self.phase = ConnectionPhase.ENDING
        self.waiting.clear()
        self.outgoing.finish()

    def keeps(self, request: Request) -> bool:
        """Whether the connection goes on after the answer: it ends once all that was read is answered."""
        ends = self.front.admission_mode is not AdmissionMode.ACCEPT or self.closes_after_response
        return request.head.keep_alive and not (ends and not self.waiting)

    def answered(self, keep: bool) -> None:
        """The answer is written: on to the next request, or close."""
        self._let_go()
        self.active_at = asyncio.get_running_loop().time()
        if keep:
            self._hold(self.gatherer.body_size + self._waiting_bytes())
            self._next()
        else:
            self._end()


class StreamingResponse:
    """The sink of a request that came over a client connection."""

    def __init__(self, connection: ClientConnection, request: Request) -> None:
        self.connection = connection
        self.request = request
        self.chunked = request.head.minor_version > 0  # HTTP/1.0 knows no chunks: there the close ends it
        self.begun = False
        self.keep = False

    @property
    def has_unread_input(self) -> bool:
        """Whether the client has sent what is not read yet, such as its close."""
        return not is_quiet(self.connection.stream)

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        """Pass a piece on at once, head and all."""
        piece = encode_chunk(data) if self.chunked else data
        if not self.begun:
            self.begun = True
            piece = self._head() + piece
            self.connection.body_sent()
        return self.connection.outgoing.write(piece)

    def _head(self) -> bytes:
        self.keep = self.connection.keeps(self.request) and self.chunked
        headers = dict(STREAM_HEADERS)
        if self.chunked:
            headers["Transfer-Encoding"] = "chunked"
        if not self.keep:
            headers["Connection"] = "close"
        return encode_head(200, headers)

    def finish(self) -> None:
        """The stream is whole: the last chunk says so."""
        piece = encode_chunk(b"") if self.chunked else b""
        self.connection.outgoing.write(piece if self.begun else self._head() + piece)
        self.connection.answered(self.keep)

    def abort(self) -> None:
        """No last chunk: the client sees that something is missing."""
        self.connection.answered(False)

    def reject(self, retry_after: int) -> None:
        """An overload reply."""
        headers = {"Retry-After": _seconds(retry_after)} if retry_after else None
        self.connection.whole(self.request, 503, "overloaded", headers)

    def fail(self) -> None:
        """Failed."""
        self.connection.whole(self.request, 502, "failed")


def _passed_on(headers: Headers) -> dict[str, str]:
    """What a replica is told: not what concerns this connection alone."""
    named = {word.strip().lower() for value in headers.all("connection") for word in value.split(",")}
    passed = {name: value for name, value in headers.fields if name not in NOT_PASSED | named}
    return {"host": HOST, **passed}


def _plain(headers: Mapping[str, str] | None) -> dict[str, str]:
    return {"Content-Type": "text/plain; charset=utf-8", **(headers or {})}


def _seconds(nanoseconds: int) -> str:
    return f"{nanoseconds / SECOND:.3f}"
