"""Starts a read of a connection."""

from __future__ import annotations

import asyncio

from tornado.iostream import IOStream, StreamClosedError


def start_read(stream: IOStream, size: int) -> asyncio.Future[bytes]:
    """Start reading the next bytes, at most `size`; never raises.

    Returns:
        A future of the bytes. Its exception is StreamClosedError however the connection ended: Tornado itself
        raises errors other than a reset as they are, such as a host that has become unreachable.
    """
    try:
        return asyncio.ensure_future(stream.read_bytes(size, partial=True))
    except StreamClosedError as error:
        closed = error
    except OSError as error:
        closed = StreamClosedError(real_error=error)
    failed: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
    failed.set_exception(closed)
    return failed
