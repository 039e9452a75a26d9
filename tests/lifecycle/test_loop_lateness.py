"""Tests of the measurement of how late the event loop is."""

from __future__ import annotations

import asyncio
import time

from structlog.testing import capture_logs

from lockspoke.lifecycle.loop_lateness import LoopLateness


def test_a_busy_loop_is_logged_and_counted_once() -> None:
    async def scenario() -> None:
        lateness = LoopLateness()
        asyncio.get_running_loop().call_later(0.01, time.sleep, 0.25)  # blocks the loop during the sleep
        await lateness.sleep(0.05)
        assert lateness.take_log_fields()["loop_late_ms"] >= 150
        assert lateness.take_log_fields() == {"loop_late_ms": 0}

    with capture_logs() as lines:
        asyncio.run(scenario())
    (line,) = [line for line in lines if line["event"] == "event_loop_late"]
    assert line["late_ms"] >= 150
