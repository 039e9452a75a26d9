"""The periodic checks of silent streams and overdue requests."""

from __future__ import annotations

import asyncio

import pytest

from lockspoke.core.stream_supervision import CHECK_INTERVAL, MAX_STREAM_SILENCE, OVERDUE_GRACE
from lockspoke.core.totals import RequestOutcome
from lockspoke.units import SECOND
from tests.core.world import World


def test_silent_stream_is_aborted() -> None:
    """After the abort, the client can request the rest from another replica."""
    world = World()
    world.core.start()
    _, response = world.submit()
    world.started[0].stream_received(b"a")
    world.pass_time(MAX_STREAM_SILENCE - CHECK_INTERVAL)
    assert response.written == [b"a"]
    world.pass_time(3 * CHECK_INTERVAL)
    assert response.written == [b"a", "aborted"] and world.cancelled == [world.started[0]]


def test_a_slow_client_does_not_count_as_a_silent_replica() -> None:
    async def scenario() -> None:
        world = World()
        world.core.start()
        _, response = world.submit()
        response.pending_write = asyncio.get_running_loop().create_future()
        paused = world.started[0].stream_received(b"a")
        world.pass_time(2 * MAX_STREAM_SILENCE)
        assert response.written == [b"a"] and paused is not None and not paused.done()
        response.pending_write.set_result(None)
        await asyncio.sleep(0)
        assert paused.done()
        world.pass_time(MAX_STREAM_SILENCE // 2)
        assert response.written == [b"a"]

    asyncio.run(scenario())


def test_a_balancer_fault_leaves_no_request_unanswered(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World()
    world.core.start()

    def fail(*_: object) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr(world.core.balancer, "handle", fail)
    _, response = world.submit(seconds=1)
    world.pass_time(SECOND + OVERDUE_GRACE + 2 * CHECK_INTERVAL)
    assert response.written == ["failed"] and not world.core.requests


def test_request_is_not_overdue_after_a_pause_of_the_process() -> None:
    """The check is due before the deadline and the balancer's timer at it; both run after the pause."""
    world = World()
    world.core.start()
    _, response = world.submit(seconds=1.1)
    world.pass_time(int(0.99 * SECOND))
    world.time += int(0.21 * SECOND)
    world.pass_time(0)
    assert len(response.written) == 1
    assert not world.core.totals.request_outcomes[RequestOutcome.OVERDUE]
