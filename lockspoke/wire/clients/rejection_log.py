"""Log lines for requests that the client front answers with an error itself."""

from __future__ import annotations

import asyncio

from lockspoke.rate_limited_log import RateLimitedLog
from lockspoke.wire.http.messages import RequestHead


class RejectionLog:
    """Logs requests that no replica got, at most one line per second for each status."""

    def __init__(self) -> None:
        self._logs: dict[int, RateLimitedLog] = {}

    def rejected(self, status: int, reason: str, head: RequestHead | None) -> None:
        """Log a rejection.

        Args:
            status: The status of the response.
            reason: The text of the response.
            head: The head of the rejected request; None if it could not be read.
        """
        if status not in self._logs:
            self._logs[status] = RateLimitedLog("request_rejected")
        self._logs[status].info(
            asyncio.get_running_loop().time(),
            request_id=head.headers.get("req-id") if head is not None else "",
            status=status,
            reason=reason,
        )
