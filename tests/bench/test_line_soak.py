"""Short soaks of batch lines with fixed seeds, and the checks that they rest on."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from bench.line_soak.checker import ENDLESS_WINDOW, line_name, outcome_counts, violations
from bench.line_soak.observations import Effect, LineResult, Observations, ObservedRun, Rules, Scope
from bench.line_soak.run import LineSoak
from bench.line_soak.schedule import draw_schedule

LINES = 300
SERVED = LineResult()
MAY_HAVE_RUN = LineResult("upstream_failed", "The request was tried and failed; it may have run.")
NOT_EXECUTED = LineResult("batch_cancelled", "This request was not executed: the batch was cancelled.")


@pytest.mark.parametrize(
    ("seed", "effect"), [(119, Effect.SINGLE_SHOT), (132, Effect.GUARDED), (129, Effect.GUARDED)]
)
def test_short_soak_of_lines_across_kills_has_no_violations(
    seed: int, effect: Effect, tmp_path: Path
) -> None:
    schedule = draw_schedule(seed, effect)
    soak = LineSoak(seed, schedule, LINES, tmp_path)
    observations = asyncio.run(soak.execute())
    assert observations.kills >= 2 and observations.runs, "something was observed"
    assert not violations(observations), outcome_counts(observations)


def run(at: float = 0.0, zone: str = "a", cell: int = 1, request_id: str = "r") -> ObservedRun:
    return ObservedRun(line_name(0), request_id, at, zone, cell)


def observe(
    rules: Rules, runs: list[ObservedRun], *results: LineResult, kills: int = 0, cancelled: bool = False
) -> Observations:
    observations = Observations(rules, 1, 1, kills=kills, cancelled=cancelled, runs=runs)
    observations.results[line_name(0)] = list(results)
    return observations


FREE, ONCE = Rules(Effect.FREE), Rules(Effect.SINGLE_SHOT)
WITH_KEY = Rules(Effect.GUARDED, Scope.ALL, 5.0)
IN_ZONE, IN_CELL = Rules(Effect.GUARDED, Scope.ZONE, 5.0), Rules(Effect.GUARDED, Scope.CELL, 5.0)
ENDLESS = Rules(Effect.GUARDED, Scope.ALL, ENDLESS_WINDOW)


@pytest.mark.parametrize(
    "observations",
    [
        observe(FREE, [run(), run(9.0, "b", 2, "s")], SERVED),
        observe(ONCE, [run()], SERVED),
        observe(ONCE, [run()], MAY_HAVE_RUN),
        observe(ONCE, [], MAY_HAVE_RUN, kills=1),
        observe(ONCE, [], NOT_EXECUTED, cancelled=True),
        observe(WITH_KEY, [run(), run(4.9, "b", 2)], SERVED),
        observe(IN_ZONE, [run(), run(4.9, "a", 2)], MAY_HAVE_RUN),
        observe(IN_CELL, [run(), run(4.9, "b", 1)], SERVED),
    ],
)
def test_what_the_rules_allow_is_no_violation(observations: Observations) -> None:
    assert not violations(observations)


@pytest.mark.parametrize(
    ("observations", "message"),
    [
        (observe(ONCE, [run(), run(1.0)], SERVED), "ran 2 times"),
        (observe(WITH_KEY, [run(), run(5.1)], SERVED), "after its window"),
        (observe(IN_ZONE, [run(), run(1.0, "b")], SERVED), "ran in a and again in b"),
        (observe(IN_CELL, [run(), run(1.0, cell=2)], SERVED), "ran in cell 1 and again in 2"),
        (observe(WITH_KEY, [run(), run(1.0, request_id="s")], SERVED), "another request ID"),
        (observe(FREE, [run()]), "0 results"),
        (observe(FREE, [run()], SERVED, SERVED), "2 results"),
        (observe(FREE, [run()], MAY_HAVE_RUN), "must be served"),
        (observe(ENDLESS, [run()], MAY_HAVE_RUN), "must be served"),
        (observe(ONCE, [], SERVED), "served without a run"),
        (observe(ONCE, [run()], NOT_EXECUTED, cancelled=True), "its error says"),
        (observe(ONCE, [], MAY_HAVE_RUN), "failed that never ran"),
    ],
)
def test_each_broken_rule_is_a_violation(observations: Observations, message: str) -> None:
    assert any(message in violation for violation in violations(observations))


def test_a_schedule_depends_on_its_seed_only() -> None:
    assert draw_schedule(5) == draw_schedule(5) != draw_schedule(6)
    drawn = [draw_schedule(seed) for seed in range(40)]
    assert {schedule.rules.effect for schedule in drawn} == set(Effect)
    assert {schedule.rules.scope for schedule in drawn} == set(Scope)
    assert {schedule.cancels for schedule in drawn} == {True, False}
