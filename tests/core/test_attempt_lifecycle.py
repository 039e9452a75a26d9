"""Attempts: retries, deadlines, and cancellation when another attempt of the request streams."""

from __future__ import annotations

from lockspoke.balancing.actions import SendAttempt
from lockspoke.balancing.events import Outcome
from lockspoke.units import SECOND
from tests.core.world import World


def test_a_failed_attempt_is_retried_at_another_replica() -> None:
    world = World()
    _, response = world.submit()
    world.started[0].end(Outcome.CONNECT_FAILED)
    assert len(world.started) == 2 and response.written == []
    assert world.started[0].replica is not world.started[1].replica


def test_deadline_ends_only_attempts_that_do_not_stream() -> None:
    world = World(replicas=1)
    (_, silent), (_, streaming) = world.submit(), world.submit()
    world.started[1].stream_received(b"a")
    for _ in range(5):  # a stream that has started has no deadline
        world.pass_time(SECOND)
        world.started[1].stream_received(b"b")
    assert silent.written == ["failed"] and world.cancelled == [world.started[0]]
    assert world.started[0].outcome is Outcome.TIMEOUT
    assert "aborted" not in streaming.written
    world.started[1].end(Outcome.OK)
    assert streaming.written[-1] == "finished" and not world.core.requests


def test_attempt_for_a_streaming_request_is_not_sent() -> None:
    world = World()
    request, _ = world.submit()
    world.started[0].stream_received(b"a")
    world.core.attempts.start(SendAttempt(request.number, world.started[0].replica.number))
    assert request.attempts[1].outcome is Outcome.NEVER_SENT and len(world.started) == 1


def test_the_first_stream_cancels_the_other_attempts() -> None:
    world = World()
    request, response = world.submit()
    other = next(
        replica
        for replica in world.core.replica_set.replicas.values()
        if replica is not world.started[0].replica
    )
    world.core.attempts.start(SendAttempt(request.number, other.number))
    world.started[1].stream_received(b"a")
    assert world.cancelled == [world.started[0]] and world.started[0].outcome is Outcome.CANCELLED
    world.started[0].stream_received(b"late")
    assert response.written == [b"a"]
