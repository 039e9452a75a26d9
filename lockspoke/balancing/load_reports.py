"""What replicas report about their utilization, and what that says of each kind of machine.

Utilization is the share of a replica's slots in use, from 0 to 1. Times are integer nanoseconds.
"""

from __future__ import annotations

from collections.abc import Iterable

from lockspoke.units import SECOND

TARGET_UTILIZATION = 0.65  # above that, limits may hold requests back
MIN_REPORTED_UTILIZATION = 0.1  # lower reports are raised to this: they only show that there is much capacity
REPORT_LIFETIME = 4 * SECOND  # an older report no longer overrides latency signals
MACHINE_KIND_MEMORY = 64  # reports over which a machine kind is judged
MACHINE_KIND_PRIOR = 1.5  # weight of the listed capacity, in reports, until enough have arrived
MIN_COUNTED_UTILIZATION = 0.02  # keeps near-zero reports from dominating a kind's mean
MIN_CAPACITY_FACTOR = 0.25
MAX_CAPACITY_FACTOR = 4.0


class ReportedLoad:
    """The latest load report of one replica, set against the gateway's own requests there."""

    __slots__ = ("lowest_in_flight", "supported_in_flight", "updated_at", "utilization")

    def __init__(self) -> None:
        self.utilization = 0.0
        self.updated_at = 0
        self.supported_in_flight = 0.0  # own requests in flight that the last report has capacity for
        # The fewest own requests in flight since that report: the next may describe any time since.
        self.lowest_in_flight = 0

    def update(self, now: int, utilization: float) -> None:
        """Take a utilization that was reported, or inferred from latency."""
        self.utilization = utilization
        self.updated_at = now

    def record_in_flight(self, in_flight: int) -> None:
        """Note how many own requests remain in flight after one has ended."""
        self.lowest_in_flight = min(self.lowest_in_flight, in_flight)

    def estimate_capacity(self, utilization: float, in_flight: int) -> float:
        """Work out how many own requests the report leaves capacity for, and return it."""
        utilization = max(utilization, MIN_REPORTED_UTILIZATION)
        self.supported_in_flight = max(1, self.lowest_in_flight) * TARGET_UTILIZATION / utilization
        self.lowest_in_flight = in_flight
        return self.supported_in_flight

    def shows_capacity(self, now: int, in_flight: int) -> bool:
        """Whether a recent report had capacity for the requests in flight now."""
        return now - self.updated_at < REPORT_LIFETIME and in_flight <= self.supported_in_flight


class MachineKind:
    """One kind of machine, as recent answers of its replicas describe it."""

    __slots__ = (
        "capacity_factor",
        "listed_capacity",
        "mean_utilization",
        "report_count",
        "utilization_sum",
    )

    def __init__(self) -> None:
        self.listed_capacity = 0.0  # of its ready replicas together
        self.report_count = 0.0  # decays, as does the sum
        self.utilization_sum = 0.0
        self.mean_utilization = 0.0
        self.capacity_factor = 1.0  # actual capacity per listed capacity

    def record_utilization(self, utilization: float) -> None:
        """Count the report of a replica that has completed its slow start."""
        self.report_count += 1.0
        self.utilization_sum += max(utilization, MIN_COUNTED_UTILIZATION)

    def decay(self) -> None:
        """Reduce the weight of the reports so far."""
        self.report_count *= 1.0 - 1.0 / MACHINE_KIND_MEMORY
        self.utilization_sum *= 1.0 - 1.0 / MACHINE_KIND_MEMORY


class MachineKinds:
    """The machine kinds of the listed replicas, by the number that the endpoint list gives them."""

    def __init__(self) -> None:
        self.by_number: dict[int, MachineKind] = {}

    def get_or_add(self, number: int) -> MachineKind:
        """Return the kind with this number; a new one where it is unknown."""
        return self.by_number.setdefault(number, MachineKind())

    def update_listed(self, ready: Iterable[tuple[MachineKind, float]]) -> None:
        """Sum up the listed capacity of the ready replicas by kind; drop the kinds that have none."""
        for kind in self.by_number.values():
            kind.listed_capacity = 0.0
        for kind, listed_capacity in ready:
            kind.listed_capacity += listed_capacity
        self.by_number = {number: kind for number, kind in self.by_number.items() if kind.listed_capacity}

    def estimate_capacity(self, *, reports_utilization: bool) -> None:
        """Estimate each kind's capacity per listed capacity: answers given against utilization.

        Kinds are compared because a single replica gives too few answers. `reports_utilization` is false
        where utilization is only inferred from latency: it then does not grow evenly with the number of
        answers, and the rates of answers are left out.
        """
        kinds = self.by_number.values()
        report_count = sum(kind.report_count for kind in kinds)
        listed = sum(kind.listed_capacity for kind in kinds)
        mean = sum(kind.utilization_sum for kind in kinds) / max(report_count, 1e-9)
        for kind in kinds:
            prior = MACHINE_KIND_PRIOR * kind.listed_capacity / listed
            count = kind.report_count + prior
            kind.mean_utilization = (kind.utilization_sum + prior * mean) / count
            relative_rate = 1.0
            if reports_utilization:
                relative_rate = count / kind.listed_capacity * listed / (report_count + MACHINE_KIND_PRIOR)
            factor = relative_rate * mean / max(kind.mean_utilization, 1e-9)
            kind.capacity_factor = min(MAX_CAPACITY_FACTOR, max(MIN_CAPACITY_FACTOR, factor))
            kind.decay()
