"""Whether an instance is healthy enough to hold the address, with flap damping.

An instance that keeps failing must not keep taking the address back. Each loss of the address for reasons of
health adds a penalty, which decays by half in each half-life as in route flap damping (RFC 2439). Above one
threshold the instance is suppressed until the penalty has decayed below a lower threshold. So it can
hold the address again soon after one failure, and later after many.

Times are in nanoseconds and passed in by the caller; shares are from 0 to 1.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

SUPPRESSED_REASON = "held down after giving the address up too often"


@dataclass(frozen=True, slots=True)
class HealthMetrics:
    """What an instance measures of itself.

    Attributes:
        ready_replicas: The number of ready replicas.
        loop_lag: Seconds by which timers have recently fired late.
        failure_share: The share of recent requests that failed or were rejected for overload.
        requests: The number of recent requests.
        descriptor_share: The share of the file descriptors that is in use.
        memory_share: The share of the memory that is in use.
    """

    ready_replicas: int
    loop_lag: float
    failure_share: float
    requests: int
    descriptor_share: float
    memory_share: float


@dataclass(frozen=True, slots=True)
class HealthLimits:
    """The limits of healthy metrics, and the parameters of flap damping.

    Attributes:
        unhealthy_after: How long a limit must be exceeded until the instance is unhealthy.
        healthy_after: How long the metrics must be within all limits until the instance is healthy.
        penalty_per_loss: The penalty for each loss of the address for reasons of health.
        suppress_threshold: From this penalty on the instance is suppressed.
        reuse_threshold: Below this penalty the instance is no longer suppressed.
        half_life: The time in which the penalty decays by half.
        max_suppress_time: How long an instance is suppressed at most after its latest loss.
    """

    min_ready_replicas: int = 1
    max_loop_lag: float = 0.25
    max_failure_share: float = 0.5
    min_requests: int = 20  # With fewer requests the failure share is not significant.
    max_descriptor_share: float = 0.95
    max_memory_share: float = 0.95
    unhealthy_after: int = 300_000_000  # One late timer is harmless.
    healthy_after: int = 2_000_000_000
    penalty_per_loss: float = 1_000.0
    suppress_threshold: float = 1_500.0
    reuse_threshold: float = 750.0
    half_life: int = 15_000_000_000
    max_suppress_time: int = 300_000_000_000

    def __post_init__(self) -> None:
        """Raise ValueError for values that would suppress an instance forever, or never."""
        if not 0 < self.reuse_threshold < self.suppress_threshold:
            raise ValueError("stand_again is not between 0 and hold_down")
        if self.half_life <= 0 or self.penalty_per_loss <= 0:
            raise ValueError("half_life and penalty must be above 0")
        if self.max_penalty < self.suppress_threshold:
            raise ValueError("longest is so short beside half_life that no penalty would reach hold_down")

    @property
    def max_penalty(self) -> float:
        """The penalty that decays to the reuse threshold in `max_suppress_time` (RFC 2439, 4.2)."""
        return float(self.reuse_threshold * 2.0 ** (self.max_suppress_time / self.half_life))

    def exceeded_by(self, metrics: HealthMetrics) -> tuple[str, ...]:
        """The limits that the metrics exceed, as texts for operators."""
        reasons = []
        if metrics.ready_replicas < self.min_ready_replicas:
            reasons.append(f"{metrics.ready_replicas} ready workers, want {self.min_ready_replicas}")
        if metrics.loop_lag > self.max_loop_lag:
            reasons.append(f"timers fire {metrics.loop_lag:.2f} s late")
        if metrics.requests >= self.min_requests and metrics.failure_share > self.max_failure_share:
            reasons.append(f"{metrics.failure_share:.0%} of {metrics.requests} calls fail")
        if metrics.descriptor_share > self.max_descriptor_share:
            reasons.append(f"{metrics.descriptor_share:.0%} of the descriptors are in use")
        if metrics.memory_share > self.max_memory_share:
            reasons.append(f"{metrics.memory_share:.0%} of the memory is in use")
        return tuple(reasons)


@dataclass(slots=True)
class HealthTracker:
    """Evaluates metrics over time.

    Attributes:
        limits: The limits in force.
        healthy: Whether the instance may hold the address.
        reasons: Why it may not, as texts for operators.
        suppressed: Whether flap damping keeps it from holding the address.
    """

    limits: HealthLimits = field(default_factory=HealthLimits)
    healthy: bool = False
    reasons: tuple[str, ...] = ()
    suppressed: bool = False
    _penalty: float = 0.0
    _penalty_at: int = 0
    _differs_since: int | None = None  # Since then the metrics contradict `_within_limits`.
    _within_limits: bool = False

    def penalty(self, now: int) -> float:
        """The penalty, decayed until now."""
        return float(self._penalty * 2.0 ** (-max(0, now - self._penalty_at) / self.limits.half_life))

    def record_loss(self, now: int) -> None:
        """Record that the instance has lost the address because it is unhealthy."""
        value = min(self.penalty(now) + self.limits.penalty_per_loss, self.limits.max_penalty)
        self._penalty, self._penalty_at = value, now
        self.suppressed = self.suppressed or value >= self.limits.suppress_threshold

    def update(self, metrics: HealthMetrics, now: int) -> bool:
        """Evaluate new metrics; returns whether the instance is healthy."""
        exceeded = self.limits.exceeded_by(metrics)
        self._debounce(not exceeded, now)
        if self.suppressed and self.penalty(now) < self.limits.reuse_threshold:
            self.suppressed = False
        self.healthy = self._within_limits and not self.suppressed
        if not self._within_limits:
            self.reasons = exceeded
        elif self.suppressed:
            self.reasons = (SUPPRESSED_REASON,)
        else:
            self.reasons = ()
        return self.healthy

    def _debounce(self, within_limits: bool, now: int) -> None:
        """Change `_within_limits` only after the metrics have contradicted it for long enough."""
        if within_limits == self._within_limits:
            self._differs_since = None
            return
        if self._differs_since is None:
            self._differs_since = now
        wait = self.limits.healthy_after if within_limits else self.limits.unhealthy_after
        if now - self._differs_since >= wait:
            self._within_limits, self._differs_since = within_limits, None

    def status(self, now: int) -> Mapping[str, object]:
        """The state as JSON values."""
        return {"fit": self.healthy, "reasons": list(self.reasons), "penalty": round(self.penalty(now), 1)}
