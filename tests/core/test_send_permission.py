"""The check before an attempt's first byte: whether the decision to send it still holds."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from lockspoke.balancing.events import Outcome, ReplicaState
from lockspoke.balancing.settings import Idempotency, RequestClass
from lockspoke.core.replica_set import EndpointListReplica, ReplicaListUpdate
from lockspoke.core.requests import ClientRequest, SendPermission
from lockspoke.units import MILLISECOND, SECOND
from tests.core.harness import CoreHarness, idempotent_with_key


def client_disconnects(harness: CoreHarness, request: ClientRequest) -> None:
    harness.core.client_disconnected(request)


def replica_drains(harness: CoreHarness, request: ClientRequest) -> None:
    uid = request.attempts[0].replica.uid
    harness.core.endpoint_list_changed(
        ReplicaListUpdate(
            2, False, (EndpointListReplica(uid, ReplicaState.DRAINING, ("127.0.0.1", 5000), "z"),)
        )
    )


def replica_restarts(harness: CoreHarness, request: ClientRequest) -> None:
    uid, endpoint = request.attempts[0].replica.uid, request.attempts[0].replica.endpoint
    harness.core.endpoint_list_changed(
        ReplicaListUpdate(
            2, False, (EndpointListReplica(uid, ReplicaState.READY, endpoint, "z", boot_ms=10**6),)
        )
    )


def replica_is_banned(harness: CoreHarness, request: ClientRequest) -> None:
    assert harness.core.set_banned(request.attempts[0].replica.uid, True)


@pytest.mark.parametrize("change", [client_disconnects, replica_drains, replica_restarts, replica_is_banned])
def test_change_while_connecting_prevents_sending(
    change: Callable[[CoreHarness, ClientRequest], None],
) -> None:
    """Regression: attempts were sent after their client had disconnected, and to draining replicas."""
    harness = CoreHarness()
    harness.connects_at_once = False
    request, _ = harness.submit()
    attempt = harness.started[0]
    change(harness, request)
    assert attempt.outcome is None
    assert attempt.permission_to_send() is SendPermission.ENDED and attempt.outcome is Outcome.NEVER_SENT
    # If the client is still waiting, the request is retried at another replica immediately.
    others = [other.replica for other in harness.started[1:]]
    assert len(others) == (change is not client_disconnects) and attempt.replica not in others
    assert bool(harness.core.requests) == (change is not client_disconnects)


def test_retry_is_not_sent_after_its_deduplication_window() -> None:
    """Regression: a retry was decided on within the window, but sent after its end.

    After the window, the replica does not recognise the duplicate and runs it again.
    """
    harness = CoreHarness(classes=(idempotent_with_key(window=SECOND),))
    harness.submit()
    harness.connects_at_once = False
    harness.advance_time(SECOND - 60 * MILLISECOND)
    harness.started[0].end(Outcome.RESET)
    retry = harness.started[1]
    assert retry.start_by == retry.started_at + 60 * MILLISECOND
    harness.advance_time(60 * MILLISECOND)
    assert retry.permission_to_send() is SendPermission.ENDED and retry.outcome is Outcome.NEVER_SENT


def test_deadline_while_connecting_ends_the_attempt_as_never_sent() -> None:
    """Regression: the attempt counted as possibly run, so the request was failed instead of rejected."""
    harness = CoreHarness(classes=(RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT),))
    harness.connects_at_once = False
    _, response = harness.submit()
    harness.advance_time(4 * SECOND)
    assert harness.started[0].outcome is Outcome.NEVER_SENT and response.written == ["rejected"]


def test_attempt_waits_while_input_of_discovery_or_its_client_is_unread() -> None:
    harness = CoreHarness()
    harness.connects_at_once = False
    _, response = harness.submit()
    (attempt,) = harness.started
    harness.has_unread_changes = True
    assert attempt.permission_to_send() is SendPermission.CHECK_AGAIN
    harness.has_unread_changes, response.has_unread_input = False, True
    assert attempt.permission_to_send() is SendPermission.CHECK_AGAIN and attempt.outcome is None
    response.has_unread_input = False
    assert attempt.permission_to_send() is SendPermission.GRANTED
