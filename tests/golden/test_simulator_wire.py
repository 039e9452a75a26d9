"""Replies on the simulator's wire are byte for byte those that were recorded; see `record_decisions.py`."""

from __future__ import annotations

import json
from typing import Any

import pytest

from tests.golden import frames
from tests.golden.record_decisions import STREAMS, error_text, read, run_sim

MALFORMED = json.loads(read("wire-malformed.json.gz"))


@pytest.mark.parametrize("name", STREAMS)
def test_the_replies_are_the_recorded_bytes(name: str) -> None:
    done = run_sim(read(f"wire-{name}.input.gz"))
    assert done.returncode == 0, done.stderr.decode()
    assert done.stderr == b""
    expected = read(f"wire-{name}.output.gz")
    pairs = zip(frames.split(done.stdout), frames.split(expected), strict=False)
    for number, (reply, recorded) in enumerate(pairs):
        assert reply == recorded, (number, frames.actions(reply), frames.actions(recorded))
    assert done.stdout == expected


@pytest.mark.parametrize("case", MALFORMED, ids=[case["case"] for case in MALFORMED])
def test_malformed_input_ends_as_recorded(case: dict[str, Any]) -> None:
    done = run_sim(bytes.fromhex(case["input"]))
    assert done.stdout == bytes.fromhex(case["output"])
    assert (done.returncode, error_text(done.stderr)) == (case["exit"], case["error"])
