"""The protocols through which the core reaches clients, replicas, discovery and the clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol


class TimerHandle(Protocol):
    """A callback that the clock has scheduled."""

    def cancel(self) -> None:
        """Drop the callback: it is not called, and no reference to it remains."""


class Clock(Protocol):
    """The current time, and callbacks at a later time."""

    def now(self) -> int:
        """Nanoseconds since the Unix epoch; never goes back."""

    def wall_time(self) -> int:
        """Nanoseconds since the Unix epoch by the system's wall clock, which may be set at any time."""

    def earliest_arrival(self) -> int:
        """The earliest time at which input that is being read now can have arrived.

        A busy event loop reads input some time after the kernel received it. Deadlines count from arrival,
        so they must not start later than this.
        """

    def call_later(self, delay: int, callback: Callable[[], None]) -> TimerHandle:
        """Call back after `delay` nanoseconds; returns the handle that cancels it."""


class ResponseWriter(Protocol):
    """Where the response to one request is written.

    A request is completed by exactly one call of `finish`, `abort`, `reject` or `fail`, or by none of them if
    the client has disconnected.
    """

    @property
    def has_unread_input(self) -> bool:
        """Whether the client has sent something that is not read yet, such as the close of its connection."""

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        """Send a part of the stream. If a future is returned, write no more until it is done."""

    def finish(self) -> None:
        """End the response: the stream is complete."""

    def abort(self) -> None:
        """Cut the response: the stream broke off after it had begun."""

    def reject(self, retry_after: int) -> None:
        """Send an overload reply: a retry does no harm, after `retry_after` nanoseconds unless 0."""

    def fail(self) -> None:
        """Send an error reply that leaves open whether the request ran."""


class Discovery(Protocol):
    """The source of the endpoint list."""

    @property
    def has_unread_changes(self) -> bool:
        """Whether changes have arrived that are not applied yet."""

    def watch(self, enable: bool) -> None:
        """Start or stop polling for changes; starting again while a watch runs has no effect."""
