"""Two events that cross, in the order that does harm, every time: see docs/design/races.md."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from tornado.iostream import IOStream

from lockspoke.balancing.events import Outcome, ReplicaState
from lockspoke.balancing.settings import Idempotency, RequestClass
from lockspoke.core.replica_set import ListedReplica
from lockspoke.wire.clients.admission import AdmissionMode
from lockspoke.wire.clients.connection import LINGER_SECONDS, ClientConnection
from lockspoke.wire.replicas import transport as replica_side
from lockspoke.wire.tcp import dialing
from lockspoke.wire.tcp.outgoing import OutgoingBuffer
from tests.peers import Gateway, RawConnection, ScriptedServer
from tests.standins import EVENTS, STREAM_HEAD, STREAM_TAIL, chunk, request_bytes, until

UP = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n"
ANSWER = STREAM_HEAD + b"".join(map(chunk, [*EVENTS, STREAM_TAIL])) + chunk(b"")
FULL = b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
HELD = 0.2  # seconds for which the loop is held: longer than a client may have been gone
LONG = b"data: " + b"x" * 30_000 + b"\n\n"


def play(
    test: Callable[[Gateway, ScriptedServer], Awaitable[None]], full: bool = False, **settings: Any
) -> None:
    async def whole() -> None:
        peer = ScriptedServer(backlog_full=full)
        async with Gateway(peer, **settings) as gateway:
            await test(gateway, peer)

    asyncio.run(whole())


def served(gateway: Gateway) -> ClientConnection:
    (one,) = gateway.front.listener.connections
    assert isinstance(one, ClientConnection)
    return one


async def rested(gateway: Gateway) -> RawConnection:
    """A client's connection between two requests."""
    client = await gateway.connect_client()
    client.send(UP)
    await client.read_until(b"ready\n")
    return client


def sweep(gateway: Gateway) -> None:
    gateway.front.listener.close_idle(0)


def crowd(gateway: Gateway) -> None:
    served(gateway).active_at -= 1.0
    gateway.front.listener._close_longest_idle()


@pytest.mark.parametrize("close", [sweep, crowd])
def test_a_request_that_has_come_as_its_connection_is_closed_for_idleness_is_answered(
    close: Callable[[Gateway], None],
) -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await rested(gateway)
        client.send(UP)
        close(gateway)
        assert b"200 OK" in await client.read_until(b"ready\n")
        close(gateway)
        assert await client.read_to_end() == b"", "with nothing to read it is closed"

    play(test)


def test_a_first_request_that_has_come_as_its_silent_connection_is_closed_is_answered() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        await until(lambda: len(gateway.front.listener.connections) == 1)
        client.send(UP)
        served(gateway).check_timeouts(asyncio.get_running_loop().time() + 60)
        assert b"200 OK" in await client.read_until(b"ready\n")

    play(test)


async def slow_stream(gateway: Gateway, peer: ScriptedServer) -> tuple[RawConnection, RawConnection]:
    """A stream to a client that takes next to nothing, of a gateway that has been told to stop."""
    gateway.front.admission_mode = AdmissionMode.ACCEPT_AND_CLOSE
    client = await gateway.connect_client(SO_RCVBUF=4096)
    client.send(request_bytes(1))
    worker = await peer.accept()
    await worker.read_until(b"{}")
    return client, worker


def test_a_slow_client_gets_the_end_of_its_last_answer_after_the_time_to_linger() -> None:
    """A second after the answer's end the connection was closed, with what the client had yet to take."""

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client, worker = await slow_stream(gateway, peer)
        # Most of it waits in the process.
        served(gateway).stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        worker.send(STREAM_HEAD + chunk(LONG) + chunk(b""))
        await until(lambda: not gateway.core.requests)
        connection = served(gateway)
        assert connection.outgoing.unsent and not connection.outgoing.stalled(0, LINGER_SECONDS)
        connection.check_timeouts(connection.active_at + 2 * LINGER_SECONDS)
        assert (await client.read_to_end()).endswith(chunk(LONG) + chunk(b""))

    play(test)


def test_bytes_that_cross_the_last_answer_do_not_cost_it_its_end() -> None:
    """A close over unread bytes resets: what the system still held of the answer went with it."""

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client, worker = await slow_stream(gateway, peer)
        worker.send(STREAM_HEAD + chunk(LONG))
        await until(lambda: served(gateway).open_request is not None and gateway.core.totals["attempts"] == 1)
        (call,) = gateway.core.requests.values()
        await until(lambda: call.streaming_attempt is not None and not served(gateway).outgoing.unsent)
        client.send(request_bytes(2))
        call.attempts[0].end(Outcome.OK)
        assert (await client.read_to_end()).endswith(chunk(LONG) + chunk(b""))
        assert gateway.core.totals["calls"] == 1, "read after the shutdown, it is not run"

    play(test)


def test_a_client_that_takes_nothing_delays_no_event_of_another() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        lazy, slow_worker = await slow_stream(gateway, peer)
        served(gateway).stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        slow_worker.send(STREAM_HEAD + b"".join(chunk(LONG) for _ in range(4)))
        await until(lambda: served(gateway).outgoing.unsent > OutgoingBuffer.HIGH_WATER_MARK)
        client = await gateway.connect_client()
        client.send(request_bytes(2))
        worker = await peer.accept()
        await worker.read_until(b"{}")
        worker.send(STREAM_HEAD)
        for event in (EVENTS[0], EVENTS[1], EVENTS[0]):
            worker.send(chunk(event))  # the next is not written before this one has been passed on
            assert (await client.read_until(chunk(event))).endswith(chunk(event))
        worker.send(chunk(b""))
        assert (await client.read_to_end()).endswith(chunk(b""))
        lazy.close()

    play(test)


async def with_a_kept_connection(
    gateway: Gateway, peer: ScriptedServer
) -> tuple[RawConnection, RawConnection]:
    """A client that has its first answer, and the connection to the replica, ready to be used again."""
    client = await gateway.connect_client()
    client.send(request_bytes(1))
    replica = await peer.accept()
    await replica.read_until(b"{}")
    replica.send(ANSWER)
    await client.read_until(chunk(b""))
    (idle,) = gateway.transport.idle[next(iter(gateway.replica_set.replicas))]
    await until(lambda: asyncio.get_running_loop().time() > idle.idle_since + replica_side.SETTLE)
    return client, replica


@pytest.mark.parametrize("late", [ANSWER, b"HTTP/1.1 2", b""], ids=["answer", "half a line", "end"])
def test_what_a_worker_sends_behind_its_answer_never_meets_the_next_request(late: bytes) -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client, first = await with_a_kept_connection(gateway, peer)
        client.send(request_bytes(2))
        # Taken from the client without the loop's looking at the worker's connection.
        taken = served(gateway)
        data = taken.stream.socket.recv(65536)
        if late:
            first.send(late)
        else:
            first.close()
        taken._receive(data)
        second = await peer.accept()
        assert b"0000000000000002" in await second.read_until(b"{}"), "it goes over a new connection"
        second.send(STREAM_HEAD + chunk(EVENTS[1]) + chunk(b""))
        assert (await client.read_until(chunk(b""))).endswith(chunk(EVENTS[1]) + chunk(b""))

    play(test)


@pytest.mark.parametrize(
    ("whole", "outcome", "status"), [(False, "connect_failed", b"503"), (True, "reset", b"502")]
)
def test_a_worker_that_resets_has_run_a_request_only_if_its_last_byte_was_written(
    monkeypatch: pytest.MonkeyPatch, whole: bool, outcome: str, status: bytes
) -> None:
    """Of a class that may run once: turned away, its client sends it again; failed, it does not."""

    def small(sock: socket.socket, **options: int) -> IOStream:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return IOStream(sock, **options)

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # and of what it accepts
        client = await gateway.connect_client()
        sent = request_bytes(1, body=b"x" * 200_000)
        await asyncio.get_running_loop().sock_sendall(client.sock, sent)
        worker = await peer.accept()
        await worker.read_until(b"x" * 200_000 if whole else b"\r\n\r\n")
        worker.reset()
        assert status in await client.read_until(b"\r\n\r\n")
        assert gateway.core.totals[f"outcome_{outcome}"] == gateway.core.totals["attempts"]

    monkeypatch.setattr(dialing, "IOStream", small)
    play(test, classes=(RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT),))


async def leaves(gateway: Gateway, client: RawConnection) -> None:
    client.close()
    await until(lambda: gateway.core.totals["left"] == 1)


async def drains(gateway: Gateway, client: RawConnection) -> None:
    (worker,) = gateway.replica_set.replicas.values()
    gateway.update_replicas(ListedReplica(worker.uid, ReplicaState.DRAINING, worker.endpoint, "z"))
    gateway.update_replicas(
        ListedReplica(worker.uid, ReplicaState.READY, ("127.0.0.1", 9), "z")
    )  # it comes back elsewhere


@pytest.mark.parametrize("happens", [leaves, drains])
def test_nothing_is_written_to_a_connection_that_comes_up_after(
    happens: Callable[[Gateway, RawConnection], Awaitable[None]],
) -> None:
    """The client had left, or the worker was told gone from there: the request was written all the same."""

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        client.send(request_bytes(1))
        await until(lambda: gateway.core.totals["attempts"] == 1)
        (call,) = gateway.core.requests.values()
        await happens(gateway, client)
        late = await peer.free_backlog_and_accept()
        await until(lambda: call.attempts[0].outcome is not None)
        assert call.attempts[0].outcome is Outcome.NEVER_SENT
        gateway.transport.close()
        assert await late.read_to_end() == b""

    play(test, full=True)


async def after_a_full_worker(gateway: Gateway, peer: ScriptedServer) -> None:
    client = await gateway.connect_client()
    client.send(request_bytes(1))
    worker = await peer.accept()
    await worker.read_until(b"{}")
    worker.send(FULL)
    client.close()  # in one turn of the loop with the refusal, after which it would wait for room and a retry


async def behind_another(gateway: Gateway, peer: ScriptedServer) -> None:
    client = await gateway.connect_client()
    client.send(request_bytes(1) + request_bytes(2))
    worker = await peer.accept()
    await worker.read_until(b"{}")
    client.close()
    await until(lambda: gateway.core.totals["left"] == 1)
    worker.send(ANSWER)
    await until(lambda: not gateway.core.requests)


@pytest.mark.parametrize("waits", [after_a_full_worker, behind_another])
def test_nothing_is_sent_for_a_client_that_left_while_its_request_waited(
    waits: Callable[[Gateway, ScriptedServer], Awaitable[None]],
) -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        await waits(gateway, peer)
        await until(lambda: gateway.core.totals["left"] == 1)
        other = await gateway.connect_client()
        other.send(request_bytes(3))  # it would go after what waits
        worker = await peer.accept()
        assert b"0000000000000003" in await worker.read_until(b"{}")
        assert gateway.core.totals["attempts"] == 2, "one for each of two requests"

    play(test)


@pytest.mark.parametrize("pipelined", [False, True])
def test_nothing_is_sent_for_a_client_whose_close_lies_unread_while_the_loop_is_held(pipelined: bool) -> None:
    """It had left for longer than 0.1 s, and its request was written: the loop had not heard of the close."""

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client, worker = await with_a_kept_connection(gateway, peer)
        client.send(request_bytes(2) + (request_bytes(3) if pipelined else b""))
        taken = served(gateway)
        taken._receive(taken.stream.socket.recv(65536))
        assert gateway.core.totals["attempts"] == 2
        client.close()
        time.sleep(HELD)
        await until(lambda: gateway.core.totals["left"] == 1 and not gateway.core.requests)
        assert gateway.core.totals["outcome_never_sent"] == 1
        gateway.transport.close()
        assert await worker.read_to_end() == b"", "nothing came on the connection that was kept"

    play(test)


def test_a_request_in_the_backlog_as_the_gateway_stops_to_listen_is_answered() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = RawConnection(socket.create_connection(gateway.endpoint))
        client.send(UP)
        assert not gateway.front.listener.connections, "the loop has not heard of it"
        gateway.front.listener.stop()
        assert b"200 OK" in await client.read_until(b"ready\n")

    play(test)


def test_requests_that_were_read_together_are_all_answered_by_a_gateway_that_stops() -> None:
    """The first answer ended the connection, and what was read behind it was dropped without one."""

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await rested(gateway)
        gateway.front.admission_mode = AdmissionMode.ACCEPT_AND_CLOSE
        client.send(UP + request_bytes(2) + UP)
        worker = await peer.accept()
        await worker.read_until(b"{}")
        worker.send(ANSWER)
        answers = await client.read_to_end()
        assert answers.count(b"HTTP/1.1 200") == 3 and answers.count(b"Connection: close") == 1

    play(test)


def test_a_request_that_crosses_the_last_answer_of_a_stop_is_not_run() -> None:
    """It comes behind the answer that ends the connection: its client sends it again."""

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await rested(gateway)
        gateway.front.admission_mode = AdmissionMode.ACCEPT_AND_CLOSE
        client.send(UP)
        taken = served(gateway)
        taken._receive(taken.stream.socket.recv(65536))
        client.send(request_bytes(2))  # the last answer is written, and the loop has not gone round
        assert (await client.read_to_end()).count(b"HTTP/1.1") == 1
        assert not gateway.core.totals["calls"]
        client.close()
        await until(lambda: not gateway.front.listener.connections)

    play(test)


def test_a_stream_that_its_worker_has_finished_outlasts_the_hand_over() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        client.send(request_bytes(1))
        worker = await peer.accept()
        await worker.read_until(b"{}")
        worker.send(STREAM_HEAD + chunk(EVENTS[0]))
        await client.read_until(EVENTS[0])
        worker.send(chunk(STREAM_TAIL) + chunk(b""))
        gateway.core.hand_off(immediately=False)
        assert (await client.read_until(chunk(b""))).endswith(chunk(STREAM_TAIL) + chunk(b""))
        assert gateway.core.totals["handed_over"] == 0

    play(test)


def test_a_running_stream_is_handed_over_as_soon_as_all_that_has_come_is_passed_on() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        client.send(request_bytes(1))
        worker = await peer.accept()
        await worker.read_until(b"{}")
        worker.send(STREAM_HEAD + chunk(EVENTS[0]))
        await client.read_until(EVENTS[0])
        gateway.core.hand_off(immediately=False)
        assert chunk(b"") not in await client.read_to_end()
        assert await worker.read_some() == b"", "its worker is told, too"

    play(test)
