"""Soak test of batch lines: `python -m bench.line_soak --seed N [--seeds K] [--lines L] [--effect E]`.

A seed determines the class of the lines (effect, scope, window), two kills in a row and two further stops or
kills, hanging replicas before them, steps of the wall clock between the starts, failing disks and, in a
quarter of the seeds, a cancellation right before a stop. The replicas decline, lose and cut off answers, and
hang.

Each line must have one result, run no more often than its class allows, and be served if it is free; an error
must say that the line may have run if it has. The exit code is the number of seeds that failed, 100 at the
most.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from pathlib import Path

from .checker import outcome_counts, violations
from .observations import Effect
from .run import LineSoak
from .schedule import draw_schedule

DEFAULT_LINES = 2_000
MAX_PRINTED = 10  # violations of a seed


def run_seed(seed: int, lines: int, effect: Effect | None) -> bool:
    """Run one seed and print its outcome; returns whether it failed."""
    schedule = draw_schedule(seed, effect)
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        soak = LineSoak(seed, schedule, lines, Path(folder))
        try:
            asyncio.run(soak.execute())
            found = violations(soak.observations)
        except (AssertionError, TimeoutError, OSError) as error:
            found = [repr(error)]
    rules, observations = schedule.rules, soak.observations
    print(
        f"seed {seed}: {'FAILED' if found else 'passed'} in {time.monotonic() - started_at:.0f} s; "
        f"{rules.effect}, scope {rules.scope}, window {rules.window:g} s, {observations.kills} kills, "
        f"{observations.stops} stops{', cancelled' if observations.cancelled else ''}; "
        f"{outcome_counts(observations)}",
        flush=True,
    )
    for violation in found[:MAX_PRINTED]:
        print(f"  {violation}", flush=True)
    if found:
        option = f" --effect {effect}" if effect else ""
        print(f"  again by: python -m bench.line_soak --seed {seed} --lines {lines}{option}", flush=True)
    return bool(found)


def main() -> None:
    """Run the seeds that the command line selects."""
    parser = argparse.ArgumentParser(description="Soak of batch lines across stops and kills.")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one after another")
    parser.add_argument("--lines", type=int, default=DEFAULT_LINES, help="lines of the batch")
    parser.add_argument("--effect", type=Effect, choices=list(Effect), help="in place of the one drawn")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    failed = sum(run_seed(seed, options.lines, options.effect) for seed in seeds)
    print(f"{options.seeds} seeds, {failed} failed")
    sys.exit(min(failed, 100))


if __name__ == "__main__":
    main()
