"""What operators have set at one gateway, and how the processes of that gateway agree on it.

While a new version starts beside the old one, operators may call either. All changes are made one after
another to one stored state, so the latest stored state includes every change before it. A replica that it
does not mention is one of which it says nothing: only an operator's call ends a ban.
"""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class BanChange:
    """An operator's call that takes a replica offline or puts it back."""

    uid: str
    banned: bool


@dataclass(frozen=True, slots=True)
class ServiceChange:
    """An operator's call that takes the gateway out of service or back."""

    out_of_service: bool


Change = BanChange | ServiceChange


@dataclass(frozen=True, slots=True)
class OperatorState:
    """What operators have set."""

    serial: int = 0  # The number of changes so far; 0 if that is not known.
    banned: frozenset[str] = frozenset()  # The uids of replicas that are offline.
    ended: frozenset[str] = frozenset()  # The uids of replicas that have been put back.
    out_of_service: bool | None = None  # None if no operator has said so.

    def after(self, change: Change) -> OperatorState:
        """The state after a change."""
        if isinstance(change, ServiceChange):
            return replace(self, serial=self.serial + 1, out_of_service=change.out_of_service)
        uid = frozenset([change.uid])
        banned = self.banned | uid if change.banned else self.banned - uid
        ended = self.ended - uid if change.banned else self.ended | uid
        return replace(self, serial=self.serial + 1, banned=banned, ended=ended)

    def updated_by(self, stored: OperatorState) -> OperatorState:
        """This process's state after it has read the stored one, which is later."""
        return replace(
            stored,
            serial=max(self.serial, stored.serial),
            banned=stored.banned | (self.banned - stored.ended),
            ended=stored.ended | (self.ended - stored.banned),
            out_of_service=(self.out_of_service if stored.out_of_service is None else stored.out_of_service),
        )
