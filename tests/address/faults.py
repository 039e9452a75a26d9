"""Elections with one fault each, planted to show that the checker bites."""

from __future__ import annotations

from typing import Any

from lockspoke.address.election import Action, Election, Kind, Message, Role, Terms


class NoSilence(Election):
    """Grants and stands at once after a start, though it has forgotten its grants."""

    def __init__(self, *arguments: Any, **more: Any) -> None:
        super().__init__(*arguments, **more, record_clean=True)


class FromTheAnswer(Election):
    """Reckons its lease from when the last answer came, not from before it asked."""

    def _yes(self, sender: str, message: Message, now: int, out: list[Action]) -> None:
        if self.question is not None and self.question.kind is Kind.CLAIM:
            self.question.asked_at = now
        super()._yes(sender, message, now, out)


class _Driftless(Terms):
    """As if all clocks ran alike, to the nanosecond."""

    @property
    def held(self) -> int:
        return self.span

    @property
    def bound(self) -> int:
        return self.span


class DriftIgnored(Election):
    """Reckons as if all clocks ran alike."""

    def __init__(self, name: str, terms: Terms, *arguments: Any, **more: Any) -> None:
        super().__init__(name, terms, *arguments, **more)
        self._blind()

    def _blind(self) -> None:
        own = self.roster.terms
        blind = _Driftless.__new__(_Driftless)
        for name in Terms.__dataclass_fields__:
            object.__setattr__(blind, name, getattr(own, name))
        self.roster.terms = blind

    def change(self, terms: Terms, now: int) -> list[Action]:
        out = super().change(terms, now)
        self._blind()
        return out


class VoteForgotten(Election):
    """Grants, and doesn't remember to whom."""

    def _grant(self, to: str, term: int, now: int) -> None:
        super()._grant(to, term, now)
        self.granted_to, self.granted_until = "", now


class OldTokens(Election):
    """Grants any term, and doesn't learn terms from others."""

    def _term_is_free(self, sender: str, term: int) -> bool:
        return True

    def receive(self, sender: str, message: Message, now: int) -> list[Action]:
        known = self.term
        out = super().receive(sender, message, now)
        if self.role not in (Role.CLAIMING, Role.HOLDING):
            self.term = known
        return out


class TwoAtOnce(Election):
    """Takes up any list at once, settled or not."""

    def change(self, terms: Terms, now: int) -> list[Action]:
        self.roster.settled = self.terms.generation
        return super().change(terms, now)


class AnyList(TwoAtOnce):
    """The same, and grants by any list as well."""

    def __init__(self, *arguments: Any, **more: Any) -> None:
        super().__init__(*arguments, **more)
        self.roster.grants = lambda message, now: True  # type: ignore[method-assign]


class GiftFromNow(Election):
    """Reckons a lease that it was given from when that came, not from when it said that it was ready."""

    def _given(self, sender: str, message: Message, now: int, out: list[Action]) -> None:
        if sender in self.ready:
            self.ready[sender] = self.ready[sender][0], now + self.terms.bound - message.span
        super()._given(sender, message, now, out)


class GiftForAll(Election):
    """Sets the voters free while it gives its lease away."""

    def _released(self, sender: str, message: Message, now: int) -> None:
        super()._released(sender, message, now)
        if self.granted_to != sender:
            self.granted_until = now


FAULTS: dict[str, type[Election]] = {
    "no silence after a start": NoSilence,
    "lease reckoned from the answer": FromTheAnswer,
    "drift ignored": DriftIgnored,
    "vote not remembered": VoteForgotten,
    "old token accepted": OldTokens,
    "member change two at once": AnyList,
    "given lease reckoned from its arrival": GiftFromNow,
    "voters set free by a hand-over": GiftForAll,
}
