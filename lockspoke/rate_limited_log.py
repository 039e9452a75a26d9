"""Log lines about something that may happen very often: one per interval, the rest counted."""

from __future__ import annotations

from typing import Any

import structlog

LOG_INTERVAL = 1.0  # seconds between two lines of one event

log = structlog.get_logger()


class RateLimitedLog:
    """Logs one event at most once per interval; the next line says how many were left out."""

    def __init__(self, event: str) -> None:
        self._event = event
        self._logged_at: float | None = None
        self._left_out = 0

    def info(self, now: float, **fields: Any) -> None:
        """Log the event, unless it was logged less than an interval ago.

        Args:
            now: Seconds of any monotonic clock.
            fields: The fields of the line.
        """
        if self._logged_at is not None and now - self._logged_at < LOG_INTERVAL:
            self._left_out += 1
            return
        log.info(self._event, left_out=self._left_out, **fields)
        self._logged_at = now
        self._left_out = 0
