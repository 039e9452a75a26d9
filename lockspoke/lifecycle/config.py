"""One gateway's configuration and the limits that follow from it."""

from __future__ import annotations

from dataclasses import dataclass

from lockspoke.balancing.settings import BalancerSettings
from lockspoke.core.replica_set import ReplicaListUpdate
from lockspoke.units import MEBIBYTE, MILLISECOND

BASE_MEMORY_MB = 26  # what the program uses with its connections open and no request buffered
MAX_BUFFER_MB = 48  # for requests, however much memory there is
BASE_DESCRIPTORS = 64  # for discovery, listeners, files, logs and the interpreter
MIN_CONNECTIONS_PER_SIDE = 8
DEADLINE_WITHOUT_CLASSES = 3_000 * MILLISECOND
MAX_DEADLINE_AT_SHUTDOWN = 3.0  # seconds
SHUTDOWN_MARGIN = 0.7  # seconds from SIGTERM until no client sends requests any more


class ConfigError(ValueError):
    """A configuration that can't be used; the text names the key and what is wrong."""


class InvalidValueError(ConfigError):
    """A key whose value can't be used."""

    def __init__(self, key: str, value: object, wanted: str) -> None:
        super().__init__(f"{key} is {value!r}, want {wanted}")
        self.key = key
        self.value = value
        self.wanted = wanted


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """One gateway's configuration. Durations are in nanoseconds unless a field says otherwise."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None  # None where an inventory feeds the replica set
    discovery_in_file: str  # the address in the file; the environment may name another at the start
    seed: int
    sockets: int  # file descriptors that the process may use
    memory_mb: int
    initial_list: ReplicaListUpdate | None
    settings: BalancerSettings
    classes: dict[str, int]  # by name, the index of a request class in the settings
    tenants: dict[str, int]  # by name, the index of a tenant in the settings
    deadlines: tuple[int, ...]  # by request class
    zones: tuple[str, ...]
    load_report_fields: tuple[str, ...]
    clients_resume_streams: bool  # clients request the rest of a stream that ends early
    connect_timeout: int
    keepalive: int  # 0: connections to replicas are not reused
    operator: tuple[str, int] | None = None  # where operators' requests are served; None: nowhere

    @property
    def max_buffered_bytes(self) -> int:
        """The bytes of requests that may be buffered: a third of the memory that the program leaves free."""
        free_mb = self.memory_mb - BASE_MEMORY_MB
        return max(1, min(MAX_BUFFER_MB, free_mb // 3)) * MEBIBYTE

    @property
    def shutdown_time(self) -> float:
        """Seconds that the platform leaves at least between SIGTERM and SIGKILL."""
        longest_deadline = max(self.deadlines, default=DEADLINE_WITHOUT_CLASSES) / 1e9
        return min(longest_deadline, MAX_DEADLINE_AT_SHUTDOWN) + SHUTDOWN_MARGIN

    def max_connections_per_side(self, reserved_descriptors: int = 0) -> int:
        """The connections that clients, and likewise replicas, may have.

        Args:
            reserved_descriptors: file descriptors that other connections may use.
        """
        free = self.sockets - BASE_DESCRIPTORS - reserved_descriptors
        return max(MIN_CONNECTIONS_PER_SIDE, free // 2)
