"""Whether an instance is fit to hold the address, and for how long it is held down: pure, time handed in.

An instance that keeps failing must not keep taking the address back. Each time that it has to give it up adds
a penalty that decays by half in each half-life, as route flap damping keeps it (RFC 2439); from a threshold
on the instance is held down until the penalty is below a lower one. So it comes back late after many
failures, soon after one, and some day for sure.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Vitals:
    """How an instance is, as it measures itself; shares are from 0 to 1."""

    ready_workers: int
    loop_lag: float  # seconds by which timers fired late, of late
    failing: float  # share of calls that failed or had an overload reply, of late
    calls: int  # how many that share stands for
    sockets: float  # share of the descriptors in use
    memory: float  # share of the memory in use


@dataclass(frozen=True, slots=True)
class Bounds:
    """From where on an instance is sick, and how it is held down. Times in nanoseconds."""

    least_workers: int = 1
    loop_lag: float = 0.25
    failing: float = 0.5
    calls_enough: int = 20  # fewer say nothing about a share that fails
    sockets: float = 0.95
    memory: float = 0.95
    sick_after: int = 300_000_000  # a bound must be passed for so long: one late timer is no illness
    well_after: int = 2_000_000_000  # and kept for so long
    penalty: float = 1_000.0  # of each time that it gives the address up
    hold_down: float = 1_500.0
    stand_again: float = 750.0
    half_life: int = 15_000_000_000
    longest: int = 300_000_000_000  # that it is held down, whatever the penalty

    def __post_init__(self) -> None:
        """Check what would hold an instance down for ever, or never."""
        if not 0 < self.stand_again < self.hold_down:
            raise ValueError("stand_again is not between 0 and hold_down")
        if self.half_life <= 0 or self.penalty <= 0:
            raise ValueError("half_life and penalty must be above 0")
        if self.ceiling < self.hold_down:
            raise ValueError("longest is so short beside half_life that no penalty would reach hold_down")

    @property
    def ceiling(self) -> float:
        """The highest penalty: one that has decayed to `stand_again` after `longest` (RFC 2439, 4.2)."""
        return float(self.stand_again * 2.0 ** (self.longest / self.half_life))


@dataclass(slots=True)
class Health:
    """Judges vitals over time."""

    bounds: Bounds = field(default_factory=Bounds)
    fit: bool = False  # what the election is told
    reasons: tuple[str, ...] = ()  # why it is not
    held_down: bool = False
    _penalty: float = 0.0
    _penalty_at: int = 0
    _since: int | None = None  # since when the vitals have said otherwise than `_well`
    _well: bool = False

    def penalty(self, now: int) -> float:
        """The penalty as it has decayed until now."""
        return float(self._penalty * 2.0 ** (-max(0, now - self._penalty_at) / self.bounds.half_life))

    def gave_up(self, now: int) -> None:
        """The instance had the address and gave it up, or lost it, because it was sick."""
        value = min(self.penalty(now) + self.bounds.penalty, self.bounds.ceiling)
        self._penalty, self._penalty_at = value, now
        self.held_down = self.held_down or value >= self.bounds.hold_down

    def judge(self, vitals: Vitals, now: int) -> bool:
        """Whether the instance is fit, by its vitals at this time; `reasons` says why not."""
        found = _complaints(vitals, self.bounds)
        well = not found
        if well == self._well:
            self._since = None
        else:
            self._since = now if self._since is None else self._since
            if now - self._since >= (self.bounds.well_after if well else self.bounds.sick_after):
                self._well, self._since = well, None
        if self.held_down and self.penalty(now) < self.bounds.stand_again:
            self.held_down = False
        self.fit = self._well and not self.held_down
        self.reasons = (
            found if not self._well else ("held down after giving the address up too often",) * self.held_down
        )
        return self.fit

    def status(self, now: int) -> Mapping[str, object]:
        """As plain values, for operators."""
        return {"fit": self.fit, "reasons": list(self.reasons), "penalty": round(self.penalty(now), 1)}


def _complaints(vitals: Vitals, bounds: Bounds) -> tuple[str, ...]:
    found = []
    if vitals.ready_workers < bounds.least_workers:
        found.append(f"{vitals.ready_workers} ready workers, want {bounds.least_workers}")
    if vitals.loop_lag > bounds.loop_lag:
        found.append(f"timers fire {vitals.loop_lag:.2f} s late")
    if vitals.calls >= bounds.calls_enough and vitals.failing > bounds.failing:
        found.append(f"{vitals.failing:.0%} of {vitals.calls} calls fail")
    if vitals.sockets > bounds.sockets:
        found.append(f"{vitals.sockets:.0%} of the descriptors are in use")
    if vitals.memory > bounds.memory:
        found.append(f"{vitals.memory:.0%} of the memory is in use")
    return tuple(found)
