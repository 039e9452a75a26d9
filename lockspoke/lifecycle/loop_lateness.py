"""Measures how late the event loop handles timers and input that are due."""

from __future__ import annotations

import asyncio

from lockspoke.rate_limited_log import RateLimitedLog

# A lateness of this many seconds is logged immediately. For comparison, a drain has a grace period of 250 ms,
# and an event of a stream may be delayed by 300 ms.
LOGGED_LATENESS = 0.1


class LoopLateness:
    """Measures how late the event loop wakes up the sleeps of its caller."""

    def __init__(self) -> None:
        self._longest = 0.0  # The longest lateness in seconds since the last `take_log_fields`.
        self._log = RateLimitedLog("event_loop_late")

    async def sleep(self, delay: float) -> None:
        """Sleep for `delay` seconds and record how much longer it took."""
        loop = asyncio.get_running_loop()
        due = loop.time() + delay
        await asyncio.sleep(delay)
        now = loop.time()
        self._longest = max(self._longest, now - due)
        if now - due >= LOGGED_LATENESS:
            self._log.info(now, late_ms=round((now - due) * 1000))

    def take_log_fields(self) -> dict[str, int]:
        """Return the longest lateness since the last call as fields of the log event `totals`; resets it."""
        longest, self._longest = self._longest, 0.0
        return {"loop_late_ms": round(longest * 1000)}
