"""Counters of requests, attempts and failures since the gateway started."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from lockspoke.balancing.events import Outcome


class RequestOutcome(Enum):
    """How a request was completed. Each request is completed exactly once."""

    SERVED = "served"  # the client has the complete response
    TRUNCATED = "truncated"  # the replica's stream ended early, after the client got its first data
    REJECTED = "rejected"  # an overload reply: a retry is safe
    FAILED = "failed"  # an error reply: the request may have run
    CLIENT_DISCONNECTED = "client_disconnected"  # the client closed its connection before the end
    HANDED_OFF = "handed_off"  # the stream was aborted so that the client continues at another gateway
    OVERDUE = "overdue"  # the balancer made no decision by the deadline: the periodic check failed it


class Totals:
    """Counters since the process started."""

    __slots__ = (
        "attempt_outcomes",
        "attempts",
        "decisions_failed",
        "endpoint_list_polls_failed",
        "request_outcomes",
        "requests",
    )

    def __init__(self) -> None:
        self.requests = 0
        self.attempts = 0  # those that were passed to the transport
        self.endpoint_list_polls_failed = 0
        self.decisions_failed = 0  # events at which the balancer raised an exception
        self.request_outcomes: Counter[RequestOutcome] = Counter()
        self.attempt_outcomes: Counter[Outcome] = Counter()

    def log_fields(self) -> dict[str, int]:
        """Return the counters that are not 0, keyed by their names in the `totals` log line."""
        counts = {
            "requests": self.requests,
            "attempts": self.attempts,
            "endpoint_list_polls_failed": self.endpoint_list_polls_failed,
            "decisions_failed": self.decisions_failed,
        }
        counts |= {outcome.value: count for outcome, count in self.request_outcomes.items()}
        counts |= {
            f"outcome_{outcome.name.lower()}": count for outcome, count in self.attempt_outcomes.items()
        }
        return {name: count for name, count in counts.items() if count}
