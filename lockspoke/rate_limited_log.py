"""Rate-limited logging of frequent events: one line per interval, with a count of the omitted lines."""

from __future__ import annotations

from typing import Any

import structlog

LOG_INTERVAL = 1.0  # The minimum time in seconds between two lines of an event.

log = structlog.get_logger()


class RateLimitedLog:
    """Logs an event at most once per interval; each line has the number of lines omitted before it."""

    def __init__(self, event: str) -> None:
        self._event = event
        self._logged_at: float | None = None
        self._suppressed = 0

    def info(self, now: float, **fields: Any) -> None:
        """Log the event unless it was logged less than one interval ago.

        Args:
            now: The current time in seconds of any monotonic clock.
            fields: The fields of the line.
        """
        if self._logged_at is not None and now - self._logged_at < LOG_INTERVAL:
            self._suppressed += 1
            return
        log.info(self._event, left_out=self._suppressed, **fields)
        self._logged_at = now
        self._suppressed = 0
