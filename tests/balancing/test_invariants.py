"""The invariants of requests in any order of events; `BalancerHarness` checks them on every action."""

from __future__ import annotations

import random
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
    EarlierRun,
    EndpointListEntry,
    EndpointListKind,
    FirstToken,
    Outcome,
    ReplicaState,
)
from lockspoke.balancing.settings import DeduplicationScope, Idempotency, RequestClass, Tenant
from tests.balancing.helpers import MS, SECOND, BalancerHarness, ready_entries, settings

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


def list_entry(number: int, now: int, state: ReplicaState, just_started: bool) -> EndpointListEntry:
    return EndpointListEntry(
        number,
        state,
        zone=number % 2,
        cell=number % 3,
        weight=1.0 + number % 2,
        started_at=now if just_started else 0,
    )


OUTCOMES = st.sampled_from(list(Outcome))
EARLIER_RUNS = st.lists(  # Time since the attempt, zone and cell of each.
    st.tuples(st.sampled_from([0, 250 * MS, 1900 * MS, 2 * SECOND]), st.integers(0, 1), st.integers(0, 2)),
    max_size=2,
)
STEPS = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 4), st.integers(0, 2), st.integers(0, 3), st.just(())),
    st.tuples(st.just("arrive"), st.integers(0, 4), st.integers(0, 2), st.integers(0, 3), st.just(())),
    st.tuples(st.just("arrive"), st.integers(0, 4), st.integers(0, 2), st.integers(0, 3), EARLIER_RUNS),
    st.tuples(st.just("end"), st.integers(0, 50), OUTCOMES),
    st.tuples(st.just("end"), st.integers(0, 50), OUTCOMES),
    st.tuples(st.just("first"), st.integers(0, 50)),
    st.tuples(st.just("time"), st.sampled_from([0, MS, 40 * MS, 400 * MS, 3 * SECOND])),
    st.tuples(
        st.just("list"),
        st.sampled_from(list(EndpointListKind)),
        st.lists(st.integers(1, 6)),
        st.integers(0, 3),
    ),
    st.tuples(st.just("disconnect"), st.integers(0, 50)),
)


@hypothesis_settings(
    max_examples=150, derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)
@given(
    steps=st.lists(STEPS, max_size=80),
    max_attempts=st.integers(1, 6),
    hedging=st.booleans(),
    has_tenants=st.booleans(),
    polls=st.booleans(),
    seed=st.integers(0, 5),
)
def test_invariants_hold_for_any_order_of_events(
    steps: list[Any], max_attempts: int, hedging: bool, has_tenants: bool, polls: bool, seed: int
) -> None:
    given_settings = settings(
        classes=CLASSES,
        max_attempts=max_attempts,
        hedging_allowed=hedging,
        tenants=TENANTS if has_tenants else (),
        polls_endpoint_list=polls,
        cross_zone_cost=0.05,
    )
    harness = BalancerHarness(given_settings, replicas=(1, 2, 3), seed=seed)
    number = 0
    for step in steps:
        match step:
            case ("arrive", request_class, tenant, prefix, earlier):
                number += 1
                harness.arrive(
                    number,
                    2 * SECOND,
                    request_class=request_class,
                    tenant=tenant,
                    prefix=prefix,
                    session=prefix,
                    earlier_runs=tuple(EarlierRun(harness.now - ago, *place) for ago, *place in earlier),
                )
            case ("end", which, outcome) if harness.attempts_in_progress():
                request, attempt = harness.attempts_in_progress()[which % len(harness.attempts_in_progress())]
                harness.end_attempt(request, outcome, attempt)
            case ("first", which):
                waiting = [
                    (request, attempt)
                    for request, attempt in harness.attempts_in_progress()
                    if not harness.requests[request].is_streaming
                    and not harness.requests[request].final_answer
                ]
                if waiting:
                    harness.first_token(*waiting[which % len(waiting)])
            case ("time", duration):
                harness.advance_time(duration)
            case ("list", kind, numbers, state):
                states = (ReplicaState.READY, ReplicaState.READY, *ReplicaState)
                entries = tuple(
                    list_entry(n, harness.now, states[state], n % 2 == 0) for n in sorted(set(numbers))
                )
                harness.update_endpoint_list(kind, entries)
            case ("disconnect", which) if harness.requests:
                request = sorted(harness.requests)[which % len(harness.requests)]
                tracked = harness.requests[request]
                tracked.final_answer = tracked.final_answer or "disconnected"
                harness.step(ClientDisconnected(request))
    harness.advance_time(10 * SECOND)
    for request, attempt in harness.attempts_in_progress():
        harness.end_attempt(request, Outcome.RESET, attempt)
    harness.advance_time(10 * SECOND)
    assert all(request.final_answer for request in harness.requests.values())
    assert not harness.balancer.requests and not harness.balancer.queue.waiting


def test_a_non_idempotent_request_that_may_have_run_fails_and_is_not_rejected() -> None:
    harness = BalancerHarness(settings(classes=CLASSES))
    harness.arrive(1, request_class=4)
    actions = harness.end_attempt(1, Outcome.RESET)
    assert [type(action) for action in actions] == [Fail]


def test_a_non_idempotent_request_that_never_ran_is_retried() -> None:
    harness = BalancerHarness(settings(classes=CLASSES))
    harness.arrive(1, request_class=4)
    assert harness.sent_to(harness.end_attempt(1, Outcome.CONNECT_FAILED))


def test_a_request_with_a_key_stays_in_its_deduplication_scope_and_window() -> None:
    harness = BalancerHarness(settings(classes=CLASSES), replicas=())
    harness.update_endpoint_list(
        EndpointListKind.FULL, tuple(EndpointListEntry(n, zone=n % 2) for n in range(1, 7))
    )
    first = harness.sent_to(harness.arrive(1, request_class=2))[0]
    second = harness.sent_to(harness.end_attempt(1, Outcome.RESET))[0]
    assert second != first and second % 2 == first % 2
    harness.advance_time(2 * SECOND)  # After the window, replicas no longer discard a repetition.
    assert not harness.sent_to(harness.end_attempt(1, Outcome.RESET))


def test_attempts_are_limited() -> None:
    harness = BalancerHarness(settings(max_attempts=2), replicas=range(1, 9))
    harness.arrive(1)
    harness.end_attempt(1, Outcome.CONNECT_FAILED)
    actions = harness.end_attempt(1, Outcome.CONNECT_FAILED)
    assert [type(action) for action in actions if not isinstance(action, SetTimer)] == [Reject]


def test_without_replicas_requests_are_rejected_at_once() -> None:
    harness = BalancerHarness(replicas=())
    assert Reject(1, INITIAL_RECOVERY) in harness.arrive(1)


def test_a_stream_that_has_begun_has_no_deadline() -> None:
    harness = BalancerHarness()
    harness.arrive(1, time_remaining=SECOND)
    harness.first_token(1)
    harness.advance_time(20 * SECOND)
    assert harness.requests[1].final_answer == ""
    harness.end_attempt(1, Outcome.OK)
    assert not harness.balancer.requests


def test_a_broken_stream_is_not_retried() -> None:
    harness = BalancerHarness()
    harness.arrive(1)
    harness.first_token(1)
    assert not harness.sent_to(harness.end_attempt(1, Outcome.RESET, request_answered=True))


def test_draining_and_removed_replicas_get_no_requests() -> None:
    harness = BalancerHarness(replicas=(1, 2, 3))
    harness.update_endpoint_list(EndpointListKind.DELTA, (EndpointListEntry(1, ReplicaState.DRAINING),))
    # Replica 3 is missing and thereby removed; 1 is ready again.
    harness.update_endpoint_list(EndpointListKind.FULL, ready_entries(1, 2))
    sent = {replica for n in range(1, 20) for replica in harness.sent_to(harness.arrive(n))}
    assert sent == {1, 2}


def test_healthy_replicas_serve_while_half_of_the_fleet_hangs() -> None:
    """Half of the replicas accept connections but never answer; time-outs open their breakers."""
    harness = BalancerHarness(replicas=range(1, 9))
    not_sent_to_healthy = 0
    for number in range(1, 601):
        harness.arrive(number, time_remaining=SECOND)
        tracked = harness.requests[number]
        if tracked.attempts and tracked.attempts[-1].replica > 4:
            harness.first_token(number)
            harness.end_attempt(number, Outcome.OK)
        elif number > 400:
            not_sent_to_healthy += 1
        harness.advance_time(50 * MS)
        harness.assert_none_overdue()
    assert not_sent_to_healthy <= 40  # Of 200: trials, and requests to replicas whose breakers may not open.


def test_flapping_replicas_leave_no_open_requests() -> None:
    harness = BalancerHarness(replicas=range(1, 6))
    rng = random.Random(5)
    for number in range(1, 801):
        flapping = {n for n in range(1, 6) if (number // 40 + n) % 3 == 0}
        if number % 40 == 0:
            removed = tuple(EndpointListEntry(n, ReplicaState.REMOVED) for n in sorted(flapping))
            harness.update_endpoint_list(EndpointListKind.DELTA, removed)
            returned = sorted(set(range(1, 6)) - flapping)
            harness.update_endpoint_list(
                EndpointListKind.DELTA, ready_entries(*returned, started_at=harness.now if number % 80 else 0)
            )
        harness.arrive(number, time_remaining=SECOND)
        while not harness.requests[number].final_answer and harness.requests[number].attempts:
            replica = harness.requests[number].attempts[-1].replica
            if len(harness.requests[number].outcomes) == len(harness.requests[number].attempts):
                break
            if replica in flapping:
                harness.end_attempt(
                    number, rng.choice([Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.ERROR])
                )
            else:
                harness.first_token(number)
                harness.end_attempt(number, Outcome.OK)
        harness.advance_time(20 * MS)
    harness.advance_time(5 * SECOND)
    assert (
        all(request.final_answer for request in harness.requests.values()) and not harness.balancer.requests
    )


def test_a_replica_that_drains_during_a_trial_gets_no_more_requests() -> None:
    harness = BalancerHarness(replicas=(1, 2, 3))
    number = 0
    while harness.balancer.replicas[2].breaker.state.value == "closed":
        number += 1
        actions = harness.arrive(number)
        while harness.sent_to(actions):
            is_faulty = harness.sent_to(actions) == [2]
            actions = harness.end_attempt(number, Outcome.RESET if is_faulty else Outcome.OK)
    harness.advance_time(3 * SECOND)
    assert harness.sent_to(harness.arrive(900)) == [2]
    harness.update_endpoint_list(EndpointListKind.DELTA, (EndpointListEntry(2, ReplicaState.DRAINING),))
    harness.first_token(900)
    assert all(harness.sent_to(harness.arrive(n)) != [2] for n in range(901, 930))


def test_outcomes_after_the_end_of_a_request_are_ignored() -> None:
    harness = BalancerHarness(replicas=(1, 2))
    harness.arrive(1, time_remaining=SECOND)
    harness.step(ClientDisconnected(1))
    harness.requests[1].final_answer = "disconnected"
    assert not harness.sent_to(harness.end_attempt(1, Outcome.RESET, request_answered=True))
    replica, _ = harness.requests[1].attempts[0]
    for outcome in Outcome:  # These are for a request that the balancer has removed.
        harness.step(AttemptEnded(1, 0, replica, outcome, 5, False))
        harness.step(FirstToken(1, 0, replica, 5))
    assert harness.balancer.replicas[replica].concurrency.in_flight == 0


def test_failed_empty_and_refilled_endpoint_lists() -> None:
    harness = BalancerHarness(replicas=(1, 2))
    harness.update_endpoint_list(EndpointListKind.FAILED, ())
    assert harness.sent_to(harness.arrive(1))
    harness.update_endpoint_list(EndpointListKind.FULL, ())
    assert Reject(2, INITIAL_RECOVERY) in harness.arrive(2)
    harness.update_endpoint_list(EndpointListKind.FULL, ready_entries(1, 2))
    assert harness.sent_to(harness.arrive(3))


@pytest.mark.parametrize("outcome", list(Outcome))
@pytest.mark.parametrize("is_streaming", [False, True])
@pytest.mark.parametrize("request_class", range(5))
def test_every_outcome_before_and_after_the_first_token(
    outcome: Outcome, is_streaming: bool, request_class: int
) -> None:
    harness = BalancerHarness(settings(classes=CLASSES), replicas=range(1, 7))
    harness.arrive(1, request_class=request_class)
    if is_streaming:
        harness.first_token(1)
    harness.end_attempt(1, outcome, request_answered=is_streaming or outcome is Outcome.OK)
    harness.advance_time(10 * SECOND)
    assert harness.requests[1].final_answer and all(
        r.concurrency.in_flight == 0 for r in harness.balancer.replicas.values()
    )


@pytest.mark.parametrize("clock_skew", [0, 5 * MS, 3 * SECOND])
@pytest.mark.parametrize(
    "overrides",
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
def test_extreme_settings_and_clock_skew_leave_no_request_unanswered(
    overrides: dict[str, Any], clock_skew: int
) -> None:
    """If a replica's clock is ahead, its start is in the future; without slow start, this divided by zero."""
    harness = BalancerHarness(settings(**overrides), replicas=())
    starting = ready_entries(1, 2, started_at=harness.now + clock_skew)
    long_running = ready_entries(3, zone=9, weight=0.0)
    for entries in (starting + long_running, starting):
        harness.update_endpoint_list(EndpointListKind.FULL, entries)
        for number in range(len(harness.requests), len(harness.requests) + 12):
            harness.arrive(number, prompt_tokens=100.0 * number)
            if harness.requests[number].attempts and not harness.requests[number].final_answer:
                harness.first_token(number)
                harness.end_attempt(number, Outcome.OK)
            harness.advance_time(SECOND)
    harness.advance_time(10 * SECOND)
    assert all(request.final_answer for request in harness.requests.values())


def test_after_a_large_clock_jump_all_requests_are_answered() -> None:
    harness = BalancerHarness()
    harness.arrive(1, time_remaining=10**13)
    harness.advance_time(2 * 10**13)
    assert harness.requests[1].final_answer


def test_state_does_not_grow_in_a_long_run() -> None:
    """New sessions, short-lived replicas and rejections must not leave records behind."""
    harness = BalancerHarness(replicas=(1, 2, 3))
    for number in range(1, 6001):
        if number % 20 == 0:
            harness.update_endpoint_list(
                EndpointListKind.FULL,
                ready_entries(1, 2, 3, 1000 + number, started_at=harness.now if number % 40 else 0),
            )
        harness.arrive(number, session=number, prefix=number % 500, prefix_tokens=100.0)
        if harness.requests[number].attempts:
            harness.first_token(number)
            harness.end_attempt(number, Outcome.OK)
        harness.advance_time(50 * MS)
        del harness.requests[number]
    balancer = harness.balancer
    assert len(balancer.replicas) <= 20 and not balancer.requests and not balancer.queue.waiting
    assert len(balancer.deadlines) <= 200
    assert all(len(r.cached) <= 2048 and len(r.slow_start.sends) <= 100 for r in balancer.replicas.values())
