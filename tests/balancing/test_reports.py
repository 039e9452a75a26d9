"""What load reports and slow refusals say of a replica, on the module alone."""

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


def reported(busy: float) -> World:
    """One replica with three requests in flight, which has just reported the share of slots taken."""
    world = World(settings(utilization_field=0), replicas=(1,))
    for number in range(1, 6):
        world.arrive(number)
        world.first_token(number)
    world.end(1, Outcome.OK, report=(busy,))
    world.end(2, Outcome.OK, report=(busy,))  # the first may speak of a time with fewer in flight
    return world


def late(world: World, number: int, after: int) -> float:
    world.arrive(number, prompt_tokens=0.0)
    world.pass_time(after)
    world.first_token(number)
    return world.balancer.replicas[1].concurrency.limit


def test_a_late_first_token_cuts_no_limit_while_a_report_says_there_is_room() -> None:
    """Workers that read prompts nobody kept were held to one request with most of their slots free."""
    assert late(reported(0.2), 9, 450 * MS) == math.inf
    assert late(reported(0.9), 9, 450 * MS) < 4
    assert late(reported(0.2), 9, 700 * MS) < 4, "so late that it is a jam, whatever was reported"
    world = reported(0.2)
    world.pass_time(REPORT_LIFETIME)
    assert late(world, 9, 450 * MS) < 4, "the report is old"


def test_a_report_lifts_a_limit_that_is_lower_than_the_room_it_speaks_of() -> None:
    """Limits of one stayed there: only in-time first tokens at the limit raised them, a little each."""
    world = reported(0.9)
    replica = world.balancer.replicas[1]
    assert late(world, 9, 700 * MS) < 4
    world.pass_time(REPORT_LIFETIME + MS)
    world.end(3, Outcome.OK, report=(0.1,))
    assert replica.concurrency.limit > 10


def test_a_class_that_a_replica_turns_away_slowly_is_kept_off_it_and_others_are_not() -> None:
    """A worker took 0.9 s to turn away each request of one class, and got the next one all the same."""
    kinds = (RequestClass(), RequestClass())
    world = World(settings(classes=kinds, max_attempts=9), replicas=(1, 2))
    asked = 0
    for number in range(1, 21):
        world.arrive(number, request_class=1, time_remaining=20 * SECOND)
        if world.calls[number].attempts[-1][0] == 1:
            asked += 1
            world.pass_time(900 * MS)
            world.end(number, Outcome.OVERLOADED)
        world.first_token(number)
        world.end(number, Outcome.OK)
        world.pass_time(300 * MS)
    assert asked <= 3
    replica = world.balancer.replicas[1]
    assert replica.backoff.until == 0 and replica.concurrency.limit == math.inf
    assert any(world.sent_to(world.arrive(number)) == [1] for number in range(100, 120))


def test_a_request_that_replicas_find_at_fault_fails_without_a_word_against_them() -> None:
    """Bad clients' requests went to three replicas each and opened breakers of healthy ones."""
    world = World(settings(max_attempts=3), replicas=(1, 2, 3))
    for number in range(1, 30):
        world.arrive(number)
        world.end(number, Outcome.INVALID_REQUEST)
        world.end(number, Outcome.INVALID_REQUEST)
        assert world.calls[number].final == "Fail" and len(world.calls[number].attempts) == 2
    assert all(replica.breaker.failures == 0 for replica in world.balancer.replicas.values())


def test_a_replica_that_finds_fault_with_what_another_serves_is_itself_at_fault() -> None:
    world = World(settings(max_attempts=3), replicas=(1, 2, 3))
    for number in range(1, 60):
        world.arrive(number)
        if world.calls[number].attempts[0][0] == 1:
            world.end(number, Outcome.INVALID_REQUEST)
        world.first_token(number)
        world.end(number, Outcome.OK)
    assert world.balancer.replicas[1].breaker.state is BreakerState.OPEN


def test_a_reset_on_a_kept_connection_says_less_than_one_on_a_new_one() -> None:
    """Workers that closed idle connections early had their breakers opened by two of them."""
    opened = []
    for reused in (True, False):
        world = World(settings(max_attempts=1), replicas=(1, 2, 3, 4))
        for number in range(1, 9):
            world.arrive(number)
            replica, sent = world.calls[number].attempts[0]
            world.calls[number].outcomes[0] = Outcome.RESET
            world.calls[number].final = "Fail"
            elapsed = world.now - sent
            world.step(
                AttemptEnded(number, 0, replica, Outcome.RESET, elapsed, True, connection_reused=reused)
            )
        breakers = [replica.breaker for replica in world.balancer.replicas.values()]
        opened.append(sum(breaker.state is BreakerState.OPEN for breaker in breakers))
    assert opened[0] < opened[1]


def test_a_replica_that_turns_away_at_once_is_full_for_all() -> None:
    world = World(settings(max_attempts=9), replicas=(1,))
    world.arrive(1)
    world.end(1, Outcome.OVERLOADED)
    replica = world.balancer.replicas[1]
    assert replica.backoff.until == world.now + OVERLOAD_BACKOFF and not replica.backoff.class_until


def test_homes_follow_the_list() -> None:
    world = World(replicas=range(1, 9))
    before = world.balancer.affinity.ranking(77)
    assert before == sorted(world.balancer.endpoints.ready, key=lambda replica: rendezvous_score(replica, 77))
    world.update_endpoint_list(
        EndpointListKind.DELTA, (EndpointListEntry(before[0].number, ReplicaState.DRAINING),)
    )
    assert world.balancer.affinity.ranking(77) == before[1:]


def kinds_of_machine(**changes: Any) -> World:
    """A gateway among many; replicas 1 to 20 are of one kind and listed as larger, the others of another."""
    world = World(settings(gateway_count=100, **changes), replicas=())
    large = tuple(EndpointListEntry(number, weight=6.0, machine_kind=1) for number in range(1, 21))
    small = tuple(EndpointListEntry(number, weight=4.0, machine_kind=2) for number in range(21, 41))
    world.update_endpoint_list(EndpointListKind.FULL, large + small)
    return world


def sent_to_the_large(world: World, numbers: range, busy: float, late: int = 0) -> float:
    """The share of requests sent to the kind listed as larger, whose answers come with that report."""
    sent = 0
    for number in numbers:
        world.arrive(number, time_remaining=60 * SECOND)
        large = world.calls[number].attempts[0][0] <= 20
        sent += large
        world.pass_time(late if large else 10 * MS)
        world.first_token(number)
        reported = () if late else (busy if large else 0.3,)
        world.end(number, Outcome.OK, report=reported)
        world.pass_time(SECOND)
    return sent / len(numbers)


def test_what_reports_say_of_a_kind_of_machine_goes_before_its_listed_size() -> None:
    """Machines listed by their cores had few slots: 22% of the first tokens came late beside idle ones."""
    assert sent_to_the_large(kinds_of_machine(utilization_field=0), range(1, 201), 0.3) > 0.5
    world = kinds_of_machine(utilization_field=0)
    sent_to_the_large(world, range(1, 31), 1.0)
    assert sent_to_the_large(world, range(31, 231), 1.0) < 0.25
    assert all(world.balancer.replicas[number].kind.capacity_factor >= 0.25 for number in range(1, 41))


def test_without_reports_late_first_tokens_tell_of_a_kind_of_machine() -> None:
    world = kinds_of_machine()
    sent_to_the_large(world, range(1, 31), 0.0, late=10 * MS)
    assert sent_to_the_large(world, range(31, 131), 0.0, late=10 * MS) > 0.5
    sent_to_the_large(world, range(131, 161), 0.0, late=500 * MS)
    assert sent_to_the_large(world, range(161, 261), 0.0, late=500 * MS) < 0.4


def test_a_replica_that_said_it_is_full_does_not_win_by_what_it_keeps_until_that_is_old() -> None:
    """Homes of beginnings were sent more while their first tokens took four seconds."""
    world = World(settings(gateway_count=100, utilization_field=0), replicas=range(1, 21))
    for number in range(101, 111):
        world.arrive(number)
        world.first_token(number)
        world.end(number, Outcome.OK, report=(0.2,))
    world.arrive(1, session=8, prompt_tokens=4000.0)
    keeper = world.calls[1].attempts[0][0]
    world.first_token(1)
    world.end(1, Outcome.OK, report=(1.0,))
    world.arrive(2, session=8, prompt_tokens=4200.0)
    assert world.calls[2].attempts[0][0] != keeper
    world.pass_time(60 * SECOND)
    world.balancer.replicas[world.calls[2].attempts[0][0]].cached.clear()
    world.arrive(3, session=8, prompt_tokens=4200.0)
    assert world.calls[3].attempts[0][0] == keeper


def test_kinds_that_left_the_list_are_forgotten() -> None:
    world = kinds_of_machine(utilization_field=0)
    world.update_endpoint_list(EndpointListKind.FULL, (EndpointListEntry(50, machine_kind=3),))
    assert list(world.balancer.endpoints.machine_kinds.by_number) == [3]
    world.update_endpoint_list(EndpointListKind.FULL, ())
    assert not world.balancer.endpoints.machine_kinds.by_number
