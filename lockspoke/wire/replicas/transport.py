"""The driver of the connections to replicas: one attempt at a time on each, kept for the next."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import structlog
from tornado.iostream import IOStream, StreamClosedError

from lockspoke.balancing.events import Outcome, ReplicaState
from lockspoke.core.replica_set import Replica
from lockspoke.core.requests import Attempt, SendPermission
from lockspoke.units import MILLISECOND
from lockspoke.wire.http.encoding import encode_request
from lockspoke.wire.http.messages import BodyChunk, HttpError, MessageEnd, ResponseHead
from lockspoke.wire.http.response_parser import ResponseParser
from lockspoke.wire.http.sse import EventStream, EventStreamError
from lockspoke.wire.tcp.dialing import Dial, dial
from lockspoke.wire.tcp.read_ahead import ReadAhead

from .keepalive import SHORTEST, KeepAlive
from .load_report import decode_load_report

OPENING = 1.0  # seconds from an answer's first byte to its first event: both come with the first token
SETTLE = 0.01  # seconds in which what a replica sends behind an answer shows, before the connection is reused
IDLE_SHARE = 0.8  # of the time after which a replica closes an idle connection: ours closes before

log = structlog.get_logger()


class ConnectError(Exception):
    """The connection never came up: the request has surely not run."""


class ConnectionLimitError(Exception):
    """Every descriptor set aside for replicas is in use by an attempt."""


@dataclass(frozen=True, slots=True)
class ReplicaResponse:
    """How a replica answered one attempt."""

    outcome: Outcome
    cached_tokens: int = 0  # of the prompt, found in the replica's cache
    load: str = ""  # its load report, as it was written
    reusable: bool = False  # whether the connection can take another request


class ReplicaConnection(ReadAhead):
    """A connection to one replica."""

    def __init__(self, replica: Replica, stream: IOStream) -> None:
        super().__init__(stream)
        self.replica = replica
        self.endpoint = replica.endpoint
        self.idle_since = 0.0
        self.stood = 0.0  # how long it had stood idle when it was taken for an attempt
        self.answering = False  # whether a byte of the present answer has come

    async def read(self) -> bytes:
        """The next bytes."""
        data = await super().read()
        self.answering = True
        return data


class ReplicaTransport:
    """Carries out attempts over TCP."""

    def __init__(
        self,
        load_names: Sequence[str],
        connect_timeout: int,
        keepalive: int,
        most: int,
        now: Callable[[], int],
        dial: Dial = dial,
    ) -> None:
        self.dial = dial
        self.reconfigure(load_names, connect_timeout, keepalive, most)
        self.now = now
        self.open_connections = 0
        self.malformed_responses = 0  # answers that could not be read
        self.limits: dict[int, float] = {}  # by replica, seconds, where it closes sooner than settings say
        self.idle: dict[int, deque[ReplicaConnection]] = {}  # by replica, the one used last at the right
        self.tasks: dict[Attempt, asyncio.Task[None]] = {}
        self.exchanges: dict[Attempt, ReplicaConnection] = {}  # the connections on which answers are awaited

    def reconfigure(self, load_names: Sequence[str], connect_timeout: int, keepalive: int, most: int) -> None:
        """New figures from now on; connections past a lower bound go as they fall idle."""
        self.load_names = load_names
        self.connect_timeout = connect_timeout / 1e9
        self.keep_alive = KeepAlive(IDLE_SHARE * keepalive / 1e9)
        self.max_connections = most

    # What the core asks for

    def start(self, attempt: Attempt) -> None:
        """Begin an attempt."""
        task = asyncio.ensure_future(self._run(attempt))
        self.tasks[attempt] = task
        task.add_done_callback(lambda _: self.tasks.pop(attempt, None))

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up: its connection closes."""
        task = self.tasks.pop(attempt, None)
        if task is not None:
            task.cancel()

    def has_unread_response(self, attempt: Attempt) -> bool:
        """Whether bytes of an answer, or its end, have come that its task has not taken yet."""
        connection = self.exchanges.get(attempt)
        return connection is not None and connection.unread

    def close_idle_connections(self, replica: Replica) -> None:
        """Close the idle connections to a replica."""
        for connection in self.idle.pop(replica.number, ()):
            self._close(connection)
        if replica.state == ReplicaState.REMOVED:
            self.limits.pop(replica.number, None)

    def run_periodic_checks(self) -> None:
        """Close what has stood idle for long: the replica would, and a request written then is lost."""
        now = asyncio.get_running_loop().time()
        kept = self.keep_alive.limit(now)
        for number, connections in list(self.idle.items()):
            oldest = now - min(kept, self.limits.get(number, kept))
            while connections and connections[0].idle_since <= oldest:
                self._close(connections.popleft())
            if not connections:
                del self.idle[number]

    # One attempt

    async def _run(self, attempt: Attempt) -> None:
        connection = None
        try:
            connection = await self._acquire(attempt.replica)
            attempt.connection_reused = connection.stood > 0.0
            while (clearance := attempt.permission_to_send()) is SendPermission.CHECK_AGAIN:
                await asyncio.sleep(0)
            if clearance is SendPermission.ENDED:
                self._release(connection)
                connection = None
                return
            self.exchanges[attempt] = connection
            answer = await self._exchange(connection, attempt)
            if answer.outcome is Outcome.OVERLOADED and not attempt.connection_reused:
                self.keep_alive.turned_away(asyncio.get_running_loop().time())
            if answer.reusable:
                self._release(connection)
                connection = None
            elif answer.outcome is Outcome.RESET and not connection.answering:
                self._was_stale(connection)
            attempt.end(
                answer.outcome, answer.cached_tokens, decode_load_report(answer.load, self.load_names)
            )
        except ConnectError:
            if connection is not None:
                self._was_stale(connection)
            else:
                self.keep_alive.turned_away(asyncio.get_running_loop().time())
            attempt.end(Outcome.CONNECT_FAILED)
        except ConnectionLimitError:
            attempt.end(Outcome.NEVER_SENT)
        except Exception:
            log.exception("attempt_failed", worker=attempt.replica.uid)
            attempt.end(Outcome.RESET)
        finally:
            self.exchanges.pop(attempt, None)
            if connection is not None:
                self._close(connection)

    async def _exchange(self, connection: ReplicaConnection, attempt: Attempt) -> ReplicaResponse:
        """Send the request and read the answer, passing its events on as they come."""
        request = attempt.request
        headers = dict(request.headers)
        headers["Req-Id"] = request.request_id
        headers["Req-Deadline-Ms"] = str(max(1, (attempt.deadline - self.now()) // MILLISECOND))
        try:
            await connection.stream.write(
                encode_request(request.method, request.target, headers, request.body)
            )
        except StreamClosedError:
            # Not all of it was written: a replica begins with the last byte, so it has not run. A fresh
            # try on a new connection is not ours to make: it would be an attempt nobody decided on.
            raise ConnectError from None
        parser, events = ResponseParser(), EventStream()
        head: ResponseHead | None = None
        outcome = Outcome.RESET
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(None) as opening:
                while True:
                    received = await connection.read()
                    if opening.when() is None and not attempt.streaming:
                        opening.reschedule(loop.time() + OPENING)
                    data, whole = b"", False
                    for piece in parser.feed(received):
                        if isinstance(piece, ResponseHead):
                            head, outcome = piece, _outcome(piece)
                        elif isinstance(piece, BodyChunk):
                            data += piece.data
                        else:
                            whole = isinstance(piece, MessageEnd)
                    if outcome is Outcome.OK:
                        # What came together goes on together: one write where there would be one an event.
                        data = events.feed(data) + (events.remainder() if whole else b"")
                        if data:
                            opening.reschedule(None)
                            waits = attempt.stream_received(data)
                            if waits is not None:
                                await asyncio.wait([waits])
                    if whole and head is not None:
                        load = events.load or head.headers.get("srv-load")
                        return ReplicaResponse(
                            outcome, events.cached_tokens, load, head.keep_alive and parser.ended_cleanly
                        )
        except (StreamClosedError, HttpError, EventStreamError, TimeoutError) as error:
            load = events.load or (head.headers.get("srv-load") if head else "")
            if outcome in (Outcome.OK, Outcome.RESET) and not isinstance(error, StreamClosedError):
                # The replica has run it and answered, if badly; its connections are not to blame.
                outcome = Outcome.ERROR
                self.malformed_responses += 1
            return ReplicaResponse(Outcome.RESET if outcome is Outcome.OK else outcome, load=load)

    # The connections

    async def _acquire(self, replica: Replica) -> ReplicaConnection:
        self.run_periodic_checks()
        connections = self.idle.get(replica.number, deque())
        settled = asyncio.get_running_loop().time() - SETTLE
        for connection in [one for one in reversed(connections) if one.idle_since <= settled]:
            connections.remove(connection)
            if not connection.unread:
                connection.stood = asyncio.get_running_loop().time() - connection.idle_since
                connection.answering = False
                return connection
            self._close(connection)
        if self.open_connections >= self.max_connections:
            self._make_room()
        if replica.endpoint is None:
            raise ConnectError
        self.open_connections += 1
        try:
            async with asyncio.timeout(self.connect_timeout):
                return ReplicaConnection(replica, await self.dial(replica.endpoint))
        except BaseException as error:
            self.open_connections -= 1
            if isinstance(error, OSError | StreamClosedError | TimeoutError):
                raise ConnectError from None
            raise

    def _was_stale(self, connection: ReplicaConnection) -> None:
        """A kept connection broke under its next request: this replica closes them sooner than it should.

        Its others are as old or older, and later ones are kept for half as long as this one stood.
        """
        replica = connection.replica
        if connection.stood <= 0.0 or replica.state == ReplicaState.REMOVED:
            return
        self.close_idle_connections(replica)
        limit = self.limits.get(replica.number, self.keep_alive.longest)
        self.limits[replica.number] = max(SHORTEST, min(limit, connection.stood / 2))

    def _make_room(self) -> None:
        """Close the connection idle for longest, whichever replica's; the descriptors are bounded."""
        queues = [queue for queue in self.idle.values() if queue]
        if not queues:
            raise ConnectionLimitError
        self._close(min(queues, key=lambda queue: queue[0].idle_since).popleft())

    def _release(self, connection: ReplicaConnection) -> None:
        replica = connection.replica
        moved = replica.state != ReplicaState.READY or replica.endpoint != connection.endpoint
        if moved or connection.pending.done() or connection.stream.closed():
            self._close(connection)
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.setdefault(replica.number, deque()).append(connection)

    def _close(self, connection: ReplicaConnection) -> None:
        self.open_connections -= 1
        connection.stream.close()

    def close(self) -> None:
        """End everything."""
        for task in list(self.tasks.values()):
            task.cancel()
        for connections in self.idle.values():
            while connections:
                self._close(connections.pop())


def _outcome(head: ResponseHead) -> Outcome:
    """What the status of an answer means, by the protocol's table."""
    if head.status == 200:
        return Outcome.OK
    if head.status in (503, 504) and head.headers.get("srv-declined") == "1":
        return Outcome.OVERLOADED
    if 400 <= head.status < 500 and head.status not in (408, 429):
        return Outcome.INVALID_REQUEST  # a client's fault is no sign of a sick replica
    return Outcome.ERROR
