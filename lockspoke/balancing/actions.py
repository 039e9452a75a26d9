"""The actions that a balancer answers with, for the gateway to carry out in order.

Durations are integer nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request's next attempt to a replica. `timeout` 0: until the client gives up."""

    request: int
    replica: int
    timeout: int = 0
    start_within: int = 0  # its first byte has to go out within this time, or not at all; 0: no bound


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not served, and a retry does no harm."""

    request: int
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no word on whether it ran."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired`."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class WatchEndpointList:
    """Subscribe to changes of the list, or end that."""

    enable: bool = True


@dataclass(frozen=True, slots=True)
class Log:
    """A line for whoever is on call."""

    text: str


Action = SendAttempt | Reject | Fail | SetTimer | WatchEndpointList | Log
