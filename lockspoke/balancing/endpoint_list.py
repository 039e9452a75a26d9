"""The replicas on the endpoint list, and those removed from it recently."""

from __future__ import annotations

from .events import EndpointListEntry, EndpointListKind, EndpointListUpdate, ReplicaState
from .load_reports import MachineKinds
from .settings import BalancerSettings
from .tracked import MIN_CAPACITY, TrackedReplica


class EndpointList:
    """Applies updates of the endpoint list, and keeps totals over the ready replicas."""

    def __init__(self, settings: BalancerSettings) -> None:
        self.settings = settings
        self.replicas: dict[int, TrackedReplica] = {}  # Keyed by replica number.
        self.ready: list[TrackedReplica] = []
        self.machine_kinds = MachineKinds()
        self.slow_starts_end_at = 0  # When the last ready replica completes its slow start.
        self.total_max_capacity = 0.0  # The sum over the ready replicas.

    def apply(self, now: int, update: EndpointListUpdate) -> None:
        """Apply an update; one that reports a failed poll changes nothing."""
        if update.kind is EndpointListKind.FAILED:
            return
        if update.kind is not EndpointListKind.DELTA:
            self._remove_all_except(now, {entry.replica for entry in update.entries})
        for entry in update.entries:
            self._apply_entry(now, entry)
        self._drop_removed(now)
        self.ready = [r for r in self.replicas.values() if r.state is ReplicaState.READY]
        self.machine_kinds.update_declared_capacity(
            (r.machine_statistics, r.declared_capacity) for r in self.ready
        )
        self.slow_starts_end_at = max((r.slow_start.ends_at for r in self.ready), default=0)
        self.total_max_capacity = sum(r.max_declared_capacity for r in self.ready)

    def _remove_all_except(self, now: int, present_numbers: set[int]) -> None:
        for replica in self.replicas.values():
            if replica.number not in present_numbers and replica.state is not ReplicaState.REMOVED:
                replica.state = ReplicaState.REMOVED
                replica.state_updated_at = now

    def _apply_entry(self, now: int, entry: EndpointListEntry) -> None:
        replica = self.replicas.get(entry.replica)
        if replica is None:
            replica = self.replicas[entry.replica] = TrackedReplica(entry.replica)
        if entry.started_at > replica.slow_start.started_at:
            replica.restart(now, entry.started_at, self.settings)
        replica.state = entry.state
        replica.state_updated_at = now
        if entry.state is not ReplicaState.REMOVED:
            # A removal need not say where the replica was, which still matters for attempts that it may run.
            replica.zone = entry.zone
            replica.cell = entry.cell
        replica.declared_capacity = max(entry.weight, MIN_CAPACITY)
        replica.max_declared_capacity = max(replica.max_declared_capacity, replica.declared_capacity)
        replica.machine_statistics = self.machine_kinds.get_or_add(entry.machine_kind)

    def _drop_removed(self, now: int) -> None:
        """Drop removed replicas once they can no longer return within the same slow start.

        A replica that returned earlier would otherwise get its slow-start budget a second time.
        """
        oldest = now - self.settings.slow_start_duration - self.settings.overload_duration
        for replica in list(self.replicas.values()):
            if (
                replica.state is ReplicaState.REMOVED
                and replica.concurrency.in_flight == 0
                and replica.state_updated_at < oldest
            ):
                del self.replicas[replica.number]
