"""The hand-off of open requests to other gateways."""

from __future__ import annotations

import asyncio

import pytest

from lockspoke.balancing.events import Outcome
from lockspoke.balancing.settings import DeduplicationScope, Idempotency, RequestClass
from tests.balancing.helpers import settings
from tests.core.harness import CoreHarness, idempotent_with_key


def test_hand_off_aborts_streams_and_rejects_waiting_requests() -> None:
    """Regression: requests that were still open when a stopping process was killed were lost."""
    harness = CoreHarness()
    submitted = [harness.submit() for _ in range(3)]
    harness.started[0].stream_received(b"a")
    harness.core.hand_off()
    assert [response.written for _, response in submitted] == [[b"a", "aborted"], ["rejected"], ["rejected"]]
    assert not harness.core.requests and len(harness.cancelled) == 3
    assert not harness.core.balancer.requests
    harness.core.hand_off()
    assert submitted[0][1].written == [b"a", "aborted"]


def test_only_the_given_requests_are_handed_off() -> None:
    """When the gateway loses an address, only the requests of that address are handed off."""
    harness = CoreHarness()
    (handed_off, first), (_, second) = harness.submit(), harness.submit()
    for attempt in harness.started:
        attempt.stream_received(b"a")
    harness.core.hand_off([handed_off])
    assert first.written == [b"a", "aborted"] and second.written == [b"a"] and len(harness.cancelled) == 1
    next(attempt for attempt in harness.started if attempt not in harness.cancelled).end(Outcome.OK)
    assert second.written == [b"a", "finished"] and not harness.core.requests


@pytest.mark.parametrize(
    ("request_class", "sent", "outcome", "answer"),
    [
        (RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT), True, None, "failed"),
        (RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT), False, None, "rejected"),
        (RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT), True, Outcome.OVERLOADED, "rejected"),
        (RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT), False, Outcome.CONNECT_FAILED, "rejected"),
        (idempotent_with_key(), True, None, "rejected"),
        (idempotent_with_key(DeduplicationScope.CELL), True, None, "failed"),
    ],
)
def test_handed_off_request_is_rejected_if_a_retry_is_safe(
    request_class: RequestClass, sent: bool, outcome: Outcome | None, answer: str
) -> None:
    """Regression: every attempt counted as run, even if its outcome proves that it did not run."""
    harness = CoreHarness(replicas=1, classes=(request_class,), max_attempts=2)
    harness.connects_at_once = sent
    _, response = harness.submit()
    if outcome is not None:
        harness.started[0].end(outcome)
    if not response.written:
        harness.core.hand_off()
    assert response.written == [answer]


def test_open_requests_keep_their_class_settings_after_a_reload() -> None:
    harness = CoreHarness(replicas=1, classes=(RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT),))
    _, response = harness.submit()
    harness.core.reconfigure(
        settings(classes=(RequestClass(), RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT))), ["z"]
    )
    harness.core.hand_off()
    assert response.written == ["failed"]


def test_hand_off_does_not_abort_a_stream_with_unread_data() -> None:
    """Regression: the last bytes had arrived, but the stream was aborted before they were forwarded."""

    async def scenario() -> None:
        harness = CoreHarness(replicas=1)
        _, response = harness.submit()
        response.pending_write = asyncio.get_running_loop().create_future()
        attempt = harness.started[0]
        paused = attempt.stream_received(b"a")
        harness.unread_responses.add(attempt)
        harness.core.hand_off(immediately=False)
        assert paused is not None and paused.done(), "the rest is read even though the client is slow"
        assert attempt.stream_received(b"b") is None and response.written == [b"a", b"b"]
        attempt.end(Outcome.OK)
        harness.core.hand_off(immediately=False)
        assert response.written == [b"a", b"b", "finished"]

    asyncio.run(scenario())


def test_hand_off_of_streams_depends_on_its_flags() -> None:
    harness = CoreHarness(replicas=1)
    (_, stream), (_, waiting) = harness.submit(), harness.submit()
    harness.started[0].stream_received(b"a")
    harness.unread_responses.add(harness.started[0])
    harness.core.hand_off(include_streams=False)
    assert stream.written == [b"a"] and waiting.written == ["rejected"]
    harness.core.hand_off(immediately=False)
    assert stream.written == [b"a"]
    harness.core.hand_off()
    assert stream.written == [b"a", "aborted"] and not harness.core.requests
