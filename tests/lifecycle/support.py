"""Helpers shared by the tests that run the program."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from tests.standins import EVENTS, STREAM_HEAD, chunk

UP = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    """Decorate a coroutine function as a test that runs in its own event loop."""

    def wrapped() -> None:
        asyncio.run(test())

    wrapped.__name__ = test.__name__
    return wrapped


def responds_with(text: bytes) -> Callable[[asyncio.StreamWriter], Awaitable[None]]:
    """Return a script for a fake replica that sends these bytes."""

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
