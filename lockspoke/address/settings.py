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

MAX_KEYS = 2  # Both are valid during a key rotation.

Share = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=86400.0)]


def parse_endpoint(text: str) -> HostPort:
    """Parse `host:port` or `[host]:port` with a literal address; raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


class HealthSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The section `[address.health]`: limits of healthy metrics, and flap damping. Times are in seconds.

    Attributes:
        least_workers: The minimum number of ready replicas.
        loop_lag: The maximum time by which timers may fire late.
        failing: The maximum share of recent requests that may fail.
        calls_enough: The number of recent requests from which on `failing` applies.
        sockets: The maximum share of file descriptors in use.
        memory: The maximum share of memory in use.
        sick_after: How long a limit must be exceeded until the instance is unhealthy.
        well_after: How long the metrics must be within all limits until the instance is healthy.
        penalty: The penalty of flap damping for each loss of the address for reasons of health.
        hold_down: The penalty from which on the instance is suppressed.
        stand_again: The penalty below which the instance is no longer suppressed.
        half_life: The time in which the penalty decays by half.
        longest: The maximum time of suppression after the latest loss.
    """

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
    """The section `[address]`. Times are in seconds.

    Attributes:
        service: The host:port that clients connect to.
        members: By name, the host:port of each member's UDP port.
        keys: The key files; the first key is used for sending, all are accepted.
        name: The name of this member; default: the gateway's name.
        listen: The host:port where this instance listens while it holds the address; default: `service`.
        bind: The UDP host:port that this member binds, if it differs from its entry in `members`.
        witnesses: Members that vote and never hold the address.
        generation: Counts the changes of `members`.
        priority: A higher one makes the member become a candidate sooner.
        take_back: How long this member must have been healthy before it requests the address from a holder
            of lower priority; 0: it never does.
        span: The duration of a lease.
        renew: The interval at which the holder renews its lease.
        answer: How long a candidate waits for votes.
        reserve: The holder ends its lease this long before the votes expire, since timers may fire late.
        drift: How much faster or slower than true time a clock may run, as a share.
        settle: How long a member that has adopted a member list still votes for candidates with the previous
            one.
        announce: How the address is announced: by listening only, or also by running `command`.
        command: The program and its arguments, for `announce = "command"`.
        command_limit: The timeout of the command.
        record: The folder of the term record; it must be durable.
        control: The path of the control socket for `lockspoke address`.
        metrics: The host:port that serves the metrics.
        trace: A file for each change of the lease with its time.
        health: The section `[address.health]`.
    """

    service: str
    members: dict[str, str]
    keys: list[str]
    name: str = ""
    listen: str = ""
    bind: str = ""
    witnesses: list[str] = []
    generation: Annotated[int, msgspec.Meta(ge=1)] = 1
    priority: Annotated[int, msgspec.Meta(ge=0, le=255)] = 100
    take_back: float = 0.0
    span: Seconds = 0.4
    renew: Seconds = 0.1
    answer: Seconds = 0.04
    reserve: Seconds = 0.02
    drift: Annotated[float, msgspec.Meta(ge=0.0, lt=0.1)] = 0.01
    settle: Seconds = 5.0
    announce: Literal["listen", "command"] = "listen"
    command: list[str] = []
    command_limit: Seconds = 2.0
    record: str = ""
    control: str = ""
    metrics: str = ""
    trace: str = ""
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
