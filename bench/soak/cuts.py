"""Cuts answers at a random byte, by a reset or by a half-close of the connection."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from enum import Enum
from typing import Any

CUT_SHARE = 0.08  # share of the answers that are cut
MAX_BYTES_BEFORE_CUT = 3000  # exclusive bound of the bytes that are written before a cut


class Cut(Enum):
    """How the connection is cut."""

    RESET = "reset"
    HALF_CLOSE = "half_close"  # nothing more is sent; what arrives is still read


class CutWriter:
    """Writes bytes up to a limit, and then cuts the connection."""

    def __init__(self, writer: asyncio.StreamWriter, byte_limit: int, cut: Cut) -> None:
        """Cut the connection once more than `byte_limit` bytes have been passed to `write`."""
        self.transport: Any = writer.transport
        self._writer = writer
        self._remaining_bytes = byte_limit
        self._cut = cut
        self._is_cut = False

    def write(self, data: bytes) -> None:
        """Write the bytes that are within the limit."""
        if self._is_cut:
            return
        self._writer.write(data[: self._remaining_bytes])
        if len(data) > self._remaining_bytes:
            self._cut_connection()
        self._remaining_bytes -= len(data)

    def _cut_connection(self) -> None:
        self._is_cut = True
        if self._writer.is_closing():
            return  # the gateway has closed the connection
        if self._cut is Cut.HALF_CLOSE:
            with contextlib.suppress(OSError):  # the gateway has reset the connection
                self._writer.write_eof()
            return
        connected = self._writer.get_extra_info("socket")
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def is_closing(self) -> bool:
        """Whether no more bytes are written."""
        return self._is_cut or self._writer.is_closing()

    async def drain(self) -> None:
        """Wait until the write buffer has room, unless the connection was cut."""
        if not self._is_cut:
            await self._writer.drain()


Writer = asyncio.StreamWriter | CutWriter


def draw_writer(rng: random.Random | None, writer: asyncio.StreamWriter) -> Writer:
    """The writer for one answer, which may be cut; without a generator it never is."""
    if rng is None or rng.random() >= CUT_SHARE:
        return writer
    return CutWriter(writer, rng.randrange(MAX_BYTES_BEFORE_CUT), rng.choice(list(Cut)))
