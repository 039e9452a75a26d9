"""What the stand-ins have seen on the wire, with times of one monotonic clock in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class ReplyKind(Enum):
    """How a client's request ended."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    TRUNCATED = "truncated"  # a stream without its last chunk
    UNANSWERED = "unanswered"  # the gateway ended the connection without a byte, and had read the request
    NOT_READ = "not_read"  # the same, and the gateway cannot have read it: its client sends it again
    CLIENT_DISCONNECTED = "client_disconnected"
    GATEWAY_KILLED = "gateway_killed"  # the connection ended at a SIGKILL


@dataclass(slots=True)
class ClientRequestSeen:
    """One request as its client saw it."""

    request_id: str
    gateway: str  # name and number of the process, such as "g1.2"
    class_name: str
    deadline_ms: int
    sent_at: float = 0.0  # when its last byte was written
    ended_at: float = 0.0
    reply: ReplyKind | None = None  # None: no end within the judge's patience
    disconnected_at: float | None = None  # when the client closed its connection
    sent_after_sigterm: float | None = None  # seconds; None before the gateway's SIGTERM
    longest_event_delay: float = 0.0


@dataclass(slots=True)
class AttemptSeen:
    """One request as a replica saw it."""

    request_id: str
    replica: int
    replica_incarnation: int  # counts the restarts of the replica
    began_at: float  # when its first byte was read
    deadline_ms: int
    complete: bool = True  # the request's last byte has come: before that it has not run
    finished: bool = False  # the whole stream was written
    declined: bool = False  # rejected unseen, so that it has not run
    peer_port: int = 0  # of the gateway's side of the connection


@dataclass(frozen=True, slots=True)
class DrainNotified:
    """Discovery has told a gateway, or counts as having told it, that a replica is out of use."""

    gateway: str
    replica: int
    replica_incarnation: int
    at: float


@dataclass(frozen=True, slots=True)
class GatewayExit:
    """A gateway's process has ended after SIGTERM."""

    gateway: str
    code: int
    killed: bool  # by the SIGKILL that the platform sends in the end
    after: float  # seconds from SIGTERM


@dataclass(slots=True)
class Observations:
    """Everything that the judge may look at."""

    requests: dict[str, ClientRequestSeen] = field(default_factory=dict)
    attempts: list[AttemptSeen] = field(default_factory=list)
    drains: list[DrainNotified] = field(default_factory=list)
    exits: list[GatewayExit] = field(default_factory=list)
    own_delays: list[float] = field(default_factory=list)  # by which the bench's own loop was late
    crashes: list[str] = field(default_factory=list)
    broken_ports: set[int] = field(default_factory=set)  # of connections to replicas that the bench broke
    actor_faults: list[str] = field(default_factory=list)  # actors of the bench that died
