"""The effects of load reports, rejections and invalid requests on the records of replicas."""

from __future__ import annotations

import math
from typing import Any

from lockspoke.balancing.breaker import BreakerState
from lockspoke.balancing.events import (
    AttemptEnded,
    EndpointListEntry,
    EndpointListKind,
    Outcome,
    ReplicaState,
)
from lockspoke.balancing.load_reports import REPORT_LIFETIME
from lockspoke.balancing.overload_backoff import OVERLOAD_BACKOFF
from lockspoke.balancing.prefix_affinity import rendezvous_score
from lockspoke.balancing.settings import RequestClass
from tests.balancing.helpers import MS, SECOND, BalancerHarness, settings


def harness_with_report(utilization: float) -> BalancerHarness:
    """Return a harness whose only replica has three requests in flight and has reported this utilization."""
    harness = BalancerHarness(settings(utilization_field=0), replicas=(1,))
    for number in range(1, 6):
        harness.arrive(number)
        harness.first_token(number)
    harness.end_attempt(1, Outcome.OK, load_report=(utilization,))
    # The first report may describe a time with fewer requests in flight, so it is followed by a second one.
    harness.end_attempt(2, Outcome.OK, load_report=(utilization,))
    return harness


def limit_after_first_token(harness: BalancerHarness, number: int, after: int) -> float:
    harness.arrive(number, prompt_tokens=0.0)
    harness.advance_time(after)
    harness.first_token(number)
    return harness.balancer.replicas[1].concurrency.limit


def test_late_first_token_keeps_the_limit_while_a_report_shows_capacity() -> None:
    """Guards against limits of one request at replicas that are only reading uncached prompts.

    Most slots of such replicas were free.
    """
    assert limit_after_first_token(harness_with_report(0.2), 9, 450 * MS) == math.inf
    assert limit_after_first_token(harness_with_report(0.9), 9, 450 * MS) < 4
    assert limit_after_first_token(harness_with_report(0.2), 9, 700 * MS) < 4, (
        "so late that the replica is overloaded, whatever it reported"
    )
    harness = harness_with_report(0.2)
    harness.advance_time(REPORT_LIFETIME)
    assert limit_after_first_token(harness, 9, 450 * MS) < 4, "the report has expired"


def test_report_raises_a_limit_below_the_reported_capacity() -> None:
    """Guards against limits that stay at one, because timely first tokens raise them too slowly."""
    harness = harness_with_report(0.9)
    replica = harness.balancer.replicas[1]
    assert limit_after_first_token(harness, 9, 700 * MS) < 4
    harness.advance_time(REPORT_LIFETIME + MS)
    harness.end_attempt(3, Outcome.OK, load_report=(0.1,))
    assert replica.concurrency.limit > 10


def test_slow_rejections_back_off_only_their_request_class() -> None:
    """A replica that took 0.9 s to reject each request of a class kept getting requests of that class."""
    classes = (RequestClass(), RequestClass())
    harness = BalancerHarness(settings(classes=classes, max_attempts=9), replicas=(1, 2))
    sent_to_first = 0
    for number in range(1, 21):
        harness.arrive(number, request_class=1, time_remaining=20 * SECOND)
        if harness.requests[number].attempts[-1].replica == 1:
            sent_to_first += 1
            harness.advance_time(900 * MS)
            harness.end_attempt(number, Outcome.OVERLOADED)
        harness.first_token(number)
        harness.end_attempt(number, Outcome.OK)
        harness.advance_time(300 * MS)
    assert sent_to_first <= 3
    replica = harness.balancer.replicas[1]
    assert replica.backoff.until == 0 and replica.concurrency.limit == math.inf
    assert any(harness.sent_to(harness.arrive(number)) == [1] for number in range(100, 120))


def test_an_invalid_request_fails_without_counting_against_replicas() -> None:
    """Each invalid request was sent to three replicas, and opened the breakers of healthy ones."""
    harness = BalancerHarness(settings(max_attempts=3), replicas=(1, 2, 3))
    for number in range(1, 30):
        harness.arrive(number)
        harness.end_attempt(number, Outcome.INVALID_REQUEST)
        harness.end_attempt(number, Outcome.INVALID_REQUEST)
        assert harness.requests[number].final_answer == "Fail" and len(harness.requests[number].attempts) == 2
    assert all(replica.breaker.failures == 0 for replica in harness.balancer.replicas.values())


def test_replica_that_rejects_valid_requests_opens_its_breaker() -> None:
    harness = BalancerHarness(settings(max_attempts=3), replicas=(1, 2, 3))
    for number in range(1, 60):
        harness.arrive(number)
        if harness.requests[number].attempts[0].replica == 1:
            harness.end_attempt(number, Outcome.INVALID_REQUEST)
        harness.first_token(number)
        harness.end_attempt(number, Outcome.OK)
    assert harness.balancer.replicas[1].breaker.state is BreakerState.OPEN


def test_reset_of_a_connection_that_was_idle_counts_less_than_of_a_new_one() -> None:
    """Replicas may close idle connections early; two resets from this opened their breakers."""
    open_breakers = []
    for was_idle in (True, False):
        harness = BalancerHarness(settings(max_attempts=1), replicas=(1, 2, 3, 4))
        for number in range(1, 9):
            harness.arrive(number)
            replica, sent_at = harness.requests[number].attempts[0]
            harness.requests[number].outcomes[0] = Outcome.RESET
            harness.requests[number].final_answer = "Fail"
            elapsed = harness.now - sent_at
            harness.step(
                AttemptEnded(number, 0, replica, Outcome.RESET, elapsed, True, connection_was_idle=was_idle)
            )
        breakers = [replica.breaker for replica in harness.balancer.replicas.values()]
        open_breakers.append(sum(breaker.state is BreakerState.OPEN for breaker in breakers))
    assert open_breakers[0] < open_breakers[1]


def test_immediate_rejection_backs_off_all_classes() -> None:
    harness = BalancerHarness(settings(max_attempts=9), replicas=(1,))
    harness.arrive(1)
    harness.end_attempt(1, Outcome.OVERLOADED)
    replica = harness.balancer.replicas[1]
    assert replica.backoff.until == harness.now + OVERLOAD_BACKOFF and not replica.backoff.class_until


def test_cache_rankings_follow_the_endpoint_list() -> None:
    harness = BalancerHarness(replicas=range(1, 9))
    ranking = harness.balancer.affinity.ranking(77)
    assert ranking == sorted(
        harness.balancer.endpoints.ready, key=lambda replica: rendezvous_score(replica, 77)
    )
    harness.update_endpoint_list(
        EndpointListKind.DELTA, (EndpointListEntry(ranking[0].number, ReplicaState.DRAINING),)
    )
    assert harness.balancer.affinity.ranking(77) == ranking[1:]


def harness_with_two_machine_kinds(**overrides: Any) -> BalancerHarness:
    """Return one gateway of 100, with 40 replicas: 1 to 20 are of one kind, and listed with more capacity."""
    harness = BalancerHarness(settings(gateway_count=100, **overrides), replicas=())
    large = tuple(EndpointListEntry(number, weight=6.0, machine_kind=1) for number in range(1, 21))
    small = tuple(EndpointListEntry(number, weight=4.0, machine_kind=2) for number in range(21, 41))
    harness.update_endpoint_list(EndpointListKind.FULL, large + small)
    return harness


def share_sent_to_large(
    harness: BalancerHarness, numbers: range, utilization: float, first_token_after: int = 0
) -> float:
    """Return the share of requests sent to the replicas listed as larger, which report this utilization."""
    sent = 0
    for number in numbers:
        harness.arrive(number, time_remaining=60 * SECOND)
        is_large = harness.requests[number].attempts[0].replica <= 20
        sent += is_large
        harness.advance_time(first_token_after if is_large else 10 * MS)
        harness.first_token(number)
        load_report = () if first_token_after else (utilization if is_large else 0.3,)
        harness.end_attempt(number, Outcome.OK, load_report=load_report)
        harness.advance_time(SECOND)
    return sent / len(numbers)


def test_reports_of_a_machine_kind_override_its_declared_capacity() -> None:
    """Machines may be listed by their cores although they have few slots.

    With such a list, 22% of first tokens were late while other machines were idle.
    """
    assert share_sent_to_large(harness_with_two_machine_kinds(utilization_field=0), range(1, 201), 0.3) > 0.5
    harness = harness_with_two_machine_kinds(utilization_field=0)
    share_sent_to_large(harness, range(1, 31), 1.0)
    assert share_sent_to_large(harness, range(31, 231), 1.0) < 0.25
    assert all(
        harness.balancer.replicas[number].machine_statistics.capacity_factor >= 0.25
        for number in range(1, 41)
    )


def test_without_reports_late_first_tokens_lower_a_kinds_capacity() -> None:
    harness = harness_with_two_machine_kinds()
    share_sent_to_large(harness, range(1, 31), 0.0, first_token_after=10 * MS)
    assert share_sent_to_large(harness, range(31, 131), 0.0, first_token_after=10 * MS) > 0.5
    share_sent_to_large(harness, range(131, 161), 0.0, first_token_after=500 * MS)
    assert share_sent_to_large(harness, range(161, 261), 0.0, first_token_after=500 * MS) < 0.4


def test_fully_utilized_replica_with_cached_prompt_is_avoided_until_its_report_is_old() -> None:
    """Guards against further requests to overloaded replicas because they have the prompts cached.

    The first tokens of such requests came after 4 s.
    """
    harness = BalancerHarness(settings(gateway_count=100, utilization_field=0), replicas=range(1, 21))
    for number in range(101, 111):
        harness.arrive(number)
        harness.first_token(number)
        harness.end_attempt(number, Outcome.OK, load_report=(0.2,))
    harness.arrive(1, session=8, prompt_tokens=4000.0)
    cached_replica = harness.requests[1].attempts[0].replica
    harness.first_token(1)
    harness.end_attempt(1, Outcome.OK, load_report=(1.0,))
    harness.arrive(2, session=8, prompt_tokens=4200.0)
    assert harness.requests[2].attempts[0].replica != cached_replica
    harness.advance_time(60 * SECOND)
    harness.balancer.replicas[harness.requests[2].attempts[0].replica].cached.clear()
    harness.arrive(3, session=8, prompt_tokens=4200.0)
    assert harness.requests[3].attempts[0].replica == cached_replica


def test_machine_kinds_missing_from_the_list_are_removed() -> None:
    harness = harness_with_two_machine_kinds(utilization_field=0)
    harness.update_endpoint_list(EndpointListKind.FULL, (EndpointListEntry(50, machine_kind=3),))
    assert list(harness.balancer.endpoints.machine_kinds.by_number) == [3]
    harness.update_endpoint_list(EndpointListKind.FULL, ())
    assert not harness.balancer.endpoints.machine_kinds.by_number
