"""How the soak's clients classify the end of a connection, and time events that arrive in pieces."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from bench.soak.clients import GatewayProcess, SoakClient
from bench.soak.events import EventReader
from bench.soak.observations import Observations, ReplyKind
from tests.standins import until

ANSWER = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
HEAD_END = b"\r\n\r\n"
UNANSWERED = {ReplyKind.UNANSWERED, ReplyKind.NOT_READ}

Peer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def read_request(reader: asyncio.StreamReader) -> None:
    await reader.readuntil(HEAD_END)
    await reader.readexactly(2)


async def close_with_a_request_read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await read_request(reader)
    writer.write(ANSWER)
    await read_request(reader)
    writer.close()


async def reset_over_a_request(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await read_request(reader)
    writer.write(ANSWER)
    await reader.readexactly(1)
    linger = struct.pack("ii", 1, 0)  # the close sends a reset, as a close with unread bytes does
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@pytest.mark.parametrize(
    ("peer", "reply"),
    [(close_with_a_request_read, ReplyKind.UNANSWERED), (reset_over_a_request, ReplyKind.NOT_READ)],
)
def test_unanswered_request_is_not_read_only_after_reset(peer: Peer, reply: ReplyKind) -> None:
    """A request on a reused connection may go unanswered only if the gateway had not read it.

    The peer answers the first request and ends the connection at the second. If it has read the second one,
    the request counts as unanswered; if it resets the connection with unread bytes, it counts as not read.
    """

    async def scenario() -> None:
        server = await asyncio.start_server(peer, "127.0.0.1", 0)
        observations = Observations()
        process = GatewayProcess("g1.1", server.sockets[0].getsockname()[1])
        client = asyncio.ensure_future(SoakClient("01000001", 1, observations, lambda: process).run())
        await until(lambda: any(one.reply in UNANSWERED for one in observations.requests.values()))
        client.cancel()
        await asyncio.gather(client, return_exceptions=True)
        server.close()
        assert {one.reply for one in observations.requests.values() if one.reply in UNANSWERED} == {reply}

    asyncio.run(scenario())


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_event_delay_is_independent_of_chunk_size(size: int) -> None:
    stream = (
        b'data: {"choices":[{"index":0,"delta":{"content":"10.0"}}]}\n\n'
        b'data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\n'
        b'data: {"choices":[],"usage":{"prompt_tokens":9}}\n\ndata: [DONE]\n\n'
    )
    events = EventReader()
    for start in range(0, len(stream), size):
        events.feed(stream[start : start + size], 10.5)
    assert events.longest_delay == 0.5
