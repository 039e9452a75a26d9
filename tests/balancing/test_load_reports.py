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
from tests.balancing.helpers import MS, SECOND, World, settings


def world_with_report(utilization: float) -> World:
    """Return a world whose only replica has three requests in flight and has reported this utilization."""
    world = World(settings(utilization_field=0), replicas=(1,))
    for number in range(1, 6):
        world.arrive(number)
        world.first_token(number)
    world.end_attempt(1, Outcome.OK, load_report=(utilization,))
    # The first report may describe a time with fewer requests in flight, so it is followed by a second one.
    world.end_attempt(2, Outcome.OK, load_report=(utilization,))
    return world


def limit_after_first_token(world: World, number: int, after: int) -> float:
    world.arrive(number, prompt_tokens=0.0)
    world.advance_time(after)
    world.first_token(number)
    return world.balancer.replicas[1].concurrency.limit


def test_late_first_token_keeps_the_limit_while_a_report_shows_capacity() -> None:
    """Guards against limits of one request at replicas that are only reading uncached prompts.

    Most slots of such replicas were free.
    """
    assert limit_after_first_token(world_with_report(0.2), 9, 450 * MS) == math.inf
    assert limit_after_first_token(world_with_report(0.9), 9, 450 * MS) < 4
    assert limit_after_first_token(world_with_report(0.2), 9, 700 * MS) < 4, (
        "so late that the replica is overloaded, whatever it reported"
    )
    world = world_with_report(0.2)
    world.advance_time(REPORT_LIFETIME)
    assert limit_after_first_token(world, 9, 450 * MS) < 4, "the report has expired"


def test_report_raises_a_limit_below_the_reported_capacity() -> None:
    """Guards against limits that stay at one, because timely first tokens raise them too slowly."""
    world = world_with_report(0.9)
    replica = world.balancer.replicas[1]
    assert limit_after_first_token(world, 9, 700 * MS) < 4
    world.advance_time(REPORT_LIFETIME + MS)
    world.end_attempt(3, Outcome.OK, load_report=(0.1,))
    assert replica.concurrency.limit > 10


def test_slow_rejections_back_off_only_their_request_class() -> None:
    """A replica that took 0.9 s to reject each request of a class kept getting requests of that class."""
    classes = (RequestClass(), RequestClass())
    world = World(settings(classes=classes, max_attempts=9), replicas=(1, 2))
    sent_to_first = 0
    for number in range(1, 21):
        world.arrive(number, request_class=1, time_remaining=20 * SECOND)
        if world.requests[number].attempts[-1].replica == 1:
            sent_to_first += 1
            world.advance_time(900 * MS)
            world.end_attempt(number, Outcome.OVERLOADED)
        world.first_token(number)
        world.end_attempt(number, Outcome.OK)
        world.advance_time(300 * MS)
    assert sent_to_first <= 3
    replica = world.balancer.replicas[1]
    assert replica.backoff.until == 0 and replica.concurrency.limit == math.inf
    assert any(world.sent_to(world.arrive(number)) == [1] for number in range(100, 120))


def test_an_invalid_request_fails_without_counting_against_replicas() -> None:
    """Each invalid request was sent to three replicas, and opened the breakers of healthy ones."""
    world = World(settings(max_attempts=3), replicas=(1, 2, 3))
    for number in range(1, 30):
        world.arrive(number)
        world.end_attempt(number, Outcome.INVALID_REQUEST)
        world.end_attempt(number, Outcome.INVALID_REQUEST)
        assert world.requests[number].final_answer == "Fail" and len(world.requests[number].attempts) == 2
    assert all(replica.breaker.failures == 0 for replica in world.balancer.replicas.values())


def test_replica_that_rejects_valid_requests_opens_its_breaker() -> None:
    world = World(settings(max_attempts=3), replicas=(1, 2, 3))
    for number in range(1, 60):
        world.arrive(number)
        if world.requests[number].attempts[0].replica == 1:
            world.end_attempt(number, Outcome.INVALID_REQUEST)
        world.first_token(number)
        world.end_attempt(number, Outcome.OK)
    assert world.balancer.replicas[1].breaker.state is BreakerState.OPEN


def test_reset_of_a_reused_connection_counts_less_than_of_a_new_one() -> None:
    """Replicas may close idle connections early; two resets from this opened their breakers."""
    open_breakers = []
    for reused in (True, False):
        world = World(settings(max_attempts=1), replicas=(1, 2, 3, 4))
        for number in range(1, 9):
            world.arrive(number)
            replica, sent_at = world.requests[number].attempts[0]
            world.requests[number].outcomes[0] = Outcome.RESET
            world.requests[number].final_answer = "Fail"
            elapsed = world.now - sent_at
            world.step(
                AttemptEnded(number, 0, replica, Outcome.RESET, elapsed, True, connection_reused=reused)
            )
        breakers = [replica.breaker for replica in world.balancer.replicas.values()]
        open_breakers.append(sum(breaker.state is BreakerState.OPEN for breaker in breakers))
    assert open_breakers[0] < open_breakers[1]


def test_immediate_rejection_backs_off_all_classes() -> None:
    world = World(settings(max_attempts=9), replicas=(1,))
    world.arrive(1)
    world.end_attempt(1, Outcome.OVERLOADED)
    replica = world.balancer.replicas[1]
    assert replica.backoff.until == world.now + OVERLOAD_BACKOFF and not replica.backoff.class_until


def test_cache_rankings_follow_the_endpoint_list() -> None:
    world = World(replicas=range(1, 9))
    ranking = world.balancer.affinity.ranking(77)
    assert ranking == sorted(
        world.balancer.endpoints.ready, key=lambda replica: rendezvous_score(replica, 77)
    )
    world.update_endpoint_list(
        EndpointListKind.DELTA, (EndpointListEntry(ranking[0].number, ReplicaState.DRAINING),)
    )
    assert world.balancer.affinity.ranking(77) == ranking[1:]


def world_with_two_machine_kinds(**overrides: Any) -> World:
    """Return one gateway of 100, with 40 replicas: 1 to 20 are of one kind, and listed with more capacity."""
    world = World(settings(gateway_count=100, **overrides), replicas=())
    large = tuple(EndpointListEntry(number, weight=6.0, machine_kind=1) for number in range(1, 21))
    small = tuple(EndpointListEntry(number, weight=4.0, machine_kind=2) for number in range(21, 41))
    world.update_endpoint_list(EndpointListKind.FULL, large + small)
    return world


def share_sent_to_large(
    world: World, numbers: range, utilization: float, first_token_after: int = 0
) -> float:
    """Return the share of requests sent to the replicas listed as larger, which report this utilization."""
    sent = 0
    for number in numbers:
        world.arrive(number, time_remaining=60 * SECOND)
        is_large = world.requests[number].attempts[0].replica <= 20
        sent += is_large
        world.advance_time(first_token_after if is_large else 10 * MS)
        world.first_token(number)
        load_report = () if first_token_after else (utilization if is_large else 0.3,)
        world.end_attempt(number, Outcome.OK, load_report=load_report)
        world.advance_time(SECOND)
    return sent / len(numbers)


def test_reports_of_a_machine_kind_override_its_listed_capacity() -> None:
    """Machines may be listed by their cores although they have few slots.

    With such a list, 22% of first tokens were late while other machines were idle.
    """
    assert share_sent_to_large(world_with_two_machine_kinds(utilization_field=0), range(1, 201), 0.3) > 0.5
    world = world_with_two_machine_kinds(utilization_field=0)
    share_sent_to_large(world, range(1, 31), 1.0)
    assert share_sent_to_large(world, range(31, 231), 1.0) < 0.25
    assert all(world.balancer.replicas[number].kind.capacity_factor >= 0.25 for number in range(1, 41))


def test_without_reports_late_first_tokens_lower_a_kinds_capacity() -> None:
    world = world_with_two_machine_kinds()
    share_sent_to_large(world, range(1, 31), 0.0, first_token_after=10 * MS)
    assert share_sent_to_large(world, range(31, 131), 0.0, first_token_after=10 * MS) > 0.5
    share_sent_to_large(world, range(131, 161), 0.0, first_token_after=500 * MS)
    assert share_sent_to_large(world, range(161, 261), 0.0, first_token_after=500 * MS) < 0.4


def test_fully_utilized_cache_holder_is_avoided_until_its_report_is_old() -> None:
    """Guards against overloaded cache holders, which got more requests with first tokens after 4 s."""
    world = World(settings(gateway_count=100, utilization_field=0), replicas=range(1, 21))
    for number in range(101, 111):
        world.arrive(number)
        world.first_token(number)
        world.end_attempt(number, Outcome.OK, load_report=(0.2,))
    world.arrive(1, session=8, prompt_tokens=4000.0)
    cache_holder = world.requests[1].attempts[0].replica
    world.first_token(1)
    world.end_attempt(1, Outcome.OK, load_report=(1.0,))
    world.arrive(2, session=8, prompt_tokens=4200.0)
    assert world.requests[2].attempts[0].replica != cache_holder
    world.advance_time(60 * SECOND)
    world.balancer.replicas[world.requests[2].attempts[0].replica].cached.clear()
    world.arrive(3, session=8, prompt_tokens=4200.0)
    assert world.requests[3].attempts[0].replica == cache_holder


def test_machine_kinds_missing_from_the_list_are_removed() -> None:
    world = world_with_two_machine_kinds(utilization_field=0)
    world.update_endpoint_list(EndpointListKind.FULL, (EndpointListEntry(50, machine_kind=3),))
    assert list(world.balancer.endpoints.machine_kinds.by_number) == [3]
    world.update_endpoint_list(EndpointListKind.FULL, ())
    assert not world.balancer.endpoints.machine_kinds.by_number
