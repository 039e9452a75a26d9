"""A network between members on loopback: each direction of each pair can be cut on its own."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable

HostPort = tuple[str, int]


_RESERVED_PORTS: list[socket.socket] = []


def free_port() -> HostPort:
    """A free TCP port. It stays bound here without listening, so that no other process gets it."""
    placeholder = socket.socket()
    placeholder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    placeholder.bind(("127.0.0.1", 0))
    _RESERVED_PORTS.append(placeholder)
    address: HostPort = placeholder.getsockname()
    return address


class Relay:
    """Forwards the datagrams between members, through one port for each direction of each pair.

    Attributes:
        peer_addresses: By member, the addresses at which it reaches the others.
        listen_addresses: By member, the address where it listens; to be set after its start.
        blocked: The directions that are cut.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self.names = list(names)
        self.listen_addresses: dict[str, HostPort] = dict.fromkeys(self.names, ("127.0.0.1", 0))
        self.peer_addresses: dict[str, dict[str, HostPort]] = {name: {} for name in self.names}
        self.blocked: set[tuple[str, str]] = set()
        self.forwarded = 0
        self._sockets: list[socket.socket] = []

    def start(self) -> None:
        """Start forwarding on the running loop."""
        loop = asyncio.get_running_loop()
        for sender in self.names:
            self.peer_addresses[sender][sender] = self.listen_addresses[sender]
            for receiver in self.names:
                if receiver == sender:
                    continue
                relay_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                relay_socket.bind(("127.0.0.1", 0))
                relay_socket.setblocking(False)
                self._sockets.append(relay_socket)
                self.peer_addresses[sender][receiver] = relay_socket.getsockname()
                loop.add_reader(relay_socket.fileno(), self._forward, relay_socket, sender, receiver)

    def _forward(self, relay_socket: socket.socket, sender: str, receiver: str) -> None:
        try:
            data = relay_socket.recv(65536)
            if (sender, receiver) not in self.blocked:
                self.forwarded += 1
                relay_socket.sendto(data, self.listen_addresses[receiver])
        except (OSError, OverflowError):
            pass  # The receiver is not listening.

    def cut(self, name: str, others: Iterable[str] | None = None, one_way: bool = False) -> None:
        """Block the datagrams between a member and others (default: all), or only those that it sends."""
        for other in self.names if others is None else others:
            self.blocked.add((name, other))
            if not one_way:
                self.blocked.add((other, name))

    def heal(self) -> None:
        """Remove all blocks."""
        self.blocked.clear()

    def close(self) -> None:
        """Stop forwarding."""
        for relay_socket in self._sockets:
            asyncio.get_running_loop().remove_reader(relay_socket.fileno())
            relay_socket.close()
