"""Short soak tests with fixed seeds; docs/soak.md describes the long ones, which are run by hand."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from bench.batch_soak import BatchSoak
from bench.batch_soak import draw_schedule as draw_batch_schedule
from bench.soak.checker import describe_lateness, is_inconclusive, violations
from bench.soak.faults import CONCERNS, draw_plan
from bench.soak.run import MAX_RUNS, run_until_conclusive
from bench.soak.schedule import Disturbance, draw_schedule

SECONDS = 12.0
LINES = 1000  # of each batch


@pytest.mark.parametrize(
    ("seed", "concerns"),
    [(1, ()), (2, ()), (3, ()), (4, CONCERNS), (5, ("crowd", "holds")), (6, ("repeats",)), (7, ("unsound",))],
)
def test_short_soak_of_three_gateways_has_no_violations(seed: int, concerns: tuple[str, ...]) -> None:
    *_, observations = run_until_conclusive(seed, SECONDS, concerns)
    assert len(observations.requests) > 100 and observations.drains, "something was observed"
    lateness = describe_lateness(observations)
    assert not is_inconclusive(observations), f"every run was inconclusive: {lateness}"
    assert not violations(observations)


@pytest.mark.parametrize("seed", [1, 2])
def test_short_batch_soak_stays_within_bounds(seed: int, tmp_path: Path) -> None:
    for number in range(MAX_RUNS):
        folder = tmp_path / str(number)
        folder.mkdir()
        if not asyncio.run(BatchSoak(draw_batch_schedule(seed), LINES, folder).execute()).inconclusive:
            return
    pytest.fail("every run was inconclusive: the bench itself was late")


def test_schedule_depends_on_seed_only() -> None:
    assert draw_schedule(5, 30.0) == draw_schedule(5, 30.0) != draw_schedule(6, 30.0)
    drawn = {step.disturbance for seed in range(20) for step in draw_schedule(seed, 30.0).steps}
    drawn |= {step.disturbance for step in draw_plan(1, 30.0, CONCERNS).steps}
    assert drawn == set(Disturbance), "every disturbance is drawn by some seed"
