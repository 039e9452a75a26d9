"""The UDP socket of a member."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from .datagram import MAX_DATAGRAM_BYTES

MAX_DATAGRAMS_PER_WAKEUP = 64  # The limit keeps a flood from blocking the event loop.
RECEIVE_BUFFER_BYTES = 256 * 1024

HostPort = tuple[str, int]


class PeerSocket:
    """Receives and sends datagrams on the running loop."""

    def __init__(self, address: HostPort, on_datagram: Callable[[bytes], None]) -> None:
        """Open the socket and start to receive; raises OSError if the port is not available."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._on_datagram = on_datagram
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._closed = False
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self._socket.setblocking(False)
            self._socket.bind(address)
        except OSError:
            self._socket.close()
            raise
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._on_readable)

    @property
    def address(self) -> HostPort:
        """The address that the socket is bound to."""
        host, port = self._socket.getsockname()[:2]
        return host, port

    def send(self, data: bytes, address: HostPort) -> bool:
        """Send a datagram; False if the system rejects it, for example because a queue is full."""
        with contextlib.suppress(OSError):
            self._socket.sendto(data, address)
            return True
        return False

    def _on_readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            if self._closed:
                return
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # There is nothing more to read, or an earlier send caused an ICMP error.
                return
            self._on_datagram(data)

    def close(self) -> None:
        """Stop receiving and close the socket."""
        self._closed = True
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()
