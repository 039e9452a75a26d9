"""Decides which replica an address belongs to when endpoint lists name several there.

The process that listens at an address now is the youngest. The others have ended, and discovery has not
detected it yet: a request to one of them would reach the youngest one under a wrong name.
"""

from __future__ import annotations

from collections.abc import Container, Sequence

from .replica import Incarnation, Replica


class AddressSuccession:
    """Remembers which incarnations have been succeeded, since lists may go on naming them."""

    def __init__(self) -> None:
        self._succeeded: set[tuple[str, Incarnation]] = set()  # Each with the uid of its replica.

    def find_succeeded(self, same_endpoint: Sequence[Replica]) -> list[Replica]:
        """Return which of the replicas at one address have been succeeded by another one of them.

        The start times of their processes decide. Where these are equal or not listed, the replica that was
        listed last is the youngest. Replicas that are equal in both stay.
        """
        candidates = [replica for replica in same_endpoint if not self._is_known(replica)]
        youngest = max((_age_order(replica) for replica in candidates or same_endpoint), default=None)
        succeeded = [
            replica
            for replica in same_endpoint
            if _age_order(replica) != youngest or (candidates and self._is_known(replica))
        ]
        self._succeeded.update((replica.uid, replica.incarnation) for replica in succeeded)
        return succeeded

    def _is_known(self, replica: Replica) -> bool:
        return (replica.uid, replica.incarnation) in self._succeeded

    def prune(self, endpoints_in_use: Container[tuple[str, int]]) -> None:
        """Forget the incarnations at addresses that no listed replica has."""
        self._succeeded = {one for one in self._succeeded if one[1].endpoint in endpoints_in_use}


def _age_order(replica: Replica) -> tuple[int, int]:
    return replica.started_at, replica.listed_in
