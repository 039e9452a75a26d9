"""Soak test of several gateways: `python -m bench.soak --seed N [--seeds K] [--seconds T] [--faults NAMES]`.

Each seed is a separate run. Its printed outcome is `passed`; `FAILED`, with each violation and the command
that repeats the run; or `void`, if the bench's own event loop was too late for the run to be conclusive. An
inconclusive run is repeated. The exit code is the number of seeds that failed or stayed inconclusive, 100 at
the most.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Collection
from enum import Enum
from pathlib import Path

from .checker import describe_lateness, is_inconclusive, violations
from .faults import CONCERNS
from .gateways import summarize
from .observations import Observations
from .run import run_until_conclusive

MAX_PRINTED = 10  # violations of one run


class Outcome(Enum):
    """Outcome of one run, by its printed name."""

    PASSED = "passed"
    FAILED = "FAILED"
    INCONCLUSIVE = "void"


def run_seed(seed: int, seconds: float, logs: Path | None, concerns: Collection[str]) -> Outcome:
    """Run one seed until a run is conclusive, and print the outcome of each run."""
    folder = logs / str(seed) if logs is not None else None
    for observations in run_until_conclusive(seed, seconds, concerns, folder):
        outcome = print_outcome(seed, observations)
    if outcome is Outcome.FAILED:
        faults = f" --faults {','.join(concerns)}" if concerns else ""
        print(f"  again by: python -m bench.soak --seed {seed} --seconds {seconds:g}{faults}", flush=True)
    return outcome


def print_outcome(seed: int, observations: Observations) -> Outcome:
    """Check the observations of one run, and print the outcome and its violations."""
    found = violations(observations)
    outcome = Outcome.FAILED if found else Outcome.PASSED
    if is_inconclusive(observations):
        outcome = Outcome.INCONCLUSIVE
    print(
        f"seed {seed}: {outcome.value}; {summarize(observations)}, {describe_lateness(observations)}",
        flush=True,
    )
    for violation in found[:MAX_PRINTED]:
        print(f"  {violation}", flush=True)
    return outcome


def _parse_concerns(text: str) -> tuple[str, ...]:
    names = CONCERNS if text == "all" else tuple(text.split(","))
    for name in names:
        if name not in CONCERNS:
            raise argparse.ArgumentTypeError(f"{name!r} is none of {', '.join(CONCERNS)}")
    return names


def main() -> None:
    """Run the seeds that the command line selects."""
    parser = argparse.ArgumentParser(description="A seeded soak of several gateways on loopback.")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one after another")
    parser.add_argument("--seconds", type=float, default=20.0, help="of each run")
    parser.add_argument("--logs", type=Path, help="a folder for the gateways' logs")
    parser.add_argument(
        "--faults",
        type=_parse_concerns,
        default=(),
        help=f"'all', or some of {','.join(CONCERNS)}: also injected",
    )
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    outcomes = Counter(run_seed(seed, options.seconds, options.logs, options.faults) for seed in seeds)
    failed, inconclusive = outcomes[Outcome.FAILED], outcomes[Outcome.INCONCLUSIVE]
    print(f"{options.seeds} seeds, {failed} failed, {inconclusive} never counted")
    sys.exit(min(failed + inconclusive, 100))


if __name__ == "__main__":
    main()
