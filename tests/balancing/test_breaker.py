"""The transitions of the circuit breaker, on its own and within the balancer."""

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
from lockspoke.balancing.events import (
    EndpointListKind,
    Outcome,
    RequestArrived,
)
from tests.balancing.helpers import MS, SECOND, BalancerHarness, ClientRequest, ready_entries, settings


def open_breaker(now: int = 0) -> Breaker:
    breaker = Breaker()
    for _ in range(FAILURE_THRESHOLD):
        breaker.record_failure(now, may_open=True)
    assert breaker.refresh(now) is BreakerState.OPEN
    return breaker


def test_closed_breaker_opens_only_after_consecutive_failures() -> None:
    breaker = Breaker()
    for _ in range(3):
        for _ in range(FAILURE_THRESHOLD - 1):
            breaker.record_failure(0, may_open=True)
        assert breaker.refresh(0) is BreakerState.CLOSED
        breaker.record_success()
    for _ in range(FAILURE_THRESHOLD):
        breaker.record_failure(0, may_open=True)
    assert breaker.refresh(0) is BreakerState.OPEN


def test_closed_breaker_stays_closed_when_it_may_not_open() -> None:
    breaker = Breaker()
    for _ in range(10 * FAILURE_THRESHOLD):
        breaker.record_failure(0, may_open=False)
    assert breaker.refresh(0) is BreakerState.CLOSED


def test_open_breaker_half_opens_after_recovery_since_the_last_failure() -> None:
    breaker = open_breaker(now=0)
    breaker.record_failure(INITIAL_RECOVERY - 1, may_open=True)  # A late outcome restarts the recovery time.
    assert breaker.refresh(INITIAL_RECOVERY) is BreakerState.OPEN
    assert breaker.refresh(2 * INITIAL_RECOVERY - 2) is BreakerState.OPEN
    assert breaker.refresh(2 * INITIAL_RECOVERY - 1) is BreakerState.HALF_OPEN


def test_half_open_breaker_closes_after_consecutive_successful_trials() -> None:
    breaker = open_breaker()
    breaker.refresh(INITIAL_RECOVERY)
    breaker.record_success()  # Of an attempt sent before it opened; does not count.
    breaker.record_success(Trial(0))  # Of a trial that is not the current one; does not count.
    assert breaker.refresh(INITIAL_RECOVERY) is BreakerState.HALF_OPEN
    for count in range(SUCCESS_THRESHOLD):
        assert breaker.refresh(INITIAL_RECOVERY) is BreakerState.HALF_OPEN, count
        breaker.record_success(breaker.begin_trial(INITIAL_RECOVERY))
    assert breaker.refresh(INITIAL_RECOVERY) is BreakerState.CLOSED


def test_half_open_breaker_reopens_on_any_failure_with_doubled_recovery() -> None:
    breaker, now, recoveries = open_breaker(), 0, []
    for _ in range(6):
        recovery = breaker.recovery
        assert breaker.refresh(now + recovery - 1) is BreakerState.OPEN
        now += recovery
        assert breaker.refresh(now) is BreakerState.HALF_OPEN
        breaker.record_failure(now, may_open=True)
        recoveries.append(recovery)
    assert recoveries[:3] == [INITIAL_RECOVERY, 2 * INITIAL_RECOVERY, 4 * INITIAL_RECOVERY]
    assert recoveries[-1] == MAX_RECOVERY


def test_trial_without_a_result_expires() -> None:
    breaker = open_breaker()
    breaker.refresh(INITIAL_RECOVERY)
    breaker.begin_trial(INITIAL_RECOVERY)
    breaker.refresh(INITIAL_RECOVERY + TRIAL_TIMEOUT - 1)
    assert breaker.trial is not None
    breaker.refresh(INITIAL_RECOVERY + TRIAL_TIMEOUT)
    assert breaker.trial is None


def test_only_the_current_trial_can_be_released() -> None:
    breaker = open_breaker()
    breaker.refresh(INITIAL_RECOVERY)
    trial = breaker.begin_trial(INITIAL_RECOVERY)
    breaker.release_trial(None)
    breaker.release_trial(Trial(INITIAL_RECOVERY))
    assert breaker.trial is trial
    breaker.release_trial(trial)
    assert breaker.trial is None and breaker.refresh(INITIAL_RECOVERY) is BreakerState.HALF_OPEN


def fail_until_open(harness: BalancerHarness, replica: int, outcome: Outcome, previous_number: int) -> None:
    """End every attempt at `replica` with this outcome until its breaker opens; other replicas answer."""
    number = previous_number
    while harness.balancer.replicas[replica].breaker.state is BreakerState.CLOSED:
        number += 1
        assert number < previous_number + 200, "its breaker never opened"
        actions = harness.arrive(number)
        while harness.sent_to(actions) == [replica]:
            actions = harness.end_attempt(number, outcome)
        if harness.sent_to(actions):
            harness.first_token(number)
            harness.end_attempt(number, Outcome.OK)
        harness.advance_time(10 * MS)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.TIMEOUT])
def test_failures_open_the_breaker_and_the_replica_gets_no_requests(outcome: Outcome) -> None:
    harness = BalancerHarness(replicas=(1, 2, 3, 4))
    fail_until_open(harness, 2, outcome, 0)
    for number in range(1000, 1050):
        assert harness.sent_to(harness.arrive(number)) != [2]
        harness.first_token(number)
        harness.end_attempt(number, Outcome.OK)


def test_overloaded_outcomes_never_open_the_breaker() -> None:
    harness = BalancerHarness(replicas=(1,), given_settings=settings(max_attempts=50))
    for number in range(40):
        harness.arrive(number)
        if harness.requests[number].attempts:
            harness.end_attempt(number, Outcome.OVERLOADED)
        harness.advance_time(SECOND)
    assert harness.balancer.replicas[1].breaker.state is BreakerState.CLOSED


def test_one_trial_at_a_time_succeeds_with_its_first_token() -> None:
    harness = BalancerHarness(replicas=(1, 2, 3, 4))
    fail_until_open(harness, 2, Outcome.RESET, 0)
    harness.advance_time(INITIAL_RECOVERY)
    assert harness.sent_to(harness.arrive(500)) == [2]
    assert harness.sent_to(harness.arrive(501)) != [2]
    harness.first_token(500)
    assert harness.sent_to(harness.arrive(502)) == [2]
    harness.first_token(502)
    assert harness.balancer.replicas[2].breaker.state is BreakerState.CLOSED


def test_opened_breaker_lowers_the_concurrency_limit() -> None:
    """Otherwise all gateways, which find a recovered replica idle at the same time, would overload it."""
    harness = BalancerHarness(replicas=(1, 2, 3, 4))
    fail_until_open(harness, 2, Outcome.RESET, 0)
    assert harness.balancer.replicas[2].concurrency.limit == INITIAL_LIMIT


def test_shared_timeouts_open_the_breakers_of_at_most_half_the_fleet() -> None:
    harness = BalancerHarness(replicas=range(1, 9))
    for number in range(400):
        harness.arrive(number, time_remaining=SECOND)
        harness.advance_time(50 * MS)
    harness.advance_time(SECOND)
    states = [replica.breaker.state for replica in harness.balancer.replicas.values()]
    assert 1 <= sum(state is not BreakerState.CLOSED for state in states) <= 4


def test_connection_failures_open_breakers_of_more_than_half_the_fleet() -> None:
    """The limit on open breakers does not apply to replicas that cannot be reached, such as a whole zone."""
    harness = BalancerHarness(replicas=range(1, 5))
    for number in range(100):
        harness.arrive(number)
        while not harness.requests[number].final_answer and harness.requests[number].attempts:
            harness.end_attempt(number, Outcome.CONNECT_FAILED)
        harness.advance_time(10 * MS)
    assert all(replica.breaker.state is BreakerState.OPEN for replica in harness.balancer.replicas.values())


def test_a_restart_under_the_same_number_closes_the_breaker() -> None:
    harness = BalancerHarness(replicas=(1, 2, 3, 4))
    fail_until_open(harness, 2, Outcome.RESET, 0)
    harness.update_endpoint_list(EndpointListKind.DELTA, ready_entries(2, started_at=harness.now))
    assert harness.balancer.replicas[2].breaker.state is BreakerState.CLOSED


def test_two_failed_connections_open_a_breaker() -> None:
    """With many gateways, each would need many seconds to see five failures of a dead replica."""
    harness = BalancerHarness(replicas=(1,))
    for number in (1, 2):
        harness.arrive(number)
        assert harness.balancer.replicas[1].breaker.state is BreakerState.CLOSED
        harness.end_attempt(number, Outcome.CONNECT_FAILED)
    assert harness.balancer.replicas[1].breaker.state is BreakerState.OPEN


def test_retry_after_is_the_time_until_a_breaker_half_opens() -> None:
    """The rejection is sent at once, but a retry before that time would be rejected again."""
    harness = BalancerHarness(replicas=())
    assert harness.arrive(1)[0] == Reject(1, INITIAL_RECOVERY)
    harness = BalancerHarness(replicas=(1,))
    for request in range(1, 6):
        actions = harness.arrive(request)
        if harness.sent_to(actions):
            actions = harness.end_attempt(request, Outcome.CONNECT_FAILED)
    rejections = [action for action in actions if isinstance(action, Reject)]
    assert [action.retry_after for action in rejections] == [INITIAL_RECOVERY]
    harness.now += INITIAL_RECOVERY - MIN_RETRY_AFTER // 2
    assert harness.arrive(9)[0] == Reject(9, MIN_RETRY_AFTER)


def test_breakers_of_an_unreachable_fleet_close_after_it_recovers() -> None:
    harness = BalancerHarness(replicas=(1, 2, 3))
    number = 0
    for _ in range(600):  # All connections fail for a minute.
        number += 1
        harness.arrive(number)
        while not harness.requests[number].final_answer:
            harness.end_attempt(number, Outcome.CONNECT_FAILED)
        harness.advance_time(100 * MS)
    for _ in range(180):  # All replicas answer again.
        number += 1
        harness.arrive(number)
        if not harness.requests[number].final_answer:
            harness.first_token(number)
            harness.end_attempt(number, Outcome.OK)
        harness.advance_time(100 * MS)
    assert {replica.breaker.state for replica in harness.balancer.replicas.values()} == {BreakerState.CLOSED}


def test_simultaneous_requests_are_rejected_while_all_breakers_are_open() -> None:
    harness = BalancerHarness(replicas=(1,))
    for number in range(1, 7):
        harness.arrive(number)
        if harness.requests[number].attempts:
            harness.end_attempt(number, Outcome.CONNECT_FAILED)
    assert harness.balancer.replicas[1].breaker.state is BreakerState.OPEN
    for number in (11, 12, 13):
        harness.requests[number] = ClientRequest(
            RequestArrived(number, 5 * SECOND), harness.settings.classes[0], harness.now
        )
    harness.step(*(RequestArrived(number, 5 * SECOND) for number in (11, 12, 13)))
    assert [harness.requests[number].final_answer for number in (11, 12, 13)] == ["Reject"] * 3


def test_half_open_replica_backs_off_after_an_overload_reply() -> None:
    """A rejected trial allows the next one at once.

    Without a backoff, 99% of all attempts went to the half-open replica.
    """
    harness = BalancerHarness(replicas=(1, 2))
    for number in range(1, 9):
        harness.arrive(number, time_remaining=60 * SECOND)
        if harness.requests[number].attempts[-1].replica == 1:
            harness.end_attempt(number, Outcome.CONNECT_FAILED)
    assert harness.balancer.replicas[1].breaker.state is BreakerState.OPEN
    harness.advance_time(3 * SECOND)
    trials = 0
    for number in range(101, 121):
        if harness.sent_to(harness.arrive(number)) == [1]:
            trials += 1
            harness.end_attempt(number, Outcome.OVERLOADED)
    assert trials == 1
