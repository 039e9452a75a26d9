"""Opening TCP connections, to replicas and to discovery."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

from tornado.iostream import IOStream

READ_SIZE = 16 * 1024  # bytes

Address = tuple[str, int]  # an IP address, and a port
Dial = Callable[[Address], Awaitable[IOStream]]  # raises OSError or StreamClosedError


async def dial(endpoint: Address) -> IOStream:
    """Open a connection that sends small writes at once.

    Raises:
        OSError: The connection cannot be made.
        StreamClosedError: The peer has refused it.
    """
    family = socket.AF_INET6 if ":" in endpoint[0] else socket.AF_INET
    stream = IOStream(socket.socket(family, socket.SOCK_STREAM), read_chunk_size=READ_SIZE)
    try:
        stream.set_nodelay(True)
        await stream.connect(endpoint)
    except BaseException:
        stream.close()
        raise
    return stream
