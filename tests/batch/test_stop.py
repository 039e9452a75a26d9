"""A stop while the store is busy must not hold the event loop, which still serves interactive streams.

What happens: if a long result file is being written at SIGTERM, interactive streams stand still until the
file is complete, so that events come late and the hand-off before the kill may be missed.

Why: the drain of the batch front closes the store, and `BatchStore.close` waited for the store's thread in
the event loop.

What showed it: this test, whose store is busy for half a second; found by reading what else could hold the
loop after a cancellation had (docs/incidents/0001-cancelled-batch-stops-gateway.md).
"""

from __future__ import annotations

import asyncio
import threading
from pathlib import Path

from lockspoke.batch.front import BatchFront
from lockspoke.batch.subsystem import stop_batches

from .gateway_probes import MAX_EVENT_DELAY
from .harness import Harness

STORE_BUSY = 0.6  # seconds, longer than an event may be late
TICK = 0.01


def test_a_stop_with_a_busy_store_leaves_the_event_loop_free(tmp_path: Path) -> None:
    harness = Harness(tmp_path)
    front = BatchFront(harness.store, harness.runner, 8, 1024)
    free = threading.Event()
    longest_delay = 0.0

    async def scenario() -> None:
        nonlocal longest_delay
        harness.runner.start()
        harness.store.executor.submit(free.wait)
        threading.Timer(STORE_BUSY, free.set).start()
        stop = asyncio.ensure_future(stop_batches(front, harness.runner, harness.store))
        loop = asyncio.get_running_loop()
        while not stop.done():
            started_at = loop.time()
            await asyncio.sleep(TICK)
            longest_delay = max(longest_delay, loop.time() - started_at - TICK)
        await stop

    asyncio.run(scenario())
    assert free.is_set(), "the store was closed while its thread was busy"
    assert longest_delay < MAX_EVENT_DELAY
