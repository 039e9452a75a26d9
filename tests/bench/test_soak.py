"""Short soaks with fixed seeds; docs/soak.md holds the long ones, which are played by hand."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from bench.batch_soak import BatchSoak
from bench.batch_soak import draw_schedule as draw_batch_schedule
from bench.soak.faults import CONCERNS, draw_plan
from bench.soak.judge import is_void, violations
from bench.soak.run import MAX_PLAYS, plays
from bench.soak.schedule import Disturbance, draw_schedule

SECONDS = 12.0
LINES = 1000  # of each batch


@pytest.mark.parametrize(
    ("seed", "concerns"), [(1, ()), (2, ()), (3, ()), (4, CONCERNS), (5, ("crowd", "holds"))]
)
def test_a_short_soak_of_three_gateways_breaks_no_rule(seed: int, concerns: tuple[str, ...]) -> None:
    *_, seen = plays(seed, SECONDS, concerns)
    assert len(seen.requests) > 100 and seen.drains, "something was observed"
    assert not is_void(seen), "the bench itself was late in every play"
    assert not violations(seen)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_short_soak_of_the_batch_front_keeps_the_aims(seed: int, tmp_path: Path) -> None:
    for play in range(MAX_PLAYS):
        folder = tmp_path / str(play)
        folder.mkdir()
        if not asyncio.run(BatchSoak(draw_batch_schedule(seed), LINES, folder).play()).void:
            return
    pytest.fail("the bench itself was late in every play")


def test_a_seed_draws_the_same_schedule_each_time_and_another_seed_another_one() -> None:
    assert draw_schedule(5, 30.0) == draw_schedule(5, 30.0) != draw_schedule(6, 30.0)
    drawn = {step.disturbance for seed in range(20) for step in draw_schedule(seed, 30.0).steps}
    drawn |= {step.disturbance for step in draw_plan(1, 30.0, CONCERNS).steps}
    assert drawn == set(Disturbance), "every disturbance is drawn by some seed"
