"""What clients and stand-ins observe on the wire; all times are seconds of one monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class ReplyKind(Enum):
    """How a client's request ended."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    TRUNCATED = "truncated"  # the stream ended without its last chunk
    UNANSWERED = "unanswered"  # the gateway read the request and closed the connection without a reply
    NOT_READ = "not_read"  # closed without a reply, before the gateway had read it: clients retry
    CLIENT_DISCONNECTED = "client_disconnected"
    GATEWAY_KILLED = "gateway_killed"  # SIGKILL of the gateway ended the connection


@dataclass(slots=True)
class ObservedRequest:
    """One request as its client observed it."""

    request_id: str
    gateway: str  # name of the gateway and number of its process, such as "g1.2"
    class_name: str
    deadline_ms: int
    sent_at: float = 0.0  # when its last byte was written
    ended_at: float = 0.0
    reply: ReplyKind | None = None  # None: no end within the client's REPLY_TIMEOUT
    disconnected_at: float | None = None  # when the client closed its connection
    sent_after_sigterm: float | None = None  # seconds; None if sent before the gateway's SIGTERM
    longest_event_delay: float = 0.0
    answered_ids: set[str] = field(default_factory=set)  # of the requests that the events of its reply answer


@dataclass(slots=True)
class UnsoundRequest:
    """A request that a client is owed an error or a close for."""

    request_id: str
    gateway: str
    name: str  # what is wrong with it
    answer: bytes = b""  # the status line; empty if the connection ended without one
    answered_after: float | None = None  # seconds; None: neither an error nor a close
    gateway_ended: bool = False


@dataclass(slots=True)
class ObservedAttempt:
    """One attempt of a request as its replica observed it."""

    request_id: str
    replica: int
    replica_incarnation: int  # number of restarts of the replica before
    began_at: float  # when its head was read
    deadline_ms: int
    complete: bool = True  # the whole request was read; before that it cannot have run
    finished: bool = False  # the whole stream was written to the connection
    declined: bool = False  # rejected before processing, so it has not run
    peer_port: int = 0  # the gateway's port of the connection


@dataclass(frozen=True, slots=True)
class DrainNotified:
    """Discovery has notified a gateway, or counts as having notified it, of the end of an incarnation."""

    gateway: str
    replica: int
    replica_incarnation: int
    at: float


@dataclass(frozen=True, slots=True)
class GatewayExit:
    """The end of a gateway's process after SIGTERM."""

    gateway: str
    code: int
    killed: bool  # by the SIGKILL that the platform sends KILL_AFTER seconds after SIGTERM
    after: float  # seconds from SIGTERM to the end


@dataclass(slots=True)
class Observations:
    """The input of the checker."""

    requests: dict[str, ObservedRequest] = field(default_factory=dict)
    attempts: list[ObservedAttempt] = field(default_factory=list)
    unsound_requests: list[UnsoundRequest] = field(default_factory=list)
    drains: list[DrainNotified] = field(default_factory=list)
    exits: list[GatewayExit] = field(default_factory=list)
    loop_delays: list[float] = field(default_factory=list)  # seconds by which the bench's event loop was late
    longest_collection: float = 0.0  # seconds of the bench's longest garbage collection
    crashes: list[str] = field(default_factory=list)  # unexpected exits and logged errors of gateways
    broken_ports: set[int] = field(default_factory=set)  # gateways' ports of connections broken by a fault
    stand_in_errors: list[str] = field(default_factory=list)  # exceptions that ended a client or a stand-in
