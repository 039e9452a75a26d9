"""Lines of a class that must not run twice are in flight when the gateway is killed."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from pathlib import Path

from rig_2 import (
    Discovery,
    Gateway,
    Record,
    Replica,
    batch_file,
    create_batch,
    final_batch,
    free_port,
    input_lines,
    main,
    marker,
    profile,
    results,
    settings,
    until,
)

LINES = 4
DEAD_TIME = 1.0  # seconds from the kill to the new start


async def case(folder: Path, record: Record, trouble: bool) -> bool:
    """Kill the gateway while replicas work on the lines, and start it again."""
    replicas = [await Replica(f"s-{n}", record, first_token=0.4, events=8, gap=0.4).start() for n in range(2)]
    known = [replica.target() for replica in replicas]
    discovery = await Discovery(known).start()
    port = free_port()
    options = f"--batch {batch_file(folder, port, concurrency=LINES)}"
    classes = settings(profile("docs", 4.0), profile("bulk", 12.0, "single_shot"))
    gateway = Gateway(folder, record, classes, known, options, discovery.port)
    try:
        await gateway.start()
        batch = await create_batch(port, input_lines(LINES), record)

        async def all_sent() -> bool:
            return sum(len(replica.runs) for replica in replicas) >= LINES

        await until(all_sent, 20.0, "the lines are not sent")
        await asyncio.sleep(1.0)  # The replicas are in the middle of their answers.
        if trouble:
            gateway.signal(signal.SIGKILL)
            await gateway.ended()
            await asyncio.sleep(DEAD_TIME)
            await gateway.start()
        ends = await results(port, await final_batch(port, batch, 45.0, record))
    finally:
        await gateway.stop()
    runs = Counter(marker(run.body) for replica in replicas for run in replica.runs)
    for line in sorted(runs):
        record.write(
            f"{line}: reached a replica {runs[line]} times; its result is {ends.get(line, 'missing')}"
        )
    return all(count <= 1 for count in runs.values())


main(case)
