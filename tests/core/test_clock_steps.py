"""Steps of the wall clock: they neither shorten nor extend a slow start, nor remove the younger replica."""

from __future__ import annotations

import pytest

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica_set import EndpointListReplica, ReplicaListUpdate
from lockspoke.units import MILLISECOND, SECOND

from .harness import CoreHarness

CLOCK_STEPS = (-3600 * SECOND, -5 * SECOND, 0, 5 * SECOND, 3600 * SECOND)


def list_new_replica(harness: CoreHarness, boot: int, uid: str = "new", port: int = 7000) -> None:
    """Add a replica to the endpoint list, with `boot` (in nanoseconds) as its listed start time."""
    entry = EndpointListReplica(
        uid, ReplicaState.READY, ("127.0.0.1", port), "z", boot_ms=boot // MILLISECOND
    )
    harness.core.endpoint_list_changed(ReplicaListUpdate(2, False, (entry,)))


def seconds_until_slow_start_ends(harness: CoreHarness, uid: str = "new") -> float:
    """Return the seconds until the slow start of a replica ends."""
    number = harness.core.replica_set.identifiers.replica(uid)
    return (harness.core.balancer.replicas[number].slow_start.ends_at - harness.time) / SECOND


def slow_start_seconds(harness: CoreHarness) -> float:
    return harness.core.balancer.settings.slow_start_duration / SECOND


def harness_after_two_hours(step: int) -> CoreHarness:
    """Return a harness that has run for two hours and whose wall clock has just been set by `step`."""
    harness = CoreHarness()
    harness.time += 7200 * SECOND
    harness.wall_clock_step = step
    return harness


@pytest.mark.parametrize("step", CLOCK_STEPS)
def test_replica_started_after_a_clock_step_gets_its_slow_start(step: int) -> None:
    """The wall clock of the replica's machine is set too, so its listed start time includes the step."""
    harness = harness_after_two_hours(step)
    list_new_replica(harness, harness.wall_time() - SECOND)
    elapsed = slow_start_seconds(harness) - seconds_until_slow_start_ends(harness)
    assert 0 <= elapsed <= 1


@pytest.mark.parametrize("step", CLOCK_STEPS)
def test_clock_step_of_only_the_gateway_keeps_the_slow_start(step: int) -> None:
    harness = harness_after_two_hours(step)
    list_new_replica(harness, harness.time - SECOND)
    elapsed = slow_start_seconds(harness) - seconds_until_slow_start_ends(harness)
    assert 0 <= elapsed <= 1


@pytest.mark.parametrize("step", CLOCK_STEPS)
def test_clock_step_does_not_change_a_running_slow_start(step: int) -> None:
    harness = CoreHarness()
    harness.time += 7200 * SECOND
    boot = harness.time - SECOND
    list_new_replica(harness, boot)
    before = seconds_until_slow_start_ends(harness)
    harness.wall_clock_step = step
    harness.time += SECOND
    list_new_replica(harness, boot)
    assert seconds_until_slow_start_ends(harness) == before - 1


def test_start_time_in_the_future_does_not_extend_the_slow_start() -> None:
    harness = CoreHarness()
    list_new_replica(harness, harness.time + 3600 * SECOND)
    assert seconds_until_slow_start_ends(harness) <= slow_start_seconds(harness)


@pytest.mark.parametrize("step", CLOCK_STEPS)
def test_newest_process_keeps_its_address_after_a_clock_step(step: int) -> None:
    harness = CoreHarness()
    harness.time += 7200 * SECOND
    list_new_replica(harness, harness.time - 10 * SECOND, "old")
    harness.time += 20 * SECOND
    harness.wall_clock_step = step
    list_new_replica(harness, harness.wall_time() - SECOND, "young")
    ready = {one.uid for one in harness.core.replica_set.replicas.values() if one.state == ReplicaState.READY}
    assert "young" in ready and "old" not in ready
