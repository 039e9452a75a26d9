"""The rule on drains on random days; more of them with `--drain-days N`."""

from __future__ import annotations

import pytest

from tests.clocked import ClockedLoop, run
from tests.wire.drain_play import DrainChecker, DrainSimulation

SEEDS = 8  # of each size that CI plays


def simulate(seed: int, gateways: int, faults_in_a_row: int) -> DrainChecker:
    judges: list[DrainChecker] = []

    async def play(loop: ClockedLoop) -> None:
        judges.append(await DrainSimulation(loop, seed, gateways, faults_in_a_row).run())

    run(play)
    return judges[0]


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    if "seed" in metafunc.fixturenames:
        metafunc.parametrize("seed", range(metafunc.config.getoption("--drain-days") or SEEDS))


@pytest.mark.parametrize(("gateways", "faults_in_a_row"), [(1, 2), (6, 2), (200, 1), (1024, 1)])
def test_no_request_is_sent_after_the_grace_of_a_drain(
    seed: int, gateways: int, faults_in_a_row: int
) -> None:
    judge = simulate(seed, gateways, faults_in_a_row)
    assert judge.requests > 100, "the day has seen traffic"
    assert not judge.violations
