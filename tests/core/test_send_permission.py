"""The check before an attempt's first byte: whether the decision to send it still holds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from lockspoke.balancing.events import NEVER_RAN, Outcome, ReplicaState
from lockspoke.balancing.settings import Idempotency, RequestClass
from lockspoke.core.replica_set import EndpointListReplica, ReplicaListUpdate
from lockspoke.core.requests import (
    Attempt,
    AttemptStage,
    ClientRequest,
    SendNotRecordedError,
    SendPermission,
)
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


class FakeRecorder:
    """A recorder whose writes the test ends."""

    def __init__(self) -> None:
        self.log: list[str] = []
        self.write: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def record_send(self, attempt: Attempt) -> None:
        self.log.append(f"send {attempt.index}")
        await asyncio.shield(self.write)

    def record_never_ran(self, attempt: Attempt) -> None:
        self.log.append(f"never ran {attempt.index}")


ONCE = RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT)


def harness_that_records() -> tuple[CoreHarness, ClientRequest, FakeRecorder]:
    """A request whose attempts must be recorded; the first one is connected."""
    harness, recorder = CoreHarness(classes=(ONCE,)), FakeRecorder()
    harness.connects_at_once = False
    request, _ = harness.submit(send_recorder=recorder)
    return harness, request, recorder


def test_an_attempt_is_recorded_before_its_first_byte() -> None:
    """Guards against: a crash left no trace of an attempt that may have run."""

    async def scenario() -> None:
        _, request, recorder = harness_that_records()
        (attempt,) = request.attempts
        assert attempt.permission_to_send() is SendPermission.RECORD_FIRST
        recording = asyncio.ensure_future(attempt.record_send())
        await asyncio.sleep(0)
        assert attempt.permission_to_send() is SendPermission.RECORD_FIRST
        assert attempt.stage is AttemptStage.CONNECTING
        recorder.write.set_result(None)
        await recording
        assert attempt.permission_to_send() is SendPermission.GRANTED
        assert recorder.log == ["send 0"]

    asyncio.run(scenario())


def test_a_request_without_a_recorder_is_sent_at_once() -> None:
    harness = CoreHarness(classes=(ONCE,))
    harness.connects_at_once = False
    harness.submit()
    assert harness.started[0].permission_to_send() is SendPermission.GRANTED
    harness.started[0].end(Outcome.OVERLOADED)
    assert not harness.started[0].record_requested


@pytest.mark.parametrize("change", [client_disconnects, replica_drains, replica_restarts, replica_is_banned])
def test_a_change_while_an_attempt_is_recorded_prevents_sending(
    change: Callable[[CoreHarness, ClientRequest], None],
) -> None:
    """The time that the record takes is part of the time in which a drain or a disconnect is noticed."""

    async def scenario() -> None:
        harness, request, recorder = harness_that_records()
        attempt = request.attempts[0]
        recording = asyncio.ensure_future(attempt.record_send())
        await asyncio.sleep(0)
        change(harness, request)
        recorder.write.set_result(None)
        await recording
        assert attempt.permission_to_send() is SendPermission.ENDED
        assert attempt.outcome is Outcome.NEVER_SENT
        assert recorder.log == ["send 0", "never ran 0"]

    asyncio.run(scenario())


def test_an_attempt_that_cannot_be_recorded_is_not_sent() -> None:
    async def scenario() -> None:
        harness, request, recorder = harness_that_records()
        recorder.write.set_exception(SendNotRecordedError("no space left on device"))
        attempt = request.attempts[0]
        await attempt.record_send()
        assert attempt.permission_to_send() is SendPermission.ENDED
        assert attempt.outcome is Outcome.NEVER_SENT
        # The request has not run, so it goes on at another replica.
        assert len(harness.started) == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("outcome", list(Outcome))
def test_the_record_is_taken_back_if_the_outcome_proves_that_it_never_ran(outcome: Outcome) -> None:
    async def scenario() -> None:
        _, request, recorder = harness_that_records()
        recorder.write.set_result(None)
        attempt = request.attempts[0]
        await attempt.record_send()
        assert attempt.permission_to_send() is SendPermission.GRANTED
        attempt.end(outcome)
        assert recorder.log == ["send 0", *(["never ran 0"] if outcome in NEVER_RAN else [])]

    asyncio.run(scenario())
