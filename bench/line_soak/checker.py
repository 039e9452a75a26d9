"""Checks what a run of the soak has observed against the rules on repeats, without any I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence

from .observations import Effect, LineResult, Observations, ObservedRun, Scope

WINDOW_SLACK = 0.05  # seconds by which time limits are longer on sockets
# With a window of at least this many seconds, no run of the soak outlasts it.
ENDLESS_WINDOW = 120.0


def violations(observations: Observations) -> list[str]:
    """The rules that were broken, each with a line of the batch."""
    runs = _runs_by_line(observations)
    names = [line_name(number) for number in range(observations.lines)]
    found = [fault for name in names for fault in _line_violations(observations, name, runs[name])]
    found += [f"{name}: no line has this name" for name in observations.results if name not in set(names)]
    found += [f"a stand-in failed: {fault}" for fault in observations.faults]
    return found + _unexplained_failures(observations, runs)


def line_name(number: int) -> str:
    """The `custom_id` of a line."""
    return f"line-{number}"


def outcome_counts(observations: Observations) -> dict[str, int]:
    """How many lines ended with each outcome, and how many ran more than once."""
    runs = _runs_by_line(observations)
    results = [result for line in observations.results.values() for result in line]
    counts = Counter("served" if result.served else result.error_code for result in results)
    return {
        **counts,
        "never ran": observations.lines - len(runs),
        "ran more than once": sum(len(times) > 1 for times in runs.values()),
    }


def _runs_by_line(observations: Observations) -> dict[str, list[ObservedRun]]:
    runs: dict[str, list[ObservedRun]] = defaultdict(list)
    for run in observations.runs:
        runs[run.line].append(run)
    return runs


def _line_violations(observations: Observations, name: str, runs: Sequence[ObservedRun]) -> Iterator[str]:
    results = observations.results.get(name, [])
    if len(results) != 1:
        yield f"{name}: {len(results)} results"
        return
    yield from (f"{name}: {fault}" for fault in _repeat_faults(observations, runs))
    yield from (f"{name}: {fault}" for fault in _result_faults(observations, results[0], runs))


def _repeat_faults(observations: Observations, runs: Sequence[ObservedRun]) -> Iterator[str]:
    rules = observations.rules
    if rules.effect is Effect.FREE or len(runs) < 2:
        return
    if rules.effect is Effect.SINGLE_SHOT:
        yield f"ran {len(runs)} times"
        return
    first = runs[0]
    for run in runs[1:]:
        late = run.at - first.at - rules.window
        if late > WINDOW_SLACK:
            yield f"ran again {late:.2f} s after its window"
        if rules.scope is Scope.ZONE and run.zone != first.zone:
            yield f"ran in {first.zone} and again in {run.zone}"
        if rules.scope is Scope.CELL and run.cell != first.cell:
            yield f"ran in cell {first.cell} and again in {run.cell}"
        if run.request_id != first.request_id:
            yield "ran again under another request ID"


def _result_faults(
    observations: Observations, result: LineResult, runs: Sequence[ObservedRun]
) -> Iterator[str]:
    if result.served:
        if not runs:
            yield "served without a run"
        return
    if runs and not result.says_it_may_have_run:
        yield f"ran, and its error says: {result.message!r}"
    if not observations.cancelled and _must_be_served(observations):
        yield f"must be served, and ended with {result.error_code}"


def _must_be_served(observations: Observations) -> bool:
    rules = observations.rules
    if rules.effect is Effect.GUARDED:
        return rules.window >= ENDLESS_WINDOW
    return rules.effect is Effect.FREE


def _unexplained_failures(observations: Observations, runs: dict[str, list[ObservedRun]]) -> list[str]:
    """Lines that failed without a run; a kill may explain as many as are sent at the same time."""
    failed = [
        name
        for name, results in observations.results.items()
        if not runs.get(name) and any(result.error_code == "upstream_failed" for result in results)
    ]
    explained = observations.kills * observations.concurrency
    return (
        [f"{len(failed)} lines failed that never ran, such as {failed[0]}"] if len(failed) > explained else []
    )
