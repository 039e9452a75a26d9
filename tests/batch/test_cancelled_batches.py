"""Cancelling a long batch must not block the event loop.

After the cancellation of a batch with 3,000 lines the process used a whole core and did not respond to any
request or to SIGTERM. At most 64 lines are ended without an attempt at the same time. While the others
waited, `LineScheduler._start_lines` looped without awaiting, because the cancelled batch still had lines, but
none that it may start. It happened in each of five runs with 1 or 3 batches and a concurrency of 2, 8 or 32.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import pytest

from tests.standins import Program, until

from .api_client import Api, batch_config, connect, input_file
from .gateway_probes import GatewayProbes, TimestampReplica


async def count_line_results(api: Api, batch_id: str) -> Counter[str]:
    """Count the results in the batch's two result files by kind; no line may have two results."""
    batch = await api.wait_until_final(batch_id)
    results = []
    for file_id in (batch["output_file_id"], batch["error_file_id"]):
        if file_id:
            results += await api.results(file_id)
    assert len({result["custom_id"] for result in results}) == len(results), "a line has two results"
    return Counter(result["error"]["code"] if result["error"] else "served" for result in results)


@pytest.mark.parametrize(("batches", "concurrency"), [(1, 8), (3, 32)])
def test_cancelling_long_batches_does_not_delay_other_requests(
    tmp_path: Path, batches: int, concurrency: int
) -> None:
    count = 3000
    options = ("--batch", batch_config(tmp_path, concurrency=concurrency))

    async def scenario() -> None:
        async with (
            TimestampReplica(pause=0.05) as one,
            TimestampReplica(pause=0.05) as two,
            Program(one, two, options=options, operator=True) as program,
        ):
            api = await connect(program)
            ids = [await api.create_batch(input_file(count)) for _ in range(batches)]
            await until(lambda: all(program.log("batch_started", batch=batch_id) for batch_id in ids))
            async with GatewayProbes(program).running() as measurements:
                await until(lambda: bool(measurements.event_delays))
                for batch_id in ids:
                    await api.request("POST", f"/v1/batches/{batch_id}/cancel")
                for batch_id in ids:
                    statuses = await count_line_results(api, batch_id)
                    assert statuses.total() == count, statuses
                    assert set(statuses) <= {"served", "batch_cancelled"}, statuses
            assert not measurements.violations(), measurements.summary()
            assert await program.terminate() == 0

    asyncio.run(scenario())
