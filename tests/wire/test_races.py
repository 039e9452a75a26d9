"""Races: each test forces two concurrent events into their harmful order. See docs/design/races.md."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from tornado.iostream import IOStream

from lockspoke.balancing.events import Outcome, ReplicaState
from lockspoke.balancing.settings import Idempotency, RequestClass
from lockspoke.core.replica_set import EndpointListReplica
from lockspoke.core.totals import RequestOutcome
from lockspoke.wire.clients.admission import AdmissionMode
from lockspoke.wire.clients.connection import LINGER_SECONDS, ClientConnection
from lockspoke.wire.tcp import dialing
from lockspoke.wire.tcp.outgoing import OutgoingBuffer
from tests.peers import Gateway, RawConnection, ScriptedServer, block_event_loop
from tests.standins import EVENTS, STREAM_HEAD, STREAM_TAIL, chunk, request_bytes, until

READINESS_CHECK = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n"
RESPONSE = STREAM_HEAD + b"".join(map(chunk, [*EVENTS, STREAM_TAIL])) + chunk(b"")
OVERLOADED_RESPONSE = (
    b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
BUSY_TIME = 0.2  # Seconds of a blocked event loop: more than a disconnect may remain undetected.
LONG_EVENT = b"data: " + b"x" * 30_000 + b"\n\n"


def run_scenario(
    test: Callable[[Gateway, ScriptedServer], Awaitable[None]],
    with_full_backlog: bool = False,
    **settings: Any,
) -> None:
    async def scenario() -> None:
        peer = ScriptedServer(backlog_full=with_full_backlog)
        async with Gateway(peer, **settings) as gateway:
            await test(gateway, peer)

    asyncio.run(scenario())


def client_connection(gateway: Gateway) -> ClientConnection:
    (one,) = gateway.front.listener.connections
    return one


async def idle_client(gateway: Gateway) -> RawConnection:
    """A client's connection between two requests."""
    client = await gateway.connect_client()
    client.send(READINESS_CHECK)
    await client.read_until(b"ready\n")
    return client


def close_idle_connections(gateway: Gateway) -> None:
    gateway.front.listener.close_idle(0)


def evict_idle_connection(gateway: Gateway) -> None:
    client_connection(gateway).active_at -= 1.0
    gateway.front.listener._close_longest_idle()


@pytest.mark.parametrize("close", [close_idle_connections, evict_idle_connection])
def test_a_request_that_arrives_as_its_idle_connection_is_closed_is_answered(
    close: Callable[[Gateway], None],
) -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await idle_client(gateway)
        client.send(READINESS_CHECK)
        close(gateway)
        assert b"200 OK" in await client.read_until(b"ready\n")
        close(gateway)
        assert await client.read_to_end() == b"", "an idle connection without unread bytes is closed"

    run_scenario(test)


def test_a_first_request_is_answered_although_its_connection_times_out() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        await until(lambda: len(gateway.front.listener.connections) == 1)
        client.send(READINESS_CHECK)
        client_connection(gateway).check_timeouts(asyncio.get_running_loop().time() + 60)
        assert b"200 OK" in await client.read_until(b"ready\n")

    run_scenario(test)


async def slow_stream(gateway: Gateway, peer: ScriptedServer) -> tuple[RawConnection, RawConnection]:
    """Start a stream to a client with a small receive buffer, on a gateway that is stopping.

    Returns the connections of the client and of the replica.
    """
    gateway.front.admission_mode = AdmissionMode.ACCEPT_AND_CLOSE
    client = await gateway.connect_client(SO_RCVBUF=4096)
    client.send(request_bytes(1))
    replica = await peer.accept()
    await replica.read_until(b"{}")
    return client, replica


def test_a_slow_client_gets_the_end_of_its_last_response_after_the_linger_time() -> None:
    """Regression: the connection was closed before the client had received all bytes."""

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client, replica = await slow_stream(gateway, peer)
        # Most of the response stays in the process.
        client_connection(gateway).stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        replica.send(STREAM_HEAD + chunk(LONG_EVENT) + chunk(b""))
        await until(lambda: not gateway.core.requests)
        connection = client_connection(gateway)
        assert connection.outgoing.unsent and not connection.outgoing.stalled(0, LINGER_SECONDS)
        connection.check_timeouts(connection.active_at + 2 * LINGER_SECONDS)
        assert (await client.read_to_end()).endswith(chunk(LONG_EVENT) + chunk(b""))

    run_scenario(test)


def test_bytes_received_during_the_last_response_do_not_truncate_it() -> None:
    """Regression: closing a connection with unread input reset it, and the rest of the response was lost."""

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client, replica = await slow_stream(gateway, peer)
        replica.send(STREAM_HEAD + chunk(LONG_EVENT))
        await until(
            lambda: client_connection(gateway).open_request is not None and gateway.core.totals.attempts == 1
        )
        (request,) = gateway.core.requests.values()
        await until(
            lambda: request.streaming_attempt is not None and not client_connection(gateway).outgoing.unsent
        )
        client.send(request_bytes(2))
        request.attempts[0].end(Outcome.OK)
        assert (await client.read_to_end()).endswith(chunk(LONG_EVENT) + chunk(b""))
        assert gateway.core.totals.requests == 1, "a request read after the shutdown is not run"

    run_scenario(test)


def test_a_client_that_does_not_read_delays_no_event_of_another() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        slow_client, slow_replica = await slow_stream(gateway, peer)
        client_connection(gateway).stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        slow_replica.send(STREAM_HEAD + b"".join(chunk(LONG_EVENT) for _ in range(4)))
        await until(lambda: client_connection(gateway).outgoing.unsent > OutgoingBuffer.HIGH_WATER_MARK)
        client = await gateway.connect_client()
        client.send(request_bytes(2))
        replica = await peer.accept()
        await replica.read_until(b"{}")
        replica.send(STREAM_HEAD)
        for event in (EVENTS[0], EVENTS[1], EVENTS[0]):
            replica.send(chunk(event))  # The next one is written once this one has been forwarded.
            assert (await client.read_until(chunk(event))).endswith(chunk(event))
        replica.send(chunk(b""))
        assert (await client.read_to_end()).endswith(chunk(b""))
        slow_client.close()

    run_scenario(test)


async def answered_client(gateway: Gateway, peer: ScriptedServer) -> tuple[RawConnection, RawConnection]:
    """Return a client that has received its first response, and the connection that the response came on."""
    client = await idle_client(gateway)
    client.send(request_bytes(1))
    replica = await peer.accept()
    await replica.read_until(b"{}")
    replica.send(RESPONSE)
    await client.read_until(chunk(b""))
    return client, replica


async def idle_connection_pair(gateway: Gateway, peer: ScriptedServer) -> tuple[RawConnection, RawConnection]:
    """Return an idle client, and an idle connection that no request has been sent on."""
    client = await idle_client(gateway)
    (replica,) = gateway.replica_set.replicas.values()
    pool = gateway.transport.pool
    pool.release_unused(await pool.acquire(replica))
    return client, await peer.accept()


@pytest.mark.parametrize("connect", [answered_client, idle_connection_pair])
@pytest.mark.parametrize(
    "late", [RESPONSE, b"HTTP/1.1 2", b""], ids=["a second response", "half a line", "a close"]
)
def test_bytes_before_a_request_are_not_read_as_its_response(
    late: bytes,
    connect: Callable[[Gateway, ScriptedServer], Awaitable[tuple[RawConnection, RawConnection]]],
) -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client, first = await connect(gateway, peer)
        client.send(request_bytes(2))
        # The request is read before the event loop polls the replica's connection.
        connection = client_connection(gateway)
        data = connection.stream.socket.recv(65536)
        if late:
            with contextlib.suppress(OSError):  # The gateway may have closed it already.
                first.send(late)
        else:
            first.close()
        connection._receive(data)
        second = await peer.accept()
        assert b"0000000000000002" in await second.read_until(b"{}"), "it is sent on a new connection"
        second.send(STREAM_HEAD + chunk(EVENTS[1]) + chunk(b""))
        assert (await client.read_until(chunk(b""))).endswith(chunk(EVENTS[1]) + chunk(b""))

    run_scenario(test)


@pytest.mark.parametrize(
    ("complete", "outcome", "status"), [(False, "connect_failed", b"503"), (True, "reset", b"502")]
)
def test_after_a_reset_a_request_counts_as_run_only_if_it_was_written_completely(
    monkeypatch: pytest.MonkeyPatch, complete: bool, outcome: str, status: bytes
) -> None:
    """The request is not idempotent: its client retries it after a rejection, but not after a failure."""

    def with_small_send_buffer(sock: socket.socket, **options: int) -> IOStream:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return IOStream(sock, **options)

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        peer.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, 4096
        )  # This also applies to the connections that it accepts.
        client = await gateway.connect_client()
        sent = request_bytes(1, body=b"x" * 200_000)
        await asyncio.get_running_loop().sock_sendall(client.sock, sent)
        replica = await peer.accept()
        await replica.read_until(b"x" * 200_000 if complete else b"\r\n\r\n")
        replica.reset()
        assert status in await client.read_until(b"\r\n\r\n")
        assert gateway.core.totals.attempt_outcomes[Outcome[outcome.upper()]] == gateway.core.totals.attempts

    monkeypatch.setattr(dialing, "IOStream", with_small_send_buffer)
    run_scenario(test, classes=(RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT),))


async def disconnect_client(gateway: Gateway, client: RawConnection) -> None:
    client.close()
    await until(lambda: gateway.core.totals.request_outcomes[RequestOutcome.CLIENT_DISCONNECTED] == 1)


async def drain_and_move_replica(gateway: Gateway, client: RawConnection) -> None:
    (replica,) = gateway.replica_set.replicas.values()
    gateway.update_replicas(EndpointListReplica(replica.uid, ReplicaState.DRAINING, replica.endpoint, "z"))
    gateway.update_replicas(
        EndpointListReplica(replica.uid, ReplicaState.READY, ("127.0.0.1", 9), "z")
    )  # It becomes ready at another address.


@pytest.mark.parametrize("interrupt", [disconnect_client, drain_and_move_replica])
def test_nothing_is_written_to_a_connection_that_is_established_too_late(
    interrupt: Callable[[Gateway, RawConnection], Awaitable[None]],
) -> None:
    """Regression: the request was written although the client had disconnected or the replica had moved."""

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        client.send(request_bytes(1))
        await until(lambda: gateway.core.totals.attempts == 1)
        (request,) = gateway.core.requests.values()
        await interrupt(gateway, client)
        late = await peer.free_backlog_and_accept()
        await until(lambda: request.attempts[0].outcome is not None)
        assert request.attempts[0].outcome is Outcome.NEVER_SENT
        gateway.transport.close()
        assert await late.read_to_end() == b""

    run_scenario(test, with_full_backlog=True)


async def wait_after_overload(gateway: Gateway, peer: ScriptedServer) -> None:
    client = await gateway.connect_client()
    client.send(request_bytes(1))
    replica = await peer.accept()
    await replica.read_until(b"{}")
    replica.send(OVERLOADED_RESPONSE)
    # In the same loop iteration: after the overload reply the request would wait for capacity to retry.
    client.close()


async def wait_in_pipeline(gateway: Gateway, peer: ScriptedServer) -> None:
    client = await gateway.connect_client()
    client.send(request_bytes(1) + request_bytes(2))
    replica = await peer.accept()
    await replica.read_until(b"{}")
    client.close()
    await until(lambda: gateway.core.totals.request_outcomes[RequestOutcome.CLIENT_DISCONNECTED] == 1)
    replica.send(RESPONSE)
    await until(lambda: not gateway.core.requests)


@pytest.mark.parametrize("wait_and_disconnect", [wait_after_overload, wait_in_pipeline])
def test_a_waiting_request_is_not_sent_after_its_client_disconnected(
    wait_and_disconnect: Callable[[Gateway, ScriptedServer], Awaitable[None]],
) -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        await wait_and_disconnect(gateway, peer)
        await until(lambda: gateway.core.totals.request_outcomes[RequestOutcome.CLIENT_DISCONNECTED] == 1)
        other = await gateway.connect_client()
        other.send(request_bytes(3))  # It would be sent after the waiting requests.
        replica = await peer.accept()
        assert b"0000000000000003" in await replica.read_until(b"{}")
        assert gateway.core.totals.attempts == 2, "one for each of two requests"

    run_scenario(test)


@pytest.mark.parametrize("pipelined", [False, True])
def test_a_request_is_not_sent_if_the_close_of_its_client_is_unread(pipelined: bool) -> None:
    """Regression: the request was written more than 0.1 s after its client had disconnected."""

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client, replica = await idle_connection_pair(gateway, peer)
        client.send(request_bytes(2) + (request_bytes(3) if pipelined else b""))
        connection = client_connection(gateway)
        connection._receive(connection.stream.socket.recv(65536))
        assert gateway.core.totals.attempts == 1
        client.close()
        block_event_loop(BUSY_TIME)
        await until(
            lambda: (
                gateway.core.totals.request_outcomes[RequestOutcome.CLIENT_DISCONNECTED] == 1
                and not gateway.core.requests
            )
        )
        assert gateway.core.totals.attempt_outcomes[Outcome.NEVER_SENT] == 1
        gateway.transport.close()
        assert await replica.read_to_end() == b"", "nothing was sent on the idle connection"

    run_scenario(test)


def test_a_request_in_the_backlog_as_the_gateway_stops_listening_is_answered() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = RawConnection(socket.create_connection(gateway.endpoint))
        client.send(READINESS_CHECK)
        assert not gateway.front.listener.connections, "the loop has not accepted it"
        gateway.front.listener.stop()
        assert b"200 OK" in await client.read_until(b"ready\n")

    run_scenario(test)


def test_pipelined_requests_are_all_answered_by_a_gateway_that_stops() -> None:
    """Regression: the first response ended the connection, and the requests read after it got none."""

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await idle_client(gateway)
        gateway.front.admission_mode = AdmissionMode.ACCEPT_AND_CLOSE
        client.send(READINESS_CHECK + request_bytes(2) + READINESS_CHECK)
        replica = await peer.accept()
        await replica.read_until(b"{}")
        replica.send(RESPONSE)
        answers = await client.read_to_end()
        assert answers.count(b"HTTP/1.1 200") == 3 and answers.count(b"Connection: close") == 1

    run_scenario(test)


def test_a_request_after_the_last_response_of_a_stopping_gateway_is_not_run() -> None:
    """It crosses the response that ends the connection, so its client retries it."""

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await idle_client(gateway)
        gateway.front.admission_mode = AdmissionMode.ACCEPT_AND_CLOSE
        client.send(READINESS_CHECK)
        connection = client_connection(gateway)
        connection._receive(connection.stream.socket.recv(65536))
        client.send(request_bytes(2))  # The last response is written; the loop has not polled since then.
        assert (await client.read_to_end()).count(b"HTTP/1.1") == 1
        assert not gateway.core.totals.requests
        client.close()
        await until(lambda: not gateway.front.listener.connections)

    run_scenario(test)


def test_a_stream_finished_by_its_replica_is_completed_despite_a_hand_off() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        client.send(request_bytes(1))
        replica = await peer.accept()
        await replica.read_until(b"{}")
        replica.send(STREAM_HEAD + chunk(EVENTS[0]))
        await client.read_until(EVENTS[0])
        replica.send(chunk(STREAM_TAIL) + chunk(b""))
        gateway.core.hand_off(immediately=False)
        assert (await client.read_until(chunk(b""))).endswith(chunk(STREAM_TAIL) + chunk(b""))
        assert gateway.core.totals.request_outcomes[RequestOutcome.HANDED_OFF] == 0

    run_scenario(test)


def test_a_running_stream_is_handed_off_once_all_received_events_are_forwarded() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        client.send(request_bytes(1))
        replica = await peer.accept()
        await replica.read_until(b"{}")
        replica.send(STREAM_HEAD + chunk(EVENTS[0]))
        await client.read_until(EVENTS[0])
        gateway.core.hand_off(immediately=False)
        assert chunk(b"") not in await client.read_to_end()
        assert await replica.read_some() == b"", "the replica's connection is closed, too"

    run_scenario(test)
