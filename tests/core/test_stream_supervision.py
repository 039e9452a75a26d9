"""The periodic checks of silent streams and overdue requests."""

from __future__ import annotations

import asyncio

import pytest

from lockspoke.core.open_request_checks import CHECK_INTERVAL, MAX_STREAM_SILENCE, OVERDUE_GRACE
from lockspoke.core.totals import RequestOutcome
from lockspoke.units import SECOND
from tests.core.harness import CoreHarness


def test_silent_stream_is_aborted() -> None:
    """After the abort, the client can request the rest from another replica."""
    harness = CoreHarness()
    harness.core.start()
    _, response = harness.submit()
    harness.started[0].stream_received(b"a")
    harness.advance_time(MAX_STREAM_SILENCE - CHECK_INTERVAL)
    assert response.written == [b"a"]
    harness.advance_time(3 * CHECK_INTERVAL)
    assert response.written == [b"a", "aborted"] and harness.cancelled == [harness.started[0]]


def test_a_slow_client_does_not_count_as_a_silent_replica() -> None:
    async def scenario() -> None:
        harness = CoreHarness()
        harness.core.start()
        _, response = harness.submit()
        response.pending_write = asyncio.get_running_loop().create_future()
        paused = harness.started[0].stream_received(b"a")
        harness.advance_time(2 * MAX_STREAM_SILENCE)
        assert response.written == [b"a"] and paused is not None and not paused.done()
        response.pending_write.set_result(None)
        await asyncio.sleep(0)
        assert paused.done()
        harness.advance_time(MAX_STREAM_SILENCE // 2)
        assert response.written == [b"a"]

    asyncio.run(scenario())


def test_a_balancer_fault_leaves_no_request_unanswered(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = CoreHarness()
    harness.core.start()

    def fail(*_: object) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr(harness.core.balancer, "handle", fail)
    _, response = harness.submit(seconds=1)
    harness.advance_time(SECOND + OVERDUE_GRACE + 2 * CHECK_INTERVAL)
    assert response.written == ["failed"] and not harness.core.requests


def test_request_is_not_overdue_after_the_process_was_suspended() -> None:
    """The check is due shortly before the deadline, and the balancer's timer at the deadline.

    Both run only after the suspension, when the deadline has passed; the balancer must answer first.
    """
    harness = CoreHarness()
    harness.core.start()
    _, response = harness.submit(seconds=1.1)
    harness.advance_time(int(0.99 * SECOND))
    harness.time += int(0.21 * SECOND)
    harness.advance_time(0)
    assert len(response.written) == 1
    assert not harness.core.totals.request_outcomes[RequestOutcome.OVERDUE]
