"""The time left that a replica is told is never more than its client has, from the request's last byte on."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Awaitable, Callable
from typing import Any

from lockspoke.lifecycle.event_loop import PolledLoop
from tests.peers import Gateway, RawConnection, ScriptedServer
from tests.standins import EVENTS, STREAM_HEAD, chunk, request_bytes, until

DEADLINE_MS = 4000
SLACK_MS = 150  # the operators' figure
HELD = 0.4  # seconds


def play(
    test: Callable[[Gateway, ScriptedServer], Awaitable[None]], full: bool = False, **settings: Any
) -> None:
    async def whole() -> None:
        peer = ScriptedServer(backlog_full=full)
        async with Gateway(peer, **settings) as gateway:
            await test(gateway, peer)

    with asyncio.Runner(loop_factory=PolledLoop) as runner:
        runner.run(whole())


async def told_ms(line: RawConnection) -> int:
    """The time left that a request on a replica's connection tells."""
    found = re.search(rb"(?i)req-deadline-ms: (\d+)", await line.read_until(b"{}"))
    assert found is not None
    return int(found[1])


def left_ms(sent_at: float) -> float:
    """What the client has left of its deadline, and the slack."""
    return DEADLINE_MS - (time.monotonic() - sent_at) * 1000 + SLACK_MS


def test_a_connection_that_comes_up_late_takes_its_time_from_the_deadline() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        sent_at = time.monotonic()
        client.send(request_bytes(1, DEADLINE_MS))
        await until(lambda: gateway.core.totals["attempts"] == 1 and time.monotonic() - sent_at > HELD)
        line = await peer.free_backlog_and_accept()
        assert await told_ms(line) <= left_ms(sent_at)

    play(test, full=True)


def test_a_further_attempt_is_told_what_is_left_after_the_one_before_it() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        second = ScriptedServer()
        gateway.add_replicas(second)
        client = await gateway.connect_client()
        sent_at = time.monotonic()
        client.send(request_bytes(1, DEADLINE_MS))
        accepting = {asyncio.ensure_future(one.accept()) for one in (peer, second)}
        done, accepting = await asyncio.wait(accepting, return_when=asyncio.FIRST_COMPLETED)
        line = done.pop().result()
        await told_ms(line)
        await until(lambda: time.monotonic() - sent_at > HELD)
        line.send(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
        assert await told_ms(await accepting.pop()) <= left_ms(sent_at)

    play(test)


def test_a_request_sent_ahead_has_what_is_left_once_the_one_before_it_is_answered() -> None:
    """Its time began with its turn: it was told, and waited, longer than its client would."""

    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        sent_at = time.monotonic()
        client.send(request_bytes(1, DEADLINE_MS) + request_bytes(2, DEADLINE_MS))
        line = await peer.accept()
        await told_ms(line)
        await until(lambda: time.monotonic() - sent_at > HELD)
        line.send(STREAM_HEAD + chunk(EVENTS[0]) + chunk(b""))
        second = asyncio.ensure_future(peer.accept())
        assert await told_ms(await second) <= left_ms(sent_at)

    play(test)


def test_the_time_for_which_a_request_lay_unread_while_the_loop_was_held_is_not_told_as_left() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        await until(lambda: len(gateway.front.listener.connections) == 1)
        sent_at = time.monotonic()
        client.send(request_bytes(1, DEADLINE_MS))
        time.sleep(HELD)
        assert await told_ms(await peer.accept()) <= left_ms(sent_at)

    play(test)


def test_a_loop_that_rests_takes_nothing_from_the_deadline() -> None:
    async def test(gateway: Gateway, peer: ScriptedServer) -> None:
        client = await gateway.connect_client()
        await asyncio.sleep(HELD)
        client.send(request_bytes(1, DEADLINE_MS))
        assert await told_ms(await peer.accept()) > DEADLINE_MS - HELD * 1000 / 2

    play(test)
