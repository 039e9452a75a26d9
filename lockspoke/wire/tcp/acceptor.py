"""Accepting the connections that wait in the kernel's queue of a listening socket."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from lockspoke.rate_limited_log import RateLimitedLog

MAX_ACCEPTS_PER_TURN = 16  # of the event loop, so that everything else goes on between them
# After a failure of the system, such as too many open files; doubled with each further one.
MIN_RETRY_DELAY_SECONDS = 0.001
MAX_RETRY_DELAY_SECONDS = 0.05
# Errors of the connection that was to be accepted, as Linux documents them: the next one is not affected.
CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)


class Acceptor:
    """Accepts connections while it is not paused, and passes each to a function.

    Where the system has no resources for another connection, it tries again after a while.
    """

    def __init__(self, listening: socket.socket, serve: Callable[[socket.socket], object]) -> None:
        """Take a listening socket, which does not block; `serve` is called with each connection."""
        self.paused = True
        # Since when connections can have been waiting; None: the queue was empty when it was last looked at.
        self._waiting_since: float | None = None
        self._listening = listening
        self._serve = serve
        self._retry_delay = MIN_RETRY_DELAY_SECONDS
        self._retry: asyncio.TimerHandle | None = None  # while it waits after a failure of the system
        self._failure_log = RateLimitedLog("accept_failed")

    def resume(self) -> None:
        """Accept from now on."""
        if self.paused:
            self.paused = False
            self._watch()

    def pause(self) -> None:
        """Leave new connections in the kernel's queue."""
        self.paused = True
        self._note_waiting()
        self._unwatch()

    @property
    def waiting_since(self) -> float:
        """When the connection that was accepted last can have come at the earliest, by the loop's clock."""
        now = asyncio.get_running_loop().time()
        return now if self._waiting_since is None else self._waiting_since

    def _note_waiting(self) -> None:
        if self._waiting_since is None:
            self._waiting_since = asyncio.get_running_loop().time()

    def _watch(self) -> None:
        self._unwatch()
        asyncio.get_running_loop().add_reader(self._listening, self._accept_some)

    def _unwatch(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        asyncio.get_running_loop().remove_reader(self._listening)

    def accept(self) -> socket.socket | None:
        """Accept one connection; returns None if none waits.

        Raises:
            OSError: The system cannot accept a connection now.
        """
        while True:
            try:
                accepted, _ = self._listening.accept()
            except BlockingIOError:
                self._waiting_since = None
                return None
            except OSError as error:
                if error.errno not in CONNECTION_ERRORS:
                    raise
            else:
                self._retry_delay = MIN_RETRY_DELAY_SECONDS
                return accepted

    def _accept_some(self) -> None:
        self._note_waiting()
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                accepted = None if self.paused else self.accept()
            except OSError as error:
                self._retry_later(error)
                return
            if accepted is None:
                return
            self._serve(accepted)

    def _retry_later(self, error: OSError) -> None:
        loop = asyncio.get_running_loop()
        self._failure_log.info(loop.time(), reason=str(error))
        # The socket stays ready: watched on, it would keep the event loop turning.
        self._unwatch()
        self._retry = loop.call_later(self._retry_delay, self._watch)
        self._retry_delay = min(2 * self._retry_delay, MAX_RETRY_DELAY_SECONDS)

    def accept_waiting(self, has_capacity: Callable[[], bool]) -> bool:
        """Accept the connections in the kernel's queue while there is capacity, paused or not.

        Returns:
            Whether none is left that could be accepted; False where the system cannot accept it now.
        """
        while has_capacity():
            try:
                accepted = self.accept()
            except OSError as error:
                self._failure_log.info(asyncio.get_running_loop().time(), reason=str(error))
                return False
            if accepted is None:
                return True
            self._serve(accepted)
        return True

    def close(self) -> None:
        """Stop listening: connections in the kernel's queue are reset."""
        self.pause()
        self._listening.close()
