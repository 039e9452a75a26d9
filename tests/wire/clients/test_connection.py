"""Tests of client connections over a socket pair, with test doubles for what the core uses."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from tornado.iostream import IOStream

from lockspoke.balancing.events import Outcome
from lockspoke.core.totals import RequestOutcome
from lockspoke.wire.clients import connection as client_connection
from lockspoke.wire.clients.connection import ClientConnection
from lockspoke.wire.clients.front import ClientFront
from tests.core.harness import CoreHarness
from tests.standins import EVENTS, request_bytes, until

BODY = b"x" * 5000
READINESS_CHECK = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
TIMEOUT_SECONDS = 30


class ConnectedClient:
    """A client socket, the gateway's side of its connection, and the front that serves it."""

    def __init__(self, front: ClientFront, core_harness: CoreHarness) -> None:
        self.front = front
        self.core_harness = core_harness
        self.socket, served = socket.socketpair()
        self.socket.setblocking(False)
        served.setblocking(False)
        self.connection = ClientConnection(front, IOStream(served))
        self.task = asyncio.ensure_future(self.connection.run())

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    async def read_until(self, end: bytes) -> bytes:
        received = b""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while end not in received:
                data = await asyncio.get_running_loop().sock_recv(self.socket, 65536)
                assert data, received
                received += data
        return received

    async def expect_close(self) -> None:
        """Check that the gateway has shut down sending, and closes the connection once the client does."""
        loop = asyncio.get_running_loop()
        rest = await asyncio.wait_for(loop.sock_recv(self.socket, 65536), TIMEOUT_SECONDS)
        assert rest == b"" and not self.task.done()
        await self.disconnect()

    async def disconnect(self) -> None:
        self.socket.close()
        await asyncio.wait_for(self.task, TIMEOUT_SECONDS)


def new_client() -> ConnectedClient:
    """Return a client that is connected to a new front."""
    core_harness = CoreHarness()
    return ConnectedClient(
        ClientFront(core_harness.core, {"docs": 0}, 8, 48_000_000, lambda: True), core_harness
    )


def run_with_client(test: Callable[[ConnectedClient], Awaitable[None]]) -> None:
    async def run() -> None:
        await test(new_client())

    asyncio.run(run())


def test_buffered_bytes_are_released_however_a_request_ends() -> None:
    """Otherwise the limit would be used up over time, until every request is rejected."""

    async def completed(client: ConnectedClient) -> None:
        client.send(request_bytes(1, body=BODY))
        await until(lambda: bool(client.core_harness.started))
        size = client.core_harness.started[0].request.size
        assert size > len(BODY)
        assert client.front.buffered_bytes == size + client_connection.OPEN_REQUEST_OVERHEAD_BYTES
        client.core_harness.started[0].stream_received(EVENTS[0])
        client.core_harness.started[0].end(Outcome.OK)
        assert client.front.buffered_bytes == 0
        await client.disconnect()

    async def disconnected(client: ConnectedClient) -> None:
        client.send(request_bytes(1, body=BODY))
        await until(lambda: bool(client.core_harness.started))
        await client.disconnect()
        assert (
            client.front.buffered_bytes == 0
            and client.core_harness.core.totals.request_outcomes[RequestOutcome.CLIENT_DISCONNECTED] == 1
        )

    async def incomplete(client: ConnectedClient) -> None:
        client.send(request_bytes(1, body=BODY)[:-10])
        await until(lambda: client.connection.assembler.body_size == len(BODY) - 10)
        assert client.front.buffered_bytes == client.connection.assembler.size > len(BODY) - 10
        await client.disconnect()
        assert client.front.buffered_bytes == 0 and not client.core_harness.started

    for test in (completed, disconnected, incomplete):
        run_with_client(test)


def test_request_past_the_limit_of_buffered_bytes_is_rejected() -> None:
    async def test(client: ConnectedClient) -> None:
        client.front.max_buffered_bytes = 1000
        client.send(request_bytes(1, body=BODY))
        response = await client.read_until(b"held\n")
        assert response.startswith(b"HTTP/1.1 503 ") and b"Retry-After: 1.000" in response
        await client.disconnect()
        assert client.front.buffered_bytes == 0 and not client.core_harness.started

    run_with_client(test)


def test_request_that_does_not_complete_gets_a_408(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_SECONDS", 0.0)

    async def test(client: ConnectedClient) -> None:
        client.send(b"GET /up HT")
        await until(lambda: not client.connection.idle)
        await asyncio.sleep(0.01)
        client.connection.check_timeouts(asyncio.get_running_loop().time())
        assert (await client.read_until(b"\r\n\r\n")).startswith(b"HTTP/1.1 408 ")
        await client.disconnect()

    run_with_client(test)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test(client: ConnectedClient) -> None:
        client.send(request_bytes(1) + READINESS_CHECK)
        await until(lambda: bool(client.core_harness.started) and bool(client.connection.pipelined))
        client.core_harness.started[0].stream_received(EVENTS[0])
        client.core_harness.started[0].end(Outcome.OK)
        response = await client.read_until(b"ready\n")
        assert response.index(EVENTS[0]) < response.index(b"0\r\n\r\n") < response.index(b"ready\n")

    run_with_client(test)


def test_input_after_a_request_does_not_prevent_its_response() -> None:
    """Regression: hundreds of pipelined requests, or garbage, closed the connection of an open request."""

    async def pipelined(client: ConnectedClient) -> None:
        client.send(b"".join(request_bytes(number) for number in range(1, 200)))
        for number in range(client_connection.MAX_PIPELINED_REQUESTS):
            await until(lambda number=number: len(client.core_harness.started) == number + 1)  # type: ignore[misc]  # mypy infers no lambda with a default
            client.core_harness.started[number].stream_received(EVENTS[0])
            client.core_harness.started[number].end(Outcome.OK)
        response = await client.read_until(b"ahead\n")
        assert response.count(EVENTS[0]) == client_connection.MAX_PIPELINED_REQUESTS
        assert b"HTTP/1.1 503 " in response
        assert client.front.buffered_bytes == 0
        assert not client.front.core.request_id_is_taken(f"{1:016x}")
        await client.disconnect()

    async def garbage(client: ConnectedClient) -> None:
        client.send(request_bytes(1) + b"\x00\r\n\r\n")
        for _ in range(20):
            client.send(b"noise\r\n\r\n")
            await asyncio.sleep(0)
        await until(lambda: bool(client.core_harness.started))
        client.core_harness.started[0].stream_received(EVENTS[0])
        client.core_harness.started[0].end(Outcome.OK)
        response = await client.read_until(b"bad request line\n")
        assert EVENTS[0] in response and response.count(b"HTTP/1.1 400 ") == 1
        await client.disconnect()

    for test in (pipelined, garbage):
        run_with_client(test)


def test_duplicate_request_id_is_rejected_until_the_response_ends() -> None:
    async def test(client: ConnectedClient) -> None:
        client.send(request_bytes(1))
        await until(lambda: bool(client.core_harness.started))
        first, other = client.socket, ConnectedClient(client.front, client.core_harness)
        other.send(request_bytes(1))
        assert b"HTTP/1.1 409 " in await other.read_until(b"in use\n")
        client.core_harness.started[0].stream_received(EVENTS[0])
        client.core_harness.started[0].end(Outcome.OK)
        other.send(request_bytes(1))
        await until(lambda: len(client.core_harness.started) == 2)
        assert client.socket is first
        await other.disconnect()
        await client.disconnect()
        assert client.front.core.request_id_is_taken(f"{1:016x}")  # Its attempt goes on.
        client.core_harness.started[1].end(Outcome.OK)
        assert not client.front.core.request_id_is_taken(f"{1:016x}")

    run_with_client(test)


def test_silent_connection_is_closed_and_a_used_one_stays_open() -> None:
    async def test(client: ConnectedClient) -> None:
        after_timeout = asyncio.get_running_loop().time() + client_connection.FIRST_BYTE_TIMEOUT_SECONDS + 0.1
        silent = new_client()
        client.send(READINESS_CHECK)
        await client.read_until(b"ready\n")
        for one in (client, silent):
            one.connection.check_timeouts(after_timeout)
        await asyncio.wait_for(silent.task, TIMEOUT_SECONDS)
        assert not client.task.done()
        await client.disconnect()

    run_with_client(test)


def test_only_the_beginning_of_an_oversized_body_is_read() -> None:
    """Regression: reading and discarding 60 MB took CPU time from all other connections."""

    async def test(client: ConnectedClient) -> None:
        client.send(request_bytes(1).replace(b"Content-Length: 2", b"Content-Length: 60000000"))
        assert b"HTTP/1.1 413 " in await client.read_until(b"too large\n")
        sent, loop = 0, asyncio.get_running_loop()
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(0.3):
                while True:
                    await loop.sock_sendall(client.socket, b"x" * 65536)
                    sent += 65536
        assert client_connection.LINGER_MAX_BYTES <= sent < 8_000_000
        client.connection.check_timeouts(loop.time() + client_connection.LINGER_SECONDS + 0.1)
        await asyncio.wait_for(client.task, TIMEOUT_SECONDS)

    run_with_client(test)


def test_http_1_0_client_gets_its_stream_without_chunks() -> None:
    async def test(client: ConnectedClient) -> None:
        client.send(request_bytes(1).replace(b"HTTP/1.1", b"HTTP/1.0").replace(b"Host: origin.svc\r\n", b""))
        await until(lambda: bool(client.core_harness.started))
        assert b"host: origin.svc\r\n" in client.core_harness.started[0].request.forwarded_fields
        client.core_harness.started[0].stream_received(EVENTS[0])
        client.core_harness.started[0].end(Outcome.OK)
        response = await client.read_until(EVENTS[0])
        assert b"chunked" not in response and response.endswith(b"\r\n\r\n" + EVENTS[0])
        await client.expect_close()

    run_with_client(test)


def test_request_over_an_address_that_has_moved_is_rejected() -> None:
    """The lease of the address has expired, for example because the process was suspended."""

    async def test(client: ConnectedClient) -> None:
        lease_is_valid = True
        client.connection.lease_is_valid = lambda: lease_is_valid
        client.send(request_bytes(1))
        await until(lambda: client.core_harness.core.totals.requests == 1)
        request = client.connection.open_request
        assert request is not None
        request.response.reject(0)
        await client.read_until(b"overloaded")
        lease_is_valid = False
        client.send(request_bytes(2))
        response = await client.read_until(b"the address has moved")
        assert response.startswith(b"HTTP/1.1 503") and b"Retry-After: 0.050" in response
        assert b"Connection: close" in response
        assert client.core_harness.core.totals.requests == 1
        await client.expect_close()

    run_with_client(test)


def test_tenant_of_a_request_reaches_the_balancer() -> None:
    """Regression: all requests counted for the first tenant, so a flood from one delayed the others."""

    async def test(client: ConnectedClient) -> None:
        client.front.reconfigure({"docs": 0}, 8, 48_000_000, {"north": 0, "south": 1})
        tenants = ("south", "north", "nobody")
        for index, tenant in enumerate(tenants):
            header: dict[str, Any] = {"Req-Owner": tenant}
            client.send(request_bytes(index + 1, **header))
            await until(lambda index=index: len(client.core_harness.started) > index)  # type: ignore[misc]  # mypy infers no lambda with a default
            attempt = client.core_harness.started[index]
            event = client.core_harness.core.balancer.requests[attempt.request.number].arrived
            assert event.tenant == {"south": 1}.get(tenant, 0)
            attempt.stream_received(b"data: x\n\n")
            attempt.end(Outcome.OK)
            await client.read_until(b"0\r\n\r\n")

    run_with_client(test)
