"""The decision loop continues after an exception in the balancer."""

from __future__ import annotations

from typing import Any

import pytest

from lockspoke.balancing.events import Outcome, ReplicaState
from lockspoke.core.replica_set import UNKNOWN_VERSION, EndpointListReplica, ReplicaListUpdate
from lockspoke.core.requests import SendPermission
from tests.core.harness import CoreHarness


def test_actions_decided_before_a_balancer_fault_are_carried_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: a send was dropped after the balancer had counted it.

    Later outcomes were then assigned to the wrong attempt.
    """
    harness = CoreHarness(replicas=1)
    handle = harness.core.balancer.handle

    def fail_after_deciding(now: int, events: list[Any]) -> None:
        handle(now, events)
        raise ZeroDivisionError

    monkeypatch.setattr(harness.core.balancer, "handle", fail_after_deciding)
    request, response = harness.submit()
    assert len(harness.started) == len(request.attempts) == 1
    monkeypatch.undo()
    harness.started[0].stream_received(b"a")
    harness.started[0].end(Outcome.OK)
    assert response.written == [b"a", "finished"] and not harness.core.balancer.requests


def test_balancer_fault_at_one_event_keeps_queued_events(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: queued events were passed to the balancer together, and a fault lost all of them."""
    harness = CoreHarness(replicas=1)
    handle, remaining_faults = harness.core.balancer.handle, [True]

    def fail_once(now: int, events: list[Any]) -> list[Any]:
        if remaining_faults and remaining_faults.pop():
            # The balancer is still handling this event, so the event of the new request is queued.
            harness.submit()
            raise ZeroDivisionError
        return handle(now, events)

    monkeypatch.setattr(harness.core.balancer, "handle", fail_once)
    harness.core.endpoint_list_failed()
    assert len(harness.started) == 1


def test_drain_that_the_balancer_failed_on_is_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = CoreHarness(replicas=1)
    harness.connects_at_once = False
    handle = harness.core.balancer.handle

    def fail(now: int, events: list[Any]) -> list[Any]:
        raise ZeroDivisionError

    monkeypatch.setattr(harness.core.balancer, "handle", fail)
    drain = EndpointListReplica("w0", ReplicaState.DRAINING, ("127.0.0.1", 5000), "z")
    harness.core.endpoint_list_changed(ReplicaListUpdate(2, False, (drain,)))
    monkeypatch.setattr(harness.core.balancer, "handle", handle)
    assert harness.core.replica_set.version == UNKNOWN_VERSION
    harness.submit()
    assert harness.started, "the balancer still considers the replica ready"
    assert {attempt.permission_to_send() for attempt in harness.started} == {SendPermission.ENDED}
