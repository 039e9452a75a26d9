"""Odd JSON in lines and responses.

Related: the incident in docs/incidents/0012-half-a-character-in-a-batch.md. An infinite number was passed
on as `Infinity`, which is no JSON.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lockspoke.balancing.events import Outcome
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
