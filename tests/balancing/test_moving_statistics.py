"""The statistics that favour recent observations."""

from __future__ import annotations

import pytest

from lockspoke.balancing.moving_statistics import MAX_AGE_IN_HALF_LIVES, DecayingSum, PromptBands, RecentKeys
from tests.balancing.helpers import SECOND


def test_a_decaying_sum_halves_with_each_half_life() -> None:
    total = DecayingSum(10 * SECOND)
    total.add(1_000 * SECOND, 8.0)
    total.add(1_010 * SECOND, 1.0)
    assert total.value(1_010 * SECOND) == pytest.approx(5.0)
    assert total.value(1_030 * SECOND) == pytest.approx(1.25)


def test_rate_of_a_steady_stream() -> None:
    total = DecayingSum(10 * SECOND)
    for second in range(200):
        total.add(second * SECOND, 3.0)
    assert total.rate(200 * SECOND) == pytest.approx(3.0, rel=0.05)


def test_share_sent_by_prompt_length_and_in_total() -> None:
    bands = PromptBands(30 * SECOND)
    assert bands.share_sent() == bands.share_sent(900.0) == 1.0, "no request is known"
    for number in range(10):
        bands.record(number, 900.0, sent=True)
        bands.record(number, 9_000.0, sent=number < 2)
    assert bands.share_sent(1_000.0) == 1.0, "prompts of about the same length"
    assert bands.share_sent(8_500.0) == pytest.approx(0.2)
    assert bands.share_sent(100.0) == 1.0
    assert bands.share_sent() == pytest.approx(0.6)


@pytest.mark.parametrize("gap", [60 * SECOND, (MAX_AGE_IN_HALF_LIVES + 1) * 30 * SECOND, 10**7 * SECOND])
def test_share_sent_after_a_gap_between_requests(gap: int) -> None:
    bands = PromptBands(30 * SECOND)
    for _ in range(8):
        bands.record(SECOND, 900.0, sent=False)
    for _ in range(8):
        bands.record(SECOND + gap, 900.0, sent=True)
    assert bands.share_sent(900.0) == pytest.approx(8 / (8 + 8 * 0.5 ** (gap / (30 * SECOND))))


def test_shares_survive_rebased_weights() -> None:
    bands = PromptBands(30 * SECOND)
    for second in range(0, 3 * MAX_AGE_IN_HALF_LIVES * 30, 10):
        bands.record(second * SECOND, 900.0, sent=second % 20 == 0)
    assert bands.share_sent(900.0) == pytest.approx(0.5, abs=0.1)


def test_share_of_a_key_among_recent_requests() -> None:
    recent = RecentKeys(4)
    recent.add(7)
    assert recent.share(7, min_requests=16) == pytest.approx(1 / 16)
    for key in (7, 8, 9, 8):
        recent.add(key)
    assert [recent.share(key, min_requests=1) for key in (7, 8, 9, 5)] == [0.25, 0.5, 0.25, 0.0]
    for _ in range(4):
        recent.add(5)
    assert len(recent._counts) == 1, "forgotten keys take no memory"
