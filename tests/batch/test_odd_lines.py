"""Nothing in one line leaves its batch open: odd JSON, a lost input file, and faults of this program.

Related: the incident in docs/incidents/0012-half-a-character-in-a-batch.md. A batch whose input file was gone
or changed at a restart was failed without result files; an infinite number was passed on as `Infinity`, which
is no JSON; and an exception in storing a line's end kept its batch open for good.
"""

from __future__ import annotations

import asyncio
import errno
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lockspoke.balancing.events import Outcome
from lockspoke.batch.records import Batch, BatchStatus
from lockspoke.batch.results import LineEnd
from lockspoke.batch.store import BatchStore
from tests.properties import reproducible
from tests.standins import STREAM_TAIL, until

from .harness import LINE, Harness, lines

JSON_STRINGS = st.text(st.characters(codec=None), max_size=20)  # with halves of surrogate pairs
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | JSON_STRINGS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(JSON_STRINGS, inner, max_size=3),
    max_leaves=8,
)


async def serve_until_final(harness: Harness, batch: Batch) -> None:
    def is_final() -> bool:
        for attempt in harness.in_flight():
            harness.serve(attempt)
        return batch.is_final

    await until(is_final)


@settings(reproducible, max_examples=40)
@given(
    custom_id=JSON_STRINGS.filter(bool),
    content=JSON_VALUES,
    extra=st.dictionaries(JSON_STRINGS, JSON_VALUES, max_size=3),
    answer=JSON_STRINGS,
    usage=JSON_VALUES,
)
def test_every_line_of_json_has_its_result_after_a_restart(
    tmp_path_factory: pytest.TempPathFactory,
    custom_id: str,
    content: Any,
    extra: dict[str, Any],
    answer: str,
    usage: Any,
) -> None:
    """Through upload, run, journal, a restart and the result files, with any JSON in line and response."""
    folder = tmp_path_factory.mktemp("odd")
    harness = Harness(folder)
    body = extra | {"model": "m", "messages": [{"role": "user", "content": content}]}
    row = LINE | {"custom_id": custom_id, "body": body}
    delta = {"choices": [{"index": 0, "delta": {"content": answer}}], "usage": usage}
    response = f"data: {json.dumps(delta)}\n\n".encode() + STREAM_TAIL.replace(b'"usage"', b'"unused"')

    async def scenario() -> None:
        batch = await harness.create_batch(row, LINE | {"custom_id": custom_id + "x"})
        await until(lambda: len(harness.in_flight()) == 2)
        for attempt in harness.in_flight():
            attempt.stream_received(response)
            attempt.end(Outcome.OK)
        await until(lambda: batch.is_final)

    harness.run(scenario)
    reopened = BatchStore(folder, harness.now)
    (batch,) = reopened.batches.values()
    rows = [json.loads(raw) for raw in reopened.path(batch.output_file_id).read_bytes().splitlines()]
    assert [row["custom_id"] for row in rows] == [custom_id, custom_id + "x"]
    assert rows[0]["response"]["body"]["choices"][0]["message"]["content"] == answer
    reopened.close()


@pytest.mark.parametrize("number", ["NaN", "Infinity", "-Infinity", "1e999", "-1e999"])
def test_a_number_that_is_not_finite_is_an_error_of_its_line(tmp_path: Path, number: str) -> None:
    harness = Harness(tmp_path)
    raw = json.dumps(LINE | {"body": LINE["body"] | {"temperature": 0.5}}).replace("0.5", number)

    async def scenario() -> None:
        batch = await harness.create_batch(raw.encode())
        await until(lambda: batch.is_final)
        assert [error["code"] for error in batch.errors] == ["invalid_json_line"]

    harness.run(scenario)


@pytest.mark.parametrize(
    "event", ['{"usage": {"n": 1e999}}', '{"choices": [{"index": 1e999}]}', '{"x": NaN}']
)
def test_a_number_that_is_not_finite_in_a_response_fails_the_attempt(tmp_path: Path, event: str) -> None:
    harness = Harness(tmp_path, max_attempts=1)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(1))
        await until(lambda: bool(harness.in_flight()))
        (attempt,) = harness.in_flight()
        attempt.stream_received(f"data: {event}\n\n".encode() + STREAM_TAIL)
        attempt.end(Outcome.OK)
        await until(lambda: batch.is_final)
        assert harness.results(batch) == {"c0": "upstream_failed"}

    harness.run(scenario)


@pytest.mark.parametrize("change", ["removed", "cut", "replaced"])
def test_a_batch_whose_input_is_lost_at_a_restart_has_a_result_for_each_line(
    tmp_path: Path, change: str
) -> None:
    """Guards against: it was failed without files, and what had been served was not delivered."""
    first = Harness(tmp_path)

    async def begin() -> None:
        batch = await first.create_batch(*lines(6))
        await until(lambda: len(first.in_flight()) == 2)
        for attempt in first.in_flight():
            first.serve(attempt)
        await until(lambda: sum(batch.line_counts.values()) == 2)
        first.runner.slots.stop()
        first.core_harness.core.hand_off()

    first.run(begin)
    (batch,) = first.store.batches.values()
    path = first.store.path(batch.input_file_id)
    if change == "removed":
        path.unlink()
    elif change == "cut":
        path.write_bytes(b"".join(path.read_bytes().splitlines(keepends=True)[:4]))
    else:
        path.write_bytes(b"no JSON\n" * 6)
    second = Harness(tmp_path)
    (resumed,) = second.store.batches.values()
    second.run(lambda: serve_until_final(second, resumed))
    assert resumed.status is BatchStatus.COMPLETED
    codes = [
        row["error"]["code"] if row["error"] else "served"
        for file_id in (resumed.output_file_id, resumed.error_file_id)
        for row in map(json.loads, second.store.path(file_id).read_bytes().splitlines())
    ]
    served = 4 if change == "cut" else 2
    assert codes == ["served"] * served + ["input_lost"] * (6 - served)


def test_a_fault_in_storing_an_end_ends_the_line_with_an_internal_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: the line stayed active, and its batch open for good."""
    harness = Harness(tmp_path)
    new_result = harness.runner.lines.new_result

    def fail_once(batch: Batch, offset: int, end: LineEnd, may_have_run: bool = False) -> dict[str, Any]:
        monkeypatch.setattr(harness.runner.lines, "new_result", new_result)
        raise KeyError(offset)

    monkeypatch.setattr(harness.runner.lines, "new_result", fail_once)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(3))
        await serve_until_final(harness, batch)
        assert sorted(harness.results(batch).values()) == ["internal_error", "served", "served"]

    harness.run(scenario)


def test_a_line_whose_input_file_cannot_be_opened_for_a_while_is_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: the line failed at once, though nothing of it had been sent."""
    harness = Harness(tmp_path)
    read, failures = harness.runner.lines.read, iter(range(2))

    def fail_twice(batch: Batch, offset: int) -> Any:
        if next(failures, None) is not None:
            raise OSError(errno.ENFILE, "Too many open files in system")
        return read(batch, offset)

    monkeypatch.setattr(harness.runner.lines, "read", fail_twice)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(1))
        while not batch.is_final:
            await asyncio.sleep(0.01)
            for attempt in harness.in_flight():
                harness.serve(attempt)
            harness.clock += 0.1
        assert harness.results(batch) == {"c0": "served"}

    harness.run(scenario)
