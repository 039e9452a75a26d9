"""The state of planned transfers of the lease, at the holder and at its successor."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_TRANSFER_ATTEMPTS = 5


@dataclass(slots=True)
class Succession:
    """At the holder: the successor that it prepares, and the next ones to try if it is shutting down."""

    successor: str = ""
    deadline: int = 0
    serial: int = 0  # The serial of the prepare request; it is 0 before the first one.
    remaining: list[str] | None = None  # This is a list, maybe an empty one, during a shutdown.

    @property
    def is_shutting_down(self) -> bool:
        """Whether the holder shuts down as soon as a successor has the address."""
        return self.remaining is not None

    def prepare(self, successor: str, deadline: int) -> None:
        """Choose a successor, which has to be ready before `deadline`."""
        self.successor, self.deadline, self.serial = successor, deadline, 0

    def finish(self) -> None:
        """Record that the lease was transferred."""
        self.remaining, self.successor = None, ""


@dataclass(slots=True)
class LeaseTransfer:
    """At the former holder: a lease that is sent again until the successor shows that it has it."""

    successor: str
    serial: int
    term: int
    until: int
    remaining_attempts: int = MAX_TRANSFER_ATTEMPTS
    sent_at: int = 0

    def may_send(self, now: int) -> bool:
        """Whether there are attempts and lease time left."""
        return self.remaining_attempts > 0 and now < self.until

    def record_attempt(self, now: int) -> None:
        """Count an attempt."""
        self.remaining_attempts -= 1
        self.sent_at = now


@dataclass(frozen=True, slots=True)
class TransferOffer:
    """At the successor: a prepare request of the holder, and when it was first accepted."""

    serial: int
    ready_at: int


@dataclass(slots=True)
class TransferOffers:
    """At the successor: prepare requests by holder. A transfer is accepted at most once."""

    pending: dict[str, TransferOffer] = field(default_factory=dict)
    accepted_serials: dict[str, int] = field(default_factory=dict)

    def accept_offer(self, holder: str, serial: int, now: int) -> bool:
        """Record a prepare request; False if it is out of date.

        The time of the first request with a serial is kept, since it is earlier than any transfer for it.
        """
        known = self.pending.get(holder)
        known_serial = known.serial if known is not None else 0
        if serial < known_serial or self._was_accepted(holder, serial):
            return False
        if serial > known_serial:
            self.pending[holder] = TransferOffer(serial, now)
        return True

    def ready_at(self, holder: str, serial: int) -> int | None:
        """When this member became ready for a transfer; None if the transfer is not valid."""
        offer = self.pending.get(holder)
        if offer is None or offer.serial != serial or self._was_accepted(holder, serial):
            return None
        return offer.ready_at

    def accept_transfer(self, holder: str, serial: int) -> None:
        """Record that a transfer was accepted."""
        self.accepted_serials[holder] = serial

    def withdraw(self) -> None:
        """Accept no transfer for the requests so far: the votes behind it are this member's no longer."""
        for holder, offer in self.pending.items():
            self.accept_transfer(holder, offer.serial)  # A late or repeated request is not accepted either.
        self.pending.clear()

    def _was_accepted(self, holder: str, serial: int) -> bool:
        return serial <= self.accepted_serials.get(holder, 0)
