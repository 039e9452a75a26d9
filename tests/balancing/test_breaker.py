"""Each transition of the breaker, on the class alone and through the balancer."""

from __future__ import annotations

import pytest

from lockspoke.balancing.actions import Reject
from lockspoke.balancing.balancer import MIN_RETRY_AFTER
from lockspoke.balancing.breaker import (
    FAILURE_THRESHOLD,
    INITIAL_RECOVERY,
    MAX_RECOVERY,
    SUCCESS_THRESHOLD,
    TRIAL_TIMEOUT,
    Breaker,
    BreakerState,
    Trial,
)
from lockspoke.balancing.concurrency_limit import INITIAL_LIMIT
from lockspoke.balancing.events import EndpointListKind, Outcome
from tests.balancing.helpers import MS, SECOND, World, ready, settings


def opened(now: int = 0) -> Breaker:
    breaker = Breaker()
    for _ in range(FAILURE_THRESHOLD):
        breaker.record_failure(now, may_open=True)
    assert breaker.refresh(now) is BreakerState.OPEN
    return breaker


def test_closed_opens_only_after_failures_in_a_row() -> None:
    breaker = Breaker()
    for _ in range(3):
        for _ in range(FAILURE_THRESHOLD - 1):
            breaker.record_failure(0, may_open=True)
        assert breaker.refresh(0) is BreakerState.CLOSED
        breaker.record_success()
    for _ in range(FAILURE_THRESHOLD):
        breaker.record_failure(0, may_open=True)
    assert breaker.refresh(0) is BreakerState.OPEN


def test_closed_stays_closed_when_it_may_not_open() -> None:
    breaker = Breaker()
    for _ in range(10 * FAILURE_THRESHOLD):
        breaker.record_failure(0, may_open=False)
    assert breaker.refresh(0) is BreakerState.CLOSED


def test_open_half_opens_after_the_recovery_since_the_last_failure() -> None:
    breaker = opened(now=0)
    breaker.record_failure(INITIAL_RECOVERY - 1, may_open=True)  # a late outcome restarts the timer
    assert breaker.refresh(INITIAL_RECOVERY) is BreakerState.OPEN
    assert breaker.refresh(2 * INITIAL_RECOVERY - 2) is BreakerState.OPEN
    assert breaker.refresh(2 * INITIAL_RECOVERY - 1) is BreakerState.HALF_OPEN


def test_half_open_closes_after_successes_in_a_row_of_its_own_trials() -> None:
    breaker = opened()
    breaker.refresh(INITIAL_RECOVERY)
    breaker.record_success()  # of an attempt sent before it opened: no verdict
    breaker.record_success(Trial(0))  # of a trial that is not the current one
    assert breaker.refresh(INITIAL_RECOVERY) is BreakerState.HALF_OPEN
    for count in range(SUCCESS_THRESHOLD):
        assert breaker.refresh(INITIAL_RECOVERY) is BreakerState.HALF_OPEN, count
        breaker.record_success(breaker.begin_trial(INITIAL_RECOVERY))
    assert breaker.refresh(INITIAL_RECOVERY) is BreakerState.CLOSED


def test_half_open_reopens_on_any_failure_and_waits_twice_as_long_up_to_a_bound() -> None:
    breaker, now, waits = opened(), 0, []
    for _ in range(6):
        wait = breaker.recovery
        assert breaker.refresh(now + wait - 1) is BreakerState.OPEN
        now += wait
        assert breaker.refresh(now) is BreakerState.HALF_OPEN
        breaker.record_failure(now, may_open=True)
        waits.append(wait)
    assert waits[:3] == [INITIAL_RECOVERY, 2 * INITIAL_RECOVERY, 4 * INITIAL_RECOVERY]
    assert waits[-1] == MAX_RECOVERY


def test_a_stale_trial_frees_its_slot() -> None:
    breaker = opened()
    breaker.refresh(INITIAL_RECOVERY)
    breaker.begin_trial(INITIAL_RECOVERY)
    breaker.refresh(INITIAL_RECOVERY + TRIAL_TIMEOUT - 1)
    assert breaker.trial is not None
    breaker.refresh(INITIAL_RECOVERY + TRIAL_TIMEOUT)
    assert breaker.trial is None


def test_a_trial_without_a_verdict_frees_its_slot() -> None:
    breaker = opened()
    breaker.refresh(INITIAL_RECOVERY)
    trial = breaker.begin_trial(INITIAL_RECOVERY)
    breaker.release_trial(None)
    breaker.release_trial(Trial(INITIAL_RECOVERY))
    assert breaker.trial is trial
    breaker.release_trial(trial)
    assert breaker.trial is None and breaker.refresh(INITIAL_RECOVERY) is BreakerState.HALF_OPEN


def fail_on(world: World, replica: int, outcome: Outcome, base: int) -> None:
    """Let every request sent to `replica` end so, until its breaker opens; others answer."""
    number = base
    while world.balancer.replicas[replica].breaker.state is BreakerState.CLOSED:
        number += 1
        assert number < base + 200, "never opened"
        actions = world.arrive(number)
        while world.sent_to(actions) == [replica]:
            actions = world.end(number, outcome)
        if world.sent_to(actions):
            world.first_token(number)
            world.end(number, Outcome.OK)
        world.pass_time(10 * MS)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.TIMEOUT])
def test_counted_outcomes_open_and_the_replica_gets_no_sends(outcome: Outcome) -> None:
    world = World(replicas=(1, 2, 3, 4))
    fail_on(world, 2, outcome, 0)
    for number in range(1000, 1050):
        assert world.sent_to(world.arrive(number)) != [2]
        world.first_token(number)
        world.end(number, Outcome.OK)


def test_full_never_opens() -> None:
    world = World(replicas=(1,), given=settings(max_attempts=50))
    for number in range(40):
        world.arrive(number)
        if world.calls[number].attempts:
            world.end(number, Outcome.OVERLOADED)
        world.pass_time(SECOND)
    assert world.balancer.replicas[1].breaker.state is BreakerState.CLOSED


def test_one_trial_at_a_time_and_it_succeeds_at_its_first_token() -> None:
    world = World(replicas=(1, 2, 3, 4))
    fail_on(world, 2, Outcome.RESET, 0)
    world.pass_time(INITIAL_RECOVERY)
    assert world.sent_to(world.arrive(500)) == [2]
    assert world.sent_to(world.arrive(501)) != [2]
    world.first_token(500)
    assert world.sent_to(world.arrive(502)) == [2]
    world.first_token(502)
    assert world.balancer.replicas[2].breaker.state is BreakerState.CLOSED


def test_a_replica_that_was_open_returns_with_a_low_limit() -> None:
    """All gateways find a returned replica empty at once; it must earn its share."""
    world = World(replicas=(1, 2, 3, 4))
    fail_on(world, 2, Outcome.RESET, 0)
    assert world.balancer.replicas[2].concurrency.limit == INITIAL_LIMIT


def test_shared_time_outs_open_half_the_fleet_at_most() -> None:
    world = World(replicas=range(1, 9))
    for number in range(400):
        world.arrive(number, time_remaining=SECOND)
        world.pass_time(50 * MS)
    world.pass_time(SECOND)
    states = [replica.breaker.state for replica in world.balancer.replicas.values()]
    assert 1 <= sum(state is not BreakerState.CLOSED for state in states) <= 4


def test_connection_failures_open_past_half_the_fleet() -> None:
    """With a zone cut off, half the fleet is open; further unreachable replicas must open too."""
    world = World(replicas=range(1, 5))
    for number in range(100):
        world.arrive(number)
        while not world.calls[number].final and world.calls[number].attempts:
            world.end(number, Outcome.CONNECT_FAILED)
        world.pass_time(10 * MS)
    assert all(replica.breaker.state is BreakerState.OPEN for replica in world.balancer.replicas.values())


def test_a_restart_under_the_same_id_closes_the_breaker() -> None:
    world = World(replicas=(1, 2, 3, 4))
    fail_on(world, 2, Outcome.RESET, 0)
    world.update_endpoint_list(EndpointListKind.DELTA, ready(2, started_at=world.now))
    assert world.balancer.replicas[2].breaker.state is BreakerState.CLOSED


def test_two_failed_connections_open_a_breaker() -> None:
    """A gateway among many seldom meets a dead replica: with five each it is asked for many seconds."""
    world = World(replicas=(1,))
    for number in (1, 2):
        world.arrive(number)
        assert world.balancer.replicas[1].breaker.state is BreakerState.CLOSED
        world.end(number, Outcome.CONNECT_FAILED)
    assert world.balancer.replicas[1].breaker.state is BreakerState.OPEN


def test_a_refused_client_is_told_when_a_replica_may_have_room() -> None:
    """Sooner it would meet the same jam; and it is told at once, never held until then."""
    world = World(replicas=())
    assert world.arrive(1)[0] == Reject(1, INITIAL_RECOVERY)
    world = World(replicas=(1,))
    for request in range(1, 6):
        actions = world.arrive(request)
        if world.sent_to(actions):
            actions = world.end(request, Outcome.CONNECT_FAILED)
    refused = [action for action in actions if isinstance(action, Reject)]
    assert [action.retry_after for action in refused] == [INITIAL_RECOVERY]
    world.now += INITIAL_RECOVERY - MIN_RETRY_AFTER // 2
    assert world.arrive(9)[0] == Reject(9, MIN_RETRY_AFTER)
