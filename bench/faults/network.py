"""Sockets whose calls fail at random, as drawn from a seed."""

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
BREAK_EVENT = "injected_break"  # log event of an injected break, with the local port of the connection
BREAK_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)


def system_error(number: int) -> OSError:
    """The exception that the system raises for an error number."""
    return OSError(number, os.strerror(number))


class NetworkFaults:
    """Draws the network faults of a seed; each kind of fault has its own generator."""

    def __init__(self, settings: FaultSettings) -> None:
        self._settings = settings
        self._accept_until = time.monotonic() + settings.accept_until
        self._accept_rng, self._socket_rng, self._connect_rng, self._break_rng, self._short_rng = (
            random.Random(f"{settings.seed}:{name}")
            for name in ("accept", "socket", "connect", "break", "short")
        )

    def before_socket(self) -> None:
        """Perhaps raise an error instead of creating a socket."""
        if self._socket_rng.random() < self._settings.socket_share:
            raise system_error(self._socket_rng.choice(SOCKET_ERRORS))

    def before_accept(self) -> None:
        """Perhaps raise an error instead of accepting a connection."""
        if time.monotonic() < self._accept_until and self._accept_rng.random() < self._settings.accept_share:
            raise system_error(self._accept_rng.choice(ACCEPT_ERRORS))

    def before_connect(self) -> None:
        """Perhaps raise an error instead of connecting."""
        if self._connect_rng.random() < self._settings.connect_share:
            raise system_error(self._connect_rng.choice(CONNECT_ERRORS))

    def break_error(self) -> int:
        """The error number with which a connection breaks now, or 0 if it does not."""
        breaks = self._break_rng.random() < self._settings.break_share
        return self._break_rng.choice(BREAK_ERRORS) if breaks else 0

    def limit_size(self, wanted: int) -> int:
        """The number of bytes that a call transfers of the wanted ones; a short call transfers fewer."""
        if wanted > 1 and self._short_rng.random() < self._settings.short_share:
            return self._short_rng.randrange(1, wanted)
        return wanted


class FaultySocket(socket.socket):
    """A socket whose calls fail at random; a connection that broke stays broken."""

    faults = NetworkFaults(FaultSettings())
    broken_errno = 0
    # Only connections that the process has opened break. On an accepted connection a break would look to the
    # checker like a dropped request, because the client's request can no longer be answered.
    may_break = True

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:  # noqa: A002  as the standard library names it
        if fileno is None:
            self.faults.before_socket()
        super().__init__(family, type, proto, fileno)

    def accept(self) -> Any:
        """Accept a connection, or raise an injected error."""
        self.faults.before_accept()
        accepted, address = super().accept()
        assert isinstance(accepted, FaultySocket)
        accepted.may_break = False
        return accepted, address

    def connect(self, address: Any) -> None:
        """Connect, or raise an injected error."""
        self.faults.before_connect()
        super().connect(address)

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Receive some of the bytes that have arrived, or raise an injected error."""
        size = self.faults.limit_size(nbytes or len(buffer))
        try:
            received = int(super().recv_into(buffer, size, flags))
        except BlockingIOError:
            self._raise_if_broken()  # as the system does, only once all bytes that have arrived are read
            raise
        return received

    def send(self, data: Any, flags: int = 0) -> int:
        """Send some of the bytes, or raise an injected error."""
        self._raise_if_broken()
        return int(super().send(memoryview(data)[: self.faults.limit_size(len(data))], flags))

    def _raise_if_broken(self) -> None:
        """Perhaps break the connection now, and raise its error if it is broken."""
        if not self.may_break or self.family == socket.AF_UNIX:  # the event loop's own socket pair
            return
        if not self.broken_errno:
            self.broken_errno = self.faults.break_error()
            if self.broken_errno:
                line = {"event": BREAK_EVENT, "level": "info", "port": self.getsockname()[1]}
                print(json.dumps(line), file=sys.stderr, flush=True)
        if self.broken_errno:
            raise system_error(self.broken_errno)


def install(settings: FaultSettings) -> None:
    """Replace `socket.socket`, also for every module that is imported from now on."""
    FaultySocket.faults = NetworkFaults(settings)
    socket.socket = FaultySocket  # type: ignore[misc]  # the name is a class
