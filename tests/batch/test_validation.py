"""Validation of request parameters."""

from __future__ import annotations

import pytest

from lockspoke.batch.errors import ApiError
from lockspoke.batch.validation import ByteRange, decode_range, window_seconds


def test_ranges_are_decoded() -> None:
    assert decode_range("bytes=0-3", 10) == ByteRange(0, 4)
    assert decode_range("bytes=4-", 10) == ByteRange(4, 10)
    assert decode_range("bytes=-3", 10) == ByteRange(7, 10)
    assert decode_range("bytes=8-99", 10) == ByteRange(8, 10)
    for ignored in ("bytes=1-2,4-5", "items=1-2", "bytes=-", "bytes=5-2"):
        assert decode_range(ignored, 10) is None
    for past_end in ("bytes=10-", "bytes=-0"):
        with pytest.raises(ApiError) as caught:
            decode_range(past_end, 10)
        assert caught.value.status == 416


def test_completion_windows_are_decoded() -> None:
    assert [window_seconds(text) for text in ("24h", "90s", "2d")] == [86400, 90, 172800]
    for invalid in ("", "24", "0h", "8d", "1w"):
        with pytest.raises(ApiError):
            window_seconds(invalid)
