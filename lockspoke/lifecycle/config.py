"""The configuration of a gateway and the limits that are derived from it."""

from __future__ import annotations

from dataclasses import dataclass

from lockspoke.balancing.settings import BalancerSettings
from lockspoke.core.replica_set import ReplicaListUpdate
from lockspoke.units import MEBIBYTE, MILLISECOND

BASE_MEMORY_MB = 26  # The memory in use with connections open and no request buffered.
MAX_BUFFER_MB = 48  # Buffered requests use no more than this, however much memory is available.
BASE_DESCRIPTORS = 64  # File descriptors for discovery, listeners, files, logs and the interpreter.
MIN_CONNECTIONS_PER_SIDE = 8
DEADLINE_WITHOUT_CLASSES = 3_000 * MILLISECOND  # Used if the settings have no request classes.
# At shutdown the platform allows for deadlines of up to this many seconds.
MAX_DEADLINE_AT_SHUTDOWN = 3.0
# Clients stop sending requests within this many seconds after SIGTERM.
SHUTDOWN_MARGIN = 0.7


class ConfigError(ValueError):
    """The configuration is invalid; the message names the key and the problem."""


class InvalidValueError(ConfigError):
    """The value of a key is invalid."""

    def __init__(self, key: str, value: object, wanted: str) -> None:
        super().__init__(f"{key} is {value!r}, want {wanted}")
        self.key = key
        self.value = value
        self.wanted = wanted


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """The configuration of a gateway. Durations are in nanoseconds unless a field says otherwise."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None  # None if an inventory supplies the replicas
    discovery_in_file: str  # The address in the file, which the environment may override at startup.
    seed: int
    sockets: int  # the maximum number of file descriptors of the process
    memory_mb: int
    initial_list: ReplicaListUpdate | None
    settings: BalancerSettings
    classes: dict[str, int]  # maps the name of a request class to its index in the settings
    tenants: dict[str, int]  # maps the name of a tenant to its index in the settings
    deadlines: tuple[int, ...]  # indexed by request class
    zones: tuple[str, ...]
    load_report_fields: tuple[str, ...]
    clients_resume_streams: bool  # Whether clients request the rest of a stream that ended early.
    connect_timeout: int
    keepalive: int  # If 0, connections to replicas are not reused.
    operator: tuple[str, int] | None = None  # the listen address for operators' requests, if any

    @property
    def max_buffered_bytes(self) -> int:
        """The limit of buffered requests in bytes: a third of the memory that the program doesn't use."""
        free_mb = self.memory_mb - BASE_MEMORY_MB
        return max(1, min(MAX_BUFFER_MB, free_mb // 3)) * MEBIBYTE

    @property
    def shutdown_time(self) -> float:
        """The minimum time in seconds that the platform allows between SIGTERM and SIGKILL."""
        longest_deadline = max(self.deadlines, default=DEADLINE_WITHOUT_CLASSES) / 1e9
        return min(longest_deadline, MAX_DEADLINE_AT_SHUTDOWN) + SHUTDOWN_MARGIN

    def max_connections_per_side(self, reserved_descriptors: int = 0) -> int:
        """Return the maximum number of client connections, which is also that of replica connections.

        Args:
            reserved_descriptors: File descriptors that are set aside for other connections.
        """
        free = self.sockets - BASE_DESCRIPTORS - reserved_descriptors
        return max(MIN_CONNECTIONS_PER_SIDE, free // 2)
