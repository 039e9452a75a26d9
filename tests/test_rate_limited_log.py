"""Tests of rate-limited log lines."""

from __future__ import annotations

from structlog.testing import capture_logs

from lockspoke.rate_limited_log import LOG_INTERVAL, RateLimitedLog


def test_one_line_per_interval_is_logged_with_the_number_of_omitted_lines() -> None:
    limited = RateLimitedLog("something")
    with capture_logs() as lines:
        for now in (5.0, 5.1, 5.0 + 0.9 * LOG_INTERVAL, 5.0 + LOG_INTERVAL, 9.0):
            limited.info(now, at=now)
    assert [(line["event"], line["at"], line["left_out"]) for line in lines] == [
        ("something", 5.0, 0),
        ("something", 5.0 + LOG_INTERVAL, 2),
        ("something", 9.0, 0),
    ]
