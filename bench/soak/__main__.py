"""The soak of several gateways: `python -m bench.soak --seed N [--seeds K] [--seconds T] [--faults NAMES]`.

Each seed is a run of its own. A verdict is `passed`, `FAILED` with every broken rule and the command that
plays the seed again, or `void` if the bench itself was late: then the seed is played again. The exit code is
the number of seeds that failed or never counted, 100 at the most.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Collection
from enum import Enum
from pathlib import Path

from .faults import CONCERNS
from .gateways import describe
from .judge import is_void, violations
from .observations import Observations
from .run import plays

MAX_PRINTED = 10  # violations of one seed


class Verdict(Enum):
    """What a play of a seed has shown."""

    PASSED = "passed"
    FAILED = "FAILED"
    VOID = "void"


def play_seed(seed: int, seconds: float, logs: Path | None, concerns: Collection[str]) -> Verdict:
    """Play one seed until a play counts, and print the verdict of each play."""
    folder = logs / str(seed) if logs is not None else None
    for seen in plays(seed, seconds, concerns, folder):
        verdict = print_verdict(seed, seen)
    if verdict is Verdict.FAILED:
        faults = f" --faults {','.join(concerns)}" if concerns else ""
        print(f"  again by: python -m bench.soak --seed {seed} --seconds {seconds:g}{faults}", flush=True)
    return verdict


def print_verdict(seed: int, seen: Observations) -> Verdict:
    """Judge one play, and print what was found."""
    found = violations(seen)
    verdict = Verdict.FAILED if found else Verdict.PASSED
    if is_void(seen):
        verdict = Verdict.VOID
    own_delay_ms = 1000 * max(seen.own_delays, default=0.0)
    print(f"seed {seed}: {verdict.value}; {describe(seen)}, own lateness {own_delay_ms:.0f} ms", flush=True)
    for violation in found[:MAX_PRINTED]:
        print(f"  {violation}", flush=True)
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
    verdicts = Counter(play_seed(seed, options.seconds, options.logs, options.faults) for seed in seeds)
    failed, void = verdicts[Verdict.FAILED], verdicts[Verdict.VOID]
    print(f"{options.seeds} seeds, {failed} failed, {void} never counted")
    sys.exit(min(failed + void, 100))


if __name__ == "__main__":
    main()
