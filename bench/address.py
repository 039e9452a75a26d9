"""Measures how long the service address has no holder, whether it ever has two, and the election's cost.

    python -m bench.address sockets [--kills 200] [--cuts 200] [--moves 100] [--json FILE]
    python -m bench.address schedules [--count 100000] [--large 20000]
    python -m bench.address rest [--seconds 20]

`sockets`: real gateways on loopback, several clusters of three at a time; a client sends requests to the
service address all the time. Members trace their claims with the clock that all processes share.
`schedules`: random schedules of tests/address/simulation.py in virtual time, on all cores. `rest`: messages
and CPU of gateways that only hold the address. The exit code is 1 after any violation.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import sys
import time
from collections.abc import Sequence
from multiprocessing import Pool
from pathlib import Path
from typing import Any

import tests.standins
from lockspoke.address.control import send_command
from tests.address.cluster import Cluster, overlaps
from tests.address.simulation import Counts, InvariantError, Simulation, describe, random_schedule, shrink

SCHEDULES_PER_JOB = 250  # schedules per task of the process pool
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def percentiles(values: Sequence[float]) -> dict[str, Any]:
    """Percentiles in milliseconds; of few values the highest ones are the same."""
    found = sorted(values)

    def at(share: float) -> float:
        return round(found[min(len(found) - 1, int(share * len(found)))] * 1000, 1)

    return {"count": len(found), "p50_ms": at(0.5), "p99_ms": at(0.99), "max_ms": round(found[-1] * 1000, 1)}


async def cause_failure(cluster: Cluster, what: str) -> float:
    """Cause one failure; return the seconds until another holder answered a client."""
    await cluster.wait_until_voting()
    holder = cluster.holder or ""
    await cluster.wait_until_answered()
    if what == "kill":
        began = await cluster.kill(holder)
    elif what == "move":
        successor = next(name for name in cluster.programs if name != holder)
        began = time.monotonic()
        send_command(cluster.folder / f"{holder}.sock", {"do": "move", "to": successor})
    else:
        began = time.monotonic()
        cluster.relay.cut(holder, one_way=what == "cut_one_way")
    while cluster.holder in (None, holder):  # a partitioned holder may answer until its lease ends
        await cluster.wait_until_answered()
        await asyncio.sleep(0)
    # the first answer that certainly came from the new holder; the gap may be slightly too long
    gap = await cluster.wait_until_answered() - began
    cluster.relay.heal()
    if holder not in cluster.programs:
        await cluster.start(holder)
    return gap


async def measure_cluster(what: str, runs: int) -> tuple[list[float], int, list[str], list[float]]:
    """Run one cluster through `runs` failures; return gaps, claims, violations and times between claims."""
    gaps = []
    async with Cluster() as cluster:
        for run in range(runs):
            kind = "cut_one_way" if what == "cut" and run % 2 else what
            gaps.append(await cause_failure(cluster, kind))
        claims = cluster.claims()
    between = [
        (after[0] - before[1]) / 1e9 for before, after in itertools.pairwise(claims) if before[2] != after[2]
    ]
    return gaps, len(claims), overlaps(claims), between


def run_cluster(job: tuple[str, int]) -> tuple[list[float], int, list[str], list[float]]:
    """Measure in a process of its own, so that one cluster's client doesn't wait for another's."""
    tests.standins.WAIT_TIMEOUT = 60.0
    return asyncio.run(measure_cluster(*job))


def sockets(options: argparse.Namespace) -> dict[str, Any]:
    """Kills, cuts and moves over real processes."""
    found: dict[str, Any] = {"cores": os.cpu_count(), "clusters_at_a_time": options.clusters}
    for what in ("kill", "cut", "move"):
        runs = getattr(options, f"{what}s")
        share = [runs // options.clusters + (at < runs % options.clusters) for at in range(options.clusters)]
        with Pool(options.clusters) as pool:
            parts = pool.map(run_cluster, [(what, count) for count in share if count], 1)
        gaps = [gap for part in parts for gap in part[0]]
        between = [gap for part in parts for gap in part[3]]
        violations = [text for part in parts for text in part[2]]
        found[what] = {
            "until_answered": percentiles(gaps),
            "claims": sum(part[1] for part in parts),
            "nobody_claims": percentiles(between),
            "shortest_between_claims_ms": round(min(between) * 1000, 3),
            "two_holders_or_old_tokens": violations,
        }
        print(json.dumps({what: found[what]}), flush=True)
    return found


def _run_schedules(job: tuple[int, int, tuple[int, ...]]) -> tuple[Counts, list[int]]:
    counts, bad = Counts(), []
    for seed in range(job[0], job[1]):
        try:
            counts.add(Simulation(random_schedule(seed, job[2])).run_schedule())
        except InvariantError:
            bad.append(seed)
    return counts, bad


def schedules(options: argparse.Namespace) -> dict[str, Any]:
    """Random schedules on all cores; a failing one is shrunk and printed."""
    began = time.monotonic()
    found: dict[str, Any] = {}
    for name, count, sizes in (
        ("any_size", options.count - options.large, (1, 2, 3, 5, 7)),
        ("five_to_seven", options.large, (5, 7)),
    ):
        jobs = [(at, min(at + SCHEDULES_PER_JOB, count), sizes) for at in range(0, count, SCHEDULES_PER_JOB)]
        counts, bad = Counts(), []
        with Pool() as pool:
            for part, seeds in pool.imap_unordered(_run_schedules, jobs):
                counts.add(part)
                bad += seeds
        for seed in sorted(bad)[:3]:
            print(describe(shrink(random_schedule(seed, sizes))))
        found[name] = {
            "schedules": counts.schedules + len(bad),
            "claims_checked": counts.claims,
            "moves": counts.moves,
            "messages": counts.messages,
            "violations": sorted(bad),
        }
    found["seconds"] = round(time.monotonic() - began, 1)
    return found


def _cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


async def measure_idle(size: int, seconds: float) -> dict[str, Any]:
    """What holding the address costs each member, beside what the gateway costs without it."""
    async with Cluster(tuple("abcdefg"[:size])) as cluster:
        await cluster.wait_until_voting()
        idle = tests.standins.Program(cluster.replica)
        async with idle:
            pids = {name: one.process.pid for name, one in cluster.programs.items()}
            pids["without"] = idle.process.pid
            sent = {name: cluster.status(name)["sent"] for name in cluster.names}
            cpu = {name: _cpu(pid) for name, pid in pids.items()}
            began = time.monotonic()
            await asyncio.sleep(seconds)
            took = time.monotonic() - began
            used = {name: (_cpu(pid) - cpu[name]) / took for name, pid in pids.items()}
            messages = {name: (cluster.status(name)["sent"] - sent[name]) / took for name in cluster.names}
            holder = cluster.holder or ""
    others = [name for name in cluster.names if name != holder]
    return {
        "members": size,
        "messages_a_second": round(sum(messages.values()), 1),
        "holder_cpu_share": round(used[holder], 4),
        "other_cpu_share": round(sum(used[name] for name in others) / len(others), 4),
        "gateway_without_cpu_share": round(used["without"], 4),
    }


def main() -> int:
    """Measure and print."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("sockets", "schedules", "rest"))
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--cuts", type=int, default=200)
    parser.add_argument("--moves", type=int, default=100)
    parser.add_argument("--clusters", type=int, default=4, help="at a time")
    parser.add_argument("--count", type=int, default=100_000)
    parser.add_argument("--large", type=int, default=20_000, help="of these with 5 or 7 members")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--json", type=Path, help="also write the figures here")
    options = parser.parse_args()
    if options.what == "sockets":
        found = sockets(options)
        bad = any(found[what]["two_holders_or_old_tokens"] for what in ("kill", "cut", "move"))
    elif options.what == "schedules":
        found = schedules(options)
        bad = any(found[name]["violations"] for name in ("any_size", "five_to_seven"))
    else:
        found = {"at_rest": [asyncio.run(measure_idle(size, options.seconds)) for size in (3, 7)]}
        bad = False
    print(json.dumps(found, indent=2))
    if options.json is not None:
        options.json.write_text(json.dumps(found, indent=2) + "\n")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
