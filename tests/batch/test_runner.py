"""The batch runner: limits, retries, deadlines, and that each line ends exactly once."""

from __future__ import annotations

import asyncio
import itertools
import json
from pathlib import Path

import pytest

from lockspoke.balancing.events import Outcome
from lockspoke.balancing.settings import DeduplicationScope, Idempotency, RequestClass
from lockspoke.batch.journal import StoreError
from lockspoke.batch.records import Batch, BatchStatus, LineStatus
from lockspoke.batch.scheduler import MAX_ENDING_LINES
from lockspoke.batch.slots import PAUSE_AFTER_REJECTION
from lockspoke.batch.store import BatchStore
from lockspoke.units import SECOND
from tests.standins import EVENTS, until

from .harness import LINE, Harness, lines


def test_lines_run_within_the_concurrency_limit_and_fill_the_result_files(tmp_path: Path) -> None:
    harness = Harness(tmp_path)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(5))
        while not batch.is_final:
            await until(lambda: bool(harness.in_flight()) or batch.is_final)
            assert len(harness.in_flight()) <= 2
            if harness.in_flight():
                harness.serve(harness.in_flight()[0])
        assert batch.status is BatchStatus.COMPLETED
        assert len(harness.core_harness.started) == 5
        assert harness.results(batch) == {f"c{n}": "served" for n in range(5)}
        sent = json.loads(harness.core_harness.started[0].request.body or b"{}")
        assert sent in ({}, LINE["body"] | {"stream": True, "stream_options": {"include_usage": True}})

    harness.run(scenario)


def test_a_batch_with_invalid_lines_fails_and_reports_them(tmp_path: Path) -> None:
    harness = Harness(tmp_path)

    async def scenario() -> None:
        batch = await harness.create_batch(LINE, b"", b"{", LINE, LINE | {"custom_id": "b", "method": "GET"})
        empty = await harness.create_batch(b"", b"  ")
        too_long = await harness.create_batch(*lines(101))
        await until(lambda: batch.is_final and empty.is_final and too_long.is_final)
        errors = [(error["line"], error["code"]) for error in batch.errors]
        assert errors == [(3, "invalid_json_line"), (4, "duplicate_custom_id"), (5, "invalid_method")]
        assert [error["code"] for error in empty.errors] == ["empty_file"]
        assert [error["code"] for error in too_long.errors] == ["too_many_lines"]
        assert {batch.status, empty.status, too_long.status} == {BatchStatus.FAILED}
        assert not harness.core_harness.started

    harness.run(scenario)


def test_a_rejection_waits_for_retry_after_and_is_not_a_failed_attempt(tmp_path: Path) -> None:
    harness = Harness(tmp_path, max_attempts=1)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(1))
        await until(lambda: len(harness.in_flight()) == 1)
        await harness.reject_in_flight(retry_after=5 * SECOND)
        harness.clock += 4
        await asyncio.sleep(0.15)
        assert len(harness.core_harness.started) == 1, "not before the end of Retry-After"
        harness.clock += 2
        await until(lambda: len(harness.in_flight()) == 1)
        harness.serve(harness.in_flight()[0])
        await until(lambda: batch.is_final)
        assert harness.results(batch) == {"c0": "served"}

    harness.run(scenario)


def test_a_failing_line_is_attempted_up_to_the_limit(tmp_path: Path) -> None:
    harness = Harness(tmp_path, max_attempts=2)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(1))
        for _ in range(2):
            await until(lambda: bool(harness.in_flight()))
            attempt = harness.in_flight()[0]
            attempt.stream_received(EVENTS[0])
            attempt.end(Outcome.RESET)  # A partial response fails the attempt.
            await until(lambda: not harness.runner.slots.in_flight)
            harness.clock += 2
        await until(lambda: batch.is_final)
        assert harness.results(batch) == {"c0": "upstream_failed"}
        assert batch.status is BatchStatus.COMPLETED

    harness.run(scenario)


def test_a_cancellation_ends_waiting_lines_and_lets_lines_in_flight_finish(tmp_path: Path) -> None:
    harness = Harness(tmp_path, concurrency=1)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(3))
        await until(lambda: len(harness.in_flight()) == 1)
        await harness.store.set_status(batch, BatchStatus.CANCELLING)
        harness.runner.notify()
        await until(lambda: batch.line_counts.get(LineStatus.CANCELLED) == 2)
        harness.serve(harness.in_flight()[0])
        await until(lambda: batch.is_final)
        assert batch.status is BatchStatus.CANCELLED
        assert harness.results(batch) == {"c0": "served", "c1": "batch_cancelled", "c2": "batch_cancelled"}

    harness.run(scenario)


def test_an_expired_line_is_not_run(tmp_path: Path) -> None:
    """A line expires at its own deadline or at that of the batch."""
    harness = Harness(tmp_path, concurrency=1)

    async def scenario() -> None:
        batch = await harness.create_batch(LINE, *lines(2, deadline_ms=5000), LINE | {"custom_id": "z"})
        await until(lambda: len(harness.in_flight()) == 1)
        harness.clock += 6
        await until(lambda: batch.line_counts.get(LineStatus.EXPIRED) == 2)
        harness.clock += 60
        await until(lambda: batch.line_counts.get(LineStatus.EXPIRED) == 3)
        harness.serve(harness.in_flight()[0])
        await until(lambda: batch.is_final)
        assert batch.status is BatchStatus.EXPIRED
        assert len(harness.core_harness.started) == 1
        expired = dict.fromkeys(("c0", "c1", "z"), "batch_expired")
        assert harness.results(batch) == expired | {"a": "served"}

    harness.run(scenario)


def test_interactive_requests_take_precedence(tmp_path: Path) -> None:
    harness = Harness(tmp_path)

    async def scenario() -> None:
        harness.core_harness.core.request_lifecycle.interactive_rejected_at = harness.core_harness.now()
        batch = await harness.create_batch(*lines(1))
        await until(lambda: batch.status is BatchStatus.IN_PROGRESS)
        await asyncio.sleep(0.15)
        assert not harness.core_harness.started, "an interactive request was rejected a moment ago"
        harness.core_harness.time += PAUSE_AFTER_REJECTION
        await until(lambda: len(harness.in_flight()) == 1)
        harness.serve(harness.in_flight()[0])
        await until(lambda: batch.is_final)

    harness.run(scenario)


async def serve_next(harness: Harness, batch: Batch) -> None:
    """Serve one attempt and wait until the store has its result."""
    served = batch.line_counts.get(LineStatus.SERVED, 0)
    harness.serve(harness.in_flight()[0])
    await until(lambda: batch.line_counts.get(LineStatus.SERVED) == served + 1)


def test_a_restart_finishes_open_lines_and_runs_no_ended_line_again(tmp_path: Path) -> None:
    first = Harness(tmp_path, concurrency=3)

    async def serve_two_lines_and_crash() -> str:
        first.runner.start()
        batch = await first.create_batch(*lines(6))
        for _ in range(2):
            await until(lambda: len(first.in_flight()) == 3)
            await serve_next(first, batch)
        return batch.id  # Nothing is closed, as in a crash.

    batch_id = asyncio.run(serve_two_lines_and_crash())
    with pytest.raises(StoreError):  # Two programs that use the same store would run the same lines.
        BatchStore(tmp_path, lambda: 0.0)
    first.store.journal.close()  # The system closes the file of a killed program.
    second = Harness(tmp_path, concurrency=3)

    async def finish() -> None:
        batch = second.store.batches[batch_id]
        assert batch.line_counts == {LineStatus.SERVED: 2}
        while not batch.is_final:
            await until(lambda: bool(second.in_flight()) or batch.is_final)
            for attempt in second.in_flight():
                second.serve(attempt)
        assert second.results(batch) == {f"c{n}": "served" for n in range(6)}
        assert len(second.core_harness.started) == 4

    second.run(finish)
    third = BatchStore(tmp_path, lambda: 0.0)
    assert third.batches[batch_id].status is BatchStatus.COMPLETED
    third.close()


def test_a_cancellation_ends_a_limited_number_of_lines_at_a_time(tmp_path: Path) -> None:
    """Ending thousands of lines at once would delay interactive requests."""
    harness = Harness(tmp_path, concurrency=1)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(100))
        await until(lambda: len(harness.in_flight()) == 1)
        await harness.store.set_status(batch, BatchStatus.CANCELLING)
        harness.runner.notify()
        max_ending = 0
        while batch.line_counts.get(LineStatus.CANCELLED, 0) < 99:
            max_ending = max(max_ending, harness.runner.scheduler.ending_lines)
            await asyncio.sleep(0)
        assert 0 < max_ending <= MAX_ENDING_LINES
        harness.serve(harness.in_flight()[0])
        await until(lambda: batch.is_final)
        assert len(harness.results(batch)) == 100

    harness.run(scenario)


def test_the_number_of_lines_that_back_off_is_limited(tmp_path: Path) -> None:
    harness = Harness(tmp_path, concurrency=2)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(50))
        for _ in range(6):
            await asyncio.sleep(0.06)
            for attempt in harness.in_flight():
                harness.reject(attempt, retry_after=60 * SECOND)
        assert harness.runner.slots.backing_off == 4
        assert len(harness.core_harness.started) == 4
        await harness.store.set_status(batch, BatchStatus.CANCELLING)
        await until(lambda: batch.is_final)
        assert set(harness.results(batch).values()) == {"batch_cancelled"}

    harness.run(scenario)


def test_cancelling_a_batch_with_many_open_lines_does_not_block_the_event_loop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With more lines to end than may be ended at once, the scheduler looped without awaiting."""
    harness = Harness(tmp_path)
    slots = harness.runner.slots
    is_available, calls = slots.available, itertools.count()
    never_yields = asyncio.Event()

    def available() -> bool:
        if next(calls) >= 10_000:
            never_yields.set()
            raise AssertionError("the scheduler does not yield to the event loop")
        return is_available()

    async def scenario() -> None:
        # An interactive request was just rejected, so no line starts. After the cancellation one could.
        harness.core_harness.core.request_lifecycle.interactive_rejected_at = harness.core_harness.now()
        batch = await harness.create_batch(*lines(100))
        await until(lambda: batch.status is BatchStatus.IN_PROGRESS)
        await harness.store.set_status(batch, BatchStatus.CANCELLING)
        monkeypatch.setattr(slots, "available", available)
        harness.core_harness.time += 2 * PAUSE_AFTER_REJECTION
        harness.runner.notify()
        await until(lambda: batch.is_final or never_yields.is_set())
        assert not never_yields.is_set()
        assert set(harness.results(batch).values()) == {"batch_cancelled"}

    harness.run(scenario)


HALF_CHARACTER = "\ud83d"  # Half of a surrogate pair: valid JSON as an escape, but not encodable in UTF-8.
HALF_CHARACTER_EVENT = (
    b'data: {"choices":[{"index":0,"delta":{"content":"\\ud83d"},"finish_reason":null}]}\n\n'
)


def test_half_a_character_in_one_line_leaves_no_line_without_a_result(tmp_path: Path) -> None:
    """Guards against: the batch stayed in progress for good, and none of its lines had a result."""
    harness = Harness(tmp_path)
    half_in_prompt = {"messages": [{"role": "system", "content": HALF_CHARACTER}, *LINE["body"]["messages"]]}

    async def scenario() -> None:
        batch = await harness.create_batch(
            *lines(2), LINE | {"custom_id": "x" + HALF_CHARACTER}, LINE | {"body": half_in_prompt}
        )
        while not batch.is_final:
            for attempt in harness.in_flight():
                attempt.stream_received(HALF_CHARACTER_EVENT)
                harness.serve(attempt)
            await asyncio.sleep(0.01)
        names = ["c0", "c1", "x" + HALF_CHARACTER, "a"]
        assert harness.results(batch) == dict.fromkeys(names, "served")

    harness.run(scenario)
    reopened = BatchStore(tmp_path, harness.now)
    assert [batch.status for batch in reopened.batches.values()] == [BatchStatus.COMPLETED]
    reopened.close()


def test_a_deadline_beyond_all_numbers_is_that_of_the_batch(tmp_path: Path) -> None:
    """Guards against: OverflowError kept each line of the batch from running."""
    harness = Harness(tmp_path)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(2, deadline_ms=10**400))
        while not batch.is_final:
            for attempt in harness.in_flight():
                harness.serve(attempt)
            await asyncio.sleep(0.01)
        assert harness.results(batch) == {"c0": "served", "c1": "served"}

    harness.run(scenario)


NOT_REPEATABLE = [
    RequestClass(idempotency=Idempotency.NOT_IDEMPOTENT),
    RequestClass(idempotency=Idempotency.IDEMPOTENT_WITH_KEY, deduplication_scope=DeduplicationScope.ZONE),
]


@pytest.mark.parametrize("request_class", NOT_REPEATABLE, ids=["not idempotent", "in one zone"])
@pytest.mark.parametrize("streams", [False, True], ids=["no answer", "a part of the answer"])
def test_a_line_that_may_have_run_is_not_run_again_unless_its_class_allows_it(
    tmp_path: Path, request_class: RequestClass, streams: bool
) -> None:
    """Guards against: a line whose answer was lost ran a second time, under another id."""
    harness = Harness(tmp_path, max_attempts=3, classes=(request_class,))

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(2))
        await until(lambda: len(harness.in_flight()) == 2)
        lost, served = harness.in_flight()
        if streams:
            lost.stream_received(EVENTS[0])
        lost.end(Outcome.RESET)
        harness.serve(served)
        await until(lambda: batch.is_final)
        assert sorted(harness.results(batch).values()) == ["served", "upstream_failed"]
        assert len(harness.core_harness.started) == 2

    harness.run(scenario)


def test_a_line_that_has_not_run_is_attempted_again_whatever_its_class(tmp_path: Path) -> None:
    harness = Harness(tmp_path, classes=NOT_REPEATABLE[:1])

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(1))
        await until(lambda: len(harness.in_flight()) == 1)
        await harness.reject_in_flight(retry_after=5 * SECOND)
        harness.clock += 6
        await until(lambda: len(harness.in_flight()) == 1)
        harness.serve(harness.in_flight()[0])
        await until(lambda: batch.is_final)
        assert harness.results(batch) == {"c0": "served"}

    harness.run(scenario)
