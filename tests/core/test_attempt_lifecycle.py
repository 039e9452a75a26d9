"""Attempts: retries, deadlines, and cancellation when another attempt of the request streams."""

from __future__ import annotations

from lockspoke.balancing.actions import SendAttempt
from lockspoke.balancing.events import Outcome
from lockspoke.units import SECOND
from tests.core.harness import CoreHarness


def test_a_failed_attempt_is_retried_at_another_replica() -> None:
    harness = CoreHarness()
    _, response = harness.submit()
    harness.started[0].end(Outcome.CONNECT_FAILED)
    assert len(harness.started) == 2 and response.written == []
    assert harness.started[0].replica is not harness.started[1].replica


def test_deadline_ends_only_attempts_that_do_not_stream() -> None:
    harness = CoreHarness(replicas=1)
    (_, silent), (_, streaming) = harness.submit(), harness.submit()
    harness.started[1].stream_received(b"a")
    for _ in range(5):  # a stream that has started has no deadline
        harness.advance_time(SECOND)
        harness.started[1].stream_received(b"b")
    assert silent.written == ["failed"] and harness.cancelled == [harness.started[0]]
    assert harness.started[0].outcome is Outcome.TIMEOUT
    assert "aborted" not in streaming.written
    harness.started[1].end(Outcome.OK)
    assert streaming.written[-1] == "finished" and not harness.core.requests


def test_attempt_for_a_streaming_request_is_not_sent() -> None:
    harness = CoreHarness()
    request, _ = harness.submit()
    harness.started[0].stream_received(b"a")
    harness.core.attempts.start(SendAttempt(request.number, harness.started[0].replica.number))
    assert request.attempts[1].outcome is Outcome.NEVER_SENT and len(harness.started) == 1


def test_the_first_stream_cancels_the_other_attempts() -> None:
    harness = CoreHarness()
    request, response = harness.submit()
    other = next(
        replica
        for replica in harness.core.replica_set.replicas.values()
        if replica is not harness.started[0].replica
    )
    harness.core.attempts.start(SendAttempt(request.number, other.number))
    harness.started[1].stream_received(b"a")
    assert harness.cancelled == [harness.started[0]] and harness.started[0].outcome is Outcome.CANCELLED
    harness.started[0].stream_received(b"late")
    assert response.written == [b"a"]
