"""Elections with one fault each, planted to show that the checker bites."""

from __future__ import annotations

from typing import Any

from lockspoke.address.election import (
    Action,
    Election,
    MessageKind,
    ElectionMessage,
    ElectionRole,
    ElectionConfig,
)


class NoSilentPeriod(Election):
    """Grants and stands at once after a start, though it has forgotten its grants."""

    def __init__(self, *arguments: Any, **more: Any) -> None:
        super().__init__(*arguments, **more, no_earlier_votes=True)


class LeaseFromLastVote(Election):
    """Reckons its lease from when the last answer came, not from before it asked."""

    def _on_vote(self, sender: str, message: ElectionMessage, now: int, out: list[Action]) -> None:
        if self.vote_round is not None and self.vote_round.kind is MessageKind.VOTE_REQUEST:
            self.vote_round.started_at = now
        super()._on_vote(sender, message, now, out)


class _DriftlessConfig(ElectionConfig):
    """As if all clocks ran alike, to the nanosecond."""

    @property
    def holder_lease(self) -> int:
        return self.lease_duration

    @property
    def voter_lease(self) -> int:
        return self.lease_duration


class IgnoredDrift(Election):
    """Reckons as if all clocks ran alike."""

    def __init__(self, name: str, config: ElectionConfig, *arguments: Any, **more: Any) -> None:
        super().__init__(name, config, *arguments, **more)
        self._ignore_drift()

    def _ignore_drift(self) -> None:
        own = self.membership.config
        blind = _DriftlessConfig.__new__(_DriftlessConfig)
        for name in ElectionConfig.__dataclass_fields__:
            object.__setattr__(blind, name, getattr(own, name))
        self.membership.config = blind

    def change_config(self, config: ElectionConfig, now: int) -> list[Action]:
        out = super().change_config(config, now)
        self._ignore_drift()
        return out


class ForgottenVote(Election):
    """Grants, and doesn't remember to whom."""

    def _vote_for(self, to: str, term: int, now: int) -> None:
        super()._vote_for(to, term, now)
        self.voted_for, self.vote_until = "", now


class OldTokens(Election):
    """Grants any term, and doesn't learn terms from others."""

    def _term_is_free(self, sender: str, term: int) -> bool:
        return True

    def receive(self, sender: str, message: ElectionMessage, now: int) -> list[Action]:
        known = self.term
        out = super().receive(sender, message, now)
        if self.role not in (ElectionRole.CANDIDATE, ElectionRole.HOLDER):
            self.term = known
        return out


class UncheckedMembershipChange(Election):
    """Takes up any list at once, settled or not."""

    def change_config(self, config: ElectionConfig, now: int) -> list[Action]:
        self.membership.known_settled = self.config.generation
        return super().change_config(config, now)


class AnyMembership(UncheckedMembershipChange):
    """The same, and grants by any list as well."""

    def __init__(self, *arguments: Any, **more: Any) -> None:
        super().__init__(*arguments, **more)
        self.membership.may_grant = lambda message, now: True  # type: ignore[method-assign]


class TransferFromArrival(Election):
    """Reckons a lease that it was given from when that came, not from when it said that it was ready."""

    def _on_transfer_lease(self, sender: str, message: ElectionMessage, now: int, out: list[Action]) -> None:
        if sender in self.transfer_offers:
            self.transfer_offers[sender] = (
                self.transfer_offers[sender][0],
                now + self.config.voter_lease - message.duration,
            )
        super()._on_transfer_lease(sender, message, now, out)


class VotersFreedByTransfer(Election):
    """Sets the voters free while it gives its lease away."""

    def _on_release(self, sender: str, message: ElectionMessage, now: int) -> None:
        super()._on_release(sender, message, now)
        if self.voted_for != sender:
            self.vote_until = now


FAULTS: dict[str, type[Election]] = {
    "no silence after a start": NoSilentPeriod,
    "lease reckoned from the answer": LeaseFromLastVote,
    "drift ignored": IgnoredDrift,
    "vote not remembered": ForgottenVote,
    "old token accepted": OldTokens,
    "member change two at once": AnyMembership,
    "given lease reckoned from its arrival": TransferFromArrival,
    "voters set free by a hand-over": VotersFreedByTransfer,
}
