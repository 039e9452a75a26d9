"""Stopping the batch front while its store is busy must not block the event loop.

The drain of the batch front closes the store, and `BatchStore.close` waits for the store's thread. If a long
result file was being written at SIGTERM, interactive streams stopped until the file was complete: events were
late, and the hand-off before the kill could be missed. Related: the incident in
docs/incidents/0001-cancelled-batch-stops-gateway.md.
"""

from __future__ import annotations

import asyncio
import threading
from pathlib import Path

from lockspoke.batch.front import BatchFront
from lockspoke.batch.service import stop_batches

from .gateway_probes import MAX_EVENT_DELAY
from .harness import Harness

STORE_BUSY_DURATION = 0.6  # seconds; longer than MAX_EVENT_DELAY
TICK = 0.01  # seconds


def test_stopping_with_a_busy_store_does_not_block_the_event_loop(tmp_path: Path) -> None:
    harness = Harness(tmp_path)
    front = BatchFront(harness.store, harness.runner, 8, 1024)
    released = threading.Event()
    longest_delay = 0.0

    async def scenario() -> None:
        nonlocal longest_delay
        harness.runner.start()
        harness.store.executor.submit(released.wait)
        threading.Timer(STORE_BUSY_DURATION, released.set).start()
        stop = asyncio.ensure_future(stop_batches(front, harness.runner, harness.store))
        loop = asyncio.get_running_loop()
        while not stop.done():
            started_at = loop.time()
            await asyncio.sleep(TICK)
            longest_delay = max(longest_delay, loop.time() - started_at - TICK)
        await stop

    asyncio.run(scenario())
    assert released.is_set(), "the store was closed while its thread was busy"
    assert longest_delay < MAX_EVENT_DELAY
