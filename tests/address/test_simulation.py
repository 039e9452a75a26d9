"""The simulation finds no violation in the election, and finds one in each election with a planted fault."""

from __future__ import annotations

import pytest

from tests.address.faults import FAULTS
from tests.address.simulation import Counts, Simulation, describe, find_violation, random_schedule, shrink

# Seeds to start from, near the first one that finds the fault, so that the tests are fast.
FIRST_SEEDS = {
    "lease reckoned from the answer": 195,
    "drift ignored": 630,
    "member change two at once": 530,
    "given lease reckoned from its arrival": 795,
}


@pytest.mark.parametrize("part", range(4))
def test_no_violation_in_thousands_of_schedules(part: int) -> None:
    counts = Counts()
    for seed in range(part * 600, part * 600 + 600):
        counts.add(Simulation(random_schedule(seed)).run_schedule())
    assert counts.schedules == 600 and counts.claims > 3_000 and counts.moves > 600
    assert min(counts.events.values()) > 300  # Each kind of event has occurred.


@pytest.mark.parametrize("fault", FAULTS)
def test_planted_fault_is_found_and_traced(fault: str) -> None:
    start = FIRST_SEEDS.get(fault, 0)
    seed = next(
        (seed for seed in range(start, start + 40) if find_violation(random_schedule(seed), FAULTS[fault])),
        None,
    )
    assert seed is not None
    found = random_schedule(seed)
    small = shrink(found, FAULTS[fault])
    trace = describe(small, FAULTS[fault])
    assert len(small.events) <= len(found.events) and trace.splitlines()[-2].endswith("VIOLATION"), trace
    assert find_violation(found) is None  # Without the fault there is no violation.
