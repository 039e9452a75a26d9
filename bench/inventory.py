"""Cost and latency of the inventory: `python -m bench.inventory [--removals 500] [--json FILE]`.

Three measurements on loopback, none of them in CI: removals under load, with the times from the rename to the
decision and to the last request, and the number of requests that came too late; reading and reconciling at
several sizes, with memory; and the longest time without a response from a gateway with a large list while one
row of it changes.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import platform
import random
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack
from datetime import datetime
from pathlib import Path
from typing import Any

from lockspoke.inventory.parse_cache import ReadOptions
from lockspoke.inventory.snapshot import take_snapshot
from lockspoke.inventory.source_file import FileContent
from lockspoke.inventory.writing import FORMATS, write_inventory
from tests.inventory.test_source import Load, RecordingReplica, csv_text, gateway_options, replace_file
from tests.standins import Client, Program, until

GRACE = 0.25
SIZES = (22, 1_000, 10_000)


def quantiles(values: Sequence[float]) -> dict[str, float]:
    """Median, 99th percentile and maximum of times in seconds, in milliseconds."""
    ordered = sorted(values)
    at = [ordered[min(len(ordered) - 1, int(share * len(ordered)))] for share in (0.5, 0.99)]
    return {
        "p50_ms": round(at[0] * 1e3, 1),
        "p99_ms": round(at[1] * 1e3, 1),
        "max_ms": round(ordered[-1] * 1e3, 1),
    }


async def removals(count: int, clients: int = 8, fleet_size: int = 22) -> dict[str, Any]:
    """Remove a host by a rename, again and again under load, and count the requests that still reach it."""
    draw = random.Random(7)
    decided: list[float] = []
    last: list[float] = []
    strays = 0
    with tempfile.TemporaryDirectory() as name:
        path = Path(name, "workers.csv")
        async with AsyncExitStack() as stack:
            fleet = [await stack.enter_async_context(RecordingReplica()) for _ in range(fleet_size)]
            text = csv_text(*fleet)
            replace_file(path, text)
            program = await stack.enter_async_context(Program(options=gateway_options(Path(name))))
            load = Load(program.port, clients)
            for _ in range(count):
                out = draw.randrange(fleet_size)
                seen = len(fleet[out].times)
                await until(lambda out=out, seen=seen: len(fleet[out].times) > seen)  # type: ignore[misc]
                mark = len(program.logs)
                wall = time.time()
                when = replace_file(
                    path, "".join(x for x in text.splitlines(True) if not x.startswith(f"w{out},"))
                )
                await asyncio.sleep(GRACE + 0.1)
                found = [one for one in program.logs[mark:] if one.get("action") == "remove"]
                assert [one["host"] for one in found] == [f"w{out}"], found
                decided_at = datetime.fromisoformat(found[0]["timestamp"]).timestamp()
                decided.append(decided_at - wall)
                last.append(max(0.0, fleet[out].times[-1] - when))
                strays += sum(one > when + GRACE for one in fleet[out].times)
                replace_file(path, text)
                # Wait until it is added again: two renames at once would be one change.
                await until(lambda mark=mark: any(x.get("action") == "add" for x in program.logs[mark:]))  # type: ignore[misc]
            await load.end()
            wrong = sum(status != 200 or not complete for status, _, complete in load.statuses)
            return {
                "removals": count,
                "replicas": fleet_size,
                "requests": len(load.statuses),
                "requests_not_served": wrong,
                "stray_requests_after_250_ms": strays,
                "rename_to_decision": quantiles(decided),
                "rename_to_last_request": quantiles(last),
            }


def big_rows(count: int, changed: int = -1) -> str:
    """A CSV file with so many hosts at loopback addresses."""
    lines = ["name,host,port,zone,kind,state"]
    for at in range(count):
        state = "draining" if at == changed else "up"
        lines.append(
            f"w{at},127.{1 + at // 60_000}.{at // 250 % 250}.{1 + at % 250},5000,lis-1,gen-a,{state}"
        )
    return "\n".join(lines) + "\n"


READING = """
import gc, json, sys, time
from pathlib import Path
from lockspoke.inventory.files import read_files
from lockspoke.inventory.reconciler import Reconciler
from lockspoke.inventory.schema import ReplicaRules
from lockspoke.inventory.parse_cache import ParseCache, ReadOptions
from lockspoke.inventory.snapshot import take_snapshot

gc.disable()  # as in the parser process

def peak():
    # Not ru_maxrss: it includes the memory of the parent at the time of the fork.
    lines = Path("/proc/self/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024

options, cache, reconciler = ReadOptions(ReplicaRules(("lis-1",), {"gen-a": 0.7})), ParseCache(), Reconciler()
before, figures = peak(), {}
for name, path in (("whole", sys.argv[1]), ("one_row_changed", sys.argv[2])):
    began = time.perf_counter()
    files = read_files([Path(path)])
    files = [type(files[0])("a." + path.rpartition(".")[2], files[0].data)]
    snapshot = take_snapshot(files, options, cache).snapshot
    read = time.perf_counter()
    result = reconciler.reconcile(snapshot, 0)
    done = time.perf_counter()
    figures[name] = {
        "read_ms": round((read - began) * 1e3, 1),
        "reconcile_ms": round((done - read) * 1e3, 1),
        "replicas": len(snapshot.replicas),
        "entries": len(result.entries),
    }
figures["memory_mb"] = round(peak() - before, 1)
print(json.dumps(figures))
"""


def reading(size: int, form: str = "csv", runs: int = 5) -> dict[str, Any]:
    """Read and reconcile a list, and again with one row changed; each run in a new process."""
    with tempfile.TemporaryDirectory() as name:
        paths = [Path(name, f"a.{form}"), Path(name, f"b.{form}")]
        for path, changed in zip(paths, (-1, size // 2), strict=True):
            text = big_rows(size, changed)
            if form != "csv":
                files = [FileContent("a.csv", text.encode())]
                text = write_inventory(take_snapshot(files, ReadOptions()).snapshot.replicas.values(), form)
            path.write_text(text)
        command = [sys.executable, "-c", READING, *map(str, paths)]
        found = [
            json.loads(subprocess.run(command, capture_output=True, check=True).stdout) for _ in range(runs)
        ]
    middle = sorted(found, key=lambda one: one["whole"]["read_ms"])[runs // 2]
    return {"hosts": size, "form": form, "runs": runs} | dict(middle)


async def pauses(size: int, changes: int = 10) -> dict[str, Any]:
    """The longest time without a response to `GET /up`, at rest and while one row of many changes."""
    with tempfile.TemporaryDirectory() as name:
        path = Path(name, "workers.csv")
        replace_file(path, big_rows(size))
        options = gateway_options(Path(name), **{"kinds.gen-a": 0.7})
        async with Program(options=options) as program, Client(program.port) as client:
            rest: list[float] = []
            busy: list[float] = []
            settled: list[float] = []

            async def ping(into: list[float], end: Any) -> None:
                while not end():
                    began = time.monotonic()
                    await client.request(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                    into.append(time.monotonic() - began)
                    await asyncio.sleep(0.001)

            until_rest = time.monotonic() + 3
            await ping(rest, lambda: time.monotonic() > until_rest)
            for change in range(changes):
                mark = len(program.logs)
                began = replace_file(path, big_rows(size, change))
                await ping(
                    busy, lambda mark=mark: sum(x["event"] == "inventory_read" for x in program.logs[mark:])
                )
                settled.append(time.monotonic() - began)
            status = Path(f"/proc/{program.process.pid}/status").read_text()
            memory = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
            return {
                "hosts": size,
                "answer_at_rest": quantiles(rest),
                "answer_while_changing": quantiles(busy),
                "change_to_decision": quantiles(settled),
                "first_change_ms": round(settled[0] * 1e3, 1),
                "gateway_peak_mb": round(memory / 1024, 1),
            }


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--removals", type=int, default=500)
    parser.add_argument("--only-removals", action="store_true")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    figures: dict[str, Any] = {"machine": platform.machine(), "python": platform.python_version()}
    if not options.only_removals:
        figures["reading"] = [reading(size) for size in SIZES]
        figures["reading"] += [reading(SIZES[-1], form) for form in FORMATS if form != "csv"]
        figures["pauses"] = [asyncio.run(pauses(size)) for size in SIZES]
    if options.removals:
        figures["removals"] = asyncio.run(removals(options.removals))
    figures["own_peak_mb"] = round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1)
    text = json.dumps(figures, indent=2)
    print(text)
    if options.json is not None:
        options.json.write_text(text + "\n")


if __name__ == "__main__":
    main()
