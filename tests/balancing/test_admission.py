"""Concurrency limits, and the order in which queued requests are admitted."""

from __future__ import annotations

import math
from collections.abc import Iterable

from lockspoke.balancing.actions import SendAttempt
from lockspoke.balancing.events import (
    FirstToken,
    Outcome,
)
from lockspoke.balancing.overload_backoff import OVERLOAD_BACKOFF
from lockspoke.balancing.settings import Tenant
from tests.balancing.helpers import MS, SECOND, BalancerHarness, settings


def overload(harness: BalancerHarness) -> None:
    """Cause late first tokens on every replica, so that each has a concurrency limit."""
    for number in range(1, 41):
        harness.arrive(number, time_remaining=60 * SECOND)
    harness.advance_time(2 * SECOND)
    for number in range(1, 41):
        if harness.requests[number].attempts:
            harness.first_token(number)


def test_late_first_tokens_set_limits_and_the_newest_waiting_request_goes_first() -> None:
    """If every request were forwarded, an overload would outlast its cause.

    Requests beyond the limits are queued instead, so that some of them are served in time.
    """
    harness = BalancerHarness(replicas=(1, 2))
    overload(harness)
    assert all(r.concurrency.in_flight >= r.concurrency.limit for r in harness.balancer.replicas.values())
    for number in (101, 102, 103):
        assert not harness.sent_to(harness.arrive(number))
        harness.advance_time(10 * MS)
    for number in range(1, 41):
        for action in harness.end_attempt(number, Outcome.OK):
            if isinstance(action, SendAttempt):
                assert action.request == 103
                return
    raise AssertionError("no request left the queue")


def test_queued_requests_are_answered_by_their_deadline() -> None:
    harness = BalancerHarness(replicas=(1, 2))
    overload(harness)
    harness.arrive(101, time_remaining=SECOND)
    harness.advance_time(SECOND + 10 * MS)
    assert harness.requests[101].final_answer == "Reject"


def test_tenant_with_least_usage_of_its_quota_goes_first() -> None:
    tenants = (Tenant(0.5), Tenant(0.5))
    harness = BalancerHarness(settings(tenants=tenants), replicas=(1, 2))
    overload(harness)  # All requests are of tenant 0.
    harness.arrive(101, tenant=1)
    harness.advance_time(10 * MS)
    harness.arrive(102, tenant=0)
    for number in range(1, 41):
        for action in harness.end_attempt(number, Outcome.OK):
            if isinstance(action, SendAttempt):
                assert action.request == 101
                return
    raise AssertionError("no request left the queue")


def test_requests_of_tenants_removed_by_a_reload_are_answered() -> None:
    harness = BalancerHarness(settings(tenants=(Tenant(0.5), Tenant(0.5))), replicas=(1, 2))
    overload(harness)
    harness.arrive(101, tenant=1)
    harness.arrive(102, tenant=1)
    harness.balancer.reconfigure(settings(tenants=(Tenant(1.0),)))
    for number in range(1, 41):
        harness.end_attempt(number, Outcome.OK)
    assert harness.requests[101].attempts and harness.requests[102].attempts


def test_client_retries_wait_behind_first_attempts() -> None:
    """A retry is newer than first attempts, but has already missed its latency objective."""
    harness = BalancerHarness(replicas=(1, 2))
    overload(harness)
    harness.arrive(101)
    harness.advance_time(10 * MS)
    harness.arrive(102, client_retry=True)
    harness.arrive(103, time_remaining=SECOND // 2)
    for number in range(1, 41):
        for action in harness.end_attempt(number, Outcome.OK):
            if isinstance(action, SendAttempt):
                assert action.request == 101
                return
    raise AssertionError("no request left the queue")


def test_timely_first_tokens_raise_a_limit_again() -> None:
    """Guards against replicas that stay half idle after a burst.

    This happened when a limit rose by only one within the duration of an answer.
    """
    harness = BalancerHarness(replicas=(1,))
    overload(harness)
    replica = harness.balancer.replicas[1]
    for number in range(1, 41):
        harness.end_attempt(number, Outcome.OK)
    limit_before, timely_count = replica.concurrency.limit, 0
    for number in range(200, 300):
        harness.arrive(number)
        harness.advance_time(MS)
        waiting = [
            (request, attempt)
            for request, attempt in harness.attempts_in_progress()
            if not harness.requests[request].is_streaming
        ]
        for request, attempt in waiting:
            harness.first_token(request, attempt)
            timely_count += 1
        if len(harness.attempts_in_progress()) >= int(replica.concurrency.limit):
            harness.end_attempt(harness.attempts_in_progress()[0][0], Outcome.OK)
    assert timely_count > 40
    assert replica.concurrency.limit >= limit_before + 5


def test_backoff_of_an_overloaded_replica_ends_by_a_timer() -> None:
    """A rejected request must wait, and without requests in flight only a timer can end the backoff."""
    harness = BalancerHarness(replicas=(1,))
    harness.arrive(1)
    assert not harness.sent_to(harness.end_attempt(1, Outcome.OVERLOADED))
    harness.advance_time(OVERLOAD_BACKOFF + MS)
    assert len(harness.requests[1].attempts) == 2


def test_freed_capacity_goes_to_the_request_whose_prompt_is_cached_there() -> None:
    """Otherwise, each prompt would be read again at another replica, and an overload would never end."""
    for first, second in ((1, 2), (2, 1)):
        harness = BalancerHarness(replicas=(1, 2))
        overload(harness)
        for replica, session in ((first, 8), (second, 9)):
            harness.balancer.replicas[replica].cached[session] = 4000.0
        harness.arrive(101, session=8, prompt_tokens=4200.0)
        harness.advance_time(10 * MS)
        harness.arrive(102, session=9, prompt_tokens=4200.0)
        sent: list[tuple[int, int]] = []
        for number in range(1, 41):
            if harness.requests[number].attempts and harness.requests[number].attempts[-1].replica == first:
                actions = harness.end_attempt(number, Outcome.OK)
                sent += [(a.request, a.replica) for a in actions if isinstance(a, SendAttempt)]
        assert sent[0] == (101, first)


def test_limits_increase_less_with_more_gateways() -> None:
    """A decrease is proportional to the limit; fixed increases at many gateways would outweigh it."""
    increases = {}
    for gateways in (1, 4):
        harness = BalancerHarness(settings(gateway_count=gateways), replicas=(1,))
        replica = harness.balancer.replicas[1]
        replica.concurrency.limit = 1.0
        harness.arrive(1)
        harness.first_token(1)
        increases[gateways] = replica.concurrency.limit - 1.0
    assert increases[1] > 3 * increases[4] > 0


def overloaded_gateway(late_replicas: Iterable[int]) -> BalancerHarness:
    """Return one gateway of 100 with a request at each of 20 replicas, some with a late first token."""
    harness = BalancerHarness(settings(gateway_count=100), replicas=range(1, 21))
    for number in range(1, 21):
        harness.arrive(number, time_remaining=60 * SECOND)
    harness.advance_time(900 * MS)
    replicas = {number: harness.requests[number].attempts[0].replica for number in range(1, 21)}
    for number in sorted(replicas, key=lambda number: replicas[number] in set(late_replicas)):
        elapsed = 900 * MS if replicas[number] in set(late_replicas) else 10 * MS
        harness.step(FirstToken(number, 0, replicas[number], elapsed))
        harness.requests[number].is_streaming = True
    return harness


def test_gateway_limit_applies_when_most_first_tokens_are_late() -> None:
    """With many gateways, each has too few requests to reach the limits of single replicas.

    An overload of the whole fleet lasted until gateways had limits of their own.
    """
    harness = overloaded_gateway(late_replicas=range(1, 21))
    sent = [len(harness.sent_to(harness.arrive(number))) for number in range(101, 121)]
    limit = math.ceil(harness.balancer.limits.gateway.limit)
    assert limit < 20 and sent == [1] * limit + [0] * (20 - limit), (
        "at most that many requests wait for a first token"
    )


def test_streaming_answers_do_not_count_against_the_gateway_limit() -> None:
    """Answers take seconds to stream.

    A lowered limit that counted them kept requests queued long after the overload.
    """
    harness = overloaded_gateway(late_replicas=range(1, 21))
    assert sum(request.is_streaming for request in harness.requests.values()) == 20
    for number in range(101, 131):  # First tokens are timely again, but no answer ends.
        harness.arrive(number, time_remaining=60 * SECOND)
        harness.advance_time(50 * MS)
        for request, attempt in harness.attempts_in_progress():
            if not harness.requests[request].is_streaming:
                harness.first_token(request, attempt)
    assert [number for number, request in harness.requests.items() if len(request.attempts) != 1] == []


def test_one_slow_replica_does_not_lower_the_gateway_limit() -> None:
    harness = overloaded_gateway(late_replicas=(3,))
    assert harness.sent_to(harness.arrive(101))


def test_one_overloaded_replica_does_not_lower_the_gateway_limit() -> None:
    """Quick rejections outnumber other results.

    When they counted as late results, they limited the requests to all replicas.
    """
    harness = BalancerHarness(settings(max_attempts=6), replicas=(1, 2, 3))
    for number in range(1, 31):
        harness.arrive(number)
        if harness.requests[number].attempts[-1].replica == 1:
            harness.end_attempt(number, Outcome.OVERLOADED)
        harness.advance_time(MS)
    assert harness.balancer.limits.gateway.limit == math.inf


def test_uncached_prompt_counts_as_late_after_twice_the_latency() -> None:
    """Otherwise, long prompts look like an overload and lower the limits of an idle fleet."""
    limits = []
    for cached_tokens in (0.0, 1000.0):
        harness = BalancerHarness(replicas=(1,))
        if cached_tokens:
            harness.balancer.replicas[1].cached[5] = cached_tokens
        harness.arrive(1, session=5)
        harness.advance_time(300 * MS)
        harness.first_token(1)
        limits.append(harness.balancer.replicas[1].concurrency.limit)
    assert limits == [math.inf, 1.0]
