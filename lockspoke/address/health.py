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
class HealthMetrics:
    """How an instance is, as it measures itself; shares are from 0 to 1."""

    ready_replicas: int
    loop_lag: float  # seconds by which timers fired late, of late
    failure_share: float  # share of calls that failed or had an overload reply, of late
    requests: int  # how many that share stands for
    descriptor_share: float  # share of the descriptors in use
    memory_share: float  # share of the memory in use


@dataclass(frozen=True, slots=True)
class HealthLimits:
    """From where on an instance is sick, and how it is held down. Times in nanoseconds."""

    min_ready_replicas: int = 1
    max_loop_lag: float = 0.25
    max_failure_share: float = 0.5
    min_requests: int = 20  # fewer say nothing about a share that fails
    max_descriptor_share: float = 0.95
    max_memory_share: float = 0.95
    unhealthy_after: int = 300_000_000  # a bound must be passed for so long: one late timer is no illness
    healthy_after: int = 2_000_000_000  # and kept for so long
    penalty_per_loss: float = 1_000.0  # of each time that it gives the address up
    suppress_threshold: float = 1_500.0
    reuse_threshold: float = 750.0
    half_life: int = 15_000_000_000
    max_suppress_time: int = 300_000_000_000  # that it is held down, whatever the penalty

    def __post_init__(self) -> None:
        """Check what would hold an instance down for ever, or never."""
        if not 0 < self.reuse_threshold < self.suppress_threshold:
            raise ValueError("stand_again is not between 0 and hold_down")
        if self.half_life <= 0 or self.penalty_per_loss <= 0:
            raise ValueError("half_life and penalty must be above 0")
        if self.max_penalty < self.suppress_threshold:
            raise ValueError("longest is so short beside half_life that no penalty would reach hold_down")

    @property
    def max_penalty(self) -> float:
        """The highest penalty: one that has decayed to `stand_again` after `longest` (RFC 2439, 4.2)."""
        return float(self.reuse_threshold * 2.0 ** (self.max_suppress_time / self.half_life))


@dataclass(slots=True)
class HealthTracker:
    """Judges vitals over time."""

    limits: HealthLimits = field(default_factory=HealthLimits)
    healthy: bool = False  # what the election is told
    reasons: tuple[str, ...] = ()  # why it is not
    suppressed: bool = False
    _penalty: float = 0.0
    _penalty_at: int = 0
    _differs_since: int | None = None  # since when the vitals have said otherwise than `_well`
    _within_limits: bool = False

    def penalty(self, now: int) -> float:
        """The penalty as it has decayed until now."""
        return float(self._penalty * 2.0 ** (-max(0, now - self._penalty_at) / self.limits.half_life))

    def record_loss(self, now: int) -> None:
        """The instance had the address and gave it up, or lost it, because it was sick."""
        value = min(self.penalty(now) + self.limits.penalty_per_loss, self.limits.max_penalty)
        self._penalty, self._penalty_at = value, now
        self.suppressed = self.suppressed or value >= self.limits.suppress_threshold

    def update(self, metrics: HealthMetrics, now: int) -> bool:
        """Whether the instance is fit, by its vitals at this time; `reasons` says why not."""
        found = _exceeded_limits(metrics, self.limits)
        well = not found
        if well == self._within_limits:
            self._differs_since = None
        else:
            self._differs_since = now if self._differs_since is None else self._differs_since
            if now - self._differs_since >= (
                self.limits.healthy_after if well else self.limits.unhealthy_after
            ):
                self._within_limits, self._differs_since = well, None
        if self.suppressed and self.penalty(now) < self.limits.reuse_threshold:
            self.suppressed = False
        self.healthy = self._within_limits and not self.suppressed
        self.reasons = (
            found
            if not self._within_limits
            else ("held down after giving the address up too often",) * self.suppressed
        )
        return self.healthy

    def status(self, now: int) -> Mapping[str, object]:
        """As plain values, for operators."""
        return {"fit": self.healthy, "reasons": list(self.reasons), "penalty": round(self.penalty(now), 1)}


def _exceeded_limits(metrics: HealthMetrics, limits: HealthLimits) -> tuple[str, ...]:
    found = []
    if metrics.ready_replicas < limits.min_ready_replicas:
        found.append(f"{metrics.ready_replicas} ready workers, want {limits.min_ready_replicas}")
    if metrics.loop_lag > limits.max_loop_lag:
        found.append(f"timers fire {metrics.loop_lag:.2f} s late")
    if metrics.requests >= limits.min_requests and metrics.failure_share > limits.max_failure_share:
        found.append(f"{metrics.failure_share:.0%} of {metrics.requests} calls fail")
    if metrics.descriptor_share > limits.max_descriptor_share:
        found.append(f"{metrics.descriptor_share:.0%} of the descriptors are in use")
    if metrics.memory_share > limits.max_memory_share:
        found.append(f"{metrics.memory_share:.0%} of the memory is in use")
    return tuple(found)
