"""Soak test of upgrades: `python -m bench.upgrade_soak --seed N [--seeds K]`.

Each seed is one upgrade under load on real processes. While a new process starts beside the old one and one
of them ends, operators call both about six replicas and the gateway itself, at random moments. Every call
that was answered with yes must hold at the process that is left, and a replica that is offline must get no
request. The exit code is the number of seeds that failed, 100 at the most.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections import Counter

from .observations import Call, violations
from .run import UpgradeSoak, draw_schedule

MAX_PRINTED = 10  # violations of a seed


def _outcome(call: Call) -> str:
    return {200: "yes", 0: "no response"}.get(call.status, str(call.status))


def run_seed(seed: int, outcomes: Counter[str]) -> bool:
    """Run one seed, print its outcome, and count its calls by outcome; returns whether it failed."""
    schedule = draw_schedule(seed)
    soak = UpgradeSoak(seed, schedule)
    try:
        asyncio.run(soak.execute())
        found = violations(soak.observations)
    except (AssertionError, TimeoutError, OSError) as error:
        found = [repr(error)]
    counts = Counter(_outcome(call) for calls in soak.observations.calls.values() for call in calls)
    outcomes.update(counts)
    suspension = ", a process suspended" if schedule.suspends else ""
    outcome = "FAILED" if found else "passed"
    print(f"seed {seed}: {outcome}; {schedule.ending}{suspension}; {dict(counts)}", flush=True)
    for violation in found[:MAX_PRINTED]:
        print(f"  {violation}", flush=True)
    return bool(found)


def main() -> None:
    """Run the seeds that the command line selects."""
    parser = argparse.ArgumentParser(description="Soak of operators' calls during upgrades.")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one after another")
    options = parser.parse_args()
    outcomes: Counter[str] = Counter()
    seeds = range(options.seed, options.seed + options.seeds)
    failed = sum(run_seed(seed, outcomes) for seed in seeds)
    print(f"{options.seeds} upgrades, {failed} failed; calls: {dict(outcomes)}")
    sys.exit(min(failed, 100))


if __name__ == "__main__":
    main()
