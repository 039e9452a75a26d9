"""Checks the drain rule in a simulation.

The checker records, independently of the gateway, when each change was made, when it was written to the
gateway, and how long discovery has been reachable since then. A request violates the rule if it is sent to a
replica after the grace period, which begins when the gateway is notified of the replica's drain.
"""

from __future__ import annotations

from tests.clocked import SimulatedTimeLoop
from tests.wire.drain_schedule import MAX_PROPAGATION_TIME, Schedule

DRAIN_GRACE = 0.25  # Requests may be sent for this many seconds after the gateway is notified.


class DrainChecker:
    """Records changes and requests, and collects violations of the drain rule."""

    def __init__(self, loop: SimulatedTimeLoop, schedule: Schedule) -> None:
        self.loop = loop
        self.start = loop.time()
        self.schedule = schedule
        self.drained_at: dict[str, float] = {}  # The times of current drains and removals, by uid.
        self.written_at: dict[str, float] = {}  # When each of these was first written to the gateway, by uid.
        self.banned: set[str] = set()
        self.requests = 0
        self.violations: list[str] = []

    def now(self) -> float:
        return self.loop.time() - self.start

    def far_from_faults(self) -> bool:
        """Whether no scheduled fault is near the current time."""
        schedule = self.schedule
        times = [at for at, _ in schedule.faults] + [
            at for begin, end, _ in schedule.outages for at in (begin, end)
        ]
        return all(abs(at - self.now()) > MAX_PROPAGATION_TIME + 2 for at in times)

    def record_change(self, uid: str, state: str) -> None:
        self.written_at.pop(uid, None)
        if state == "up":
            self.drained_at.pop(uid, None)
        else:
            self.drained_at[uid] = self.now()

    def record_written(self, uids: set[str]) -> None:
        """Record that a response with the drains of these replicas has been written completely."""
        for uid in uids & self.drained_at.keys():
            self.written_at.setdefault(uid, self.now())

    def notified_at(self, uid: str) -> float:
        """Return when the gateway counts as notified of the current drain."""
        reached = max(self.drained_at[uid], 0.0)
        for begin, end, _ in self.schedule.outages:
            if begin < reached + MAX_PROPAGATION_TIME and end > reached:
                reached = end
        return min(reached + MAX_PROPAGATION_TIME, self.written_at.get(uid, float("inf")))

    def record_request(self, uid: str) -> None:
        self.requests += 1
        if uid in self.banned:
            self.violations.append(f"{uid} got a request at {self.now():.3f}: an operator has banned it")
        if uid in self.drained_at and self.now() > (notified := self.notified_at(uid)) + DRAIN_GRACE:
            drained, written = self.drained_at[uid], self.written_at.get(uid)
            self.violations.append(
                f"{uid} got a request at {self.now():.3f}: {drained=:.3f} {written=} {notified=:.3f}"
            )
