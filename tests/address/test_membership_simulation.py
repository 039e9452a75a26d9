"""There is never a second holder while members change, and the simulation would see one."""

from __future__ import annotations

import pytest

from lockspoke.address.election import Election
from tests.address.faults import LateTransfer, PreviousListAfterStart
from tests.address.membership_simulation import (
    EVENT_WEIGHTS,
    MembershipSimulation,
    find_second_holder,
    random_membership_schedule,
)
from tests.address.simulation import Counts

PARTS = 4
SCHEDULES_PER_PART = 150
# Seeds that lead to a second holder with a planted fault.
SEEDS_WITH_SECOND_HOLDER = [
    (PreviousListAfterStart, 3646),
    (LateTransfer, 3694),
    (LateTransfer, 8057),
    (LateTransfer, 18230),
]
# Seeds that led to a token that had not grown, while members counted that had not been heard for long.
SEEDS_WITH_OLD_TOKEN = (19722, 32500, 37274, 81174, 91510)


@pytest.mark.parametrize("part", range(PARTS))
def test_no_second_holder_while_members_change(part: int) -> None:
    counts = Counts()
    for seed in range(part * SCHEDULES_PER_PART, (part + 1) * SCHEDULES_PER_PART):
        counts.add(MembershipSimulation(random_membership_schedule(seed)).run_schedule())
    assert counts.schedules == SCHEDULES_PER_PART
    assert counts.claims > 2 * SCHEDULES_PER_PART and counts.moves > SCHEDULES_PER_PART
    assert min(counts.events[kind] for kind in EVENT_WEIGHTS) > SCHEDULES_PER_PART // 5


@pytest.mark.parametrize(("fault", "seed"), SEEDS_WITH_SECOND_HOLDER)
def test_a_second_holder_is_found(fault: type[Election], seed: int) -> None:
    """The faults of incidents 0016 and 0039, which the other schedules did not find."""
    schedule = random_membership_schedule(seed)
    violation = find_second_holder(schedule, fault)
    assert violation is not None and "claims the lease" in violation
    assert find_second_holder(schedule) is None


@pytest.mark.parametrize("seed", SEEDS_WITH_OLD_TOKEN)
def test_tokens_grow_over_two_changes_of_members_amid_a_split(seed: int) -> None:
    assert find_second_holder(random_membership_schedule(seed)) is None
