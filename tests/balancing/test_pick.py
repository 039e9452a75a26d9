"""The pick, the waiting line and the concurrency limits, on the module alone."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from typing import Any

import pytest

from lockspoke.balancing.actions import SendAttempt, WatchEndpointList
from lockspoke.balancing.breaker import BreakerState
from lockspoke.balancing.events import (
    EndpointListEntry,
    EndpointListKind,
    FirstToken,
    Outcome,
    RequestArrived,
)
from lockspoke.balancing.overload_backoff import OVERLOAD_BACKOFF
from lockspoke.balancing.settings import Tenant
from tests.balancing.helpers import MS, SECOND, Call, World, ready, settings

REQUEST_AND_ANSWER = 1_500 * MS  # the longest that a first request, which may not wait, can take
CONNECT_AND_ANSWER = 2_500 * MS  # the longest that a call may take whose answer has to be there in time


def test_work_follows_listed_size() -> None:
    world = World(replicas=())
    world.update_endpoint_list(EndpointListKind.FULL, ready(1, 2, weight=1.0) + ready(3, 4, weight=3.0))
    sent = Counter(replica for n in range(200) for replica in world.sent_to(world.arrive(n)))
    assert 2.2 < (sent[3] + sent[4]) / (sent[1] + sent[2]) < 3.8


def test_a_long_prompt_counts_for_more_than_a_short_one() -> None:
    world = World(replicas=(1, 2))
    long = world.sent_to(world.arrive(1, prompt_tokens=20_000.0))[0]
    sent = Counter(replica for n in range(2, 12) for replica in world.sent_to(world.arrive(n)))
    assert sent[long] == 0


def test_a_read_prompt_weighs_no_more_than_its_answer() -> None:
    world = World(replicas=(1, 2))
    long = world.sent_to(world.arrive(1, prompt_tokens=20_000.0))[0]
    world.first_token(1)
    sent = Counter(replica for n in range(2, 12) for replica in world.sent_to(world.arrive(n)))
    assert sent[long] >= 3


def test_a_session_goes_where_its_prompt_is_kept() -> None:
    world = World(replicas=range(1, 11))
    holders = {}
    for session in range(1, 21):
        holders[session] = world.sent_to(world.arrive(session, session=session, prompt_tokens=4000.0))[0]
        world.first_token(session)
        world.end(session, Outcome.OK)
    for session, home in holders.items():
        number = 100 + session
        assert world.sent_to(world.arrive(number, session=session, prompt_tokens=4300.0)) == [home]
        world.first_token(number)
        world.end(number, Outcome.OK)


def holders_of(prefix: int, seeds: range, among: Iterable[int]) -> Counter[int]:
    """Where gateways that have seen a common mix of prefixes each send one more request."""
    holders: Counter[int] = Counter()
    for seed in seeds:
        world = World(replicas=range(1, 11), seed=seed)
        for number, other in enumerate(among):
            world.arrive(number, prefix=other, prefix_tokens=3000.0, prompt_tokens=3500.0)
            world.first_token(number)
            world.end(number, Outcome.OK)
        holders.update(
            world.sent_to(world.arrive(999, prefix=prefix, prefix_tokens=3000.0, prompt_tokens=3500.0))
        )
    return holders


def test_gateways_find_the_same_home_for_a_prefix_without_talking() -> None:
    """Each knows only its own sends: the home must win at a gateway that never sent this prefix before."""
    for prefix in range(70, 80):
        assert len(holders_of(prefix, range(6), range(100, 130))) == 1


def test_a_prefix_that_many_ask_for_has_many_holders() -> None:
    """One home alone got it from every gateway: with a hundred of them it stood at seven times the mean."""
    holders = holders_of(70, range(40), [70, 71, 70, 72] * 8)
    assert len(holders) >= 6 and max(holders.values()) <= 16


def test_the_turns_of_a_session_find_one_replica_from_any_gateway() -> None:
    """Each turn came by another gateway and went to another of the prefix's holders: all was read anew."""
    replicas, together = range(1, 92), 0
    for session in range(1, 11):
        turns = Counter[int]()
        for gateway in range(12):
            world = World(settings(gateway_count=200, gateway_index=gateway), replicas=replicas, seed=gateway)
            for number in range(30):  # what each gateway has seen of the traffic is another thing
                world.arrive(number, prefix=100 + (gateway + number) % 25, prefix_tokens=3000.0)
                world.first_token(number)
                world.end(number, Outcome.OK)
            turn: dict[str, Any] = {"session": session, "prefix": 100, "prefix_tokens": 3000.0}
            turns.update(world.sent_to(world.arrive(999, prompt_tokens=9000.0 + 1000.0 * gateway, **turn)))
        together += turns.most_common(1)[0][1]
    assert together >= 0.7 * 10 * 12


def test_the_sessions_of_a_prefix_are_spread_over_its_holders() -> None:
    sent: Counter[int] = Counter()
    for session in range(1, 201):
        world = World(settings(gateway_count=200), replicas=range(1, 92), seed=session)
        turn: dict[str, Any] = {"session": session, "prefix": 100, "prefix_tokens": 3000.0}
        sent.update(world.sent_to(world.arrive(1, prompt_tokens=9000.0, **turn)))
    assert len(sent) >= 8 and max(sent.values()) <= 60


def test_a_session_whose_crossing_is_priced_stays_in_its_clients_zone() -> None:
    """Its first home elsewhere, each turn went there or to what was near by the load of the moment."""
    near = 0
    for session in range(1, 201):
        world = World(settings(gateway_count=200, cross_zone_cost=0.08, zone=0), replicas=(), seed=session)
        entries = tuple(EndpointListEntry(number, zone=number % 3) for number in range(1, 91))
        world.update_endpoint_list(EndpointListKind.FULL, entries)
        turn: dict[str, Any] = {"session": session, "prefix": 1000 + session, "prefix_tokens": 9000.0}
        near += world.sent_to(world.arrive(1, prompt_tokens=15_000.0, **turn))[0] % 3 == 0
    assert near >= 145


def test_one_request_of_few_is_no_sign_that_many_ask_for_a_beginning() -> None:
    """Of a young gateway's requests one is a great share: each prefix was read by the whole fleet."""
    holders = Counter[int]()
    for seed in range(200):
        world = World(settings(gateway_count=200), replicas=range(1, 92), seed=seed)
        holders.update(world.sent_to(world.arrive(1, prefix=100, prefix_tokens=3000.0, prompt_tokens=3500.0)))
    assert len(holders) <= 15


def test_idle_replicas_are_drawn_by_their_listed_size() -> None:
    """With many gateways own load is nought everywhere: only the list tells what the others have sent."""
    sent: Counter[int] = Counter()
    for seed in range(80):
        world = World(replicas=(), seed=seed)
        world.update_endpoint_list(
            EndpointListKind.FULL, ready(1, 2, 3, 4, weight=0.25) + ready(5, weight=3.0)
        )
        sent.update(world.sent_to(world.arrive(1)))
    assert sent[5] >= 45 and sent.total() - sent[5] >= 5


def test_own_load_counts_for_all_gateways() -> None:
    """Two own requests at one of many gateways stand for many: a crossing is cheaper than that queue."""
    crossed = Counter[int]()
    for gateways in (1, 16):
        for seed in range(20):
            given = settings(cross_zone_cost=0.08, zone=0, gateway_count=gateways)
            world = World(given, replicas=(), seed=seed)
            world.update_endpoint_list(
                EndpointListKind.FULL, ready(1, 2, 3, 4, zone=1) + ready(5, 6, 7, 8, zone=0)
            )
            sent = [replica for n in range(24) for replica in world.sent_to(world.arrive(n))]
            crossed[gateways] += sum(replica < 5 for replica in sent)
    assert 2 * crossed[1] < crossed[16]


def test_a_small_replica_is_not_left_idle_beside_a_loaded_large_one() -> None:
    """Reading and crossing divided by the size kept small replicas empty while large ones jammed."""
    world = World(settings(gateway_count=4), replicas=())
    world.update_endpoint_list(EndpointListKind.FULL, ready(1, weight=4.0) + ready(2, 3, 4))
    sent = Counter(replica for n in range(28) for replica in world.sent_to(world.arrive(n)))
    assert min(sent[2], sent[3], sent[4]) >= 2


def test_a_restart_forgets_what_was_kept() -> None:
    world = World(replicas=(1, 2))
    home = world.sent_to(world.arrive(1, session=5))[0]
    assert world.balancer.replicas[home].cached
    world.update_endpoint_list(EndpointListKind.DELTA, ready(home, started_at=world.now))
    assert not world.balancer.replicas[home].cached


def home_share(near: float) -> float:
    """The share of light traffic that stays in the own zone, whose replicas are listed with this weight."""
    stayed = 0
    for seed in range(100):
        world = World(settings(cross_zone_cost=0.08, zone=0), replicas=(), seed=seed)
        world.update_endpoint_list(
            EndpointListKind.FULL, ready(1, 2, zone=1) + ready(3, 4, zone=0, weight=near)
        )
        stayed += world.sent_to(world.arrive(1))[0] >= 3
    return stayed / 100


def test_a_priced_crossing_keeps_most_traffic_at_home_unless_the_home_is_crowded() -> None:
    """Two candidates of their own kept all of it in a zone that had lost a third of its replicas."""
    assert home_share(near=1.0) > 0.8
    assert 0.25 < home_share(near=0.15) < 0.75


def jammed(world: World) -> None:
    """Late first tokens on every replica, so that each has a concurrency limit."""
    for number in range(1, 41):
        world.arrive(number, time_remaining=60 * SECOND)
    world.pass_time(2 * SECOND)
    for number in range(1, 41):
        if world.calls[number].attempts:
            world.first_token(number)


def test_late_first_tokens_set_limits_and_the_rest_waits_newest_first() -> None:
    """A jam outlasts its cause when everything is sent on: held back, requests are served in time."""
    world = World(replicas=(1, 2))
    jammed(world)
    assert all(r.concurrency.in_flight >= r.concurrency.limit for r in world.balancer.replicas.values())
    for number in (101, 102, 103):
        assert not world.sent_to(world.arrive(number))
        world.pass_time(10 * MS)
    for number in range(1, 41):
        for action in world.end(number, Outcome.OK):
            if isinstance(action, SendAttempt):
                assert action.request == 103
                return
    raise AssertionError("nothing left the line")


def test_what_waits_is_answered_by_its_deadline() -> None:
    world = World(replicas=(1, 2))
    jammed(world)
    world.arrive(101, time_remaining=SECOND)
    world.pass_time(SECOND + 10 * MS)
    assert world.calls[101].final == "Reject"


def test_the_tenant_least_served_against_its_share_goes_first() -> None:
    tenants = (Tenant(0.5), Tenant(0.5))
    world = World(settings(tenants=tenants), replicas=(1, 2))
    jammed(world)  # all of it for tenant 0
    world.arrive(101, tenant=1)
    world.pass_time(10 * MS)
    world.arrive(102, tenant=0)
    for number in range(1, 41):
        for action in world.end(number, Outcome.OK):
            if isinstance(action, SendAttempt):
                assert action.request == 101
                return
    raise AssertionError("nothing left the line")


def test_fewer_tenants_after_a_reload_leave_no_held_call_without_an_answer() -> None:
    world = World(settings(tenants=(Tenant(0.5), Tenant(0.5))), replicas=(1, 2))
    jammed(world)
    world.arrive(101, tenant=1)
    world.arrive(102, tenant=1)
    world.balancer.reconfigure(settings(tenants=(Tenant(1.0),)))
    for number in range(1, 41):
        world.end(number, Outcome.OK)
    assert world.calls[101].attempts and world.calls[102].attempts


def test_a_clients_later_try_waits_behind_first_tries() -> None:
    """Newest first would favour retries, whose first try has lost the aim already."""
    world = World(replicas=(1, 2))
    jammed(world)
    world.arrive(101)
    world.pass_time(10 * MS)
    world.arrive(102, client_retry=True)
    world.arrive(103, time_remaining=SECOND // 2)
    for number in range(1, 41):
        for action in world.end(number, Outcome.OK):
            if isinstance(action, SendAttempt):
                assert action.request == 101
                return
    raise AssertionError("nothing left the line")


def test_quick_first_tokens_raise_a_limit_again() -> None:
    """After a burst replicas stayed half idle: a concurrency limit rose by one each answer's length."""
    world = World(replicas=(1,))
    jammed(world)
    replica = world.balancer.replicas[1]
    for number in range(1, 41):
        world.end(number, Outcome.OK)
    before, fed = replica.concurrency.limit, 0
    for number in range(200, 300):
        world.arrive(number)
        world.pass_time(MS)
        fresh = [(r, n) for r, n in world.out() if not world.calls[r].streaming]
        for request, attempt in fresh:
            world.first_token(request, attempt)
            fed += 1
        if len(world.out()) >= int(replica.concurrency.limit):
            world.end(world.out()[0][0], Outcome.OK)
    assert fed > 40
    assert replica.concurrency.limit >= before + 5


def test_a_full_replica_rests_and_what_waits_is_taken_up_by_time_alone() -> None:
    """'Full' was answered by the next attempt at once; and with nothing in flight no event would come."""
    world = World(replicas=(1,))
    world.arrive(1)
    assert not world.sent_to(world.end(1, Outcome.OVERLOADED))
    world.pass_time(OVERLOAD_BACKOFF + MS)
    assert len(world.calls[1].attempts) == 2


def test_a_request_never_goes_again_where_it_was_not_reached() -> None:
    world = World(settings(max_attempts=6), replicas=(1, 2, 3))
    world.arrive(1)
    while not world.calls[1].final:
        world.end(1, Outcome.CONNECT_FAILED)
    assert len({replica for replica, _ in world.calls[1].attempts}) == len(world.calls[1].attempts) == 3


def test_all_down_and_back_recovers_within_the_longest_recovery() -> None:
    world = World(replicas=(1, 2, 3))
    number = 0
    for _ in range(600):  # a minute of nothing but failed connections
        number += 1
        world.arrive(number)
        while not world.calls[number].final:
            world.end(number, Outcome.CONNECT_FAILED)
        world.pass_time(100 * MS)
    for _ in range(180):  # all is well again
        number += 1
        world.arrive(number)
        if not world.calls[number].final:
            world.first_token(number)
            world.end(number, Outcome.OK)
        world.pass_time(100 * MS)
    assert {replica.breaker.state for replica in world.balancer.replicas.values()} == {BreakerState.CLOSED}


def until_it_asks(world: World, step: int = 20 * MS) -> int:
    """How long it takes from now until the gateway calls for the list."""
    start = world.now
    while WatchEndpointList(True) not in world.log:
        world.pass_time(step)
    return world.now - start


def test_the_list_is_asked_for_at_the_start_and_not_again_once_it_has_come() -> None:
    world = World(settings(polls_endpoint_list=True))
    assert WatchEndpointList(True) in world.log
    world.update_endpoint_list(EndpointListKind.FULL, ready(1, 2))
    world.log.clear()
    world.pass_time(60 * SECOND)
    assert WatchEndpointList(True) not in world.log


@pytest.mark.parametrize("gateways", [1, 2, 6])
def test_a_handful_of_gateways_ask_again_within_a_second_however_often_requests_have_failed(
    gateways: int,
) -> None:
    """Pauses grew to 3.5 s: one failed request after discovery was back, and its changes came after 6 s."""
    world = World(settings(polls_endpoint_list=True, gateway_count=gateways))
    for _ in range(8):
        world.log.clear()
        world.update_endpoint_list(EndpointListKind.FAILED, ())
        assert 500 * MS <= until_it_asks(world) <= SECOND


def test_two_hundred_gateways_that_start_at_once_have_all_asked_before_changes_count_as_told() -> None:
    """The last one's turn came after 5 s, and with it the answer after 6 s."""
    for index in range(0, 200, 9):
        world = World(settings(polls_endpoint_list=True, gateway_count=200, gateway_index=index), seed=index)
        assert until_it_asks(world) <= 6 * SECOND - REQUEST_AND_ANSWER


def test_forty_gateways_that_start_at_once_ask_for_the_list_in_turn() -> None:
    """Discovery works through calls in turn: of 28 at once it failed 19, which stayed blind for 15 s."""
    asked = []
    for index in range(40):
        world = World(settings(polls_endpoint_list=True, gateway_count=40, gateway_index=index), seed=index)
        asked.append(until_it_asks(world))
    asked.sort()
    assert asked[0] == 0 and asked[-1] <= 5 * SECOND, "none may count as not asking"
    crowd = max(sum(when <= other < when + SECOND for other in asked) for when in asked)
    assert crowd <= 13, "a dozen a second, not forty at once"


def test_gateways_whose_calls_failed_together_do_not_call_again_together() -> None:
    again = []
    for index in range(40):
        world = World(settings(polls_endpoint_list=True, gateway_count=40, gateway_index=index), seed=index)
        world.pass_time(5 * SECOND)
        world.log.clear()
        world.update_endpoint_list(EndpointListKind.FAILED, ())
        again.append(until_it_asks(world))
    assert max(sum(when <= other < when + SECOND for other in again) for when in again) <= 24
    assert max(again) <= 5 * SECOND


@pytest.mark.parametrize("gateways", [1, 5, 25, 200, 1024])
@pytest.mark.parametrize("poll_interval", [2 * SECOND, 10 * SECOND, 60 * SECOND])
def test_however_often_calls_have_failed_the_next_is_read_before_changes_count_as_told(
    gateways: int, poll_interval: int
) -> None:
    """Pauses grew to 7.5 s with many gateways, and 6 s after discovery is back all it has counts as told."""
    for index in range(0, gateways, max(1, gateways // 12)):
        given = settings(
            polls_endpoint_list=True, gateway_count=gateways, gateway_index=index, poll_interval=poll_interval
        )
        world = World(given, seed=index)
        world.pass_time(5 * SECOND)
        for _ in range(8):
            world.log.clear()
            world.update_endpoint_list(EndpointListKind.FAILED, ())
            assert until_it_asks(world) <= 6 * SECOND - CONNECT_AND_ANSWER


def test_an_unanswered_call_for_the_list_is_repeated() -> None:
    world = World(settings(polls_endpoint_list=True))
    world.log.clear()
    world.pass_time(6 * SECOND)
    assert WatchEndpointList(True) in world.log


def test_a_clock_that_jumps_far_ahead_answers_everything() -> None:
    world = World()
    world.arrive(1, time_remaining=10**13)
    world.pass_time(2 * 10**13)
    assert world.calls[1].final


def test_no_state_grows_over_long_running() -> None:
    """Weeks of new sessions, replicas that come and go, and refusals leave nothing behind."""
    world = World(replicas=(1, 2, 3))
    for number in range(1, 6001):
        if number % 20 == 0:
            world.update_endpoint_list(
                EndpointListKind.FULL,
                ready(1, 2, 3, 1000 + number, started_at=world.now if number % 40 else 0),
            )
        world.arrive(number, session=number, prefix=number % 500, prefix_tokens=100.0)
        if world.calls[number].attempts:
            world.first_token(number)
            world.end(number, Outcome.OK)
        world.pass_time(50 * MS)
        del world.calls[number]
    balancer = world.balancer
    assert len(balancer.replicas) <= 20 and not balancer.requests and not balancer.queue.waiting
    assert len(balancer.deadlines) <= 200
    assert all(len(r.cached) <= 2048 and len(r.slow_start.sends) <= 100 for r in balancer.replicas.values())


def test_a_freed_place_goes_to_a_waiting_request_whose_prompt_is_kept_there() -> None:
    """Guards a jam against itself: taken by whoever is next, every prompt is read anew somewhere else."""
    for mine, other in ((1, 2), (2, 1)):
        world = World(replicas=(1, 2))
        jammed(world)
        for replica, session in ((mine, 8), (other, 9)):
            world.balancer.replicas[replica].cached[session] = 4000.0
        world.arrive(101, session=8, prompt_tokens=4200.0)
        world.pass_time(10 * MS)
        world.arrive(102, session=9, prompt_tokens=4200.0)
        sent: list[tuple[int, int]] = []
        for number in range(1, 41):
            if world.calls[number].attempts and world.calls[number].attempts[-1][0] == mine:
                actions = world.end(number, Outcome.OK)
                sent += [(a.request, a.replica) for a in actions if isinstance(a, SendAttempt)]
        assert sent[0] == (101, mine)


def test_limits_rise_less_with_more_gateways() -> None:
    """A cut takes a part of each gateway's limit; a fixed rise would outrun running answers with many."""
    risen = {}
    for gateways in (1, 4):
        world = World(settings(gateway_count=gateways), replicas=(1,))
        replica = world.balancer.replicas[1]
        replica.concurrency.limit = 1.0
        world.arrive(1)
        world.first_token(1)
        risen[gateways] = replica.concurrency.limit - 1.0
    assert risen[1] > 3 * risen[4] > 0


def shared_jam(late: Iterable[int]) -> World:
    """A gateway among a hundred, twenty requests on as many replicas; on some the first token is late."""
    world = World(settings(gateway_count=100), replicas=range(1, 21))
    for number in range(1, 21):
        world.arrive(number, time_remaining=60 * SECOND)
    world.pass_time(900 * MS)
    replicas = {number: world.calls[number].attempts[0][0] for number in range(1, 21)}
    for number in sorted(replicas, key=lambda number: replicas[number] in set(late)):
        elapsed = 900 * MS if replicas[number] in set(late) else 10 * MS
        world.step(FirstToken(number, 0, replicas[number], elapsed))
        world.calls[number].streaming = True
    return world


def test_a_gateway_among_many_holds_back_when_most_first_tokens_are_late() -> None:
    """A limit of one a replica never binds there, and a shared jam went on until the record's end."""
    world = shared_jam(late=range(1, 21))
    sent = [len(world.sent_to(world.arrive(number))) for number in range(101, 121)]
    most = math.ceil(world.balancer.limits.gateway.limit)
    assert most < 20 and sent == [1] * most + [0] * (20 - most), "so many may wait for a first token"


def test_after_a_jam_streams_that_run_on_hold_no_call_back() -> None:
    """Streams last for seconds: a concurrency limit cut to a few of them held calls long after a jam."""
    world = shared_jam(late=range(1, 21))
    assert sum(call.streaming for call in world.calls.values()) == 20
    for number in range(101, 131):  # answers begin at once again, none ends
        world.arrive(number, time_remaining=60 * SECOND)
        world.pass_time(50 * MS)
        for request, attempt in world.out():
            if not world.calls[request].streaming:
                world.first_token(request, attempt)
    assert [number for number, call in world.calls.items() if len(call.attempts) != 1] == []


def test_one_slow_replica_among_many_does_not_hold_the_gateway_back() -> None:
    world = shared_jam(late=(3,))
    assert world.sent_to(world.arrive(101))


def test_with_no_breaker_closed_all_that_came_together_is_refused_at_once() -> None:
    world = World(replicas=(1,))
    for number in range(1, 7):
        world.arrive(number)
        if world.calls[number].attempts:
            world.end(number, Outcome.CONNECT_FAILED)
    assert world.balancer.replicas[1].breaker.state is BreakerState.OPEN
    for number in (11, 12, 13):
        world.calls[number] = Call(RequestArrived(number, 5 * SECOND), world.settings.classes[0], world.now)
    world.step(*(RequestArrived(number, 5 * SECOND) for number in (11, 12, 13)))
    assert [world.calls[number].final for number in (11, 12, 13)] == ["Reject"] * 3


def test_a_full_half_open_replica_does_not_take_every_request() -> None:
    """A trial answered 'full' frees its slot at once: 99% of all attempts went to that one replica."""
    world = World(replicas=(1, 2))
    for number in range(1, 9):
        world.arrive(number, time_remaining=60 * SECOND)
        if world.calls[number].attempts[-1][0] == 1:
            world.end(number, Outcome.CONNECT_FAILED)
    assert world.balancer.replicas[1].breaker.state is BreakerState.OPEN
    world.pass_time(3 * SECOND)
    trials = 0
    for number in range(101, 121):
        if world.sent_to(world.arrive(number)) == [1]:
            trials += 1
            world.end(number, Outcome.OVERLOADED)
    assert trials == 1


def test_one_full_replica_does_not_hold_the_gateway_back() -> None:
    """Its quick refusals outnumber all other signs: counted as late ones they held everything back."""
    world = World(settings(max_attempts=6), replicas=(1, 2, 3))
    for number in range(1, 31):
        world.arrive(number)
        if world.calls[number].attempts[-1][0] == 1:
            world.end(number, Outcome.OVERLOADED)
        world.pass_time(MS)
    assert world.balancer.limits.gateway.limit == math.inf


def test_a_prompt_that_must_be_read_may_take_twice_as_long_before_it_counts_as_late() -> None:
    """Long prompts took the time that a jam takes, and concurrency limits were cut on an idle fleet."""
    limits = []
    for kept in (0.0, 1000.0):
        world = World(replicas=(1,))
        if kept:
            world.balancer.replicas[1].cached[5] = kept
        world.arrive(1, session=5)
        world.pass_time(300 * MS)
        world.first_token(1)
        limits.append(world.balancer.replicas[1].concurrency.limit)
    assert limits == [math.inf, 1.0]
