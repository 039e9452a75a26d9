"""How late the event loop runs what is due: the time for which everything that arrives has to wait."""

from __future__ import annotations

import asyncio

from lockspoke.rate_limited_log import RateLimitedLog

# Seconds of lateness that are logged at once. A drain has a grace of 250 ms, an event of a stream 300 ms.
NOTABLE_LATENESS = 0.1


class LoopLateness:
    """Measures by sleeps that happen anyway how late the loop wakes them up."""

    def __init__(self) -> None:
        self._longest = 0.0  # seconds, since the counters were last taken
        self._log = RateLimitedLog("event_loop_late")

    async def sleep(self, delay: float) -> None:
        """Sleep for `delay` seconds, and record by how much longer it took."""
        loop = asyncio.get_running_loop()
        due = loop.time() + delay
        await asyncio.sleep(delay)
        now = loop.time()
        self._longest = max(self._longest, now - due)
        if now - due >= NOTABLE_LATENESS:
            self._log.info(now, late_ms=round((now - due) * 1000))

    def take_log_fields(self) -> dict[str, int]:
        """The longest lateness since the last call, as fields of `totals`."""
        longest, self._longest = self._longest, 0.0
        return {"loop_late_ms": round(longest * 1000)}
