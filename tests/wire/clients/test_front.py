"""Client connections over a socket pair, with the core's stand-ins behind them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

import pytest
from tornado.iostream import IOStream

from lockspoke.balancing.events import Outcome
from lockspoke.wire.clients import connection as client_connection
from lockspoke.wire.clients.connection import ClientConnection
from lockspoke.wire.clients.front import ClientFront
from tests.core.test_core import World
from tests.standins import EVENTS, request_bytes, until

BODY = b"x" * 5000


class Pair:
    """One client's connection, and the front that it belongs to."""

    def __init__(self) -> None:
        self.world = World()
        self.front = ClientFront(self.world.core, {"docs": 0}, 8, 48_000_000, lambda: True)
        self.join(self.front)

    def join(self, front: ClientFront) -> None:
        self.client, served = socket.socketpair()
        served.setblocking(False)
        self.connection = ClientConnection(front, IOStream(served))
        self.task = asyncio.ensure_future(self.connection.run())

    def send(self, data: bytes) -> None:
        self.client.sendall(data)

    async def read(self, mark: bytes) -> bytes:
        got = b""
        self.client.setblocking(False)
        async with asyncio.timeout(30):
            while mark not in got:
                data = await asyncio.get_running_loop().sock_recv(self.client, 65536)
                assert data, got
                got += data
        return got

    async def ended(self) -> None:
        """The gateway has ended its sending, and lets the connection go once the client does."""
        self.client.setblocking(False)
        rest = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.client, 65536), 30)
        assert rest == b"" and not self.task.done()
        await self.leave()

    async def leave(self) -> None:
        self.client.close()
        await asyncio.wait_for(self.task, 30)


def play(test: Callable[[Pair], Awaitable[None]]) -> None:
    async def whole() -> None:
        await test(Pair())

    asyncio.run(whole())


def test_bytes_held_are_given_back_however_a_call_ends() -> None:
    """Else the bound on held bytes would be used up by and by, and every call turned away."""

    async def served(pair: Pair) -> None:
        pair.send(request_bytes(1, body=BODY))
        await until(lambda: bool(pair.world.started))
        assert pair.front.buffered_bytes == len(BODY)
        pair.world.started[0].stream_received(EVENTS[0])
        pair.world.started[0].end(Outcome.OK)
        assert pair.front.buffered_bytes == 0
        await pair.leave()

    async def left(pair: Pair) -> None:
        pair.send(request_bytes(1, body=BODY))
        await until(lambda: bool(pair.world.started))
        await pair.leave()
        assert pair.front.buffered_bytes == 0 and pair.world.core.totals["left"] == 1

    async def half(pair: Pair) -> None:
        pair.send(request_bytes(1, body=BODY)[:-10])
        await until(lambda: pair.front.buffered_bytes == len(BODY) - 10)
        await pair.leave()
        assert pair.front.buffered_bytes == 0 and not pair.world.started

    for test in (served, left, half):
        play(test)


def test_past_the_bound_on_held_bytes_a_call_is_turned_away() -> None:
    async def test(pair: Pair) -> None:
        pair.front.max_buffered_bytes = 1000
        pair.send(request_bytes(1, body=BODY))
        answer = await pair.read(b"held\n")
        assert answer.startswith(b"HTTP/1.1 503 ") and b"Retry-After: 1.000" in answer
        await pair.leave()
        assert pair.front.buffered_bytes == 0 and not pair.world.started

    play(test)


def test_a_request_that_never_ends_is_a_408(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_SECONDS", 0.0)

    async def test(pair: Pair) -> None:
        pair.send(b"GET /up HT")
        await until(lambda: not pair.connection.idle)
        await asyncio.sleep(0.01)
        pair.connection.check_timeouts(asyncio.get_running_loop().time())
        assert (await pair.read(b"\r\n\r\n")).startswith(b"HTTP/1.1 408 ")
        await pair.leave()

    play(test)


def test_requests_sent_ahead_are_answered_in_order_and_only_so_many() -> None:
    async def test(pair: Pair) -> None:
        pair.send(request_bytes(1) + b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
        await until(lambda: bool(pair.world.started) and bool(pair.connection.pipelined))
        pair.world.started[0].stream_received(EVENTS[0])
        pair.world.started[0].end(Outcome.OK)
        answer = await pair.read(b"ready\n")
        assert answer.index(EVENTS[0]) < answer.index(b"0\r\n\r\n") < answer.index(b"ready\n")

    play(test)


def test_what_comes_behind_a_call_never_costs_it_its_answer() -> None:
    """Requests by the hundred, or noise, used to end the connection with a call still out: it was lost."""

    async def ahead(pair: Pair) -> None:
        pair.send(b"".join(request_bytes(number) for number in range(1, 200)))
        for number in range(client_connection.MAX_PIPELINED_REQUESTS):
            await until(lambda number=number: len(pair.world.started) == number + 1)  # type: ignore[misc]
            pair.world.started[number].stream_received(EVENTS[0])
            pair.world.started[number].end(Outcome.OK)
        answer = await pair.read(b"ahead\n")
        assert (
            answer.count(EVENTS[0]) == client_connection.MAX_PIPELINED_REQUESTS and b"HTTP/1.1 503 " in answer
        )
        assert pair.front.buffered_bytes == 0 and not pair.front.open_ids
        await pair.leave()

    async def noise(pair: Pair) -> None:
        pair.send(request_bytes(1) + b"\x00\r\n\r\n")
        for _ in range(20):
            pair.send(b"noise\r\n\r\n")
            await asyncio.sleep(0)
        await until(lambda: bool(pair.world.started))
        pair.world.started[0].stream_received(EVENTS[0])
        pair.world.started[0].end(Outcome.OK)
        answer = await pair.read(b"an error\n")
        assert EVENTS[0] in answer and answer.count(b"HTTP/1.1 400 ") == 1
        await pair.leave()

    for test in (ahead, noise):
        play(test)


def test_the_id_of_an_open_call_is_refused_and_free_again_after_its_answer() -> None:
    async def test(pair: Pair) -> None:
        pair.send(request_bytes(1))
        await until(lambda: bool(pair.world.started))
        first, other = pair.client, Pair()
        other.join(pair.front)
        other.send(request_bytes(1))
        assert b"HTTP/1.1 409 " in await other.read(b"in use\n")
        pair.world.started[0].stream_received(EVENTS[0])
        pair.world.started[0].end(Outcome.OK)
        other.send(request_bytes(1))
        await until(lambda: len(pair.world.started) == 2)
        assert pair.client is first
        await other.leave()
        await pair.leave()
        assert not pair.front.open_ids

    play(test)


def test_a_silent_connection_is_closed_and_one_that_has_asked_is_kept() -> None:
    async def test(pair: Pair) -> None:
        late = asyncio.get_running_loop().time() + client_connection.FIRST_BYTE_TIMEOUT_SECONDS + 0.1
        silent = Pair()
        pair.send(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
        await pair.read(b"ready\n")
        for one in (pair, silent):
            one.connection.check_timeouts(late)
        await asyncio.wait_for(silent.task, 30)
        assert not pair.task.done()
        await pair.leave()

    play(test)


def test_of_a_body_far_too_large_only_the_beginning_is_read() -> None:
    """60 MB read and dropped took the CPU of everybody else."""

    async def test(pair: Pair) -> None:
        pair.send(request_bytes(1).replace(b"Content-Length: 2", b"Content-Length: 60000000"))
        assert b"HTTP/1.1 413 " in await pair.read(b"too large\n")
        sent, loop = 0, asyncio.get_running_loop()
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(0.3):
                while True:
                    await loop.sock_sendall(pair.client, b"x" * 65536)
                    sent += 65536
        assert client_connection.LINGER_MAX_BYTES <= sent < 8_000_000
        pair.connection.check_timeouts(loop.time() + client_connection.LINGER_SECONDS + 0.1)
        await asyncio.wait_for(pair.task, 30)

    play(test)


def test_an_http_1_0_client_gets_its_stream_without_chunks() -> None:
    async def test(pair: Pair) -> None:
        pair.send(request_bytes(1).replace(b"HTTP/1.1", b"HTTP/1.0").replace(b"Host: origin.svc\r\n", b""))
        await until(lambda: bool(pair.world.started))
        assert pair.world.started[0].request.headers["host"] == "origin.svc"
        pair.world.started[0].stream_received(EVENTS[0])
        pair.world.started[0].end(Outcome.OK)
        answer = await pair.read(EVENTS[0])
        assert b"chunked" not in answer and answer.endswith(b"\r\n\r\n" + EVENTS[0])
        await pair.ended()

    play(test)


def test_a_request_on_a_connection_whose_address_has_moved_is_answered_and_not_run() -> None:
    """The lease that it came by has ended, as after a pause of the process: once so, also for what waits."""

    async def script(pair: Pair) -> None:
        ours = True
        pair.connection.lease_is_valid = lambda: ours
        pair.send(request_bytes(1))
        await until(lambda: pair.world.core.totals["calls"] == 1)
        call = pair.connection.open_request
        assert call is not None
        call.response.reject(0)
        await pair.read(b"overloaded")
        ours = False
        pair.send(request_bytes(2))
        answer = await pair.read(b"the address has moved")
        assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: 0.050" in answer
        assert b"Connection: close" in answer
        assert pair.world.core.totals["calls"] == 1
        await pair.ended()

    play(script)


def test_the_tenant_that_a_client_names_reaches_the_decisions() -> None:
    """All calls counted as the first tenant's: one that flooded held up those within their share."""

    async def test(pair: Pair) -> None:
        pair.front.reconfigure({"docs": 0}, 8, 48_000_000, {"north": 0, "south": 1})
        owners = ("south", "north", "nobody")
        for at, owner in enumerate(owners):
            pair.send(request_bytes(at + 1, **{"Req-Owner": owner}))
            await until(lambda at=at: len(pair.world.started) > at)  # type: ignore[misc]
            told = pair.world.core.balancer.requests[pair.world.started[at].request.number].arrived
            assert told.tenant == {"south": 1}.get(owner, 0)
            pair.world.started[at].stream_received(b"data: x\n\n")
            pair.world.started[at].end(Outcome.OK)
            await pair.read(b"0\r\n\r\n")

    play(test)
