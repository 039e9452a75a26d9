"""The rule on drains on random days; more of them with `--drain-days N`."""

from __future__ import annotations

import pytest

from tests.clocked import ClockedLoop, run
from tests.wire.drain_play import Judge, Play

SEEDS = 8  # of each size that CI plays


def judged(seed: int, gateways: int, faults_in_a_row: int) -> Judge:
    judges: list[Judge] = []

    async def play(loop: ClockedLoop) -> None:
        judges.append(await Play(loop, seed, gateways, faults_in_a_row).run())

    run(play)
    return judges[0]


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    if "seed" in metafunc.fixturenames:
        metafunc.parametrize("seed", range(metafunc.config.getoption("--drain-days") or SEEDS))


@pytest.mark.parametrize(("gateways", "faults_in_a_row"), [(1, 2), (6, 2), (200, 1), (1024, 1)])
def test_no_send_follows_a_drain_that_counts_as_told(seed: int, gateways: int, faults_in_a_row: int) -> None:
    judge = judged(seed, gateways, faults_in_a_row)
    assert judge.sends > 100, "the day has seen traffic"
    assert not judge.broken
