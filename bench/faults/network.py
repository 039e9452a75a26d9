"""Sockets whose calls fail now and then."""

from __future__ import annotations

import errno
import json
import os
import random
import socket
import sys
import time
from typing import Any

from .settings import FaultSettings

ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EHOSTUNREACH)
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EHOSTUNREACH)
BREAK_EVENT = "injected_break"  # the log line of a connection that breaks, with its own port
BREAK_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)


def fail(number: int) -> OSError:
    """An error of the system."""
    return OSError(number, os.strerror(number))


class NetworkDraws:
    """What the seed decides; each kind of fault draws from a generator of its own."""

    def __init__(self, settings: FaultSettings) -> None:
        self._settings = settings
        self._accept_until = time.monotonic() + settings.accept_until
        self._accepts, self._sockets, self._connects, self._breaks, self._shorts = (
            random.Random(f"{settings.seed}:{name}")
            for name in ("accept", "socket", "connect", "break", "short")
        )

    def before_socket(self) -> None:
        """Raise an error instead of a new socket."""
        if self._sockets.random() < self._settings.socket_share:
            raise fail(self._sockets.choice(SOCKET_ERRORS))

    def before_accept(self) -> None:
        """Raise an error instead of a connection."""
        if time.monotonic() < self._accept_until and self._accepts.random() < self._settings.accept_share:
            raise fail(self._accepts.choice(ACCEPT_ERRORS))

    def before_connect(self) -> None:
        """Raise an error instead of connecting."""
        if self._connects.random() < self._settings.connect_share:
            raise fail(self._connects.choice(CONNECT_ERRORS))

    def break_error(self) -> int:
        """The error with which a connection breaks now; 0: it does not."""
        breaks = self._breaks.random() < self._settings.break_share
        return self._breaks.choice(BREAK_ERRORS) if breaks else 0

    def size(self, wanted: int) -> int:
        """How many of so many bytes a call takes."""
        if wanted > 1 and self._shorts.random() < self._settings.short_share:
            return self._shorts.randrange(1, wanted)
        return wanted


class FaultySocket(socket.socket):
    """A socket whose calls fail now and then; one that broke stays broken."""

    draws = NetworkDraws(FaultSettings())
    broken = 0
    # Only connections that the process has opened break: what a client has sent and cannot be told any more
    # looks the same as a request that was dropped.
    may_break = True

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:  # noqa: A002  as the standard library names it
        if fileno is None:
            self.draws.before_socket()
        super().__init__(family, type, proto, fileno)

    def accept(self) -> Any:
        """Accept a connection, or fail."""
        self.draws.before_accept()
        accepted, address = super().accept()
        assert isinstance(accepted, FaultySocket)
        accepted.may_break = False
        return accepted, address

    def connect(self, address: Any) -> None:
        """Connect, or fail."""
        self.draws.before_connect()
        super().connect(address)

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Receive some of what has come, or fail."""
        size = self.draws.size(nbytes or len(buffer))
        try:
            received = int(super().recv_into(buffer, size, flags))
        except BlockingIOError:
            self._break()  # only behind what has come: the system returns that first
            raise
        return received

    def send(self, data: Any, flags: int = 0) -> int:
        """Send some of the bytes, or fail."""
        self._break()
        return int(super().send(memoryview(data)[: self.draws.size(len(data))], flags))

    def _break(self) -> None:
        if not self.may_break or self.family == socket.AF_UNIX:  # the event loop's own pair
            return
        if not self.broken:
            self.broken = self.draws.break_error()
            if self.broken:
                line = {"event": BREAK_EVENT, "level": "info", "port": self.getsockname()[1]}
                print(json.dumps(line), file=sys.stderr, flush=True)
        if self.broken:
            raise fail(self.broken)


def install(settings: FaultSettings) -> None:
    """Replace the sockets of every module that is imported from now on."""
    FaultySocket.draws = NetworkDraws(settings)
    socket.socket = FaultySocket  # type: ignore[misc]  # the name is a class
