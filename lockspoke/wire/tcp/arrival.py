"""When bytes arrived that the kernel held while their connection waited to be accepted."""

from __future__ import annotations

import socket
import struct

# `struct tcp_info` of Linux: eight bytes, then 32-bit fields; `tcpi_last_data_recv` is the twelfth.
_LAST_DATA_RECEIVED = struct.Struct("=52xI")
_MILLISECONDS = 1000.0


def seconds_since_last_data(connected: socket.socket) -> float:
    """Return for how long the last bytes that a peer sent have been here; 0.0 where the system can't tell."""
    try:
        info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECEIVED.size)
    except OSError:
        return 0.0
    if len(info) < _LAST_DATA_RECEIVED.size:
        return 0.0
    (milliseconds,) = _LAST_DATA_RECEIVED.unpack(info)
    return float(milliseconds / _MILLISECONDS)
