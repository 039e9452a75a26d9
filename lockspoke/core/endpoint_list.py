"""The interface through which sources of the endpoint list report to the core."""

from __future__ import annotations

from typing import Protocol

from .replica_set import ReplicaListUpdate, ReplicaSet


class EndpointListListener(Protocol):
    """Receives changes of the endpoint list; implemented by the core."""

    @property
    def replica_set(self) -> ReplicaSet:
        """The replicas that the list has named so far."""

    def endpoint_list_changed(
        self, update: ReplicaListUpdate, cached: bool = False, completes_poll: bool = True
    ) -> None:
        """Apply a complete list or changes to it.

        Args:
            update: The list or changes.
            cached: Whether an earlier process stored it and its source has not confirmed it yet.
            completes_poll: Whether it is the response to the poll that the balancer waits for.
        """

    def endpoint_list_failed(self) -> None:
        """Record that a poll of the list has failed; the last list remains in use."""
