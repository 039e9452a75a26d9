"""The operators' front: a listener of its own, so that no crowd of clients stands before a call."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from lockspoke.wire.http.encoding import encode_response
from lockspoke.wire.http.messages import HttpError, Request
from lockspoke.wire.http.request_assembler import RequestAssembler
from lockspoke.wire.tcp.listener import Listener, OutgoingBuffer

from .api import OperatorRequest, decode_operator_request

MAX_CONNECTIONS = 16  # connections; past it the one that has been silent for longest makes room
LONGEST = 5.0  # seconds a connection may stand: a call is one small message
CROWDED = 0.5  # the same, once more than half of the places are taken
READ = 4096
PLAIN = {"Content-Type": "text/plain; charset=utf-8"}

Answer = Callable[[OperatorRequest], str]  # what to say to yes; raises HttpError for a no


class OperatorFront:
    """Operators' connections; each carries one call."""

    def __init__(self, answer: Answer) -> None:
        self.answer = answer
        self.listener = Listener(lambda stream: OperatorConnection(self, stream), MAX_CONNECTIONS)

    def run_periodic_checks(self) -> None:
        """Close what stands for longer than any call takes."""
        crowded = len(self.listener.connections) > MAX_CONNECTIONS // 2
        before = asyncio.get_running_loop().time() - (CROWDED if crowded else LONGEST)
        for connection in list(self.listener.connections):
            if connection.opened_at < before:
                connection.stream.close()


class OperatorConnection:
    """One caller."""

    def __init__(self, front: OperatorFront, stream: IOStream) -> None:
        self.front = front
        self.stream = stream
        self.outbox = OutgoingBuffer(stream)
        self.opened_at = self.active_at = asyncio.get_running_loop().time()
        self.has_received = False
        self.gatherer = RequestAssembler()

    @property
    def idle(self) -> bool:
        """Whether it may make room for others: until its call is whole, it is owed nothing."""
        return not self.stream.closed()

    async def run(self) -> None:
        """Read one call, answer it, close."""
        try:
            while True:
                data = await self.stream.read_bytes(READ, partial=True)
                self.has_received = True
                try:
                    whole = self.gatherer.feed(data)
                    if not whole:
                        continue
                    status, text = 200, self._yes(whole[0])
                except HttpError as error:
                    status, text = error.status, str(error)
                await self.stream.write(encode_response(status, f"{text}\n".encode(), PLAIN, False))
                return
        except StreamClosedError:
            pass

    def _yes(self, request: Request) -> str:
        return self.front.answer(decode_operator_request(request))
