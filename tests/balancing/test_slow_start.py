"""The work that replicas in slow start get from one gateway and from all gateways together."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from lockspoke.balancing.events import (
    AttemptEnded,
    EndpointListKind,
    Outcome,
)
from tests.balancing.helpers import MS, SECOND, BalancerHarness, ready_entries, settings


@pytest.mark.parametrize("gateways", [1, 3, 8, 40])
def test_sum_of_all_gateways_does_not_overload_a_starting_replica(gateways: int) -> None:
    """The gateways do not communicate; each uses only its own share of the budget."""
    given_settings = settings(gateway_count=gateways)
    harnesses = [
        BalancerHarness(settings(gateway_count=gateways, gateway_index=n), replicas=range(1, 6), seed=n)
        for n in range(gateways)
    ]
    rng, number, request_rate = random.Random(3), 0, 20.0
    sent_times: list[int] = []
    started = harnesses[0].now + 20 * SECOND
    for tick in range(300):
        for harness in harnesses:
            harness.advance_time(100 * MS)
            if tick == 200:
                harness.update_endpoint_list(EndpointListKind.DELTA, ready_entries(9, started_at=started))
        for _ in range(int(request_rate / 10)):
            number += 1
            harness = rng.choice(harnesses)
            if harness.sent_to(harness.arrive(number)) == [9]:
                sent_times.append(harness.now)
            harness.first_token(number)
        for harness in harnesses:
            for request, _ in harness.attempts_in_progress():
                if harness.now - harness.requests[request].attempts[0].sent_at >= SECOND:
                    harness.end_attempt(request, Outcome.OK)
    # Requests per second of a replica past slow start, from all gateways together.
    rate_per_replica = request_rate / 5
    assert sent_times, "a replica in slow start must get some work"
    for when in sent_times:
        window = [time for time in sent_times if when <= time < when + given_settings.overload_duration]
        capacity_share = 0.2 + 0.8 * (when - started) / given_settings.slow_start_duration
        allowed = (
            given_settings.overload_multiple
            * capacity_share
            * rate_per_replica
            * given_settings.overload_duration
            / SECOND
        )
        assert len(window) <= allowed + 1


@pytest.mark.parametrize(("gateways", "requests_per_tick"), [(40, 9), (200, 30)])
def test_replaced_replicas_use_their_capacity_during_slow_start(
    gateways: int, requests_per_tick: int
) -> None:
    """Guards against unused budgets: with many gateways, the share of each may be less than one request."""
    fleet = settings(
        slow_start_initial_share=0.13,
        slow_start_duration=24 * SECOND,
        overload_duration=1_500 * MS,
        gateway_count=gateways,
    )
    harnesses = [
        BalancerHarness(replace(fleet, gateway_index=n), range(1, 17), seed=n) for n in range(gateways)
    ]
    started = harnesses[0].now + 10 * SECOND
    rng, number = random.Random(4), 0
    sends: dict[int, list[int]] = {replica: [] for replica in range(101, 125)}
    for tick in range(160):  # 10 s before the replicas are replaced, and 6 s after.
        for harness in harnesses:
            harness.advance_time(100 * MS)
            if tick == 100:
                harness.update_endpoint_list(
                    EndpointListKind.DELTA, ready_entries(*sends, started_at=started)
                )
        for _ in range(requests_per_tick):
            number += 1
            harness = rng.choice(harnesses)
            for replica in harness.sent_to(harness.arrive(number, prompt_tokens=3000.0)):
                if replica > 100:
                    sends[replica].append(harness.now)
            harness.first_token(number)
            harness.end_attempt(number, Outcome.OK)
    rate_per_replica = requests_per_tick * 10 / 16  # Requests per second of a replica past slow start.
    expected = sum(rate_per_replica * (0.13 + 0.87 * second / 24) for second in range(6))
    assert sum(map(len, sends.values())) >= 0.4 * expected * len(sends), (
        "replicas must use the capacity that they have during slow start"
    )
    for times in sends.values():
        for when in times:
            capacity_share = 0.13 + 0.87 * (when - started) / fleet.slow_start_duration
            allowed = (
                fleet.overload_multiple * capacity_share * rate_per_replica * fleet.overload_duration / SECOND
            )
            assert sum(when <= other < when + fleet.overload_duration for other in times) <= allowed + 1


def test_restarted_gateways_send_little_to_a_zone_in_slow_start() -> None:
    """The throughput past slow start is unknown to them, but they must serve requests without an overload."""
    fleet = settings(
        slow_start_initial_share=0.13,
        slow_start_duration=24 * SECOND,
        overload_duration=1_500 * MS,
        gateway_count=40,
    )
    harnesses = [BalancerHarness(replace(fleet, gateway_index=n), (), seed=n) for n in range(40)]
    started, rng, number = harnesses[0].now, random.Random(6), 0
    sends: dict[int, list[int]] = {}
    for harness in harnesses:
        harness.update_endpoint_list(
            EndpointListKind.CACHED, ready_entries(*range(1, 14), started_at=started)
        )
    for _ in range(60):
        for harness in harnesses:
            harness.advance_time(100 * MS)
        for _ in range(9):
            number += 1
            harness = rng.choice(harnesses)
            for replica in harness.sent_to(harness.arrive(number, prompt_tokens=3000.0)):
                sends.setdefault(replica, []).append(harness.now)
                harness.first_token(number)
                harness.end_attempt(number, Outcome.OK)
    assert len(sends) >= 10, "nearly all replicas must get work, though none is past slow start"
    for times in sends.values():
        most_in_window = max(
            sum(when <= other < when + fleet.overload_duration for other in times) for when in times
        )
        assert most_in_window <= 4, (
            "two adjacent windows may have one request each, and what the capacity at that age allows"
        )


def test_an_overload_does_not_raise_the_slow_start_budget() -> None:
    """In an overload, requests are retried, so only completed work may determine the budget."""
    harness = BalancerHarness(settings(max_attempts=6), replicas=(1, 2, 3, 4))
    for number in range(1, 2000):
        harness.arrive(number, time_remaining=SECOND)
        harness.advance_time(5 * MS)
    harness.update_endpoint_list(EndpointListKind.DELTA, ready_entries(9, started_at=harness.now))
    assert not [r for n in range(3000, 3100) for r in harness.sent_to(harness.arrive(n)) if r == 9]


def test_flapping_endpoint_list_does_not_reset_the_slow_start_budget() -> None:
    harness = BalancerHarness(replicas=(1, 2, 3, 4))
    for number in range(200):
        harness.arrive(number)
        harness.first_token(number)
        harness.end_attempt(number, Outcome.OK)
        harness.advance_time(20 * MS)
    started, sent = harness.now, 0
    for number in range(1000, 1100):
        harness.update_endpoint_list(EndpointListKind.FULL, ready_entries(1, 2, 3, 4))
        harness.update_endpoint_list(
            EndpointListKind.FULL, ready_entries(1, 2, 3, 4) + ready_entries(9, started_at=started)
        )
        sent += harness.sent_to(harness.arrive(number)) == [9]
    assert sent
    per_replica = 200 / 4 / 4  # 50 requests per second over 4 replicas, for 4 s.
    assert sent <= 3.0 * 0.2 * per_replica * 2 + 1


def sent_during_slow_start(cached_tokens: int, weight: float) -> int:
    """Return how many requests a replica that has just started gets while the others are past slow start."""
    harness = BalancerHarness(replicas=())
    harness.update_endpoint_list(EndpointListKind.FULL, ready_entries(1, 2, 3, weight=4.0))
    number = 0
    for _ in range(300):
        number += 1
        harness.arrive(number, prompt_tokens=4000.0)
        harness.first_token(number)
        replica, sent_at = harness.requests[number].attempts[-1]
        harness.requests[number].outcomes[0] = Outcome.OK
        harness.requests[number].final_answer = "outcome"
        harness.step(AttemptEnded(number, 0, replica, Outcome.OK, harness.now - sent_at, True, cached_tokens))
        harness.advance_time(10 * MS)
    harness.update_endpoint_list(
        EndpointListKind.DELTA, ready_entries(4, weight=weight, started_at=harness.now)
    )
    sent_to_new = 0
    for _ in range(200):
        number += 1
        sent_to_new += harness.sent_to(harness.arrive(number, prompt_tokens=4000.0)).count(4)
        if harness.requests[number].attempts:
            harness.first_token(number)
            harness.end_attempt(number, Outcome.OK)
        harness.advance_time(10 * MS)
    return sent_to_new


def test_the_slow_start_budget_follows_completed_uncached_work() -> None:
    """Replicas past slow start read only uncached tokens.

    When budgets followed the throughput of whole prompts, they overloaded a replica without a cache.
    """
    uncached = sent_during_slow_start(cached_tokens=0, weight=4.0)
    cached = sent_during_slow_start(cached_tokens=3800, weight=4.0)
    assert uncached > 2 * cached


def test_a_small_replica_in_slow_start_gets_less_than_a_large_one() -> None:
    """The mean replica past slow start may be several times larger than the one in slow start."""
    large = sent_during_slow_start(cached_tokens=0, weight=4.0)
    small = sent_during_slow_start(cached_tokens=0, weight=1.0)
    assert large > 2 * small
