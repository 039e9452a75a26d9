"""Stand-in replicas that stream, reset connections, hang, decline and restart, and record each attempt."""

from __future__ import annotations

import asyncio
import random
import time
from enum import Enum

from lockspoke.wire.http.messages import MessageEnd, Request, RequestHead
from lockspoke.wire.http.request_parser import RequestParser
from tests.standins import STREAM_HEAD, STREAM_TAIL, Server, chunk

from .cuts import Writer, draw_writer
from .events import encode_event
from .observations import Observations, ObservedAttempt
from .repeats import ResponseRepeater

EVENT_INTERVAL = 0.02  # seconds between two events of a stream
READ_SIZE = 65536
HANG_TIME = 6.0  # seconds for which a hanging stream is silent before its connection is reset
MAX_REQUEST_SIZE = 256 * 1024


class Behaviour(Enum):
    """How a replica answers one request."""

    SERVE = "serve"
    DECLINE = "decline"  # rejected before processing
    ERROR = "error"
    RESET = "reset"  # the connection is reset before or during the stream
    HANG = "hang"  # silence before or during the stream


BEHAVIOUR_WEIGHTS = {
    Behaviour.SERVE: 0.92,
    Behaviour.DECLINE: 0.03,
    Behaviour.ERROR: 0.02,
    Behaviour.RESET: 0.02,
    Behaviour.HANG: 0.01,
}


class SoakReplica(Server):
    """One replica; each restart begins a new incarnation."""

    def __init__(
        self,
        index: int,
        seed: int,
        observations: Observations,
        cut_rng: random.Random | None = None,
        repeat_rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self.index = index
        self.incarnation = 0
        self.boot_ms = 0
        self._rng = random.Random(f"{seed}:replica {index}")
        self._observations = observations
        self._cut_rng = cut_rng  # None: answers are never cut
        # None: responses are never repeated
        self._repeater = ResponseRepeater(repeat_rng) if repeat_rng is not None else None

    def restart(self) -> None:
        """Begin a new incarnation at the same address; connections of the old one are reset."""
        self.incarnation += 1
        self.boot_ms = int(time.time() * 1000)
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers = [writer for writer in self.writers if not writer.is_closing()]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        parser = RequestParser(MAX_REQUEST_SIZE)
        incarnation = self.incarnation
        try:
            while data := await reader.read(READ_SIZE):
                for piece in parser.feed(data):
                    if isinstance(piece, RequestHead):
                        attempt = self._record(piece, incarnation, writer)
                    elif isinstance(piece, MessageEnd):
                        attempt.complete = True
                        await self._answer(attempt, draw_writer(self._cut_rng, writer))
                        if attempt.finished and self._repeater is not None:
                            self._repeater.response_ended(writer, _complete_response(attempt.request_id))
        except (ConnectionError, asyncio.CancelledError):
            pass  # the connection or the run has ended
        finally:
            writer.transport.abort()

    def _record(self, head: RequestHead, incarnation: int, writer: asyncio.StreamWriter) -> ObservedAttempt:
        attempt = ObservedAttempt(
            request_id=head.headers.get("req-id"),
            replica=self.index,
            replica_incarnation=incarnation,
            began_at=time.monotonic(),
            complete=False,
            deadline_ms=int(head.headers.get("req-deadline-ms", "0")),
            peer_port=writer.get_extra_info("peername")[1],
        )
        self._observations.attempts.append(attempt)
        return attempt

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Unused: `_serve` records each attempt when its request head arrives, and answers it itself."""
        raise NotImplementedError

    async def _answer(self, attempt: ObservedAttempt, writer: Writer) -> None:
        behaviour = self._rng.choices(list(BEHAVIOUR_WEIGHTS), list(BEHAVIOUR_WEIGHTS.values()))[0]
        events = self._rng.randint(1, 30)
        fails_after = self._rng.randint(0, events) if behaviour is not Behaviour.SERVE else events
        if behaviour is Behaviour.DECLINE:
            attempt.declined = True
            writer.write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
        elif behaviour is Behaviour.ERROR:
            writer.write(b"HTTP/1.1 500 Fault\r\nContent-Length: 0\r\n\r\n")
        else:
            await self._stream(attempt, writer, events, fails_after, behaviour)
        await writer.drain()

    async def _stream(
        self,
        attempt: ObservedAttempt,
        writer: Writer,
        events: int,
        fails_after: int,
        behaviour: Behaviour,
    ) -> None:
        for number in range(events):
            if number == fails_after or writer.is_closing():
                break
            event = encode_event(time.monotonic(), attempt.request_id)
            writer.write((STREAM_HEAD if number == 0 else b"") + chunk(event))
            await asyncio.sleep(EVENT_INTERVAL)
        if behaviour is Behaviour.SERVE:
            writer.write(chunk(STREAM_TAIL) + chunk(b""))
            attempt.finished = not writer.is_closing()
            return
        if behaviour is Behaviour.HANG:
            await asyncio.sleep(HANG_TIME)
        writer.transport.abort()


def _complete_response(request_id: str) -> bytes:
    """A response with one event."""
    event = encode_event(time.monotonic(), request_id)
    return STREAM_HEAD + chunk(event) + chunk(STREAM_TAIL) + chunk(b"")
