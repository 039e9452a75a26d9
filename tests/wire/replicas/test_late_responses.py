"""A second response of a replica that comes late must not reach another client as its own.

HTTP/1.1 has nothing that ties a response to its request: on a connection that has carried a request before, a
late second response to that one and the response to the next one look the same, at any delay.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import re

import pytest

from lockspoke.balancing.events import Outcome
from lockspoke.wire.http.messages import Request
from tests.peers import Gateway, RawConnection, ScriptedServer
from tests.standins import (
    STREAM_HEAD,
    STREAM_TAIL,
    Client,
    FakeReplica,
    Program,
    chunk,
    request_bytes,
)


def response_to(request_id: str) -> bytes:
    """A complete response whose text names the request that it answers."""
    event = b'data: {"choices":[{"index":0,"delta":{"content":"answer to %s"}}]}\n\n' % request_id.encode()
    return STREAM_HEAD + chunk(event) + chunk(STREAM_TAIL) + chunk(b"")


async def receive_request(open_connection: RawConnection, server: ScriptedServer) -> RawConnection:
    """Wait for the next request on either the open connection or a new one; return where it came."""

    async def on_open_connection() -> RawConnection:
        await open_connection.read_until(b"{}")
        return open_connection

    async def on_new_connection() -> RawConnection:
        accepted = await server.accept()
        await accepted.read_until(b"{}")
        return accepted

    waits = {asyncio.ensure_future(on_open_connection()), asyncio.ensure_future(on_new_connection())}
    while waits:
        done, waits = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in done:
            # The open connection may also end, which fails its wait.
            if wait.exception() is None:
                for other in waits:
                    other.cancel()
                return wait.result()
    raise AssertionError("the request came on no connection")


@pytest.mark.parametrize("delay", [0.0, 0.012, 0.1, 1.0])
def test_a_late_second_response_does_not_answer_the_next_request(delay: float) -> None:
    """Guards against: a second response `delay` s after the first became the next request's response."""

    async def scenario() -> None:
        server = ScriptedServer()
        async with Gateway(server) as gateway:
            client = await gateway.connect_client()
            client.send(request_bytes(1))
            first = await server.accept()
            await first.read_until(b"{}")
            first.send(response_to("1"))
            assert b"answer to 1" in await client.read_until(chunk(b""))
            await asyncio.sleep(delay)
            client.send(request_bytes(2))
            carrying_second = await receive_request(first, server)
            # The replica's machine has received the second request, and still the bytes belong to the first.
            with contextlib.suppress(OSError):
                first.send(response_to("1"))
            await asyncio.sleep(0.05)
            carrying_second.send(response_to("2"))
            answer = await client.read_until(chunk(b""))
            assert b"answer to 2" in answer and b"answer to 1" not in answer

    asyncio.run(scenario())


def test_bytes_that_arrive_while_an_attempt_waits_are_not_its_response() -> None:
    """Guards against: what came between taking a connection and the first byte was read as the response."""

    async def scenario() -> None:
        server = ScriptedServer()
        async with Gateway(server) as gateway:
            gateway.has_unread_changes = True  # No attempt may send anything until this is read.
            client = await gateway.connect_client()
            client.send(request_bytes(1))
            first = await server.accept()
            first.send(response_to("another"))
            await asyncio.sleep(0.05)
            gateway.has_unread_changes = False
            answer = await client.read_until(b"overloaded\n")
            assert answer.startswith(b"HTTP/1.1 503 ") and b"another" not in answer
            assert await first.read_to_end() == b"", "nothing was sent on it, so the request has not run"
            assert gateway.core.totals.attempt_outcomes[Outcome.CONNECT_FAILED] == 1

    asyncio.run(scenario())


class RepeatingReplica(FakeReplica):
    """Repeats some of its responses after a delay, while it may be running the next request already."""

    def __init__(self, seed: int, share: float, longest_delay: float) -> None:
        super().__init__()
        self.repeated = 0
        self._random = random.Random(seed)
        self._share = share
        self._longest_delay = longest_delay
        self._repeats: set[asyncio.Task[None]] = set()

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        response = response_to(request.head.headers.get("req-id"))
        await asyncio.sleep(self._random.uniform(0.005, 0.03))
        writer.write(response)
        if self._random.random() < self._share:
            delay = self._random.uniform(0.0, self._longest_delay)
            repeat = asyncio.ensure_future(self._repeat(response, delay, writer))
            self._repeats.add(repeat)
            repeat.add_done_callback(self._repeats.discard)

    async def _repeat(self, response: bytes, delay: float, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(delay)
        self.repeated += 1
        writer.write(response)


CLIENTS = 12
REQUESTS_PER_CLIENT = 40


@pytest.mark.parametrize(
    ("share", "longest_delay", "repeating"),
    [(0.1, 0.03, 3), (0.5, 0.3, 3), (0.05, 1.0, 3), (0.3, 0.05, 1)],
    ids=["some milliseconds", "many and later", "rare and much later", "one replica alone"],
)
def test_each_client_gets_the_response_to_its_own_request(
    share: float, longest_delay: float, repeating: int
) -> None:
    """Guards against: late second responses, at random delays, gave clients the responses of others."""

    async def scenario() -> None:
        shares = [share] * repeating + [0.0] * (3 - repeating)
        replicas = [RepeatingReplica(seed, one, longest_delay) for seed, one in enumerate(shares)]
        async with contextlib.AsyncExitStack() as stack:
            for replica in replicas:
                await stack.enter_async_context(replica)
            program = await stack.enter_async_context(Program(*replicas))
            answers = await asyncio.gather(*(ask_repeatedly(program, number) for number in range(CLIENTS)))
        foreign = [(asked, given) for client in answers for asked, given in client if asked != given]
        assert not foreign, f"{len(foreign)} clients got the response to another request: {foreign[:5]}"
        assert sum(replica.repeated for replica in replicas) > 0

    asyncio.run(scenario())


async def ask_repeatedly(program: Program, client_number: int) -> list[tuple[str, str]]:
    """Send requests one after another; return the id of each with the id that its response names."""
    pauses = random.Random(client_number)
    answers: list[tuple[str, str]] = []
    async with Client(program.port) as client:
        for number in range(REQUESTS_PER_CLIENT):
            request_number = client_number * REQUESTS_PER_CLIENT + number + 1
            await asyncio.sleep(pauses.uniform(0.0, 0.06))
            status, _, body, complete = await client.request(request_bytes(request_number))
            named = re.search(rb"answer to ([0-9a-f]+)", body)
            if status == 200 and complete and named is not None:
                answers.append((f"{request_number:016x}", named[1].decode()))
    return answers
