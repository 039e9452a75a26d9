"""Short soaks of upgrades with fixed seeds, and the checks that they rest on."""

from __future__ import annotations

import asyncio

import pytest

from bench.upgrade_soak.observations import GATEWAY, GRACE, Call, Observations, violations
from bench.upgrade_soak.run import Ending, UpgradeSoak, draw_schedule

UID = "s-1"


@pytest.mark.parametrize("seed", [2, 3, 5])
def test_short_soak_of_upgrades_has_no_violations(seed: int) -> None:
    observations = asyncio.run(UpgradeSoak(seed, draw_schedule(seed)).execute())
    assert sum(map(len, observations.calls.values())) > 20, "something was observed"
    assert all(observations.requests.values())
    assert not violations(observations)


def observe(
    calls: list[Call], out_at_end: bool, requests: tuple[float, ...] = (), subject: str = UID
) -> Observations:
    return Observations({subject: calls}, {UID: list(requests)}, {subject: out_at_end})


OUT, BACK = Call(True, 1.0, 1.1, 200), Call(False, 3.0, 3.1, 200)
REFUSED, CUT_OFF = Call(True, 5.0, 5.1, 409), Call(True, 5.0, 5.1, 0)


@pytest.mark.parametrize(
    "observations",
    [
        observe([], False, (1.0,)),
        observe([OUT], True, (0.5, 1.0, 1.1 + GRACE)),
        observe([OUT, BACK], False, (3.05,)),
        observe([BACK, REFUSED], False),
        observe([BACK, CUT_OFF], False),
        observe([BACK, CUT_OFF], True),
        observe([OUT], True, subject=GATEWAY),
    ],
)
def test_what_the_rules_allow_is_no_violation(observations: Observations) -> None:
    assert not violations(observations)


@pytest.mark.parametrize(
    ("observations", "message"),
    [
        (observe([OUT], False), "is in at the end"),
        (observe([OUT, BACK], True), "is out at the end"),
        (observe([BACK, REFUSED], True), "is out at the end"),
        (observe([OUT], False, subject=GATEWAY), "the gateway is in"),
        (observe([OUT], True, (1.2 + GRACE,)), "while offline"),
        (observe([OUT, BACK], False, (2.9,)), "while offline"),
        (observe([Call(True, 1.0, 2.5, 200)], True), "answered after"),
        (Observations(faults=["crash"]), "crash"),
    ],
)
def test_each_broken_rule_is_a_violation(observations: Observations, message: str) -> None:
    assert any(message in violation for violation in violations(observations))


def test_a_schedule_depends_on_its_seed_only() -> None:
    assert draw_schedule(5) == draw_schedule(5) != draw_schedule(6)
    assert {draw_schedule(seed).ending for seed in range(40)} == set(Ending)
