"""How long idle connections are kept: by times handed in, and by what a worker on a socket answers."""

from __future__ import annotations

import asyncio
import contextlib
import time

from lockspoke.balancing.events import Outcome, ReplicaState
from lockspoke.core.replica_set import Replica
from lockspoke.core.requests import Attempt, ClientRequest, SendPermission
from lockspoke.units import MILLISECOND as MS
from lockspoke.wire.clients.responses import StreamingResponse
from lockspoke.wire.replicas.keepalive import BACK, SHORTEST, KeepAlive
from lockspoke.wire.replicas.transport import SETTLE, ReplicaTransport
from tests.standins import until

START = 5_000_000.0  # a machine that has been up for long


def test_refusals_of_new_connections_cut_the_time_and_quiet_brings_it_back() -> None:
    keep_alive = KeepAlive(8.0)
    assert keep_alive.limit(START) == 8.0
    keep_alive.turned_away(START)
    assert keep_alive.limit(START) == 4.0
    keep_alive.turned_away(START + SHORTEST / 2)
    assert keep_alive.limit(START) == 4.0, "one moment's refusals are one sign"
    keep_alive.turned_away(START + BACK / 2)
    assert 2.0 < keep_alive.limit(START + BACK / 2) < 4.0
    assert keep_alive.limit(START + 3 * BACK) == 8.0


def test_the_time_has_a_bound_below_from_which_it_comes_back_as_soon() -> None:
    keep_alive = KeepAlive(8.0)
    for step in range(1000):
        keep_alive.turned_away(START + step)
    assert keep_alive.limit(START + 1000) < 2 * SHORTEST
    assert keep_alive.limit(START + 1000 + 6 * BACK) == 8.0


def test_settings_that_allow_less_than_the_bound_are_kept() -> None:
    keep_alive = KeepAlive(0.1)
    keep_alive.turned_away(START)
    assert keep_alive.limit(START) == 0.1 and KeepAlive(0.0).limit(START) == 0.0


class Told:
    """Takes the ends of attempts."""

    def __init__(self) -> None:
        self.ends: list[Outcome] = []

    def permission_to_send(self, attempt: Attempt) -> SendPermission:
        del attempt
        return SendPermission.GRANTED

    def stream_received(self, attempt: Attempt, data: bytes) -> None:
        del attempt, data

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, kept: int, report: tuple[float, ...]) -> None:
        del attempt, kept, report
        self.ends.append(outcome)


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A worker: it turns away what is sent to /full, and keeps the connection."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"/full" in head:
                writer.write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndata: x\n\n")
    writer.close()


def test_only_a_new_connection_that_is_turned_away_cuts_the_time() -> None:
    """Of 4,861 attempts 1,580 met a full table while 630 of 1,000 connections stood idle."""

    async def whole() -> None:
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        told, loop = Told(), asyncio.get_running_loop()
        connections = ReplicaTransport((), 5_000 * MS, 10_000 * MS, 8, time.time_ns)

        async def ask(target: str, worker: Replica) -> Outcome:
            call = ClientRequest(
                StreamingResponse.__new__(StreamingResponse), 0, 0, "1", "POST", target, {}, b""
            )
            now = time.time_ns()
            count = len(told.ends)
            connections.start(Attempt(call, 0, worker, now, now + 5_000 * MS, told))
            await until(lambda: len(told.ends) > count)
            return told.ends[-1]

        try:
            first, second = (Replica(n, str(n), ("127.0.0.1", port), ReplicaState.READY, 0) for n in (1, 2))
            assert await ask("/", first) is Outcome.OK
            idle = connections.idle[1][0]
            await until(lambda: loop.time() > idle.idle_since + SETTLE)
            assert await ask("/full", first) is Outcome.OVERLOADED
            assert connections.keep_alive.limit(loop.time()) == 8.0, "a kept connection had its place"
            assert await ask("/full", second) is Outcome.OVERLOADED
            assert connections.keep_alive.limit(loop.time()) < 5.0
        finally:
            connections.close()
            server.close()

    asyncio.run(whole())
