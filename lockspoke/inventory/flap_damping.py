"""Flap damping as for routes (RFC 2439): delays hosts that return or change their address too often."""

from __future__ import annotations

from dataclasses import dataclass

from .decisions import ReconcilePolicy

NEGLIGIBLE_PENALTY = 0.1  # Smaller penalties are dropped.


@dataclass(slots=True)
class _Penalty:
    """A penalty that halves in each half-life."""

    value: float = 0.0
    updated_at_ms: int = 0
    damped: bool = False

    def current(self, now_ms: int, half_life_ms: int) -> float:
        return float(self.value * 2.0 ** -(max(0, now_ms - self.updated_at_ms) / half_life_ms))

    def add(self, now_ms: int, half_life_ms: int) -> None:
        self.value, self.updated_at_ms = self.current(now_ms, half_life_ms) + 1.0, now_ms


class FlapDamper:
    """The flap penalties of all hosts.

    A host is damped once its penalty reaches the limit, until the penalty is below half of the limit.
    """

    def __init__(self) -> None:
        self._penalties: dict[str, _Penalty] = {}

    def count(self, host: str, now_ms: int, policy: ReconcilePolicy) -> None:
        """Add to the penalty of a host that has returned or changed its address."""
        self._penalties.setdefault(host, _Penalty()).add(now_ms, policy.flap_half_life_ms)

    def damped_until(self, host: str, now_ms: int, policy: ReconcilePolicy) -> int | None:
        """The Unix time in milliseconds by which a host is no longer damped; None if it is not now."""
        penalty = self._penalties.get(host)
        if penalty is None:
            return None
        limit = policy.flap_penalty_limit
        value = penalty.current(now_ms, policy.flap_half_life_ms)
        penalty.damped = value >= (limit / 2 if penalty.damped else limit)
        if not penalty.damped:
            return None
        halvings = 0
        while value * 0.5**halvings >= limit / 2:
            halvings += 1
        return now_ms + halvings * policy.flap_half_life_ms

    def expire(self, now_ms: int, policy: ReconcilePolicy) -> None:
        """Drop penalties that have decayed."""
        for host, penalty in list(self._penalties.items()):
            if penalty.current(now_ms, policy.flap_half_life_ms) < NEGLIGIBLE_PENALTY:
                del self._penalties[host]
