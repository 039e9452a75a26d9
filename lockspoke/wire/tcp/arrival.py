"""How long ago the kernel received a connection's last bytes, which may be before it was accepted."""

from __future__ import annotations

import socket
import struct

# `struct tcp_info` of Linux: eight bytes, then 32-bit fields; `tcpi_last_data_recv` is the twelfth.
_LAST_DATA_RECEIVED = struct.Struct("=52xI")
_MILLISECONDS_PER_SECOND = 1000.0


def seconds_since_last_data(connected: socket.socket) -> float:
    """Return how long ago the last bytes of the peer arrived; 0.0 if the system cannot tell."""
    try:
        info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECEIVED.size)
    except OSError:
        return 0.0
    if len(info) < _LAST_DATA_RECEIVED.size:
        return 0.0
    (milliseconds,) = _LAST_DATA_RECEIVED.unpack(info)
    return float(milliseconds / _MILLISECONDS_PER_SECOND)
