"""Opening TCP connections, to replicas and to discovery."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable

from tornado.iostream import IOStream, StreamClosedError

READ_SIZE_BYTES = 16 * 1024
# Errors for a temporary lack of resources or routes on this machine, not caused by the peer.
LOCAL_ERRORS = frozenset(
    {errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENETUNREACH, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
# Delays after such an error; each further error doubles the delay.
MIN_RETRY_DELAY_SECONDS = 0.002
MAX_RETRY_DELAY_SECONDS = 0.05

Address = tuple[str, int]  # An IP address and a port.
Dial = Callable[[Address], Awaitable[IOStream]]  # Raises OSError or StreamClosedError.


async def dial(endpoint: Address, read_size: int = READ_SIZE_BYTES) -> IOStream:
    """Open a connection that sends small writes immediately, and is read up to `read_size` bytes at a time.

    When this machine lacks the resources for another connection, it retries until it is cancelled: the
    caller sets the time limit.

    Raises:
        OSError: The connection cannot be established.
        StreamClosedError: The connection attempt failed, for example because the peer refused it.
    """
    delay = MIN_RETRY_DELAY_SECONDS
    while True:
        try:
            return await _dial_once(endpoint, read_size)
        except OSError as error:
            if _error_number(error) not in LOCAL_ERRORS:
                raise
        await asyncio.sleep(delay)
        delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS)


async def _dial_once(endpoint: Address, read_size: int) -> IOStream:
    family = socket.AF_INET6 if ":" in endpoint[0] else socket.AF_INET
    stream = IOStream(socket.socket(family, socket.SOCK_STREAM), read_chunk_size=read_size)
    try:
        stream.set_nodelay(True)
        await stream.connect(endpoint)
    except BaseException:
        stream.close()
        raise
    return stream


def _error_number(error: OSError) -> int | None:
    """Return the error number; a StreamClosedError holds the error that closed the stream."""
    if isinstance(error, StreamClosedError) and isinstance(error.real_error, OSError):
        return error.real_error.errno
    return error.errno
