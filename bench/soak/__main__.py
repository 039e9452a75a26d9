"""`python -m bench.soak --seed N [--seeds K] [--seconds T] [--logs DIR]`: the soak of several gateways.

Each seed is a run of its own. A verdict is `passed`, `FAILED` with every broken rule and the command that
plays the seed again, or `void` if the bench itself was late. The exit code is the number of seeds that
failed, 100 at the most.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from .gateways import describe
from .judge import is_void, violations
from .run import SoakRun
from .schedule import draw_schedule

MAX_PRINTED = 10  # violations of one seed


def play_seed(seed: int, seconds: float, logs: Path | None) -> bool:
    """Play one seed and print its verdict; returns whether it failed."""
    folder = logs / str(seed) if logs is not None else None
    seen = asyncio.run(SoakRun(draw_schedule(seed, seconds), folder).play())
    own_delay_ms = 1000 * max(seen.own_delays, default=0.0)
    summary = f"{describe(seen)}, own lateness {own_delay_ms:.0f} ms"
    found = violations(seen)
    if is_void(seen):
        print(
            f"seed {seed}: void, the bench was late ({len(found)} violations not counted); {summary}",
            flush=True,
        )
        return False
    if not found:
        print(f"seed {seed}: passed; {summary}", flush=True)
        return False
    print(f"seed {seed}: FAILED, {len(found)} violations; {summary}")
    for violation in found[:MAX_PRINTED]:
        print(f"  {violation}")
    print(f"  again by: python -m bench.soak --seed {seed} --seconds {seconds:g}", flush=True)
    return True


def main() -> None:
    """Play the seeds that the command line names."""
    parser = argparse.ArgumentParser(description="A seeded soak of several gateways on loopback.")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one after another")
    parser.add_argument("--seconds", type=float, default=20.0, help="of each run")
    parser.add_argument("--logs", type=Path, help="a folder for the gateways' logs")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    failed = sum(play_seed(seed, options.seconds, options.logs) for seed in seeds)
    print(f"{options.seeds} seeds, {failed} failed")
    sys.exit(min(failed, 100))


if __name__ == "__main__":
    main()
