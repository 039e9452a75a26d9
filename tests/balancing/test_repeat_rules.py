"""The rules on repetitions, alone and for requests that were attempted under an earlier number."""

from __future__ import annotations

import pytest

from lockspoke.balancing.actions import Fail, Reject, SendAttempt
from lockspoke.balancing.events import EarlierRun, EndpointListEntry, EndpointListKind, Outcome
from lockspoke.balancing.repeat_rules import (
    may_be_rejected,
    may_be_repeated,
    may_get_repetition,
    time_to_start_repetition,
)
from lockspoke.balancing.settings import DeduplicationScope, Idempotency, RequestClass

from .helpers import MS, SECOND, BalancerHarness, settings

ONCE = RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT)
REPEATABLE = RequestClass()


def with_key(scope: DeduplicationScope = DeduplicationScope.ALL, window: int = 5 * SECOND) -> RequestClass:
    return RequestClass(
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY, deduplication_scope=scope, deduplication_window=window
    )


def run(sent_at: int = 0, zone: int = 1, cell: int = 2) -> EarlierRun:
    return EarlierRun(sent_at, zone, cell)


@pytest.mark.parametrize(
    ("request_class", "runs", "now", "repeated"),
    [
        (REPEATABLE, [run()], 100 * SECOND, True),
        (ONCE, [], 0, True),
        (ONCE, [run()], 0, False),
        (with_key(), [], 100 * SECOND, True),
        (with_key(), [run()], 5 * SECOND - 1, True),
        (with_key(), [run()], 5 * SECOND, False),
        (with_key(), [run(3 * SECOND), run()], 5 * SECOND, False),
    ],
)
def test_a_repetition_depends_on_class_and_window(
    request_class: RequestClass, runs: list[EarlierRun], now: int, repeated: bool
) -> None:
    """The window counts from the first run, in whatever order they are given."""
    assert may_be_repeated(now, request_class, runs) is repeated


@pytest.mark.parametrize(
    ("scope", "zone", "cell", "accepted"),
    [
        (DeduplicationScope.ALL, 9, 9, True),
        (DeduplicationScope.ZONE, 1, 9, True),
        (DeduplicationScope.ZONE, 9, 2, False),
        (DeduplicationScope.CELL, 9, 2, True),
        (DeduplicationScope.CELL, 1, 9, False),
    ],
)
def test_a_repetition_stays_in_the_scope_of_every_run(
    scope: DeduplicationScope, zone: int, cell: int, accepted: bool
) -> None:
    assert may_get_repetition(with_key(scope), zone, cell, [run(), run(1)]) is accepted
    if scope is not DeduplicationScope.ALL:
        assert not may_get_repetition(with_key(scope), zone, cell, [run(), run(zone=7, cell=7)])
    assert may_get_repetition(with_key(scope), zone, cell, [])
    assert may_get_repetition(REPEATABLE, zone, cell, [run()])


def test_the_time_to_start_ends_with_the_window() -> None:
    assert time_to_start_repetition(2 * SECOND, with_key(), [run(SECOND)]) == 4 * SECOND
    assert time_to_start_repetition(2 * SECOND, with_key(), []) == 0
    assert time_to_start_repetition(2 * SECOND, REPEATABLE, [run()]) == 0


def test_a_rejection_needs_a_harmless_retry() -> None:
    assert may_be_rejected(ONCE, may_have_run=False)
    assert not may_be_rejected(ONCE, may_have_run=True)
    assert may_be_rejected(REPEATABLE, may_have_run=True)
    assert may_be_rejected(with_key(), may_have_run=True)
    assert not may_be_rejected(with_key(DeduplicationScope.ZONE), may_have_run=True)


def harness_with(request_class: RequestClass, **changes: int) -> BalancerHarness:
    """A balancer with one ready replica in each of three zones, each a cell of its own."""
    harness = BalancerHarness(settings(classes=(request_class,), **changes), replicas=())
    for number in (1, 2, 3):
        harness.entries[number] = EndpointListEntry(number, zone=number, cell=10 * number)
    harness.update_endpoint_list(EndpointListKind.FULL, tuple(harness.entries.values()))
    return harness


def test_a_request_that_ran_once_under_an_earlier_number_is_failed_unsent() -> None:
    """Guards against: a repeat under a new number made the balancer forget that the request may have run."""
    harness = harness_with(ONCE)
    actions = harness.arrive(1, earlier_runs=(run(harness.now - SECOND),))
    assert Fail(1) in actions
    assert not [action for action in actions if isinstance(action, SendAttempt | Reject)]


@pytest.mark.parametrize(
    ("request_class", "replica"),
    [(with_key(DeduplicationScope.ZONE), 2), (with_key(DeduplicationScope.CELL), 3)],
)
def test_a_repeat_goes_to_the_scope_of_the_earlier_run(request_class: RequestClass, replica: int) -> None:
    harness = harness_with(request_class)
    earlier = (run(harness.now - 4 * SECOND, zone=2, cell=30),)
    (sent,) = (a for a in harness.arrive(1, earlier_runs=earlier) if isinstance(a, SendAttempt))
    assert sent.replica == replica
    assert sent.start_within == SECOND
    # Even an attempt that has not run is not followed by one elsewhere.
    assert Fail(1) in harness.end_attempt(1, Outcome.CONNECT_FAILED)


def test_a_repeat_after_the_window_of_the_earlier_run_is_failed_unsent() -> None:
    harness = harness_with(with_key())
    assert Fail(1) in harness.arrive(1, earlier_runs=(run(harness.now - 5 * SECOND),))
    harness.arrive(2, earlier_runs=(run(harness.now - 5 * SECOND + 100 * MS),))
    harness.advance_time(100 * MS)
    assert Fail(2) in harness.end_attempt(2, Outcome.OVERLOADED)


def test_earlier_runs_count_towards_the_limit_of_attempts() -> None:
    harness = harness_with(with_key(), max_attempts=2)
    harness.arrive(1, earlier_runs=(run(harness.now - SECOND),))
    assert Fail(1) in harness.end_attempt(1, Outcome.RESET)
    assert Fail(2) in harness.arrive(2, earlier_runs=(run(harness.now), run(harness.now)))
