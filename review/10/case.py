"""Lines with a repeat window are at hanging replicas through the whole of a planned restart."""

from __future__ import annotations

import asyncio
import signal
from collections import defaultdict
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

LINES = 2
WINDOW = 5.0  # seconds for which replicas discard a repeat of a request
SLACK = 0.05  # seconds by which each time limit is longer on sockets
DEADLINE = 12.0
HANG = 8.0  # seconds to the first token of a replica that hangs; the deadline is longer
KILL_AFTER = 3.0 + 0.7  # seconds from SIGTERM to SIGKILL
DOWN_TIME = 2.0  # seconds from the end of the process to the new start


async def case(folder: Path, record: Record, trouble: bool) -> bool:
    """Send SIGTERM while the lines are out; start the gateway again, with replicas that answer."""
    replicas = [await Replica(f"s-{n}", record, first_token=HANG).start() for n in range(2)]
    known = [replica.target() for replica in replicas]
    discovery = await Discovery(known).start()
    port = free_port()
    options = f"--batch {batch_file(folder, port, concurrency=LINES)}"
    classes = settings(profile("docs", 4.0), profile("bulk", DEADLINE, "guarded", WINDOW))
    gateway = Gateway(folder, record, classes, known, options, discovery.port)
    try:
        await gateway.start()
        batch = await create_batch(port, input_lines(LINES), record)

        async def all_sent() -> bool:
            return sum(len(replica.runs) for replica in replicas) >= LINES

        await until(all_sent, 20.0, "the lines are not sent")
        if trouble:
            gateway.signal(signal.SIGTERM)
            await gateway.ended(KILL_AFTER)
            for replica in replicas:
                replica.first_token = 0.1  # It hangs no more.
            await asyncio.sleep(DOWN_TIME)
            await gateway.start()
        ends = await results(port, await final_batch(port, batch, 60.0, record))
    finally:
        await gateway.stop()
    sent: dict[str, list[float]] = defaultdict(list)
    for replica in replicas:
        for run in replica.runs:
            sent[marker(run.body)].append(run.at)
    held = True
    for line, times in sorted(sent.items()):
        first = min(times)
        late = [time - first for time in times if time - first > WINDOW + SLACK]
        shown = ", ".join(f"{time:.2f} s" for time in late) or "none"
        record.write(f"{line}: {len(times)} copies, beyond the window: {shown}; result {ends.get(line)}")
        held = held and not late
    return held


main(case)
