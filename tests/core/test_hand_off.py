"""The hand-off of open requests to other gateways."""

from __future__ import annotations

import asyncio

import pytest

from lockspoke.balancing.events import Outcome
from lockspoke.balancing.settings import DeduplicationScope, Idempotency, RequestClass
from tests.balancing.helpers import settings
from tests.core.world import World, idempotent_with_key


def test_hand_off_aborts_streams_and_rejects_waiting_requests() -> None:
    """Regression: requests that were still open when a stopping process was killed were lost."""
    world = World()
    submitted = [world.submit() for _ in range(3)]
    world.started[0].stream_received(b"a")
    world.core.hand_off()
    assert [response.written for _, response in submitted] == [[b"a", "aborted"], ["rejected"], ["rejected"]]
    assert not world.core.requests and len(world.cancelled) == 3
    assert not world.core.balancer.requests
    world.core.hand_off()
    assert submitted[0][1].written == [b"a", "aborted"]


def test_only_the_given_requests_are_handed_off() -> None:
    """When the gateway loses an address, only the requests of that address are handed off."""
    world = World()
    (handed_off, first), (_, second) = world.submit(), world.submit()
    for attempt in world.started:
        attempt.stream_received(b"a")
    world.core.hand_off([handed_off])
    assert first.written == [b"a", "aborted"] and second.written == [b"a"] and len(world.cancelled) == 1
    next(attempt for attempt in world.started if attempt not in world.cancelled).end(Outcome.OK)
    assert second.written == [b"a", "finished"] and not world.core.requests


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
    world = World(replicas=1, classes=(request_class,), max_attempts=2)
    world.connects_at_once = sent
    _, response = world.submit()
    if outcome is not None:
        world.started[0].end(outcome)
    if not response.written:
        world.core.hand_off()
    assert response.written == [answer]


def test_open_requests_keep_their_class_settings_after_a_reload() -> None:
    world = World(replicas=1, classes=(RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT),))
    _, response = world.submit()
    world.core.reconfigure(
        settings(classes=(RequestClass(), RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT))), ["z"]
    )
    world.core.hand_off()
    assert response.written == ["failed"]


def test_hand_off_does_not_abort_a_stream_with_unread_data() -> None:
    """Regression: the last bytes had arrived, but the stream was aborted before they were forwarded."""

    async def scenario() -> None:
        world = World(replicas=1)
        _, response = world.submit()
        response.pending_write = asyncio.get_running_loop().create_future()
        attempt = world.started[0]
        paused = attempt.stream_received(b"a")
        world.unread_responses.add(attempt)
        world.core.hand_off(immediately=False)
        assert paused is not None and paused.done(), "the rest is read even though the client is slow"
        assert attempt.stream_received(b"b") is None and response.written == [b"a", b"b"]
        attempt.end(Outcome.OK)
        world.core.hand_off(immediately=False)
        assert response.written == [b"a", b"b", "finished"]

    asyncio.run(scenario())


def test_hand_off_of_streams_depends_on_its_flags() -> None:
    world = World(replicas=1)
    (_, stream), (_, waiting) = world.submit(), world.submit()
    world.started[0].stream_received(b"a")
    world.unread_responses.add(world.started[0])
    world.core.hand_off(include_streams=False)
    assert stream.written == [b"a"] and waiting.written == ["rejected"]
    world.core.hand_off(immediately=False)
    assert stream.written == [b"a"]
    world.core.hand_off()
    assert stream.written == [b"a", "aborted"] and not world.core.requests
