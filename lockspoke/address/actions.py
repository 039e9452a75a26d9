"""The actions that the election returns and that `Node` carries out."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import ElectionMessage


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a member."""

    to: str
    message: ElectionMessage


@dataclass(frozen=True, slots=True)
class ExtendLease:
    """This instance holds the address until `until`, in nanoseconds on its own clock."""

    token: int
    until: int


@dataclass(frozen=True, slots=True)
class LoseLease:
    """This instance no longer holds the address."""

    reason: str


Action = SendMessage | ExtendLease | LoseLease
