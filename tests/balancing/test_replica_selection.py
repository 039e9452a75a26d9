"""The selection of replicas: capacity, cached prompts, zones and earlier attempts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from lockspoke.balancing.events import (
    EndpointListEntry,
    EndpointListKind,
    Outcome,
)
from tests.balancing.helpers import BalancerHarness, ready_entries, settings


def test_work_is_distributed_by_declared_capacity() -> None:
    harness = BalancerHarness(replicas=())
    harness.update_endpoint_list(
        EndpointListKind.FULL, ready_entries(1, 2, weight=1.0) + ready_entries(3, 4, weight=3.0)
    )
    sent = Counter(replica for n in range(200) for replica in harness.sent_to(harness.arrive(n)))
    assert 2.2 < (sent[3] + sent[4]) / (sent[1] + sent[2]) < 3.8


def test_a_long_prompt_counts_for_more_than_a_short_one() -> None:
    harness = BalancerHarness(replicas=(1, 2))
    long = harness.sent_to(harness.arrive(1, prompt_tokens=20_000.0))[0]
    sent = Counter(replica for n in range(2, 12) for replica in harness.sent_to(harness.arrive(n)))
    assert sent[long] == 0


def test_after_the_first_token_only_the_answer_counts_as_work() -> None:
    harness = BalancerHarness(replicas=(1, 2))
    long = harness.sent_to(harness.arrive(1, prompt_tokens=20_000.0))[0]
    harness.first_token(1)
    sent = Counter(replica for n in range(2, 12) for replica in harness.sent_to(harness.arrive(n)))
    assert sent[long] >= 3


def test_session_goes_to_the_replica_with_its_prompt_cached() -> None:
    harness = BalancerHarness(replicas=range(1, 11))
    replica_of_session = {}
    for session in range(1, 21):
        replica_of_session[session] = harness.sent_to(
            harness.arrive(session, session=session, prompt_tokens=4000.0)
        )[0]
        harness.first_token(session)
        harness.end_attempt(session, Outcome.OK)
    for session, chosen in replica_of_session.items():
        number = 100 + session
        assert harness.sent_to(harness.arrive(number, session=session, prompt_tokens=4300.0)) == [chosen]
        harness.first_token(number)
        harness.end_attempt(number, Outcome.OK)


def replicas_chosen_for(prefix: int, seeds: range, earlier_prefixes: Iterable[int]) -> Counter[int]:
    """Return the replicas to which gateways with the same earlier requests send one more request."""
    replicas_sent_to: Counter[int] = Counter()
    for seed in seeds:
        harness = BalancerHarness(replicas=range(1, 11), seed=seed)
        for number, other in enumerate(earlier_prefixes):
            harness.arrive(number, prefix=other, prefix_tokens=3000.0, prompt_tokens=3500.0)
            harness.first_token(number)
            harness.end_attempt(number, Outcome.OK)
        replicas_sent_to.update(
            harness.sent_to(harness.arrive(999, prefix=prefix, prefix_tokens=3000.0, prompt_tokens=3500.0))
        )
    return replicas_sent_to


def test_gateways_choose_the_same_replica_for_a_prefix() -> None:
    """A gateway must prefer the replica even if it has never sent this prefix before."""
    for prefix in range(70, 80):
        assert len(replicas_chosen_for(prefix, range(6), range(100, 130))) == 1


def test_frequent_prefix_is_distributed_over_several_replicas() -> None:
    """When all gateways preferred a single replica, it got seven times the mean load of the fleet."""
    replicas_sent_to = replicas_chosen_for(70, range(40), [70, 71, 70, 72] * 8)
    assert len(replicas_sent_to) >= 6 and max(replicas_sent_to.values()) <= 16


def test_all_gateways_choose_the_same_replica_for_a_session() -> None:
    """The requests of a session arrive at different gateways.

    If each gateway chose another of the prefix's preferred replicas, the conversation would be read again
    every time.
    """
    replicas, same_replica = range(1, 92), 0
    for session in range(1, 11):
        replicas_chosen = Counter[int]()
        for gateway in range(12):
            harness = BalancerHarness(
                settings(gateway_count=200, gateway_index=gateway), replicas=replicas, seed=gateway
            )
            for number in range(30):  # Each gateway has seen different traffic.
                harness.arrive(number, prefix=100 + (gateway + number) % 25, prefix_tokens=3000.0)
                harness.first_token(number)
                harness.end_attempt(number, Outcome.OK)
            session_request: dict[str, Any] = {"session": session, "prefix": 100, "prefix_tokens": 3000.0}
            replicas_chosen.update(
                harness.sent_to(
                    harness.arrive(999, prompt_tokens=9000.0 + 1000.0 * gateway, **session_request)
                )
            )
        same_replica += replicas_chosen.most_common(1)[0][1]
    assert same_replica >= 0.7 * 10 * 12


def test_sessions_of_a_prefix_are_distributed_over_its_preferred_replicas() -> None:
    sent: Counter[int] = Counter()
    for session in range(1, 201):
        harness = BalancerHarness(settings(gateway_count=200), replicas=range(1, 92), seed=session)
        session_request: dict[str, Any] = {"session": session, "prefix": 100, "prefix_tokens": 3000.0}
        sent.update(harness.sent_to(harness.arrive(1, prompt_tokens=9000.0, **session_request)))
    assert len(sent) >= 8 and max(sent.values()) <= 60


def test_session_stays_in_the_local_zone_if_crossing_has_a_cost() -> None:
    """If a session's preferred replica was in another zone, its requests alternated between zones."""
    stayed_local = 0
    for session in range(1, 201):
        harness = BalancerHarness(
            settings(gateway_count=200, cross_zone_cost=0.08, zone=0), replicas=(), seed=session
        )
        entries = tuple(EndpointListEntry(number, zone=number % 3) for number in range(1, 91))
        harness.update_endpoint_list(EndpointListKind.FULL, entries)
        session_request: dict[str, Any] = {
            "session": session,
            "prefix": 1000 + session,
            "prefix_tokens": 9000.0,
        }
        stayed_local += (
            harness.sent_to(harness.arrive(1, prompt_tokens=15_000.0, **session_request))[0] % 3 == 0
        )
    assert stayed_local >= 145


def test_prefix_of_a_gateways_first_request_is_not_distributed() -> None:
    """One request is a large share of the few that a new gateway has seen.

    When it counted as a frequent prefix, the whole fleet read each prefix.
    """
    replicas_sent_to = Counter[int]()
    for seed in range(200):
        harness = BalancerHarness(settings(gateway_count=200), replicas=range(1, 92), seed=seed)
        replicas_sent_to.update(
            harness.sent_to(harness.arrive(1, prefix=100, prefix_tokens=3000.0, prompt_tokens=3500.0))
        )
    assert len(replicas_sent_to) <= 15


def test_idle_replicas_are_sampled_by_declared_capacity() -> None:
    """With many gateways a replica's own load is mostly zero, and only listed weights reflect other load."""
    sent: Counter[int] = Counter()
    for seed in range(80):
        harness = BalancerHarness(replicas=(), seed=seed)
        harness.update_endpoint_list(
            EndpointListKind.FULL, ready_entries(1, 2, 3, 4, weight=0.25) + ready_entries(5, weight=3.0)
        )
        sent.update(harness.sent_to(harness.arrive(1)))
    assert sent[5] >= 45 and sent.total() - sent[5] >= 5


def test_load_of_all_gateways_is_extrapolated_from_own_load() -> None:
    """With many gateways, two own requests at a replica imply a load that makes crossing zones worthwhile."""
    crossed = Counter[int]()
    for gateways in (1, 16):
        for seed in range(20):
            gateway_settings = settings(cross_zone_cost=0.08, zone=0, gateway_count=gateways)
            harness = BalancerHarness(gateway_settings, replicas=(), seed=seed)
            harness.update_endpoint_list(
                EndpointListKind.FULL, ready_entries(1, 2, 3, 4, zone=1) + ready_entries(5, 6, 7, 8, zone=0)
            )
            sent = [replica for n in range(24) for replica in harness.sent_to(harness.arrive(n))]
            crossed[gateways] += sum(replica < 5 for replica in sent)
    assert 2 * crossed[1] < crossed[16]


def test_small_replicas_get_requests_beside_a_large_one() -> None:
    """When the whole cost was divided by capacity, small replicas stayed idle beside overloaded ones."""
    harness = BalancerHarness(settings(gateway_count=4), replicas=())
    harness.update_endpoint_list(EndpointListKind.FULL, ready_entries(1, weight=4.0) + ready_entries(2, 3, 4))
    sent = Counter(replica for n in range(28) for replica in harness.sent_to(harness.arrive(n)))
    assert min(sent[2], sent[3], sent[4]) >= 2


def test_a_restart_of_a_replica_clears_its_cache_records() -> None:
    harness = BalancerHarness(replicas=(1, 2))
    chosen = harness.sent_to(harness.arrive(1, session=5))[0]
    assert harness.balancer.replicas[chosen].cached
    harness.update_endpoint_list(EndpointListKind.DELTA, ready_entries(chosen, started_at=harness.now))
    assert not harness.balancer.replicas[chosen].cached


def local_share(local_weight: float) -> float:
    """Return the share of light traffic that stays in the local zone, given the weight of its replicas."""
    stayed_local = 0
    for seed in range(100):
        harness = BalancerHarness(settings(cross_zone_cost=0.08, zone=0), replicas=(), seed=seed)
        harness.update_endpoint_list(
            EndpointListKind.FULL,
            ready_entries(1, 2, zone=1) + ready_entries(3, 4, zone=0, weight=local_weight),
        )
        stayed_local += harness.sent_to(harness.arrive(1))[0] >= 3
    return stayed_local / 100


def test_most_traffic_stays_local_unless_local_capacity_is_low() -> None:
    """Guards against samples of local replicas only.

    They kept all traffic in a zone that had lost a third of its replicas.
    """
    assert local_share(local_weight=1.0) > 0.8
    assert 0.25 < local_share(local_weight=0.15) < 0.75


def test_unreachable_replica_is_not_tried_twice_for_a_request() -> None:
    harness = BalancerHarness(settings(max_attempts=6), replicas=(1, 2, 3))
    harness.arrive(1)
    while not harness.requests[1].final_answer:
        harness.end_attempt(1, Outcome.CONNECT_FAILED)
    replicas = [attempt.replica for attempt in harness.requests[1].attempts]
    assert len(set(replicas)) == len(replicas) == 3
