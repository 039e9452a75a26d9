"""Measures how long the service address has no holder, whether it ever has two, and the election's cost.

    python -m bench.address sockets [--kills 200] [--cuts 200] [--moves 100] [--json FILE]
    python -m bench.address schedules [--count 100000] [--large 20000]
    python -m bench.address members [--count 100000]
    python -m bench.address rest [--seconds 20]

`sockets`: real gateways on loopback, several clusters of three at a time; a client sends requests to the
service address all the time. Members trace their claims with the clock that all processes share.
`schedules`: random schedules of tests/address/simulation.py in virtual time, on all cores.
`members`: those of tests/address/membership_simulation.py, in which members change. `rest`: messages and CPU
of gateways that only hold the address. The exit code is 1 after any violation.
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
from tests.address.membership_simulation import MembershipSimulation, random_membership_schedule
from tests.address.simulation import Counts, InvariantError, Simulation, describe, random_schedule, shrink

SCHEDULES_PER_JOB = 250  # schedules per task of the process pool
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def percentiles(values: Sequence[float]) -> dict[str, Any]:
    """Percentiles in milliseconds of times in seconds; with few values the 99th is the maximum."""
    ordered = sorted(values)

    def value_at(share: float) -> float:
        return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000, 1)

    return {
        "count": len(ordered),
        "p50_ms": value_at(0.5),
        "p99_ms": value_at(0.99),
        "max_ms": round(ordered[-1] * 1000, 1),
    }


async def cause_failure(cluster: Cluster, failure: str) -> float:
    """Cause one failure; returns the seconds until another holder answered a client."""
    await cluster.wait_until_voting()
    holder = cluster.holder or ""
    await cluster.wait_until_answered()
    if failure == "kill":
        started_at = await cluster.kill(holder)
    elif failure == "move":
        successor = next(name for name in cluster.programs if name != holder)
        started_at = time.monotonic()
        send_command(cluster.folder / f"{holder}.sock", {"do": "move", "to": successor})
    else:
        started_at = time.monotonic()
        cluster.relay.cut(holder, one_way=failure == "cut_one_way")
    while cluster.holder in (None, holder):  # a partitioned holder may answer until its lease ends
        await cluster.wait_until_answered()
        await asyncio.sleep(0)
    # Measured to the first answer that certainly came from the new holder, so it may be slightly too long.
    outage = await cluster.wait_until_answered() - started_at
    cluster.relay.heal()
    if holder not in cluster.programs:
        await cluster.start(holder)
    return outage


async def measure_cluster(failure: str, runs: int) -> tuple[list[float], int, list[str], list[float]]:
    """Cause `runs` failures in one cluster; returns outages, number of claims, violations and claim gaps."""
    outages = []
    async with Cluster() as cluster:
        for run in range(runs):
            kind = "cut_one_way" if failure == "cut" and run % 2 else failure
            outages.append(await cause_failure(cluster, kind))
        claims = cluster.claims()
    claim_gaps = [
        (after[0] - before[1]) / 1e9 for before, after in itertools.pairwise(claims) if before[2] != after[2]
    ]
    return outages, len(claims), overlaps(claims), claim_gaps


def run_cluster(job: tuple[str, int]) -> tuple[list[float], int, list[str], list[float]]:
    """Measure one cluster in a pool process, so that its client is not delayed by another cluster."""
    tests.standins.WAIT_TIMEOUT = 60.0
    return asyncio.run(measure_cluster(*job))


def sockets(options: argparse.Namespace) -> dict[str, Any]:
    """Measure kills, cuts and moves with real gateway processes."""
    figures: dict[str, Any] = {"cores": os.cpu_count(), "clusters_at_a_time": options.clusters}
    for failure in ("kill", "cut", "move"):
        runs = getattr(options, f"{failure}s")
        runs_per_cluster = [
            runs // options.clusters + (index < runs % options.clusters) for index in range(options.clusters)
        ]
        with Pool(options.clusters) as pool:
            parts = pool.map(run_cluster, [(failure, count) for count in runs_per_cluster if count], 1)
        outages = [outage for part in parts for outage in part[0]]
        claim_gaps = [gap for part in parts for gap in part[3]]
        violations = [text for part in parts for text in part[2]]
        figures[failure] = {
            "until_answered": percentiles(outages),
            "claims": sum(part[1] for part in parts),
            "nobody_claims": percentiles(claim_gaps),
            "shortest_between_claims_ms": round(min(claim_gaps) * 1000, 3),
            "two_holders_or_old_tokens": violations,
        }
        print(json.dumps({failure: figures[failure]}), flush=True)
    return figures


def _run_schedules(job: tuple[int, int, tuple[int, ...]]) -> tuple[Counts, list[int]]:
    counts, failed_seeds = Counts(), []
    for seed in range(job[0], job[1]):
        try:
            counts.add(Simulation(random_schedule(seed, job[2])).run_schedule())
        except InvariantError:
            failed_seeds.append(seed)
    return counts, failed_seeds


def schedules(options: argparse.Namespace) -> dict[str, Any]:
    """Run random schedules on all cores; the first failing ones are shrunk and printed."""
    started_at = time.monotonic()
    figures: dict[str, Any] = {}
    for name, count, sizes in (
        ("any_size", options.count - options.large, (1, 2, 3, 5, 7)),
        ("five_to_seven", options.large, (5, 7)),
    ):
        jobs = [
            (first, min(first + SCHEDULES_PER_JOB, count), sizes)
            for first in range(0, count, SCHEDULES_PER_JOB)
        ]
        counts, failed_seeds = Counts(), []
        with Pool() as pool:
            for part, seeds in pool.imap_unordered(_run_schedules, jobs):
                counts.add(part)
                failed_seeds += seeds
        for seed in sorted(failed_seeds)[:3]:
            print(describe(shrink(random_schedule(seed, sizes))))
        figures[name] = {
            "schedules": counts.schedules + len(failed_seeds),
            "claims_checked": counts.claims,
            "moves": counts.moves,
            "messages": counts.messages,
            "violations": sorted(failed_seeds),
        }
    figures["seconds"] = round(time.monotonic() - started_at, 1)
    return figures


def _run_membership_schedules(seeds: range) -> tuple[Counts, dict[int, str]]:
    """Run the schedules of these seeds; returns the counts, and the violations by seed."""
    counts = Counts()
    violations: dict[int, str] = {}
    for seed in seeds:
        try:
            counts.add(MembershipSimulation(random_membership_schedule(seed)).run_schedule())
        except InvariantError as error:
            violations[seed] = str(error)
    return counts, violations


def membership_schedules(options: argparse.Namespace) -> dict[str, Any]:
    """Run random schedules with changes of members on all cores."""
    started_at = time.monotonic()
    starts = range(0, options.count, SCHEDULES_PER_JOB)
    jobs = [range(first, min(first + SCHEDULES_PER_JOB, options.count)) for first in starts]
    counts = Counts()
    violations: dict[int, str] = {}
    with Pool() as pool:
        for part, found in pool.imap_unordered(_run_membership_schedules, jobs):
            counts.add(part)
            violations |= found
    return {
        "schedules": counts.schedules + len(violations),
        "claims_checked": counts.claims,
        "moves": counts.moves,
        "events": dict(sorted(counts.events.items())),
        "violations": dict(sorted(violations.items())),
        "seconds": round(time.monotonic() - started_at, 1),
    }


def _cpu_seconds(pid: int) -> float:
    """The user and system CPU time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


async def measure_idle(size: int, seconds: float) -> dict[str, Any]:
    """Measure messages and CPU of members that only hold the address, and CPU of a gateway without it."""
    async with Cluster(tuple("abcdefg"[:size])) as cluster:
        await cluster.wait_until_voting()
        without_address = tests.standins.Program(cluster.replica)
        async with without_address:
            pids = {name: one.process.pid for name, one in cluster.programs.items()}
            pids["without"] = without_address.process.pid
            sent_before = {name: cluster.status(name)["sent"] for name in cluster.names}
            cpu_before = {name: _cpu_seconds(pid) for name, pid in pids.items()}
            started_at = time.monotonic()
            await asyncio.sleep(seconds)
            elapsed = time.monotonic() - started_at
            cpu_shares = {
                name: (_cpu_seconds(pid) - cpu_before[name]) / elapsed for name, pid in pids.items()
            }
            messages = {
                name: (cluster.status(name)["sent"] - sent_before[name]) / elapsed for name in cluster.names
            }
            holder = cluster.holder or ""
    others = [name for name in cluster.names if name != holder]
    return {
        "members": size,
        "messages_a_second": round(sum(messages.values()), 1),
        "holder_cpu_share": round(cpu_shares[holder], 4),
        "other_cpu_share": round(sum(cpu_shares[name] for name in others) / len(others), 4),
        "gateway_without_cpu_share": round(cpu_shares["without"], 4),
    }


def main() -> int:
    """Run the selected measurement, and print its figures as JSON."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("sockets", "schedules", "members", "rest"))
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
        figures = sockets(options)
        has_violations = any(figures[what]["two_holders_or_old_tokens"] for what in ("kill", "cut", "move"))
    elif options.what == "schedules":
        figures = schedules(options)
        has_violations = any(figures[name]["violations"] for name in ("any_size", "five_to_seven"))
    elif options.what == "members":
        figures = membership_schedules(options)
        has_violations = bool(figures["violations"])
    else:
        figures = {"at_rest": [asyncio.run(measure_idle(size, options.seconds)) for size in (3, 7)]}
        has_violations = False
    print(json.dumps(figures, indent=2))
    if options.json is not None:
        options.json.write_text(json.dumps(figures, indent=2) + "\n")
    return 1 if has_violations else 0


if __name__ == "__main__":
    sys.exit(main())
