"""The section `[address]` of the edge file."""

from __future__ import annotations

import math
from typing import Annotated, Literal

import msgspec

from lockspoke.units import SECOND

from .datagram import MAX_NAME_BYTES
from .election_config import ElectionConfig
from .health import HealthLimits
from .peer_socket import HostPort

MAX_KEYS = 2  # both are valid while the key is changed

Share = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=86400.0)]


def parse_endpoint(text: str) -> HostPort:
    """Parse `host:port` or `[host]:port` with a literal address; raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


class HealthSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The section `[address.health]`: limits of healthy metrics, and flap damping. Times in seconds."""

    least_workers: Annotated[int, msgspec.Meta(ge=0)] = 1
    loop_lag: Seconds = 0.25
    failing: Share = 0.5
    calls_enough: Annotated[int, msgspec.Meta(ge=1)] = 20
    sockets: Share = 0.95
    memory: Share = 0.95
    sick_after: Seconds = 0.3
    well_after: Seconds = 2.0
    penalty: Annotated[float, msgspec.Meta(gt=0)] = 1_000.0
    hold_down: Annotated[float, msgspec.Meta(gt=0)] = 1_500.0
    stand_again: Annotated[float, msgspec.Meta(gt=0)] = 750.0
    half_life: Seconds = 15.0
    longest: Seconds = 300.0

    def __post_init__(self) -> None:
        """Raise ValueError for what the types do not exclude."""
        self.limits()

    def limits(self) -> HealthLimits:
        """The limits with times in nanoseconds."""
        return HealthLimits(
            min_ready_replicas=self.least_workers,
            max_loop_lag=self.loop_lag,
            max_failure_share=self.failing,
            min_requests=self.calls_enough,
            max_descriptor_share=self.sockets,
            max_memory_share=self.memory,
            unhealthy_after=int(self.sick_after * SECOND),
            healthy_after=int(self.well_after * SECOND),
            penalty_per_loss=self.penalty,
            suppress_threshold=self.hold_down,
            reuse_threshold=self.stand_again,
            half_life=int(self.half_life * SECOND),
            max_suppress_time=int(self.longest * SECOND),
        )


class AddressSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The section `[address]`. Times in seconds."""

    service: str  # host:port that clients connect to
    members: dict[str, str]  # by name, host:port of its UDP port
    keys: list[str]  # files; the first is used for sending, all are accepted
    name: str = ""  # of this member; default: the gateway's own
    listen: str = ""  # where this instance listens while it holds the address; default: `service`
    bind: str = ""  # its own UDP host:port, if it differs from the one in `members`
    witnesses: list[str] = []  # members that vote and never hold the address
    generation: Annotated[int, msgspec.Meta(ge=1)] = 1  # counts the changes of `members`
    priority: Annotated[int, msgspec.Meta(ge=0, le=255)] = 100
    take_back: float = 0.0  # healthy for so long, request it from a holder of lower priority; 0: never
    span: Seconds = 0.4
    renew: Seconds = 0.1
    answer: Seconds = 0.04
    reserve: Seconds = 0.02
    drift: Annotated[float, msgspec.Meta(ge=0.0, lt=0.1)] = 0.01
    settle: Seconds = 5.0
    announce: Literal["listen", "command"] = "listen"
    command: list[str] = []  # a program and its arguments, for `announce = "command"`
    command_limit: Seconds = 2.0
    record: str = ""  # a durable folder
    control: str = ""  # path of the socket for `lockspoke address`
    metrics: str = ""  # host:port
    trace: str = ""  # a file for each lease change with its time
    health: HealthSettings = HealthSettings()

    def __post_init__(self) -> None:
        """Raise ValueError for what the types do not exclude."""
        self._check_endpoints()
        if not self.service:
            raise ValueError("service is empty, want host:port")
        if not 1 <= len(self.keys) <= MAX_KEYS:
            raise ValueError(f"keys names {len(self.keys)} files, want one, or two while they are changed")
        self._check_announcer()
        if not math.isfinite(self.take_back) or self.take_back < 0:
            raise ValueError("take_back is below 0")
        if len(set(self.members.values())) != len(self.members):
            raise ValueError("members has one host:port twice")
        self.election_config()

    def _check_endpoints(self) -> None:
        for name, text in self.members.items():
            if not name or len(name.encode()) > MAX_NAME_BYTES:
                raise ValueError(f"members has the name {name!r}; want 1 to {MAX_NAME_BYTES} bytes")
            self._check_endpoint(f"members.{name}", text)
        for key in ("service", "listen", "metrics", "bind"):
            if getattr(self, key):
                self._check_endpoint(key, getattr(self, key))

    def _check_announcer(self) -> None:
        if self.announce == "command" and not self.command:
            raise ValueError("command is empty, want a program and its arguments")
        if self.announce == "listen" and self.command:
            raise ValueError('announce is "listen", so the command is never run; want "command"')

    def _check_endpoint(self, key: str, text: str) -> None:
        try:
            parse_endpoint(text)
        except ValueError as error:
            raise ValueError(f"{key} is wrong: {error}") from None

    def election_config(self) -> ElectionConfig:
        """What all members have to agree on, with times in nanoseconds."""
        return ElectionConfig(
            tuple(self.members),
            frozenset(self.witnesses),
            lease_duration=int(self.span * SECOND),
            renew_interval=int(self.renew * SECOND),
            vote_timeout=int(self.answer * SECOND),
            max_clock_drift=self.drift,
            release_margin=int(self.reserve * SECOND),
            generation=self.generation,
            settle_time=int(self.settle * SECOND),
        )

    def preempt_after(self) -> int | None:
        """Nanoseconds of health before this member requests the address; None: never."""
        return int(self.take_back * SECOND) or None

    def peer_addresses(self) -> dict[str, HostPort]:
        """The UDP address of each member by name."""
        return {name: parse_endpoint(text) for name, text in self.members.items()}
