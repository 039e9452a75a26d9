"""A connection that a listener has accepted, and functions that close it."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, Protocol

from tornado.iostream import IOStream

from .close_reason import CloseReason
from .fair_reader import FairReader


class AcceptedConnection(Protocol):
    """The interface of a connection that a listener serves."""

    stream: IOStream
    reader: FairReader
    queued_since: float  # The earliest time at which it can have arrived, by the event loop's clock.
    active_at: float  # The time when it was last active, by the event loop's clock.
    has_received: bool  # Whether any byte has been received.
    close_reason: CloseReason | None  # Why this gateway closed it; None if it has not.

    @property
    def idle(self) -> bool:
        """Whether the connection is between two requests."""

    def run(self) -> Coroutine[Any, Any, None]:
        """Serve until the connection ends."""


def close(connection: AcceptedConnection, reason: CloseReason) -> None:
    """Close a connection and record the reason; the first reason is kept."""
    if not connection.stream.closed():
        connection.close_reason = connection.close_reason or reason
        connection.stream.close()


def close_if_no_input(connection: AcceptedConnection, reason: CloseReason) -> bool:
    """Close an idle connection unless input has arrived on it: a request in that input is still answered.

    Returns:
        Whether the connection was closed.
    """
    closable = connection.reader.is_open_without_input
    if closable:
        close(connection, reason)
    return closable
