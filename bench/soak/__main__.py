"""The soak of several gateways: `python -m bench.soak --seed N [--seeds K] [--seconds T] [--faults NAMES]`.

Each seed is a run of its own. A verdict is `passed`, `FAILED` with every broken rule and the command that
plays the seed again, or `void` if the bench itself was late: then the seed is played again. The exit code is
the number of seeds that failed or never counted, 100 at the most.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections import Counter
from collections.abc import Collection
from enum import Enum
from pathlib import Path

from .faults import CONCERNS, draw_plan
from .gateways import describe
from .judge import is_void, violations
from .run import SoakRun
from .schedule import draw_schedule

MAX_PLAYS = 5  # of a seed whose plays are void
MAX_PRINTED = 40  # violations of one seed


class Verdict(Enum):
    """What a play of a seed has shown."""

    PASSED = "passed"
    FAILED = "FAILED"
    VOID = "void"


def play_seed(seed: int, seconds: float, logs: Path | None, concerns: Collection[str]) -> Verdict:
    """Play one seed and print its verdict."""
    folder = logs / str(seed) if logs is not None else None
    run = SoakRun(draw_schedule(seed, seconds), folder, draw_plan(seed, seconds, concerns))
    seen = asyncio.run(run.play())
    own_delay_ms = 1000 * max(seen.own_delays, default=0.0)
    summary = f"{describe(seen)}, own lateness {own_delay_ms:.0f} ms"
    found = violations(seen)
    if is_void(seen):
        print(
            f"seed {seed}: void, the bench was late ({len(found)} violations not counted); {summary}",
            flush=True,
        )
        return Verdict.VOID
    if not found:
        print(f"seed {seed}: passed; {summary}", flush=True)
        return Verdict.PASSED
    print(f"seed {seed}: FAILED, {len(found)} violations; {summary}")
    for violation in found[:MAX_PRINTED]:
        print(f"  {violation}")
    faults = f" --faults {','.join(concerns)}" if concerns else ""
    print(f"  again by: python -m bench.soak --seed {seed} --seconds {seconds:g}{faults}", flush=True)
    return Verdict.FAILED


def play_until_it_counts(seed: int, seconds: float, logs: Path | None, concerns: Collection[str]) -> Verdict:
    """Play a seed again while its plays are void."""
    for _ in range(MAX_PLAYS):
        verdict = play_seed(seed, seconds, logs, concerns)
        if verdict is not Verdict.VOID:
            break
    return verdict


def _concerns(text: str) -> tuple[str, ...]:
    names = CONCERNS if text == "all" else tuple(text.split(","))
    for name in names:
        if name not in CONCERNS:
            raise argparse.ArgumentTypeError(f"{name!r} is none of {', '.join(CONCERNS)}")
    return names


def main() -> None:
    """Play the seeds that the command line names."""
    parser = argparse.ArgumentParser(description="A seeded soak of several gateways on loopback.")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one after another")
    parser.add_argument("--seconds", type=float, default=20.0, help="of each run")
    parser.add_argument("--logs", type=Path, help="a folder for the gateways' logs")
    parser.add_argument(
        "--faults", type=_concerns, default=(), help=f"'all', or some of {','.join(CONCERNS)}: also injected"
    )
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    verdicts = Counter(
        play_until_it_counts(seed, options.seconds, options.logs, options.faults) for seed in seeds
    )
    failed, void = verdicts[Verdict.FAILED], verdicts[Verdict.VOID]
    print(f"{options.seeds} seeds, {failed} failed, {void} never counted")
    sys.exit(min(failed + void, 100))


if __name__ == "__main__":
    main()
