"""Ensures that no two hosts get one address, also where one of them is held at its last valid state."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .decisions import Action, KnownReplica, Target


class _Conflict(NamedTuple):
    """Two hosts that are to have one address."""

    first: str
    second: str


def resolve_address_conflicts(targets: dict[str, Target], known: Mapping[str, KnownReplica]) -> None:
    """Change targets until no two hosts have one address.

    Of two hosts the one that would move to the address gives way. It then stays where another host may want
    to move to, so this is repeated until there is no conflict; each round holds one more host.
    """
    if not any(
        _changes_address(name, targets, known) for name, one in targets.items() if one.record is not None
    ):
        return
    unchanged = {one.record.address: name for name, one in known.items() if name not in targets}
    while (conflict := _find_conflict(targets, unchanged)) is not None:
        newcomer, occupant = conflict
        if not _changes_address(newcomer, targets, known):
            occupant, newcomer = conflict
        reason = f"its address is still held by {occupant}"
        replica = known.get(newcomer)
        if replica is None:
            targets[newcomer] = Target(Action.KEEP_OUT, None, reason)
        else:
            targets[newcomer] = Target.hold(replica.record, reason)


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
        return False  # an unchanged host
    replica, record = known.get(name), target.record
    return replica is None or record is None or record.address != replica.record.address
