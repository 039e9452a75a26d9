"""The deadline that a replica receives never exceeds the time that remains to its client."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Awaitable, Callable
from typing import Any

from lockspoke.lifecycle.event_loop import ArrivalTrackingLoop
from tests.peers import Gateway, RawConnection, ScriptedServer, block_event_loop
from tests.standins import EVENTS, STREAM_HEAD, chunk, request_bytes, until

DEADLINE_MS = 4000
TOLERANCE_MS = 150  # The replica's deadline may exceed the client's by this much.
BUSY_TIME = 0.4  # Seconds for which a test blocks the event loop or delays a step.


def run_scenario(
    test: Callable[[Gateway, ScriptedServer], Awaitable[None]],
    with_full_backlog: bool = False,
    **settings: Any,
) -> None:
    async def scenario() -> None:
        peer = ScriptedServer(backlog_full=with_full_backlog)
        async with Gateway(peer, **settings) as gateway:
            await test(gateway, peer)

    with asyncio.Runner(loop_factory=ArrivalTrackingLoop) as runner:
        runner.run(scenario())


async def received_deadline_ms(connection: RawConnection) -> int:
    """Return the deadline in the request on a replica's connection."""
    found = re.search(rb"(?i)req-deadline-ms: (\d+)", await connection.read_until(b"{}"))
    assert found is not None
    return int(found[1])


def remaining_ms(sent_at: float) -> float:
    """Return the milliseconds that remain until the client's deadline, plus the tolerance."""
    return DEADLINE_MS - (time.monotonic() - sent_at) * 1000 + TOLERANCE_MS


def test_the_time_to_connect_is_taken_from_the_deadline() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        sent_at = time.monotonic()
        client.send(request_bytes(1, DEADLINE_MS))
        await until(lambda: gateway.core.totals.attempts == 1 and time.monotonic() - sent_at > BUSY_TIME)
        connection = await peer.free_backlog_and_accept()
        assert await received_deadline_ms(connection) <= remaining_ms(sent_at)

    run_scenario(test, with_full_backlog=True)


def test_a_retry_gets_the_remaining_time() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        second = ScriptedServer()
        gateway.add_replicas(second)
        client = await gateway.connect_client()
        sent_at = time.monotonic()
        client.send(request_bytes(1, DEADLINE_MS))
        accepting = {asyncio.ensure_future(one.accept()) for one in (peer, second)}
        done, accepting = await asyncio.wait(accepting, return_when=asyncio.FIRST_COMPLETED)
        connection = done.pop().result()
        await received_deadline_ms(connection)
        await until(lambda: time.monotonic() - sent_at > BUSY_TIME)
        connection.send(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
        assert await received_deadline_ms(await accepting.pop()) <= remaining_ms(sent_at)

    run_scenario(test)


def test_a_pipelined_request_gets_the_remaining_time() -> None:
    """Regression: its deadline counted from the end of the request before it, not from its own arrival."""

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        sent_at = time.monotonic()
        client.send(request_bytes(1, DEADLINE_MS) + request_bytes(2, DEADLINE_MS))
        connection = await peer.accept()
        await received_deadline_ms(connection)
        await until(lambda: time.monotonic() - sent_at > BUSY_TIME)
        connection.send(STREAM_HEAD + chunk(EVENTS[0]) + chunk(b""))
        assert await received_deadline_ms(await peer.accept()) <= remaining_ms(sent_at)

    run_scenario(test)


def test_the_time_unread_in_a_busy_loop_is_taken_from_the_deadline() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        await until(lambda: len(gateway.front.listener.connections) == 1)
        sent_at = time.monotonic()
        client.send(request_bytes(1, DEADLINE_MS))
        block_event_loop(BUSY_TIME)
        assert await received_deadline_ms(await peer.accept()) <= remaining_ms(sent_at)

    run_scenario(test)


def test_an_idle_loop_takes_nothing_from_the_deadline() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        await asyncio.sleep(BUSY_TIME)
        client.send(request_bytes(1, DEADLINE_MS))
        assert await received_deadline_ms(await peer.accept()) > DEADLINE_MS - BUSY_TIME * 1000 / 2

    run_scenario(test)
