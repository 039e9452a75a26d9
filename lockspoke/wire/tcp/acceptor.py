"""Accepts the connections that wait in a listening socket's queue in the kernel."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from lockspoke.rate_limited_log import RateLimitedLog

MAX_ACCEPTS_PER_ITERATION = 16  # The event loop then runs other tasks before the next connections.
# Delays after a system error, such as too many open files; each further error doubles the delay.
MIN_RETRY_DELAY_SECONDS = 0.001
MAX_RETRY_DELAY_SECONDS = 0.05
# Errors of the connection being accepted, as documented by Linux: they do not affect the next one.
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

    When the system lacks the resources for another connection, it retries after a delay.
    """

    def __init__(self, listening: socket.socket, serve: Callable[[socket.socket], object]) -> None:
        """Take a non-blocking listening socket, and the function that is called with each connection."""
        self.paused = True
        # Earliest time at which a queued connection can have arrived; None if the queue was last found empty.
        self._waiting_since: float | None = None
        self._listening = listening
        self._serve = serve
        self._retry_delay = MIN_RETRY_DELAY_SECONDS
        self._retry: asyncio.TimerHandle | None = None  # The timer for accepting again after a system error.
        self._failure_log = RateLimitedLog("accept_failed")

    def start_accepting(self) -> None:
        """Start accepting."""
        if self.paused:
            self.paused = False
            self._watch()

    def stop_accepting(self) -> None:
        """Stop accepting; new connections stay in the kernel's queue."""
        self.paused = True
        self._set_waiting_since()
        self._unwatch()

    @property
    def waiting_since(self) -> float:
        """Earliest time at which the last accepted connection can have arrived, by the event loop's clock."""
        now = asyncio.get_running_loop().time()
        return now if self._waiting_since is None else self._waiting_since

    def _set_waiting_since(self) -> None:
        if self._waiting_since is None:
            self._waiting_since = asyncio.get_running_loop().time()

    def _watch(self) -> None:
        self._unwatch()
        asyncio.get_running_loop().add_reader(self._listening, self._accept_ready)

    def _unwatch(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        asyncio.get_running_loop().remove_reader(self._listening)

    def accept(self) -> socket.socket | None:
        """Accept one connection; return None if the queue is empty.

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

    def _accept_ready(self) -> None:
        self._set_waiting_since()
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
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
        # The socket stays readable: if it were still watched, the event loop would spin.
        self._unwatch()
        self._retry = loop.call_later(self._retry_delay, self._watch)
        self._retry_delay = min(2 * self._retry_delay, MAX_RETRY_DELAY_SECONDS)

    def accept_waiting(self, has_capacity: Callable[[], bool]) -> bool:
        """Accept the connections in the kernel's queue while there is capacity, paused or not.

        Returns:
            Whether the queue is empty or there is no capacity left; False if the system cannot accept now.
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
        self.stop_accepting()
        self._listening.close()
