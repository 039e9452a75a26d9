"""The drain rule in random simulations; `--drain-days N` runs more of them."""

from __future__ import annotations

import pytest

from tests.clocked import SimulatedTimeLoop, run
from tests.wire.drain_checker import DrainChecker
from tests.wire.drain_simulation import DrainSimulation

SEEDS = 8  # How many simulations CI runs with each set of parameters.


def simulate(seed: int, gateways: int, faults_in_a_row: int) -> DrainChecker:
    checkers: list[DrainChecker] = []

    async def scenario(loop: SimulatedTimeLoop) -> None:
        checkers.append(await DrainSimulation(loop, seed, gateways, faults_in_a_row).run())

    run(scenario)
    return checkers[0]


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    if "seed" in metafunc.fixturenames:
        metafunc.parametrize("seed", range(metafunc.config.getoption("--drain-days") or SEEDS))


@pytest.mark.parametrize(("gateways", "faults_in_a_row"), [(1, 2), (6, 2), (200, 1), (1024, 1)])
def test_no_request_is_sent_after_the_grace_of_a_drain(
    seed: int, gateways: int, faults_in_a_row: int
) -> None:
    checker = simulate(seed, gateways, faults_in_a_row)
    assert checker.requests > 100, "there was traffic"
    assert not checker.violations


def test_hundreds_of_gateways_keep_the_rule_through_two_faults_in_a_row() -> None:
    """Two faults of discovery in a row make one of 200 gateways learn of a drain too late.

    The hold (up to 3.5 s), the failed request (up to 1.5 s) and the backoff, which is spread over 3.5 s so
    that hundreds of gateways do not poll at once, add up to 10 s. The rule allows at most 6 s after discovery
    had the change and was reachable, whatever happened to the last request.
    """
    assert not simulate(28, gateways=200, faults_in_a_row=2).violations
