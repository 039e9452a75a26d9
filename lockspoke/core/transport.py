"""The protocol through which the core sends attempts to replicas."""

from __future__ import annotations

from typing import Protocol

from .replica import Replica
from .requests import Attempt


class Transport(Protocol):
    """Sends attempts to replicas and reports their progress through the methods of `Attempt`."""

    def start(self, attempt: Attempt) -> None:
        """Start an attempt. Never raises: failures are reported through the attempt."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt: nothing more is reported for it."""

    def has_unread_response(self, attempt: Attempt) -> bool:
        """Whether bytes of the attempt's response have arrived that are not forwarded yet."""

    def close_idle_connections(self, replica: Replica) -> None:
        """Close idle connections to a replica that restarted, changed address or takes no new attempts."""
