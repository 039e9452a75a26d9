"""Elections with one fault each, to show that the checker of the simulation finds them."""

from __future__ import annotations

from typing import Any

from lockspoke.address.actions import Action
from lockspoke.address.election import Election
from lockspoke.address.election_config import ElectionConfig
from lockspoke.address.messages import ElectionMessage, MessageKind
from lockspoke.address.role import ElectionRole
from lockspoke.address.transfer import TransferOffer, TransferOffers
from lockspoke.address.voter import Voter


class NoSilentPeriod(Election):
    """Votes and becomes a candidate right after a start, although it has forgotten its votes."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **(kwargs | {"no_earlier_votes": True}))


class LeaseFromLastVote(Election):
    """Counts its lease from the last vote instead of the start of the round."""

    def _on_vote(self, sender: str, message: ElectionMessage, now: int) -> None:
        if self.vote_round is not None and self.vote_round.kind is MessageKind.VOTE_REQUEST:
            self.vote_round.started_at = now
        super()._on_vote(sender, message, now)


class _DriftlessConfig(ElectionConfig):
    """Assumes that all clocks run at exactly the same rate."""

    @property
    def holder_lease(self) -> int:
        return self.lease_duration

    @property
    def voter_lease(self) -> int:
        return self.lease_duration


class IgnoredDrift(Election):
    """Counts its lease and its votes as if clocks had no drift."""

    def __init__(self, name: str, config: ElectionConfig, *args: Any, **kwargs: Any) -> None:
        super().__init__(name, config, *args, **kwargs)
        self._ignore_drift()

    def _ignore_drift(self) -> None:
        own = self.membership.config
        driftless = _DriftlessConfig.__new__(_DriftlessConfig)
        for name in ElectionConfig.__dataclass_fields__:
            object.__setattr__(driftless, name, getattr(own, name))
        self.membership.config = driftless

    def change_config(self, config: ElectionConfig, now: int) -> list[Action]:
        actions = super().change_config(config, now)
        self._ignore_drift()
        return actions


class ForgottenVote(Election):
    """Votes, and forgets the vote at once."""

    def _vote_for(self, to: str, term: int, now: int) -> None:
        super()._vote_for(to, term, now)
        self.voter.voted_for, self.voter.vote_until = "", now


class _AnyTermVoter(Voter):
    """Votes in any term."""

    def may_vote_in(self, term: int, candidate: str) -> bool:
        return True


class OldTokens(Election):
    """Votes in any term, and doesn't learn terms from others."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.voter = _AnyTermVoter(self.voter.vote_until, self.voter.voted_term)

    def receive(self, sender: str, message: ElectionMessage, now: int) -> list[Action]:
        term_before = self.term
        actions = super().receive(sender, message, now)
        if self.role not in (ElectionRole.CANDIDATE, ElectionRole.HOLDER):
            self.term = term_before
        return actions


class UncheckedMembershipChange(Election):
    """Adopts any member list at once, settled or not."""

    def change_config(self, config: ElectionConfig, now: int) -> list[Action]:
        self.membership.known_settled = self.config.generation
        return super().change_config(config, now)


class AnyMembership(UncheckedMembershipChange):
    """Adopts any member list at once, and votes for candidates with any member list."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.membership.may_grant = lambda message, now: True  # type: ignore[method-assign]


class PreviousListAfterStart(Election):
    """Votes by the list before its own after a start, as if it had adopted its own just then."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.membership._previous_list_until = self.membership.adopted_at + self.config.settle_time


class TransferFromArrival(Election):
    """Counts a transferred lease from its arrival instead of the moment when the successor became ready."""

    def _on_transfer_lease(self, sender: str, message: ElectionMessage, now: int) -> None:
        offer = self.transfer_offers.pending.get(sender)
        if offer is not None:
            ready_at = now + self.config.voter_lease - message.duration
            self.transfer_offers.pending[sender] = TransferOffer(offer.serial, ready_at)
        super()._on_transfer_lease(sender, message, now)


class _KeptOffers(TransferOffers):
    """Accepts transfers for all requests."""

    def withdraw(self) -> None:
        pass


class LateTransfer(Election):
    """Accepts a transfer although it has released the votes behind it, or handed them on."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.transfer_offers = _KeptOffers()


class VotersFreedByTransfer(Election):
    """Ends its vote when the lease is transferred, so that it may vote for any candidate."""

    def _on_release(self, sender: str, message: ElectionMessage, now: int) -> None:
        super()._on_release(sender, message, now)
        if self.voter.voted_for != sender:
            self.voter.vote_until = now


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
