"""Health and flap damping: what makes an instance unhealthy, and how long it stays so."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lockspoke.address.health import HealthLimits, HealthMetrics, HealthTracker

SECOND = 1_000_000_000
HEALTHY = HealthMetrics(
    ready_replicas=5, loop_lag=0.01, failure_share=0.0, requests=100, descriptor_share=0.3, memory_share=0.4
)


def healthy_tracker(now: int = 0) -> HealthTracker:
    health = HealthTracker()
    assert not health.update(HEALTHY, now)
    assert health.update(HEALTHY, now + 2 * SECOND)
    return health


@pytest.mark.parametrize(
    "exceeded",
    [
        {"ready_replicas": 0},
        {"loop_lag": 0.3},
        {"failure_share": 0.6},
        {"descriptor_share": 0.97},
        {"memory_share": 0.99},
    ],
)
def test_each_exceeded_limit_makes_the_instance_unhealthy_after_a_while(exceeded: dict[str, float]) -> None:
    health, unhealthy = healthy_tracker(), replace(HEALTHY, **exceeded)  # type: ignore[arg-type]
    assert health.update(unhealthy, 3 * SECOND)  # The limit has been exceeded for a moment only.
    assert health.update(HEALTHY, 3 * SECOND + 200_000_000)
    assert health.update(unhealthy, 4 * SECOND)
    assert not health.update(unhealthy, 4 * SECOND + 300_000_000) and len(health.reasons) == 1
    assert not health.update(HEALTHY, 5 * SECOND) and not health.update(HEALTHY, 6 * SECOND)
    assert health.update(HEALTHY, 7 * SECOND)


def test_few_failed_requests_are_not_significant() -> None:
    health, few_requests = healthy_tracker(), replace(HEALTHY, failure_share=1.0, requests=19)
    assert all(health.update(few_requests, at * SECOND) for at in range(3, 9))


def test_suppression_grows_with_each_loss_up_to_a_limit() -> None:
    waits = []
    for times in range(1, 6):
        health = healthy_tracker()
        for _ in range(times):
            health.record_loss(2 * SECOND)
        now = 2 * SECOND
        while not health.update(HEALTHY, now):
            now += SECOND
        waits.append(now // SECOND - 2)
    assert waits[0] == 0 < waits[1] and waits[1:] == sorted(set(waits[1:]))
    health = HealthTracker(HealthLimits(max_suppress_time=60 * SECOND))
    for _ in range(1_000):
        health.record_loss(0)
    assert health.penalty(0) == pytest.approx(health.limits.max_penalty)
    assert not health.update(HEALTHY, 0) and not health.update(HEALTHY, 55 * SECOND)
    assert health.update(HEALTHY, 61 * SECOND)
    with pytest.raises(ValueError, match="stand_again is not between"):
        HealthLimits(reuse_threshold=2_000.0)
