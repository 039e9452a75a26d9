"""Lines that may have run when a process ends: the next one repeats them only where their class allows it.

`review/10`: lines of a class with deduplication by key were at replicas at a planned stop. The hand-off
rejects their requests, since a client may repeat them within the window; the runner took each rejection for a
proof that the line had not run, left it open, and the next process sent it again 5.6 s after the first time,
under a new ID, past the window of 5 s. The journal held nothing between the batch's start and the ends of
its lines.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from lockspoke.balancing.events import Outcome, ReplicaState
from lockspoke.balancing.settings import DeduplicationScope, Idempotency, RequestClass
from lockspoke.batch.line_runner import POLL_INTERVAL
from lockspoke.batch.records import Batch
from lockspoke.core.replica_set import EndpointListReplica, ReplicaListUpdate
from lockspoke.units import SECOND
from tests.core.harness import idempotent_with_key
from tests.standins import EVENTS, until

from .harness import Harness, lines

WINDOW = 5 * SECOND
HOUR = 3600 * SECOND
REPEATABLE = RequestClass()
ONCE = RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT)
WITH_KEY = idempotent_with_key(window=WINDOW)
WITH_KEY_IN_ZONE = idempotent_with_key(DeduplicationScope.ZONE, WINDOW)
WITH_KEY_IN_CELL = idempotent_with_key(DeduplicationScope.CELL, WINDOW)


def only_batch(harness: Harness) -> Batch:
    (batch,) = harness.store.batches.values()
    return batch


def stop_with_open_lines(harness: Harness, count: int) -> list[str]:
    """Stop a process while lines are at replicas that don't answer; returns the IDs of their requests."""
    request_ids: list[str] = []

    async def scenario() -> None:
        await harness.create_batch(*lines(count))
        await until(lambda: len(harness.in_flight()) == count)
        request_ids.extend(attempt.request.request_id for attempt in harness.in_flight())
        harness.runner.slots.stop()
        harness.core_harness.core.hand_off()

    harness.run(scenario)
    return request_ids


def restart(
    folder: Path, stopped: Harness, pause: int, request_class: RequestClass, replicas: int = 2
) -> Harness:
    """The next process, `pause` nanoseconds later."""
    harness = Harness(folder, replicas=replicas, classes=(request_class,))
    harness.core_harness.time = stopped.core_harness.time + pause
    harness.clock = stopped.clock + pause / SECOND
    return harness


def serve_all(harness: Harness) -> Callable[[], Awaitable[None]]:
    """A scenario that answers every attempt until the batch is final."""

    async def scenario() -> None:
        def is_final() -> bool:
            for attempt in harness.in_flight():
                harness.serve(attempt)
            return only_batch(harness).is_final

        await until(is_final)

    return scenario


@pytest.mark.parametrize(
    ("request_class", "pause", "sent"),
    [
        (REPEATABLE, 20 * SECOND, 2),
        (WITH_KEY, 4 * SECOND, 2),
        (WITH_KEY, 6 * SECOND, 0),
        (WITH_KEY_IN_ZONE, 4 * SECOND, 2),
        (WITH_KEY_IN_ZONE, 6 * SECOND, 0),
        (ONCE, SECOND, 0),
    ],
)
def test_a_line_at_a_replica_at_a_planned_stop_is_repeated_only_within_its_window(
    tmp_path: Path, request_class: RequestClass, pause: int, sent: int
) -> None:
    """Guards against: lines were sent again after the window of their class, and failed within it."""
    first = Harness(tmp_path, classes=(request_class,))
    request_ids = stop_with_open_lines(first, 2)
    second = restart(tmp_path, first, pause, request_class)
    second.run(serve_all(second))
    assert len(second.core_harness.started) == sent
    expected = "served" if sent else "upstream_failed"
    assert second.results(only_batch(second)) == dict.fromkeys(("c0", "c1"), expected)
    if sent and request_class is not REPEATABLE:
        repeated = [attempt.request.request_id for attempt in second.core_harness.started]
        assert sorted(repeated) == sorted(request_ids), "replicas recognize a repetition by its ID"


@pytest.mark.parametrize(("pause", "sent"), [(4 * SECOND, 1), (6 * SECOND, 0)])
@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_setting_the_wall_clock_between_two_starts_does_not_change_the_window(
    tmp_path: Path, pause: int, sent: int, step: int
) -> None:
    first = Harness(tmp_path, classes=(WITH_KEY,))
    first.core_harness.time += 2 * HOUR
    stop_with_open_lines(first, 1)
    second = restart(tmp_path, first, pause + step, WITH_KEY)
    second.clock = first.clock
    second.boot_time_offset = -step
    second.run(serve_all(second))
    assert len(second.core_harness.started) == sent


def test_after_a_start_of_the_machine_no_window_is_taken_as_open(tmp_path: Path) -> None:
    first = Harness(tmp_path, classes=(WITH_KEY,))
    stop_with_open_lines(first, 1)
    second = restart(tmp_path, first, SECOND, WITH_KEY)
    second.boot_id = "boot-2"
    second.run(serve_all(second))
    assert not second.core_harness.started
    assert second.results(only_batch(second)) == {"c0": "upstream_failed"}


@pytest.mark.parametrize(
    ("request_class", "zone", "cell", "result"),
    [
        (WITH_KEY, "y", 1, "served"),
        (WITH_KEY_IN_ZONE, "z", 1, "served"),
        (WITH_KEY_IN_ZONE, "y", 0, "upstream_failed"),
        (WITH_KEY_IN_CELL, "y", 0, "served"),
        (WITH_KEY_IN_CELL, "z", 1, "upstream_failed"),
    ],
)
def test_a_repetition_after_a_restart_stays_in_its_scope(
    tmp_path: Path, request_class: RequestClass, zone: str, cell: int, result: str
) -> None:
    """The first attempt was in zone z and cell 0; the next process knows another replica, in this place."""
    first = Harness(tmp_path, classes=(request_class,))
    stop_with_open_lines(first, 1)
    second = restart(tmp_path, first, SECOND, request_class, replicas=0)
    entry = EndpointListReplica("w9", ReplicaState.READY, ("127.0.0.1", 5009), zone, cell)
    second.core_harness.core.endpoint_list_changed(ReplicaListUpdate(2, True, (entry,)))

    async def scenario() -> None:
        while not only_batch(second).is_final:
            await asyncio.sleep(2 * POLL_INTERVAL)
            for attempt in second.in_flight():
                second.serve(attempt)
            second.clock += 0.5  # Backoffs end, and the window in the end.
            second.core_harness.advance_time(SECOND // 2)

    second.run(scenario)
    assert len(second.core_harness.started) == (result == "served")
    assert second.results(only_batch(second)) == {"c0": result}


def test_a_line_whose_answer_was_lost_is_repeated_within_its_window(tmp_path: Path) -> None:
    """Within one process the same rule holds: up to the window's end, under the same ID."""
    harness = Harness(tmp_path, max_attempts=9, classes=(WITH_KEY,))

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(1))
        while not batch.is_final:
            await asyncio.sleep(2 * POLL_INTERVAL)
            for attempt in harness.in_flight():
                attempt.stream_received(EVENTS[0])  # The core does not attempt a truncated stream again.
                attempt.end(Outcome.RESET)
            harness.clock += 2
            harness.core_harness.advance_time(2 * SECOND)
        assert harness.results(batch) == {"c0": "upstream_failed"}

    harness.run(scenario)
    started = harness.core_harness.started
    assert len(started) > 1 and started[-1].started_at - started[0].started_at < WINDOW
    assert len({attempt.request.request_id for attempt in started}) == 1
