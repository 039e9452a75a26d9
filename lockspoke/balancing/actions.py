"""The actions that a balancer returns, for the gateway to carry out in the given order.

Durations are integer nanoseconds. Requests, replicas and timers have the same numbers as in the events.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request's next attempt to a replica."""

    request: int
    replica: int
    timeout: int = 0  # The time limit for the first token; 0 means the client's own time-out.
    # If the first byte is not sent within this time, the attempt must not be sent; 0 means no limit.
    start_within: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the request was not served, and the client can safely retry it."""

    request: int
    retry_after: int = 0  # How long the client should wait before it retries; 0 means no advice.


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed, and may or may not have run."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver a `TimerFired` with this token after the delay."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class WatchEndpointList:
    """Request the endpoint list and watch it for changes, or stop the watch."""

    enable: bool = True


@dataclass(frozen=True, slots=True)
class Log:
    """Write one line to the log for operators."""

    text: str


Action = SendAttempt | Reject | Fail | SetTimer | WatchEndpointList | Log
