"""Accepting the connections that wait in the kernel's queue of a listening socket."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

MAX_ACCEPTS_PER_TURN = 16  # of the event loop, so that everything else goes on between them


class Acceptor:
    """Accepts connections while it is not paused, and passes each to a function."""

    def __init__(self, listening: socket.socket, serve: Callable[[socket.socket], object]) -> None:
        """Take a listening socket, which does not block; `serve` is called with each connection."""
        self._listening = listening
        self._serve = serve
        self.paused = True

    def resume(self) -> None:
        """Accept from now on."""
        if self.paused:
            self.paused = False
            asyncio.get_running_loop().add_reader(self._listening, self._accept_some)

    def pause(self) -> None:
        """Leave new connections in the kernel's queue."""
        if not self.paused:
            self.paused = True
            asyncio.get_running_loop().remove_reader(self._listening)

    def accept(self) -> socket.socket | None:
        """Accept one connection; returns None if none waits."""
        while True:
            try:
                return self._listening.accept()[0]
            except BlockingIOError:
                return None
            except ConnectionAbortedError:
                continue  # it was closed while it waited

    def _accept_some(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            accepted = None if self.paused else self.accept()
            if accepted is None:
                return
            self._serve(accepted)

    def close(self) -> None:
        """Stop listening: connections in the kernel's queue are reset."""
        self.pause()
        self._listening.close()
