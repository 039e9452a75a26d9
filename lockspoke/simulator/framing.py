"""Frames on the simulator's wire: a little-endian u32 length, then that many bytes."""

from __future__ import annotations

import struct
from typing import BinaryIO

LENGTH = struct.Struct("<I")


class WireError(ValueError):
    """Bytes that do not follow the protocol; the text says what is wrong and where."""


def read_frame(stream: BinaryIO) -> bytes | None:
    """Return the next frame without its length; None at the end of the input.

    Raises:
        WireError: The input ends within a frame.
    """
    head = _read_exactly(stream, LENGTH.size, "frame length")
    if not head:
        return None
    (size,) = LENGTH.unpack(head)
    body = _read_exactly(stream, size, "frame")
    if len(body) < size:
        raise WireError(f"frame cut short: 0 of {size} bytes")
    return body


def _read_exactly(stream: BinaryIO, count: int, what: str) -> bytes:
    """Read `count` bytes, or none at the end of the input."""
    data = stream.read(count)
    if data and len(data) < count:
        raise WireError(f"{what} cut short: {len(data)} of {count} bytes")
    return data


def encode_frame(body: bytes) -> bytes:
    """Put the length before a body."""
    return LENGTH.pack(len(body)) + body
