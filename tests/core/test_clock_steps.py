"""A wall clock that is set to another time makes no replica warm, cold for longer, or superseded."""

from __future__ import annotations

import pytest

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica_set import ListedReplica, ReplicaListUpdate
from lockspoke.units import MILLISECOND, SECOND

from .world import World

STEPS = (-3600 * SECOND, -5 * SECOND, 0, 5 * SECOND, 3600 * SECOND)


def list_new_replica(world: World, boot: int, uid: str = "new", port: int = 7000) -> None:
    """List a replica whose machine says that it started at `boot`."""
    entry = ListedReplica(uid, ReplicaState.READY, ("127.0.0.1", port), "z", boot_ms=boot // MILLISECOND)
    world.core.endpoint_list_changed(ReplicaListUpdate(2, False, (entry,)))


def slow_start_ends_in(world: World, uid: str = "new") -> float:
    """Seconds until a replica counts as warm."""
    number = world.core.replica_set.identifiers.replica(uid)
    return (world.core.balancer.replicas[number].slow_start.ends_at - world.time) / SECOND


def slow_start_duration(world: World) -> float:
    return world.core.balancer.settings.slow_start_duration / SECOND


def aged_world(step: int) -> World:
    """A world two hours old, whose wall clock is set now."""
    world = World()
    world.time += 7200 * SECOND
    world.wall_clock_step = step
    return world


@pytest.mark.parametrize("step", STEPS)
def test_a_replica_that_started_after_the_step_has_its_slow_start(step: int) -> None:
    """Its machine reads the clock that was set."""
    world = aged_world(step)
    list_new_replica(world, world.wall_time() - SECOND)
    remaining = slow_start_duration(world) - slow_start_ends_in(world)
    assert 0 <= remaining <= 1


@pytest.mark.parametrize("step", STEPS)
def test_a_replica_has_its_slow_start_where_only_this_machine_was_set(step: int) -> None:
    world = aged_world(step)
    list_new_replica(world, world.time - SECOND)
    remaining = slow_start_duration(world) - slow_start_ends_in(world)
    assert 0 <= remaining <= 1


@pytest.mark.parametrize("step", STEPS)
def test_a_step_changes_no_slow_start_that_has_begun(step: int) -> None:
    world = World()
    world.time += 7200 * SECOND
    boot = world.time - SECOND
    list_new_replica(world, boot)
    before = slow_start_ends_in(world)
    world.wall_clock_step = step
    world.time += SECOND
    list_new_replica(world, boot)
    assert slow_start_ends_in(world) == before - 1


def test_a_replica_is_not_cold_for_an_hour_where_the_clock_is_behind_from_the_start() -> None:
    world = World()
    list_new_replica(world, world.time + 3600 * SECOND)
    assert slow_start_ends_in(world) <= slow_start_duration(world)


@pytest.mark.parametrize("step", STEPS)
def test_the_process_that_started_last_stays_at_its_address(step: int) -> None:
    world = World()
    world.time += 7200 * SECOND
    list_new_replica(world, world.time - 10 * SECOND, "old")
    world.time += 20 * SECOND
    world.wall_clock_step = step
    list_new_replica(world, world.wall_time() - SECOND, "young")
    ready = {one.uid for one in world.core.replica_set.replicas.values() if one.state == ReplicaState.READY}
    assert "young" in ready and "old" not in ready
