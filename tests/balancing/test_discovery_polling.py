"""The times at which gateways poll discovery for the endpoint list.

A gateway has to know of a change within 6 s of its publication; the tests call this the propagation limit.
"""

from __future__ import annotations

import pytest

from lockspoke.balancing.actions import WatchEndpointList
from lockspoke.balancing.events import (
    EndpointListKind,
)
from tests.balancing.helpers import MS, SECOND, BalancerHarness, ready_entries, settings

MAX_REQUEST_TIME = 1_500 * MS  # The longest time that a poll takes on an open connection.
MAX_CONNECT_AND_REQUEST_TIME = 2_500 * MS  # The longest time that a poll takes on a new connection.


def time_until_poll(harness: BalancerHarness, step: int = 20 * MS) -> int:
    """Return the time from now until the gateway polls the endpoint list."""
    start = harness.now
    while WatchEndpointList(True) not in harness.all_actions:
        harness.advance_time(step)
    return harness.now - start


def test_endpoint_list_is_polled_until_it_arrives() -> None:
    harness = BalancerHarness(settings(polls_endpoint_list=True))
    assert WatchEndpointList(True) in harness.all_actions
    harness.update_endpoint_list(EndpointListKind.FULL, ready_entries(1, 2))
    harness.all_actions.clear()
    harness.advance_time(60 * SECOND)
    assert WatchEndpointList(True) not in harness.all_actions


@pytest.mark.parametrize("gateways", [1, 2, 6])
def test_few_gateways_retry_failed_polls_within_a_second(
    gateways: int,
) -> None:
    """Guards against a backoff that grows to 3.5 s.

    With that, one more failure after discovery had recovered delayed changes by more than 6 s.
    """
    harness = BalancerHarness(settings(polls_endpoint_list=True, gateway_count=gateways))
    for _ in range(8):
        harness.all_actions.clear()
        harness.update_endpoint_list(EndpointListKind.FAILED, ())
        assert 500 * MS <= time_until_poll(harness) <= SECOND


def test_simultaneous_start_of_200_gateways_meets_the_propagation_limit() -> None:
    """Guards against too large a spacing: the last gateway polled after 5 s and had its answer after 6 s."""
    for index in range(0, 200, 9):
        harness = BalancerHarness(
            settings(polls_endpoint_list=True, gateway_count=200, gateway_index=index), seed=index
        )
        assert time_until_poll(harness) <= 6 * SECOND - MAX_REQUEST_TIME


def test_simultaneous_start_of_40_gateways_staggers_polls() -> None:
    """Discovery serves polls one at a time.

    Of 28 simultaneous polls 19 failed, and their gateways had no list for 15 s.
    """
    poll_delays = []
    for index in range(40):
        harness = BalancerHarness(
            settings(polls_endpoint_list=True, gateway_count=40, gateway_index=index), seed=index
        )
        poll_delays.append(time_until_poll(harness))
    poll_delays.sort()
    assert poll_delays[0] == 0 and poll_delays[-1] <= 5 * SECOND, "every gateway has polled within 5 s"
    most_in_a_second = max(
        sum(when <= other < when + SECOND for other in poll_delays) for when in poll_delays
    )
    assert most_in_a_second <= 13, "a dozen per second, not forty at once"


def test_gateways_whose_polls_failed_together_do_not_retry_together() -> None:
    retry_delays = []
    for index in range(40):
        harness = BalancerHarness(
            settings(polls_endpoint_list=True, gateway_count=40, gateway_index=index), seed=index
        )
        harness.advance_time(5 * SECOND)
        harness.all_actions.clear()
        harness.update_endpoint_list(EndpointListKind.FAILED, ())
        retry_delays.append(time_until_poll(harness))
    assert max(sum(when <= other < when + SECOND for other in retry_delays) for when in retry_delays) <= 24
    assert max(retry_delays) <= 5 * SECOND


@pytest.mark.parametrize("gateways", [1, 5, 25, 200, 1024])
@pytest.mark.parametrize("poll_interval", [2 * SECOND, 10 * SECOND, 60 * SECOND])
def test_poll_after_repeated_failures_meets_the_propagation_limit(gateways: int, poll_interval: int) -> None:
    """Gateways have to know of changes 6 s after discovery recovers, but their backoff grew to 7.5 s."""
    for index in range(0, gateways, max(1, gateways // 12)):
        given = settings(
            polls_endpoint_list=True, gateway_count=gateways, gateway_index=index, poll_interval=poll_interval
        )
        harness = BalancerHarness(given, seed=index)
        harness.advance_time(5 * SECOND)
        for _ in range(8):
            harness.all_actions.clear()
            harness.update_endpoint_list(EndpointListKind.FAILED, ())
            assert time_until_poll(harness) <= 6 * SECOND - MAX_CONNECT_AND_REQUEST_TIME


def test_an_unanswered_poll_is_repeated() -> None:
    harness = BalancerHarness(settings(polls_endpoint_list=True))
    harness.all_actions.clear()
    harness.advance_time(6 * SECOND)
    assert WatchEndpointList(True) in harness.all_actions
