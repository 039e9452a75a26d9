"""What the tests of the running program share."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from tests.standins import EVENTS, HEAD, chunk


def run(test: Callable[[], Awaitable[None]]) -> Callable[[], None]:
    def wrapped() -> None:
        asyncio.run(test())  # type: ignore[arg-type]

    wrapped.__name__ = test.__name__  # type: ignore[attr-defined]
    return wrapped


def says(text: bytes) -> Callable[[asyncio.StreamWriter], Awaitable[None]]:
    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(text)

    return script


async def streams_on(writer: asyncio.StreamWriter) -> None:
    """A worker's stream that goes on until its gateway closes."""
    writer.write(HEAD)
    with contextlib.suppress(ConnectionError):
        while not writer.is_closing():
            writer.write(chunk(EVENTS[0]))
            await asyncio.sleep(0.1)


UP = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
