"""Frames of the simulator's protocol: a little-endian u32 length, then that many bytes."""

from __future__ import annotations

import struct
from typing import BinaryIO

LENGTH = struct.Struct("<I")


class WireError(ValueError):
    """The input does not follow the protocol; the message says what is wrong and where."""


def read_frame(stream: BinaryIO) -> bytes | None:
    """Return the body of the next frame, or None at the end of the input.

    Raises:
        WireError: The input ends within a frame.
    """
    length = _read_exactly(stream, LENGTH.size, "frame length")
    if not length:
        return None
    (size,) = LENGTH.unpack(length)
    body = _read_exactly(stream, size, "frame")
    if len(body) < size:
        raise WireError(f"frame cut short: 0 of {size} bytes")
    return body


def _read_exactly(stream: BinaryIO, count: int, part: str) -> bytes:
    """Read `count` bytes, or none at the end of the input.

    Raises:
        WireError: The input ends after fewer bytes; the message names the `part` of the frame.
    """
    data = stream.read(count)
    if data and len(data) < count:
        raise WireError(f"{part} cut short: {len(data)} of {count} bytes")
    return data


def encode_frame(body: bytes) -> bytes:
    """Return the frame with this body."""
    return LENGTH.pack(len(body)) + body
