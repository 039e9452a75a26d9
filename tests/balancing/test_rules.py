"""The four rules under hostile orders of events; `World` asserts them on every action."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from lockspoke.balancing.actions import Fail, Reject, SetTimer
from lockspoke.balancing.breaker import INITIAL_RECOVERY
from lockspoke.balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListEntry,
    EndpointListKind,
    FirstToken,
    Outcome,
    ReplicaState,
)
from lockspoke.balancing.settings import DeduplicationScope, Idempotency, RequestClass, Tenant
from tests.balancing.helpers import MS, SECOND, World, ready, settings

CLASSES = (
    RequestClass(latency_objective=SECOND),
    RequestClass(
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window=2 * SECOND,
    ),
    RequestClass(
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window=2 * SECOND,
    ),
    RequestClass(
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=300 * MS,
    ),
    RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT),
)
TENANTS = (Tenant(0.5), Tenant(0.0), Tenant(0.5))


def entry(number: int, now: int, state: ReplicaState, started: bool) -> EndpointListEntry:
    return EndpointListEntry(
        number,
        state,
        zone=number % 2,
        cell=number % 3,
        weight=1.0 + number % 2,
        started_at=now if started else 0,
    )


ENDS = st.sampled_from(list(Outcome))
STEP = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 4), st.integers(0, 2), st.integers(0, 3)),
    st.tuples(st.just("arrive"), st.integers(0, 4), st.integers(0, 2), st.integers(0, 3)),
    st.tuples(st.just("end"), st.integers(0, 50), ENDS),
    st.tuples(st.just("end"), st.integers(0, 50), ENDS),
    st.tuples(st.just("first"), st.integers(0, 50)),
    st.tuples(st.just("time"), st.sampled_from([0, MS, 40 * MS, 400 * MS, 3 * SECOND])),
    st.tuples(
        st.just("list"),
        st.sampled_from(list(EndpointListKind)),
        st.lists(st.integers(1, 6)),
        st.integers(0, 3),
    ),
    st.tuples(st.just("left"), st.integers(0, 50)),
)


@hypothesis_settings(
    max_examples=150, derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)
@given(
    steps=st.lists(STEP, max_size=80),
    attempts=st.integers(1, 6),
    copies=st.booleans(),
    tenants=st.booleans(),
    ask=st.booleans(),
    seed=st.integers(0, 5),
)
def test_rules_hold_for_any_order_of_events(
    steps: list[Any], attempts: int, copies: bool, tenants: bool, ask: bool, seed: int
) -> None:
    given_settings = settings(
        classes=CLASSES,
        max_attempts=attempts,
        hedging_allowed=copies,
        tenants=TENANTS if tenants else (),
        polls_endpoint_list=ask,
        cross_zone_cost=0.05,
    )
    world = World(given_settings, replicas=(1, 2, 3), seed=seed)
    number = 0
    for step in steps:
        match step:
            case ("arrive", kind, tenant, prefix):
                number += 1
                world.arrive(
                    number, 2 * SECOND, request_class=kind, tenant=tenant, prefix=prefix, session=prefix
                )
            case ("end", which, outcome) if world.out():
                request, attempt = world.out()[which % len(world.out())]
                world.end(request, outcome, attempt)
            case ("first", which):
                quiet = [
                    (r, n)
                    for r, n in world.out()
                    if not world.calls[r].streaming and not world.calls[r].final
                ]
                if quiet:
                    world.first_token(*quiet[which % len(quiet)])
            case ("time", span):
                world.pass_time(span)
            case ("list", kind, numbers, state):
                states = (ReplicaState.READY, ReplicaState.READY, *ReplicaState)
                entries = tuple(entry(n, world.now, states[state], n % 2 == 0) for n in sorted(set(numbers)))
                world.update_endpoint_list(kind, entries)
            case ("left", which) if world.calls:
                request = sorted(world.calls)[which % len(world.calls)]
                call = world.calls[request]
                call.final = call.final or "left"
                world.step(ClientDisconnected(request))
    world.pass_time(10 * SECOND)
    for request, attempt in world.out():
        world.end(request, Outcome.RESET, attempt)
    world.pass_time(10 * SECOND)
    assert all(call.final for call in world.calls.values())
    assert not world.balancer.requests and not world.balancer.queue.waiting


def test_an_unsafe_request_that_might_have_run_is_failed_not_refused() -> None:
    world = World(settings(classes=CLASSES))
    world.arrive(1, request_class=4)
    actions = world.end(1, Outcome.RESET)
    assert [type(action) for action in actions] == [Fail]


def test_an_unsafe_request_that_never_ran_is_tried_again() -> None:
    world = World(settings(classes=CLASSES))
    world.arrive(1, request_class=4)
    assert world.sent_to(world.end(1, Outcome.CONNECT_FAILED))


def test_a_keyed_request_stays_in_its_group_and_window() -> None:
    world = World(settings(classes=CLASSES), replicas=())
    world.update_endpoint_list(
        EndpointListKind.FULL, tuple(EndpointListEntry(n, zone=n % 2) for n in range(1, 7))
    )
    first = world.sent_to(world.arrive(1, request_class=2))[0]
    second = world.sent_to(world.end(1, Outcome.RESET))[0]
    assert second != first and second % 2 == first % 2
    world.pass_time(2 * SECOND)  # past the window: nobody discards a repeat any more
    assert not world.sent_to(world.end(1, Outcome.RESET))


def test_attempts_are_capped() -> None:
    world = World(settings(max_attempts=2), replicas=range(1, 9))
    world.arrive(1)
    world.end(1, Outcome.CONNECT_FAILED)
    actions = world.end(1, Outcome.CONNECT_FAILED)
    assert [type(action) for action in actions if not isinstance(action, SetTimer)] == [Reject]


def test_no_replica_at_all_refuses_at_once() -> None:
    world = World(replicas=())
    assert Reject(1, INITIAL_RECOVERY) in world.arrive(1)


def test_a_stream_that_has_begun_has_no_deadline() -> None:
    world = World()
    world.arrive(1, time_remaining=SECOND)
    world.first_token(1)
    world.pass_time(20 * SECOND)
    assert world.calls[1].final == ""
    world.end(1, Outcome.OK)
    assert not world.balancer.requests


def test_a_broken_stream_is_not_sent_again() -> None:
    world = World()
    world.arrive(1)
    world.first_token(1)
    assert not world.sent_to(world.end(1, Outcome.RESET, closed=True))


def test_drains_and_removals_stop_sends_at_once() -> None:
    world = World(replicas=(1, 2, 3))
    world.update_endpoint_list(EndpointListKind.DELTA, (EndpointListEntry(1, ReplicaState.DRAINING),))
    world.update_endpoint_list(EndpointListKind.FULL, ready(1, 2))  # 3 is missing: gone; 1 is ready again
    sent = {replica for n in range(1, 20) for replica in world.sent_to(world.arrive(n))}
    assert sent == {1, 2}


@pytest.mark.parametrize("gateways", [1, 3, 8, 40])
def test_a_cold_replica_is_not_pushed_over_by_all_gateways_together(gateways: int) -> None:
    """Every gateway spends its own share; their sum keeps the rule, with nobody talking to anybody."""
    given_settings = settings(gateway_count=gateways)
    worlds = [
        World(settings(gateway_count=gateways, gateway_index=n), replicas=range(1, 6), seed=n)
        for n in range(gateways)
    ]
    rng, number, cold_sends, rate = random.Random(3), 0, [], 20.0
    started = worlds[0].now + 20 * SECOND
    for tick in range(300):
        for world in worlds:
            world.pass_time(100 * MS)
            if tick == 200:
                world.update_endpoint_list(EndpointListKind.DELTA, ready(9, started_at=started))
        for _ in range(int(rate / 10)):
            number += 1
            world = rng.choice(worlds)
            if world.sent_to(world.arrive(number)) == [9]:
                cold_sends.append(world.now)
            world.first_token(number)
        for world in worlds:
            for request, _ in world.out():
                if world.now - world.calls[request].attempts[0][1] >= SECOND:
                    world.end(request, Outcome.OK)
    per_replica = rate / 5  # what a warm replica was seen to take, all gateways together
    assert cold_sends, "a cold replica must get some work"
    for when in cold_sends:
        window = [t for t in cold_sends if when <= t < when + given_settings.overload_duration]
        share = 0.2 + 0.8 * (when - started) / given_settings.slow_start_duration
        allowed = (
            given_settings.overload_multiple * share * per_replica * given_settings.overload_duration / SECOND
        )
        assert len(window) <= allowed + 1


@pytest.mark.parametrize(("gateways", "calls"), [(40, 9), (200, 30)])
def test_workers_replaced_carry_their_part_before_they_are_warm(gateways: int, calls: int) -> None:
    """No share of a cold worker's budget was as large as one call, and one gateway alone sees too few."""
    fleet = settings(
        slow_start_initial_share=0.13,
        slow_start_duration=24 * SECOND,
        overload_duration=1_500 * MS,
        gateway_count=gateways,
    )
    worlds = [World(replace(fleet, gateway_index=n), range(1, 17), seed=n) for n in range(gateways)]
    started = worlds[0].now + 10 * SECOND
    rng, number = random.Random(4), 0
    sends: dict[int, list[int]] = {replica: [] for replica in range(101, 125)}
    for tick in range(160):  # ten seconds before six in ten workers are replaced, and six after
        for world in worlds:
            world.pass_time(100 * MS)
            if tick == 100:
                world.update_endpoint_list(EndpointListKind.DELTA, ready(*sends, started_at=started))
        for _ in range(calls):
            number += 1
            world = rng.choice(worlds)
            for replica in world.sent_to(world.arrive(number, prompt_tokens=3000.0)):
                if replica > 100:
                    sends[replica].append(world.now)
            world.first_token(number)
            world.end(number, Outcome.OK)
    warm = calls * 10 / 16  # calls a second that a warm worker was seen to take
    due = sum(warm * (0.13 + 0.87 * second / 24) for second in range(6))
    assert sum(map(len, sends.values())) >= 0.4 * due * len(sends), "what they can do by now is made use of"
    for times in sends.values():
        for when in times:
            share = 0.13 + 0.87 * (when - started) / fleet.slow_start_duration
            allowed = fleet.overload_multiple * share * warm * fleet.overload_duration / SECOND
            assert sum(when <= other < when + fleet.overload_duration for other in times) <= allowed + 1


def test_a_zone_that_returns_cold_to_gateways_without_a_pace_gets_a_little_from_all_together() -> None:
    """Restarted gateways know no warm pace and only cold workers: they serve, and push none over."""
    fleet = settings(
        slow_start_initial_share=0.13,
        slow_start_duration=24 * SECOND,
        overload_duration=1_500 * MS,
        gateway_count=40,
    )
    worlds = [World(replace(fleet, gateway_index=n), (), seed=n) for n in range(40)]
    started, rng, number = worlds[0].now, random.Random(6), 0
    sends: dict[int, list[int]] = {}
    for world in worlds:
        world.update_endpoint_list(EndpointListKind.CACHED, ready(*range(1, 14), started_at=started))
    for _ in range(60):
        for world in worlds:
            world.pass_time(100 * MS)
        for _ in range(9):
            number += 1
            world = rng.choice(worlds)
            for replica in world.sent_to(world.arrive(number, prompt_tokens=3000.0)):
                sends.setdefault(replica, []).append(world.now)
                world.first_token(number)
                world.end(number, Outcome.OK)
    assert len(sends) >= 10, "nearly all of them get work, though nobody has seen a warm one"
    for times in sends.values():
        most = max(sum(when <= other < when + fleet.overload_duration for other in times) for when in times)
        assert most <= 4, "in two turns that meet: a request each, and what the share that has warmed allows"


def test_a_jam_does_not_widen_the_warm_up_budget() -> None:
    """Sends are repeated in a jam; only work that got done may set what a cold replica gets."""
    world = World(settings(max_attempts=6), replicas=(1, 2, 3, 4))
    for number in range(1, 2000):
        world.arrive(number, time_remaining=SECOND)
        world.pass_time(5 * MS)
    world.update_endpoint_list(EndpointListKind.DELTA, ready(9, started_at=world.now))
    assert not [r for n in range(3000, 3100) for r in world.sent_to(world.arrive(n)) if r == 9]


def test_a_restart_and_a_flapping_list_do_not_renew_the_budget() -> None:
    world = World(replicas=(1, 2, 3, 4))
    for number in range(200):
        world.arrive(number)
        world.first_token(number)
        world.end(number, Outcome.OK)
        world.pass_time(20 * MS)
    started, sent = world.now, 0
    for number in range(1000, 1100):
        world.update_endpoint_list(EndpointListKind.FULL, ready(1, 2, 3, 4))
        world.update_endpoint_list(EndpointListKind.FULL, ready(1, 2, 3, 4) + ready(9, started_at=started))
        sent += world.sent_to(world.arrive(number)) == [9]
    assert sent
    per_replica = 200 / 4 / 4  # 50 a second over four replicas for the two seconds of the window
    assert sent <= 3.0 * 0.2 * per_replica * 2 + 1


def test_half_of_the_fleet_hangs_and_the_rest_serves() -> None:
    """Connections are taken and nothing answers: time-outs open those breakers, the others go on."""
    world = World(replicas=range(1, 9))
    late = 0
    for number in range(1, 601):
        world.arrive(number, time_remaining=SECOND)
        call = world.calls[number]
        if call.attempts and call.attempts[-1][0] > 4:
            world.first_token(number)
            world.end(number, Outcome.OK)
        elif number > 400:
            late += 1
        world.pass_time(50 * MS)
        world.overdue()
    assert late <= 40  # of 200: only trials, and what sampling still finds below the bound


def test_flapping_replicas_keep_every_rule_and_leave_nothing() -> None:
    world = World(replicas=range(1, 6))
    rng = random.Random(5)
    for number in range(1, 801):
        flapping = {n for n in range(1, 6) if (number // 40 + n) % 3 == 0}
        if number % 40 == 0:
            gone = tuple(EndpointListEntry(n, ReplicaState.REMOVED) for n in sorted(flapping))
            world.update_endpoint_list(EndpointListKind.DELTA, gone)
            back = sorted(set(range(1, 6)) - flapping)
            world.update_endpoint_list(
                EndpointListKind.DELTA, ready(*back, started_at=world.now if number % 80 else 0)
            )
        world.arrive(number, time_remaining=SECOND)
        while not world.calls[number].final and world.calls[number].attempts:
            replica = world.calls[number].attempts[-1][0]
            if len(world.calls[number].outcomes) == len(world.calls[number].attempts):
                break
            if replica in flapping:
                world.end(number, rng.choice([Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.ERROR]))
            else:
                world.first_token(number)
                world.end(number, Outcome.OK)
        world.pass_time(20 * MS)
    world.pass_time(5 * SECOND)
    assert all(call.final for call in world.calls.values()) and not world.balancer.requests


def test_a_replica_that_drains_while_it_holds_a_trial_gets_nothing_more() -> None:
    world = World(replicas=(1, 2, 3))
    number = 0
    while world.balancer.replicas[2].breaker.state.value == "closed":
        number += 1
        actions = world.arrive(number)
        while world.sent_to(actions):
            bad = world.sent_to(actions) == [2]
            actions = world.end(number, Outcome.RESET if bad else Outcome.OK)
    world.pass_time(3 * SECOND)
    assert world.sent_to(world.arrive(900)) == [2]
    world.update_endpoint_list(EndpointListKind.DELTA, (EndpointListEntry(2, ReplicaState.DRAINING),))
    world.first_token(900)
    assert all(world.sent_to(world.arrive(n)) != [2] for n in range(901, 930))


def test_late_outcomes_after_the_end_of_a_request_are_passed_over() -> None:
    world = World(replicas=(1, 2))
    world.arrive(1, time_remaining=SECOND)
    world.step(ClientDisconnected(1))
    world.calls[1].final = "left"
    assert not world.sent_to(world.end(1, Outcome.RESET, closed=True))
    replica, _ = world.calls[1].attempts[0]
    for outcome in Outcome:  # a second time, for a request that is gone
        world.step(AttemptEnded(1, 0, replica, outcome, 5, False))
        world.step(FirstToken(1, 0, replica, 5))
    assert world.balancer.replicas[replica].concurrency.in_flight == 0


def test_a_list_that_goes_stale_empty_and_full_again() -> None:
    world = World(replicas=(1, 2))
    world.update_endpoint_list(EndpointListKind.FAILED, ())
    assert world.sent_to(world.arrive(1))
    world.update_endpoint_list(EndpointListKind.FULL, ())
    assert Reject(2, INITIAL_RECOVERY) in world.arrive(2)
    world.update_endpoint_list(EndpointListKind.FULL, ready(1, 2))
    assert world.sent_to(world.arrive(3))


@pytest.mark.parametrize("outcome", list(Outcome))
@pytest.mark.parametrize("begun", [False, True])
@pytest.mark.parametrize("kind", range(5))
def test_every_outcome_at_every_point_of_a_request(outcome: Outcome, begun: bool, kind: int) -> None:
    world = World(settings(classes=CLASSES), replicas=range(1, 7))
    world.arrive(1, request_class=kind)
    if begun:
        world.first_token(1)
    world.end(1, outcome, closed=begun or outcome is Outcome.OK)
    world.pass_time(10 * SECOND)
    assert world.calls[1].final and all(
        r.concurrency.in_flight == 0 for r in world.balancer.replicas.values()
    )


def sent_while_cold(kept: int, weight: float) -> int:
    """How many requests a replica that has just started gets within the rule's span beside warm ones."""
    world = World(replicas=())
    world.update_endpoint_list(EndpointListKind.FULL, ready(1, 2, 3, weight=4.0))
    number = 0
    for _ in range(300):
        number += 1
        world.arrive(number, prompt_tokens=4000.0)
        world.first_token(number)
        replica, sent = world.calls[number].attempts[-1]
        world.calls[number].outcomes[0] = Outcome.OK
        world.calls[number].final = "outcome"
        world.step(AttemptEnded(number, 0, replica, Outcome.OK, world.now - sent, True, kept))
        world.pass_time(10 * MS)
    world.update_endpoint_list(EndpointListKind.DELTA, ready(4, weight=weight, started_at=world.now))
    cold = 0
    for _ in range(200):
        number += 1
        cold += world.sent_to(world.arrive(number, prompt_tokens=4000.0)).count(4)
        if world.calls[number].attempts:
            world.first_token(number)
            world.end(number, Outcome.OK)
        world.pass_time(10 * MS)
    return cold


def test_a_cold_replicas_budget_follows_work_really_done() -> None:
    """Warm replicas that kept their prompts read little: their pace in whole prompts overran a cold one."""
    assert sent_while_cold(kept=0, weight=4.0) > 2 * sent_while_cold(kept=3800, weight=4.0)


def test_a_small_cold_replica_gets_less_than_a_large_one() -> None:
    """The mean warm replica may be several times larger than the one that has started."""
    large, small = sent_while_cold(kept=0, weight=4.0), sent_while_cold(kept=0, weight=1.0)
    assert large > 2 * small


@pytest.mark.parametrize("ahead", [0, 5 * MS, 3 * SECOND])
@pytest.mark.parametrize(
    "extreme",
    [
        {"slow_start_duration": 0},
        {"slow_start_duration": 0, "slow_start_initial_share": 0.0, "overload_duration": 1},
        {"slow_start_initial_share": 0.0, "overload_duration": 1, "overload_multiple": 0.0},
        {"slow_start_initial_share": 0.0, "gateway_count": 1024, "gateway_index": 5000},
        {
            "slow_start_initial_share": 1.0,
            "slow_start_duration": 3600 * SECOND,
            "polls_endpoint_list": True,
            "poll_interval": 1,
            "gateway_count": 1024,
        },
        {"max_attempts": 1, "hedging_allowed": True, "cross_zone_cost": 1e6},
    ],
)
def test_settings_at_their_extremes_and_clocks_that_differ_cost_no_decision(
    extreme: dict[str, Any], ahead: int
) -> None:
    """A worker whose clock is ahead has begun in our future; without a cold phase that divided by 0."""
    world = World(settings(**extreme), replicas=())
    cold, warm = ready(1, 2, started_at=world.now + ahead), ready(3, zone=9, weight=0.0)
    for entries in (cold + warm, cold):
        world.update_endpoint_list(EndpointListKind.FULL, entries)
        for number in range(len(world.calls), len(world.calls) + 12):
            world.arrive(number, prompt_tokens=100.0 * number)
            if world.calls[number].attempts and not world.calls[number].final:
                world.first_token(number)
                world.end(number, Outcome.OK)
            world.pass_time(SECOND)
    world.pass_time(10 * SECOND)
    assert all(call.final for call in world.calls.values())
