"""The interface through which sources of the endpoint list report to the core."""

from __future__ import annotations

from typing import Protocol

from .replica_set import ReplicaListUpdate, ReplicaSet


class EndpointListListener(Protocol):
    """Receives changes of the endpoint list; the core is one."""

    @property
    def replica_set(self) -> ReplicaSet:
        """The replicas that the list has named so far."""

    def endpoint_list_changed(
        self, update: ReplicaListUpdate, cached: bool = False, completes_poll: bool = True
    ) -> None:
        """Apply a complete list or a change of it.

        Args:
            update: the list, or what has changed in it.
            cached: whether it comes from a stored copy, not from its source.
            completes_poll: whether it ends the poll that is open or due.
        """

    def endpoint_list_failed(self) -> None:
        """Note that a request for the list has failed; the last list stays in force."""
