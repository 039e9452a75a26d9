"""The events that a gateway passes to its balancer: immutable values that can be logged and replayed.

Times and durations are integer nanoseconds on the gateway's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt ended, and with it whether the request can have run on the replica.

    `OVERLOADED`, `CONNECT_FAILED` and `NEVER_SENT` prove that it did not run: a retry is always harmless.
    After any other outcome it may have run, in full or in part.
    """

    OK = 0  # the replica answered; the answer is complete
    ERROR = 1  # the replica answered with an error: it may have run
    OVERLOADED = 2  # the replica rejected it before starting it: it did not run
    TIMEOUT = 3  # no answer in time: it may have run, or may still be running
    CONNECT_FAILED = 4  # no connection was made: it did not run
    RESET = 5  # the connection broke during the attempt: it may have run
    CANCELLED = 6  # the gateway cancelled it: it may have run until then
    NEVER_SENT = 7  # the gateway gave up before sending it: it did not run
    # The replica rejected the request as invalid. The simulator's protocol has no code for it.
    INVALID_REQUEST = 8


class ReplicaState(IntEnum):
    """The state in which the endpoint list names a replica."""

    REMOVED = 0  # it is not listed any more and gets no requests
    READY = 1  # it accepts requests
    DRAINING = 2  # it completes the requests in flight and accepts no new ones


class EndpointListKind(IntEnum):
    """How an `EndpointListUpdate` applies to the replicas known before it."""

    DELTA = 0  # the entries that changed; other replicas stay as they are
    FULL = 1  # the complete list: replicas missing from it are removed
    CACHED = 2  # the complete list as it was last cached: it may be outdated
    FAILED = 3  # a poll failed or the watch broke: nothing changes


@dataclass(frozen=True, slots=True)
class EndpointListEntry:
    """One replica as the endpoint list describes it."""

    replica: int  # its number, unique within the list
    state: ReplicaState = ReplicaState.READY
    zone: int = 0
    cell: int = 0
    weight: float = 1.0  # its capacity relative to that of other replicas
    started_at: int = 0  # when its process started; 0: so long ago that it is warm
    machine_kind: int = 0  # replicas with the same number have machines of about equal capacity


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The endpoint list, a change to it, or the failure to get it."""

    kind: EndpointListKind
    entries: tuple[EndpointListEntry, ...] = ()
    # Whether it answers the poll that is due or in progress; an operator's change to the list does not.
    completes_poll: bool = True


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client sent a request; it must get exactly one final answer."""

    request: int  # its number, unique within the gateway
    time_remaining: int  # until the client's own time-out
    request_class: int = 0  # index into the settings' classes
    tenant: int = 0  # index into the settings' tenants
    session: int = 0  # key of the conversation, whose earlier prompts a replica may have cached; 0: none
    prefix: int = 0  # key of the beginning that its prompt shares with other requests; 0: none
    prompt_tokens: float = 0.0
    prefix_tokens: float = 0.0
    max_tokens: float = 0.0  # of the answer
    cost_hint: int = 0  # expected work, in nanoseconds on a standard core; 0: unknown
    client_retry: bool = False  # the client has sent the same request before


@dataclass(frozen=True, slots=True)
class FirstToken:
    """An attempt's answer has begun: it is streamed to the client, and its time-out no longer applies."""

    request: int
    attempt: int  # its index among the request's attempts
    replica: int
    elapsed: int  # since the attempt was sent


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended; exactly one such event follows each `SendAttempt`."""

    request: int
    attempt: int  # its index among the request's attempts
    replica: int
    outcome: Outcome
    elapsed: int  # since the attempt was sent
    request_answered: bool  # the client has its final answer, from this attempt or from an earlier event
    cached_tokens: int = 0  # prompt tokens that the replica found in its cache
    load_report: tuple[float, ...] = ()  # values that the replica reported; empty: none
    # It was sent on an idle connection, which may have been closed in the meantime by a healthy replica.
    connection_reused: bool = False


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client closed its connection; its request needs no answer any more."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The delay of a `SetTimer` is over."""

    token: int  # as the `SetTimer` gave it


Event = EndpointListUpdate | RequestArrived | FirstToken | AttemptEnded | ClientDisconnected | TimerFired
