"""The utilization that replicas report, and the capacity of each machine kind that follows from it.

Utilization is the share of a replica's slots in use, from 0 to 1. Times are integer nanoseconds.
"""

from __future__ import annotations

from collections.abc import Iterable

from lockspoke.units import SECOND

TARGET_UTILIZATION = 0.65  # Above this, concurrency limits may hold requests back.
# Lower reports are raised to this value: they only show that there is much free capacity.
MIN_REPORTED_UTILIZATION = 0.1
REPORT_LIFETIME = 4 * SECOND  # An older report no longer overrides the latency of first tokens.
MACHINE_KIND_SAMPLES = 64  # The statistics of a machine kind are moving averages over this many reports.
# In estimates, the declared capacity weighs as much as this many reports; it matters while reports are few.
MACHINE_KIND_PRIOR = 1.5
MIN_COUNTED_UTILIZATION = 0.02  # Lower reports are raised to this, or they would dominate a kind's mean.
MIN_CAPACITY_FACTOR = 0.25
MAX_CAPACITY_FACTOR = 4.0


class ReportedLoad:
    """The latest load report of one replica, together with the gateway's own requests in flight there."""

    __slots__ = ("lowest_in_flight", "supported_in_flight", "updated_at", "utilization")

    def __init__(self) -> None:
        self.utilization = 0.0
        self.updated_at = 0
        self.supported_in_flight = 0.0  # The gateway's requests in flight that the last report allows.
        # The fewest own requests in flight since that report; the next report may describe any moment since.
        self.lowest_in_flight = 0

    def update(self, now: int, utilization: float) -> None:
        """Record a utilization that was reported, or inferred from latency."""
        self.utilization = utilization
        self.updated_at = now

    def record_in_flight(self, in_flight: int) -> None:
        """Record how many own requests remain in flight after one has ended."""
        self.lowest_in_flight = min(self.lowest_in_flight, in_flight)

    def estimate_capacity(self, utilization: float, in_flight: int) -> float:
        """Store and return how many of the gateway's requests in flight the utilization allows."""
        utilization = max(utilization, MIN_REPORTED_UTILIZATION)
        self.supported_in_flight = max(1, self.lowest_in_flight) * TARGET_UTILIZATION / utilization
        self.lowest_in_flight = in_flight
        return self.supported_in_flight

    def shows_capacity(self, now: int, in_flight: int) -> bool:
        """Whether a recent report left capacity for the requests that are in flight now."""
        return now - self.updated_at < REPORT_LIFETIME and in_flight <= self.supported_in_flight


class MachineKind:
    """Statistics of one kind of machine, from recent reports of its replicas."""

    __slots__ = (
        "capacity_factor",
        "declared_capacity",
        "mean_utilization",
        "report_count",
        "utilization_sum",
    )

    def __init__(self) -> None:
        self.declared_capacity = 0.0  # The sum over its ready replicas.
        self.report_count = 0.0  # Decays like `utilization_sum`.
        self.utilization_sum = 0.0
        self.mean_utilization = 0.0
        self.capacity_factor = 1.0  # The actual capacity divided by the declared one.

    def record_utilization(self, utilization: float) -> None:
        """Count a report of a replica that has completed its slow start."""
        self.report_count += 1.0
        self.utilization_sum += max(utilization, MIN_COUNTED_UTILIZATION)

    def decay(self) -> None:
        """Reduce the weight of the reports so far."""
        self.report_count *= 1.0 - 1.0 / MACHINE_KIND_SAMPLES
        self.utilization_sum *= 1.0 - 1.0 / MACHINE_KIND_SAMPLES


class MachineKinds:
    """The machine kinds of the listed replicas, by the number that the endpoint list gives them."""

    def __init__(self) -> None:
        self.by_number: dict[int, MachineKind] = {}

    def get_or_add(self, number: int) -> MachineKind:
        """Return the kind with this number, and add it if it is unknown."""
        return self.by_number.setdefault(number, MachineKind())

    def update_declared_capacity(self, ready: Iterable[tuple[MachineKind, float]]) -> None:
        """Sum the declared capacity of the ready replicas by kind; remove kinds without ready replicas."""
        for kind in self.by_number.values():
            kind.declared_capacity = 0.0
        for kind, declared_capacity in ready:
            kind.declared_capacity += declared_capacity
        self.by_number = {number: kind for number, kind in self.by_number.items() if kind.declared_capacity}

    def update_capacity_factors(self, *, reports_utilization: bool) -> None:
        """Estimate the capacity factor of each kind from its number of reports and its mean utilization.

        A kind that gives more answers at a lower utilization than the others has more capacity. Kinds are
        compared, not replicas, because a single replica gives too few answers. `reports_utilization` is
        false if utilization is inferred from latency: it is then not proportional to the number of
        answers, and the rates of answers are ignored.
        """
        kinds = self.by_number.values()
        report_count = sum(kind.report_count for kind in kinds)
        total_declared = sum(kind.declared_capacity for kind in kinds)
        mean = sum(kind.utilization_sum for kind in kinds) / max(report_count, 1e-9)
        for kind in kinds:
            prior = MACHINE_KIND_PRIOR * kind.declared_capacity / total_declared
            count = kind.report_count + prior
            kind.mean_utilization = (kind.utilization_sum + prior * mean) / count
            relative_rate = 1.0
            if reports_utilization:
                relative_rate = (
                    count / kind.declared_capacity * total_declared / (report_count + MACHINE_KIND_PRIOR)
                )
            factor = relative_rate * mean / max(kind.mean_utilization, 1e-9)
            kind.capacity_factor = min(MAX_CAPACITY_FACTOR, max(MIN_CAPACITY_FACTOR, factor))
            kind.decay()
