"""The actions that a balancer returns, for the gateway to carry out in the given order.

Durations are integer nanoseconds. Requests, replicas and timers are named by their numbers in the events.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request's next attempt to a replica."""

    request: int
    replica: int
    timeout: int = 0  # until the first token; 0: until the client's own time-out
    start_within: int = 0  # unless its first byte is sent within this time, it must not be sent; 0: no bound


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the request was not served, and the client may safely retry it."""

    request: int
    retry_after: int = 0  # how long the client should wait before a retry; 0: no advice


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
    """Request the endpoint list and watch it for changes, or stop watching it."""

    enable: bool = True


@dataclass(frozen=True, slots=True)
class Log:
    """Write one line to the log for operators."""

    text: str


Action = SendAttempt | Reject | Fail | SetTimer | WatchEndpointList | Log
