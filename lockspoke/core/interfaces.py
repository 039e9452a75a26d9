"""The protocols through which the core accesses clients, discovery and the clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol


class TimerHandle(Protocol):
    """A scheduled callback."""

    def cancel(self) -> None:
        """Cancel the callback: it is not called, and no reference to it is kept."""


class Clock(Protocol):
    """Provides the current time, and schedules callbacks."""

    def now(self) -> int:
        """Return the nanoseconds since the Unix epoch by a clock that never goes back."""

    def wall_time(self) -> int:
        """Return the nanoseconds since the Unix epoch by the wall clock, which may be reset at any time."""

    def earliest_arrival(self) -> int:
        """Return the earliest time at which input that is being read now can have arrived.

        A busy event loop reads input some time after the kernel received it. A deadline that is counted from
        the time of reading would be later than the client's own.
        """

    def call_later(self, delay: int, callback: Callable[[], None]) -> TimerHandle:
        """Schedule a callback after `delay` nanoseconds; the returned handle cancels it."""


class ResponseWriter(Protocol):
    """Writes the response to one request.

    A request is completed by exactly one call of `finish`, `abort`, `reject` or `fail`, or by none of them if
    the client has disconnected.
    """

    @property
    def has_unread_input(self) -> bool:
        """Whether input of the client is unread; closing its connection counts as input."""

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        """Send a chunk of the stream. If a future is returned, write no more until it is done."""

    def finish(self) -> None:
        """End a response whose stream is complete."""

    def abort(self) -> None:
        """Abort a response whose stream has started but cannot be completed."""

    def reject(self, retry_after: int) -> None:
        """Send an overload reply, which tells the client that a retry is safe.

        If `retry_after` is not 0, the client is asked to wait that many nanoseconds before the retry.
        """

    def fail(self) -> None:
        """Send an error reply that does not say whether the request ran."""


class Discovery(Protocol):
    """The source of the endpoint list."""

    @property
    def has_unread_changes(self) -> bool:
        """Whether changes of the list have arrived that are not applied yet."""

    def watch(self, enable: bool) -> None:
        """Start or stop polling for changes; starting has no effect if a watch is running."""
