"""What the tests of the running program share."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from tests.standins import EVENTS, STREAM_HEAD, chunk

UP = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    """A test that runs in an event loop of its own."""

    def wrapped() -> None:
        asyncio.run(test())

    wrapped.__name__ = test.__name__
    return wrapped


def responds_with(text: bytes) -> Callable[[asyncio.StreamWriter], Awaitable[None]]:
    """A replica's script that sends these bytes."""

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(text)

    return script


async def stream_endlessly(writer: asyncio.StreamWriter) -> None:
    """Stream events until the gateway closes the connection."""
    writer.write(STREAM_HEAD)
    with contextlib.suppress(ConnectionError):
        while not writer.is_closing():
            writer.write(chunk(EVENTS[0]))
            await asyncio.sleep(0.1)
