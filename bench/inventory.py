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

GRACE_PERIOD = 0.25  # seconds after a removal in which requests may still reach the host
INVENTORY_SIZES = (22, 1_000, 10_000)  # hosts


def percentiles(values: Sequence[float]) -> dict[str, float]:
    """Median, 99th percentile and maximum, in milliseconds, of times in seconds."""
    ordered = sorted(values)
    chosen = [ordered[min(len(ordered) - 1, int(share * len(ordered)))] for share in (0.5, 0.99)]
    return {
        "p50_ms": round(chosen[0] * 1e3, 1),
        "p99_ms": round(chosen[1] * 1e3, 1),
        "max_ms": round(ordered[-1] * 1e3, 1),
    }


async def measure_removals(count: int, clients: int = 8, replica_count: int = 22) -> dict[str, Any]:
    """Remove one host at a time under load, by renaming a new file into place, and count late requests."""
    rng = random.Random(7)
    decision_delays: list[float] = []
    last_request_delays: list[float] = []
    stray_requests = 0
    with tempfile.TemporaryDirectory() as name:
        path = Path(name, "workers.csv")
        async with AsyncExitStack() as stack:
            timed_replicas = [
                await stack.enter_async_context(RecordingReplica()) for _ in range(replica_count)
            ]
            text = csv_text(*timed_replicas)
            replace_file(path, text)
            program = await stack.enter_async_context(Program(options=gateway_options(Path(name))))
            load = Load(program.port, clients)
            for _ in range(count):
                index = rng.randrange(replica_count)
                before = len(timed_replicas[index].times)
                await until(lambda index=index, before=before: len(timed_replicas[index].times) > before)  # type: ignore[misc]
                start = len(program.logs)
                wall_time = time.time()
                replaced_at = replace_file(
                    path, "".join(x for x in text.splitlines(True) if not x.startswith(f"w{index},"))
                )
                await asyncio.sleep(GRACE_PERIOD + 0.1)
                results = [one for one in program.logs[start:] if one.get("action") == "remove"]
                assert [one["host"] for one in results] == [f"w{index}"], results
                decided_at = datetime.fromisoformat(results[0]["timestamp"]).timestamp()
                decision_delays.append(decided_at - wall_time)
                last_request_delays.append(max(0.0, timed_replicas[index].times[-1] - replaced_at))
                stray_requests += sum(one > replaced_at + GRACE_PERIOD for one in timed_replicas[index].times)
                replace_file(path, text)
                # Wait until the host is added again, because two quick renames could be read as one change.
                await until(lambda start=start: any(x.get("action") == "add" for x in program.logs[start:]))  # type: ignore[misc]
            await load.end()
            not_served = sum(status != 200 or not complete for status, _, complete in load.statuses)
            return {
                "removals": count,
                "replicas": replica_count,
                "requests": len(load.statuses),
                "requests_not_served": not_served,
                "stray_requests_after_250_ms": stray_requests,
                "rename_to_decision": percentiles(decision_delays),
                "rename_to_last_request": percentiles(last_request_delays),
            }


def large_inventory(count: int, changed: int = -1) -> str:
    """A CSV file with `count` hosts at loopback addresses; the host at index `changed` is draining."""
    lines = ["name,host,port,zone,kind,state"]
    for host in range(count):
        state = "draining" if host == changed else "up"
        lines.append(
            f"w{host},127.{1 + host // 60_000}.{host // 250 % 250}.{1 + host % 250},5000,lis-1,gen-a,{state}"
        )
    return "\n".join(lines) + "\n"


READING_SCRIPT = """
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


def measure_reading(size: int, form: str = "csv", runs: int = 5) -> dict[str, Any]:
    """Measure reading and reconciling a list, then again with one row changed; each run is a new process."""
    with tempfile.TemporaryDirectory() as name:
        paths = [Path(name, f"a.{form}"), Path(name, f"b.{form}")]
        for path, changed in zip(paths, (-1, size // 2), strict=True):
            text = large_inventory(size, changed)
            if form != "csv":
                files = [FileContent("a.csv", text.encode())]
                text = write_inventory(take_snapshot(files, ReadOptions()).snapshot.replicas.values(), form)
            path.write_text(text)
        command = [sys.executable, "-c", READING_SCRIPT, *map(str, paths)]
        results = [
            json.loads(subprocess.run(command, capture_output=True, check=True).stdout) for _ in range(runs)
        ]
    median = sorted(results, key=lambda one: one["whole"]["read_ms"])[runs // 2]
    return {"hosts": size, "form": form, "runs": runs} | dict(median)


async def measure_pauses(size: int, changes: int = 10) -> dict[str, Any]:
    """Measure the response times of `GET /up` while the inventory is unchanged and while one row changes."""
    with tempfile.TemporaryDirectory() as name:
        path = Path(name, "workers.csv")
        replace_file(path, large_inventory(size))
        options = gateway_options(Path(name), **{"kinds.gen-a": 0.7})
        async with Program(options=options) as program, Client(program.port) as client:
            idle_delays: list[float] = []
            delays_under_load: list[float] = []
            change_delays: list[float] = []

            async def ping(delays: list[float], is_finished: Any) -> None:
                while not is_finished():
                    began = time.monotonic()
                    await client.request(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                    delays.append(time.monotonic() - began)
                    await asyncio.sleep(0.001)

            idle_until = time.monotonic() + 3
            await ping(idle_delays, lambda: time.monotonic() > idle_until)
            for change in range(changes):
                start = len(program.logs)
                began = replace_file(path, large_inventory(size, change))
                await ping(
                    delays_under_load,
                    lambda start=start: sum(x["event"] == "inventory_read" for x in program.logs[start:]),
                )
                change_delays.append(time.monotonic() - began)
            status = Path(f"/proc/{program.process.pid}/status").read_text()
            memory = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
            return {
                "hosts": size,
                "answer_at_rest": percentiles(idle_delays),
                "answer_while_changing": percentiles(delays_under_load),
                "change_to_decision": percentiles(change_delays),
                "first_change_ms": round(change_delays[0] * 1e3, 1),
                "gateway_peak_mb": round(memory / 1024, 1),
            }


def main() -> None:
    """Run the selected measurements and print their figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--removals", type=int, default=500)
    parser.add_argument("--only-removals", action="store_true")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    figures: dict[str, Any] = {"machine": platform.machine(), "python": platform.python_version()}
    if not options.only_removals:
        figures["reading"] = [measure_reading(size) for size in INVENTORY_SIZES]
        figures["reading"] += [
            measure_reading(INVENTORY_SIZES[-1], form) for form in FORMATS if form != "csv"
        ]
        figures["pauses"] = [asyncio.run(measure_pauses(size)) for size in INVENTORY_SIZES]
    if options.removals:
        figures["removals"] = asyncio.run(measure_removals(options.removals))
    figures["own_peak_mb"] = round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1)
    text = json.dumps(figures, indent=2)
    print(text)
    if options.json is not None:
        options.json.write_text(text + "\n")


if __name__ == "__main__":
    main()
