"""Polling the endpoint list, and the log line for replicas that leave service."""

from __future__ import annotations

from structlog.testing import capture_logs

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica import Replica
from lockspoke.core.replica_set import EndpointListReplica, ReplicaListUpdate
from lockspoke.units import MILLISECOND, SECOND
from tests.core.harness import CoreHarness


def test_ban_after_a_failed_poll_does_not_stop_polling() -> None:
    """Regression: the ban counted as the response to the poll, and discovery was never polled again."""
    harness = CoreHarness(polls_endpoint_list=True)
    harness.core.endpoint_list_failed()
    harness.watch_calls.clear()
    assert harness.core.set_banned("w0", True)
    harness.advance_time(SECOND)
    assert harness.watch_calls == [True]


def test_the_balancer_polls_the_list_again_after_a_failure() -> None:
    harness = CoreHarness(polls_endpoint_list=True)
    assert harness.watch_calls == [True]
    harness.core.endpoint_list_failed()
    harness.advance_time(2000 * MILLISECOND)
    assert harness.watch_calls == [True, True]


def test_list_is_watched_if_the_balancer_does_not_poll_it() -> None:
    harness = CoreHarness()
    harness.core.start()
    assert harness.watch_calls == [True]
    harness.core.endpoint_list_failed()
    harness.advance_time(2 * SECOND)
    assert harness.watch_calls == [True, True]


def drain(harness: CoreHarness, replica: Replica) -> None:
    entry = EndpointListReplica(replica.uid, ReplicaState.DRAINING, replica.endpoint)
    harness.core.endpoint_list_changed(ReplicaListUpdate(2, False, (entry,)))


def test_last_attempt_time_is_logged_when_replicas_leave_service() -> None:
    """The line reveals a drain that reached one of many gateways late, without logging every request."""
    harness = CoreHarness()
    harness.submit()
    used = harness.started[0].replica
    harness.advance_time(300 * MILLISECOND)
    with capture_logs() as lines:
        drain(harness, used)
    (line,) = [line for line in lines if line["event"] == "replicas_left_service"]
    assert (line["replicas"], line["last_attempt_ms_ago"]) == (1, 300)
    with capture_logs() as lines:
        (other,) = [replica for replica in harness.core.replica_set.replicas.values() if replica is not used]
        drain(harness, other)
    assert "replicas_left_service" not in [line["event"] for line in lines], "it never got an attempt"
