"""Answers that end at any byte: by a reset, or by the end of one direction."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from enum import Enum
from typing import Any

CUT_SHARE = 0.08  # of the answers
LONGEST = 3000  # bytes that are passed on before a cut


class Cut(Enum):
    """How the connection ends."""

    RESET = "reset"
    HALF_CLOSE = "half_close"  # nothing more is sent; what arrives is still read


class CutWriter:
    """Passes bytes on up to a point, and then ends the connection."""

    def __init__(self, writer: asyncio.StreamWriter, passed: int, cut: Cut) -> None:
        """End the connection once more than `passed` bytes have been written."""
        self.transport: Any = writer.transport
        self._writer = writer
        self._remaining = passed
        self._cut = cut
        self._ended = False

    def write(self, data: bytes) -> None:
        """Write what is passed on of some bytes."""
        if self._ended:
            return
        self._writer.write(data[: self._remaining])
        if len(data) > self._remaining:
            self._end()
        self._remaining -= len(data)

    def _end(self) -> None:
        self._ended = True
        if self._writer.is_closing():
            return  # the gateway has closed it
        if self._cut is Cut.HALF_CLOSE:
            with contextlib.suppress(OSError):  # the gateway has reset it
                self._writer.write_eof()
            return
        connected = self._writer.get_extra_info("socket")
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def is_closing(self) -> bool:
        """Whether no more bytes are passed on."""
        return self._ended or self._writer.is_closing()

    async def drain(self) -> None:
        """Wait until the peer has taken enough of what was written."""
        if not self._ended:
            await self._writer.drain()


Writer = asyncio.StreamWriter | CutWriter


def draw_writer(source: random.Random | None, writer: asyncio.StreamWriter) -> Writer:
    """The writer for one answer, which may be cut; without a source it never is."""
    if source is None or source.random() >= CUT_SHARE:
        return writer
    return CutWriter(writer, source.randrange(LONGEST), source.choice(list(Cut)))
