"""Health and flap damping: what makes an instance unfit, and for how long."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lockspoke.address.health import Bounds, Health, Vitals

SECOND = 1_000_000_000
WELL = Vitals(ready_workers=5, loop_lag=0.01, failing=0.0, calls=100, sockets=0.3, memory=0.4)


def fit(now: int = 0) -> Health:
    health = Health()
    assert not health.judge(WELL, now)
    assert health.judge(WELL, now + 2 * SECOND)
    return health


@pytest.mark.parametrize(
    "sick", [{"ready_workers": 0}, {"loop_lag": 0.3}, {"failing": 0.6}, {"sockets": 0.97}, {"memory": 0.99}]
)
def test_each_sign_makes_it_unfit_once_it_lasts(sick: dict[str, float]) -> None:
    health, bad = fit(), replace(WELL, **sick)  # type: ignore[arg-type]
    assert health.judge(bad, 3 * SECOND)  # for a moment
    assert health.judge(WELL, 3 * SECOND + 200_000_000)
    assert health.judge(bad, 4 * SECOND)
    assert not health.judge(bad, 4 * SECOND + 300_000_000) and len(health.reasons) == 1
    assert not health.judge(WELL, 5 * SECOND) and not health.judge(WELL, 6 * SECOND)
    assert health.judge(WELL, 7 * SECOND)


def test_a_few_calls_that_fail_say_nothing() -> None:
    health, few = fit(), replace(WELL, failing=1.0, calls=19)
    assert all(health.judge(few, at * SECOND) for at in range(3, 9))


def test_one_that_keeps_giving_up_is_held_down_longer_each_time_but_never_for_good() -> None:
    waits = []
    for times in range(1, 6):
        health = fit()
        for _ in range(times):
            health.gave_up(2 * SECOND)
        now = 2 * SECOND
        while not health.judge(WELL, now):
            now += SECOND
        waits.append(now // SECOND - 2)
    assert waits[0] == 0 < waits[1] and waits[1:] == sorted(set(waits[1:]))
    health = Health(Bounds(longest=60 * SECOND))
    for _ in range(1_000):
        health.gave_up(0)
    assert health.penalty(0) == pytest.approx(health.bounds.ceiling)
    assert not health.judge(WELL, 0) and not health.judge(WELL, 55 * SECOND)
    assert health.judge(WELL, 61 * SECOND)
    with pytest.raises(ValueError):
        Bounds(stand_again=2_000.0)
