"""How long the service address is nobody's: `python -m bench.address [--runs 500]`, in virtual time.

Members on a simulated network with clocks that drift; each run kills, cuts off or hands over the holder
once the election has settled. Figures are of model time and say nothing of sockets. A moment with two
holders, or a token that does not grow, ends the measurement with an error.
"""

from __future__ import annotations

import argparse
import json
import random
import time
from collections.abc import Callable
from typing import Any

from lockspoke.address.election import Terms
from tests.address.test_election import MS, World, test_never_two_holders_and_tokens_only_grow


def kill(world: World, holder: str) -> None:
    """The holder dies without a word."""
    world.kill(holder)


def cut(world: World, holder: str) -> None:
    """The holder is cut off from all others."""
    world.cut(holder)


def move(world: World, holder: str) -> None:
    """The holder hands over to the next member."""
    heir = next(name for name in world.terms.members if name != holder)
    world.carry(holder, world.members[holder].move(heir, world.clock(holder)))


def measure(size: int, loss: float, event: Callable[[World, str], None], runs: int) -> dict[str, Any]:
    """Gaps without a holder over many runs, in milliseconds."""
    gaps: list[float] = []
    stayed = 0
    for seed in range(runs):
        world = World(Terms(tuple("abcdefg"[:size])), seed, loss)
        world.run(4_000 * MS)
        holder = world.holder
        if holder is None:
            continue
        at, count = world.now, len(world.gained)
        event(world, holder)
        world.run(10_000 * MS)
        if len(world.gained) > count:
            gaps.append((world.gained[count][0] - at) / MS)
        else:
            stayed += 1
    gaps.sort()
    return {
        "members": size,
        "loss": loss,
        "event": event.__name__,
        "moved": len(gaps),
        "stayed": stayed,  # with the holder, as where the heir never heard of it
        "p50_ms": round(gaps[len(gaps) // 2]),
        "p99_ms": round(gaps[int(0.99 * len(gaps))]),
        "max_ms": round(gaps[-1]),
    }


def sweep(seconds: float, seed: int = 5) -> dict[str, Any]:
    """Random scenarios for so long, with the checks of the test of that name; raises where one fails."""
    draw, count, end = random.Random(seed), 0, time.monotonic() + seconds
    play = test_never_two_holders_and_tokens_only_grow.hypothesis.inner_test  # type: ignore[attr-defined]
    words = ["kill", "start", "cut", "heal", "sick", "well", "move", "stop"]
    while time.monotonic() < end:
        events = [
            (draw.choice(words), draw.randrange(7), draw.randrange(1, 900)) for _ in range(draw.randrange(25))
        ]
        play(draw.choice([2, 3, 5, 7]), draw.randrange(1 << 30), draw.choice([0.0, 0.05, 0.3]), events)
        count += 1
    return {"scenarios": count, "violations": 0}


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=500)
    parser.add_argument("--sweep", type=float, metavar="SECONDS", help="random scenarios alone, for so long")
    options = parser.parse_args()
    if options.sweep:
        print(json.dumps(sweep(options.sweep)))
        return
    runs = options.runs
    for size in (3, 5, 7):
        for loss in (0.0, 0.05):
            for event in (kill, cut, move):
                print(json.dumps(measure(size, loss, event, runs)), flush=True)


if __name__ == "__main__":
    main()
