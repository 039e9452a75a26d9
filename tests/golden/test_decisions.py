"""The same events give the recorded actions, random draws included; see `record_decisions.py`."""

from __future__ import annotations

import json

import pytest

from tests.golden.decision_codec import Decisions
from tests.golden.record_decisions import RUNS, read


@pytest.mark.parametrize("name", RUNS)
def test_the_same_events_give_the_recorded_actions(name: str) -> None:
    (_, settings, seed), *rows = [
        json.loads(line) for line in read(f"decisions-{name}.jsonl.gz").splitlines()
    ]
    decisions = Decisions(settings, seed)
    for number, row in enumerate(rows, 1):
        match row:
            case ["reconfigure", new_settings]:
                decisions.reconfigure(new_settings)
            case ["batch", now, events, expected]:
                # Compared as text, so that 1, 1.0 and true differ.
                actions = decisions.handle(now, events)
                assert json.dumps(actions) == json.dumps(expected), f"batch {number}"
            case _:
                raise AssertionError(f"row {number}: {row}")
