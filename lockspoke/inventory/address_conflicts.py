"""Ensures that no two hosts get the same address, even if one of them is held at its last valid state."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .decisions import Action, KnownReplica, Target


class _Conflict(NamedTuple):
    """Two hosts with the same target address."""

    first: str
    second: str


def resolve_address_conflicts(targets: dict[str, Target], known: Mapping[str, KnownReplica]) -> None:
    """Change targets until no two hosts have the same address.

    Of two hosts in conflict, the one that would change to the address is held at its own address, or kept out
    if it is new. Another host may be about to take that address, so this is repeated until no conflict is
    left. It ends, as each round holds or keeps out one more host.
    """
    if not any(
        _changes_address(name, targets, known)
        for name, planned in targets.items()
        if planned.record is not None
    ):
        return
    unchanged = {
        known_replica.record.address: name for name, known_replica in known.items() if name not in targets
    }
    while (conflict := _find_conflict(targets, unchanged)) is not None:
        moving_host, current_host = conflict
        if not _changes_address(moving_host, targets, known):
            current_host, moving_host = conflict
        reason = f"its address is still held by {current_host}"
        replica, moving = known.get(moving_host), targets[moving_host].record
        if replica is None:
            targets[moving_host] = Target(Action.KEEP_OUT, None, reason)
        else:
            requested_state = moving.state if moving is not None else None
            targets[moving_host] = Target.defer(replica.record, reason, requested_state)


def _find_conflict(
    targets: Mapping[str, Target], unchanged: Mapping[tuple[str, int], str]
) -> _Conflict | None:
    claimed: dict[tuple[str, int], str] = {}
    for name, target in targets.items():
        if target.record is None:
            continue
        address = target.record.address
        other = unchanged.get(address) or claimed.setdefault(address, name)
        if other != name:
            return _Conflict(other, name)
    return None


def _changes_address(name: str, targets: Mapping[str, Target], known: Mapping[str, KnownReplica]) -> bool:
    target = targets.get(name)
    if target is None:
        return False  # The host has no target because it does not change.
    replica, record = known.get(name), target.record
    return replica is None or record is None or record.address != replica.record.address
