"""Rate of a long batch: `python -m bench.batch_rate [--effect E] [--lines N] [--concurrency C] [--pause S]`.

Starts one gateway with the batch front and two stand-in replicas on loopback, runs one batch, and prints
lines per second, CPU seconds of the gateway per 1,000 lines, and bytes of the store's journal per line.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import tempfile
import time
from pathlib import Path

from tests.batch.api_client import batch_config, connect, input_file
from tests.standins import SECOND, FakeReplica, Program

EFFECTS = ("free", "guarded", "single_shot")
DEFAULT_LINES = 5_000
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
USER_TIME_FIELD = 11  # of /proc/PID/stat, counted from the field behind the program's name; then system time


def profiles(effect: str) -> list[dict[str, object]]:
    """Request classes of which `bulk`, that of lines, has this effect."""
    return [
        {"name": "docs", "effect": "free", "aim": SECOND, "deadline": 4 * SECOND},
        {
            "name": "bulk",
            "effect": effect,
            "dedupScope": "all",
            "window": 5 * SECOND,
            "aim": 4 * SECOND,
            "deadline": 12 * SECOND,
        },
    ]


def cpu_seconds(pid: int) -> float:
    """The CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return sum(map(int, fields[USER_TIME_FIELD : USER_TIME_FIELD + 2])) / CLOCK_TICKS_PER_SECOND


async def measure(effect: str, lines: int, concurrency: int, pause: float, folder: Path) -> str:
    """Run one batch and return the figures as one line."""
    options = ("--batch", batch_config(folder, concurrency=concurrency))
    async with (
        FakeReplica(pause=pause) as one,
        FakeReplica(pause=pause) as two,
        Program(one, two, options=options, profiles=profiles(effect)) as program,
    ):
        api = await connect(program)
        cpu_before, started_at = cpu_seconds(program.process.pid), time.monotonic()
        batch = await api.wait_until_final(await api.create_batch(input_file(lines)))
        took = time.monotonic() - started_at
        cpu = cpu_seconds(program.process.pid) - cpu_before
        counts = batch["request_counts"]
    journal_bytes = (folder / "store" / "journal.log").stat().st_size
    return (
        f"{effect}: {lines / took:.0f} lines/s, {1000 * cpu / lines:.2f} s of CPU per 1,000 lines, "
        f"{journal_bytes / lines:.0f} bytes of journal per line; {counts}"
    )


def main() -> None:
    """Measure the effects that the command line selects."""
    parser = argparse.ArgumentParser(description="Rate of a long batch.")
    parser.add_argument("--effect", choices=EFFECTS, action="append", help="the effect of the lines' class")
    parser.add_argument("--lines", type=int, default=DEFAULT_LINES)
    parser.add_argument("--concurrency", type=int, default=8)
    parser.add_argument("--pause", type=float, default=0.0, help="seconds that a replica takes for a line")
    options = parser.parse_args()
    for effect in options.effect or EFFECTS:
        with tempfile.TemporaryDirectory() as folder:
            figures = measure(effect, options.lines, options.concurrency, options.pause, Path(folder))
            print(asyncio.run(figures), flush=True)


if __name__ == "__main__":
    main()
