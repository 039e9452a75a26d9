"""Requests: each gets one answer, and is removed when its last attempt has ended."""

from __future__ import annotations

from lockspoke.balancing.events import Outcome
from lockspoke.core.totals import RequestOutcome
from lockspoke.units import SECOND
from tests.core.harness import CoreHarness


def test_a_stream_is_forwarded_as_it_arrives_and_finishes_once() -> None:
    harness = CoreHarness()
    request, response = harness.submit()
    (attempt,) = harness.started
    attempt.stream_received(b"a")
    attempt.stream_received(b"b")
    attempt.end(Outcome.OK)
    attempt.end(Outcome.RESET)  # only the first report counts
    assert response.written == [b"a", b"b", "finished"]
    assert not harness.core.requests and request.answered
    assert harness.core.totals.request_outcomes[RequestOutcome.SERVED] == 1


def test_a_truncated_stream_aborts_the_response_at_once_and_is_not_retried() -> None:
    harness = CoreHarness()
    _, response = harness.submit()
    harness.started[0].stream_received(b"a")
    harness.started[0].end(Outcome.RESET)
    harness.advance_time(10 * SECOND)
    assert response.written == [b"a", "aborted"]
    assert len(harness.started) == 1


def test_bodies_and_timers_are_released_once_they_are_not_needed() -> None:
    """Regression: bodies of streaming requests and timers of finished ones were kept; the heap grew."""
    harness = CoreHarness()
    request, _ = harness.submit()
    assert len(harness.timers) == 2  # the balancer's and the attempt's
    harness.started[0].stream_received(b"a")
    assert request.body == b"" and len(harness.timers) == 1
    harness.started[0].end(Outcome.OK)
    for _ in range(50):
        harness.submit()
        harness.started[-1].end(Outcome.ERROR)
        harness.started[-1].stream_received(b"a")
        harness.started[-1].end(Outcome.OK)
    assert len(harness.timers) == 1


def test_without_replicas_a_request_is_rejected_at_once() -> None:
    harness = CoreHarness(replicas=0)
    _, response = harness.submit()
    assert response.written == ["rejected"]


def test_disconnected_client_gets_no_response_and_its_attempt_continues() -> None:
    harness = CoreHarness()
    request, response = harness.submit()
    harness.core.client_disconnected(request)
    harness.core.client_disconnected(request)
    attempt = harness.started[0]
    attempt.stream_received(b"a")
    harness.advance_time(2 * SECOND)
    assert response.written == [] and attempt.outcome is None and harness.core.requests
    attempt.end(Outcome.OK)
    assert response.written == [] and not harness.core.requests
    assert harness.core.totals.request_outcomes[RequestOutcome.CLIENT_DISCONNECTED] == 1
