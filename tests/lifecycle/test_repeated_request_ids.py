"""A request is not run again under an ID whose earlier client has left."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from tests.standins import (
    EVENTS,
    SECOND,
    STREAM_HEAD,
    STREAM_TAIL,
    Client,
    FakeReplica,
    Program,
    chunk,
    request_bytes,
    until,
)

from .support import run

RUN_SECONDS = 0.4  # How long the replica takes to respond.
EFFECTS = {"free": {}, "single_shot": {}, "guarded": {"dedupScope": "all", "window": 5 * SECOND}}


def profiles(effect: str) -> list[dict[str, Any]]:
    more = EFFECTS[effect]
    return [{"name": "docs", "effect": effect, "aim": SECOND, "deadline": 4 * SECOND, **more}]


async def respond_slowly(writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(RUN_SECONDS)
    writer.write(STREAM_HEAD + b"".join(map(chunk, [*EVENTS, STREAM_TAIL])) + chunk(b""))


async def leave(program: Program, replica: FakeReplica, raw: bytes) -> None:
    """Send a request, and close the connection once a replica has it."""
    seen = len(replica.seen)
    async with Client(program.port) as client:
        client.writer.write(raw)
        await until(lambda: len(replica.seen) > seen)
    await asyncio.sleep(RUN_SECONDS / 4)  # The gateway detects the close within 0.1 s.


@pytest.mark.parametrize("effect", EFFECTS)
def test_id_of_a_client_that_left_does_not_run_twice_at_once(effect: str) -> None:
    """Regression: the attempt of the client that had left was still running at a replica."""

    @run
    async def test() -> None:
        async with (
            FakeReplica(respond_slowly) as replica,
            Program(replica, profiles=profiles(effect)) as program,
        ):
            await leave(program, replica, request_bytes(1))
            async with Client(program.port) as client:
                assert (await client.request(request_bytes(1)))[0] == 409
            assert len(replica.seen) == 1

    test()


@pytest.mark.parametrize("effect", [effect for effect in EFFECTS if effect != "free"])
def test_id_of_a_client_that_left_does_not_run_again_later(effect: str) -> None:
    """Regression: once the attempt had ended at the replica, its ID was accepted again."""

    @run
    async def test() -> None:
        async with (
            FakeReplica(respond_slowly) as replica,
            Program(replica, profiles=profiles(effect)) as program,
        ):
            await leave(program, replica, request_bytes(1))
            await until(lambda: replica.closed == 1)
            async with Client(program.port) as client:
                assert (await client.request(request_bytes(1)))[0] == 409
            assert len(replica.seen) == 1
            async with Client(program.port) as client:
                assert (await client.request(request_bytes(2)))[0] == 200

    test()


@pytest.mark.parametrize(("size", "count"), [(10, 4), (10, 300), (3000, 400), (50_000, 4), (200_000, 40)])
def test_requests_of_a_client_that_closes_with_much_unread_are_not_sent_on(size: int, count: int) -> None:
    @run
    async def test() -> None:
        sent_at: list[float] = []

        async def respond(writer: asyncio.StreamWriter) -> None:
            sent_at.append(time.monotonic())
            await respond_slowly(writer)

        body = b'{"a":"%s"}' % (b"x" * size)
        async with FakeReplica(respond) as replica, Program(replica) as program:
            async with Client(program.port) as client:
                for number in range(1, count + 1):
                    client.writer.write(request_bytes(number, body=body))
                await asyncio.sleep(RUN_SECONDS / 2)
                client.writer.transport.abort()
            closed_at = time.monotonic()
            await asyncio.sleep(4 * RUN_SECONDS)
            assert [moment - closed_at for moment in sent_at if moment > closed_at + 0.1] == []

    test()
