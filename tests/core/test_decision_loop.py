"""The decision loop goes on after a fault of the balancer."""

from __future__ import annotations

from typing import Any

import pytest

from lockspoke.balancing.events import Outcome, ReplicaState
from lockspoke.core.replica_set import UNKNOWN_VERSION, ListedReplica, ReplicaListUpdate
from lockspoke.core.requests import SendPermission
from tests.core.world import World


def test_actions_decided_before_a_balancer_fault_are_carried_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: a send that the balancer had counted was dropped; later outcomes hit the wrong attempt."""
    world = World(replicas=1)
    handle = world.core.balancer.handle

    def fail_after_deciding(now: int, events: list[Any]) -> None:
        handle(now, events)
        raise ZeroDivisionError

    monkeypatch.setattr(world.core.balancer, "handle", fail_after_deciding)
    request, response = world.submit()
    assert len(world.started) == len(request.attempts) == 1
    monkeypatch.undo()
    world.started[0].stream_received(b"a")
    world.started[0].end(Outcome.OK)
    assert response.written == [b"a", "finished"] and not world.core.balancer.requests


def test_a_balancer_fault_at_one_event_does_not_lose_the_events_queued_behind_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: all events queued meanwhile were handled as one batch, and lost together."""
    world = World(replicas=1)
    handle, faults = world.core.balancer.handle, [True]

    def fail_once(now: int, events: list[Any]) -> list[Any]:
        if faults and faults.pop():
            # The request is submitted while this event is being decided on, so its event is queued.
            world.submit()
            raise ZeroDivisionError
        return handle(now, events)

    monkeypatch.setattr(world.core.balancer, "handle", fail_once)
    world.core.endpoint_list_failed()
    assert len(world.started) == 1


def test_a_drain_at_which_the_balancer_failed_is_obeyed_and_a_full_list_is_polled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = World(replicas=1)
    world.connects_at_once = False
    handle = world.core.balancer.handle

    def fail(now: int, events: list[Any]) -> list[Any]:
        raise ZeroDivisionError

    monkeypatch.setattr(world.core.balancer, "handle", fail)
    drain = ListedReplica("w0", ReplicaState.DRAINING, ("127.0.0.1", 5000), "z")
    world.core.endpoint_list_changed(ReplicaListUpdate(2, False, (drain,)))
    monkeypatch.setattr(world.core.balancer, "handle", handle)
    assert world.core.replica_set.version == UNKNOWN_VERSION
    world.submit()
    assert world.started, "to the balancer it is still ready"
    assert {attempt.permission_to_send() for attempt in world.started} == {SendPermission.ENDED}
