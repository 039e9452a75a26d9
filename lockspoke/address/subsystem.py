"""The moving address as a part of the program: the section `[address]`."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from lockspoke.address.announcer import Announcer, AnnouncerGroup
from lockspoke.address.clock import steady_clock
from lockspoke.address.command_announcer import CommandAnnouncer
from lockspoke.address.health import HealthMetrics
from lockspoke.address.listener import ServiceListener
from lockspoke.address.member import Member
from lockspoke.address.settings import AddressSettings, parse_endpoint
from lockspoke.core.core import Core
from lockspoke.lifecycle.config import ConfigError, GatewayConfig
from lockspoke.lifecycle.subsystems import EndpointListSource, Subsystem, SubsystemContext
from lockspoke.wire.clients.front import ClientConnection, ClientFront
from lockspoke.wire.tcp.listener import close_if_quiet

__all__ = ["AddressSettings", "AddressSubsystem", "create"]

MEASURE_INTERVAL = 0.1  # seconds between two looks at how late the loop is
RESOURCE_INTERVAL = 1.0  # seconds between two looks at descriptors and memory, which cost more
FAILURE_WINDOW = 5.0  # seconds over which calls that fail are counted
# seconds that a connection of an address that has gone may be idle before it is closed
IDLE_BEFORE_CLOSE = 0.3
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

log = structlog.get_logger()


settings_type = AddressSettings


def create(settings: AddressSettings, context: SubsystemContext) -> Subsystem:
    """The moving address."""
    return AddressSubsystem(settings, context)


class AddressSubsystem:
    """The service address: clients that come by it are clients of the platform's front."""

    name = "address"
    endpoint_list_source: EndpointListSource | None = None
    descriptors = 16  # the datagrams' socket, the listener, control, metrics, a command's pipes

    def __init__(self, settings: AddressSettings, context: SubsystemContext) -> None:
        self.gateway = context.gateway
        listen = parse_endpoint(settings.listen or settings.service)
        self.listener = ServiceListener(listen, self._on_accepted)
        announcers: list[Announcer] = [self.listener]
        if settings.announce == "command":
            announcers.append(
                CommandAnnouncer(settings.command, settings.service, settings.command_limit, steady_clock)
            )
        announcers.append(_WithdrawalCallback(self._on_withdrawn))
        try:
            self.member = Member(settings, settings.name or context.gateway.name, AnnouncerGroup(announcers))
        except (ValueError, OSError) as error:
            raise ConfigError(f"address.{error}") from None
        self.connections: set[ClientConnection] = set()
        self._samples: deque[tuple[float, int, int]] = deque()
        self._loop_lag = 0.0
        self._resources, self._looked_at = (0.0, 0.0), float("-inf")  # shares in use, and when that was seen
        self._tasks: set[asyncio.Task[None]] = set()
        self._draining = False

    def attach(self, core: Core, clients: ClientFront) -> None:
        """The core and the front that its clients go to."""
        self.core, self.clients = core, clients

    def start(self) -> None:
        """Begin."""
        self._start_task(self._start())

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(self) -> None:
        try:
            await self.member.start()
        except OSError as error:
            # The platform's front serves on; without its own port this instance can't have the address.
            log.error("address_not_started", reason=str(error))
            self.member.stop()
            return
        await self._measure_health()

    async def _measure_health(self) -> None:
        """See how late timers fire, and judge by that and the rest how this instance is."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + MEASURE_INTERVAL
            await asyncio.sleep(MEASURE_INTERVAL)
            # The latest lag counts, and what was before it fades.
            self._loop_lag = max(loop.time() - due, self._loop_lag * 0.7)
            if not self._draining:
                self.member.update_health(self._read_metrics(loop.time()))
            self.member.save_record()

    def _read_metrics(self, now: float) -> HealthMetrics:
        totals = self.core.totals
        failed = totals["failed"] + totals["refused"]
        self._samples.append((now, totals["served"] + failed, failed))
        while self._samples[0][0] < now - FAILURE_WINDOW:
            self._samples.popleft()
        calls = self._samples[-1][1] - self._samples[0][1]
        failing = (self._samples[-1][2] - self._samples[0][2]) / calls if calls else 0.0
        if now - self._looked_at >= RESOURCE_INTERVAL:
            self._resources, self._looked_at = (
                (descriptor_share(self.gateway), memory_share(self.gateway)),
                now,
            )
        return HealthMetrics(
            self.core.replica_set.ready_count, self._loop_lag, failing, calls, *self._resources
        )

    # Clients of the service address

    def _on_accepted(self, accepted: socket.socket, token: int) -> None:
        connection = self.clients.listener.adopt(accepted)
        assert isinstance(connection, ClientConnection)
        # Also what comes later on it counts only while the lease runs.
        connection.lease_is_valid = lambda: (
            self.member.node.election.lease.token >= token and self.member.node.holding
        )
        self.connections.add(connection)

    def _on_withdrawn(self, reason: str) -> None:
        """The address has gone: finish what is open, then hand over, as at a stop."""
        leaving, self.connections = self.connections, set()
        if leaving and not self._draining:
            self._start_task(self._drain_connections(leaving))

    async def _drain_connections(self, connections: set[ClientConnection]) -> None:
        loop = asyncio.get_running_loop()
        for connection in connections:
            connection.closes_after_response = True
        end = loop.time() + self.gateway.stop_time
        while connections:
            before = loop.time() - IDLE_BEFORE_CLOSE
            for connection in list(connections):
                if connection.idle and connection.active_at <= before:
                    close_if_quiet(connection)
                if connection.stream.closed():
                    connections.discard(connection)
            if connections and self.gateway.resumes and loop.time() >= end:
                open_requests = [one.open_request for one in connections if one.open_request is not None]
                self.core.hand_off(open_requests)
                end = float("inf")
            await asyncio.sleep(0.05)

    def run_periodic_checks(self) -> None:
        """Forget connections that have ended."""
        self.connections = {one for one in self.connections if not one.stream.closed()}

    def prepare_reload(self, settings: AddressSettings, gateway: GatewayConfig) -> Callable[[], None]:
        """Members one at a time, keys, priority and health may change while it runs."""
        try:
            commit = self.member.prepare_reload(settings)
        except ValueError as error:
            raise ConfigError(f"address.{error}") from None

        def both() -> None:
            commit()
            self.gateway = gateway

        return both

    async def drain(self) -> None:
        """Hand the address over; what came by it ends with all other connections."""
        self._draining = True
        await self.member.leave(timeout=1.0)
        self.listener.withdraw("it stops")

    def stop(self) -> None:
        """End for good."""
        for task in self._tasks:
            task.cancel()
        self.member.stop()

    def status(self) -> dict[str, Any]:
        """As `lockspoke address status` shows it."""
        return {**self.member.status(), "connections": len(self.connections)}


class _WithdrawalCallback:
    """Tells the part when the address goes."""

    def __init__(self, withdrawn: Callable[[str], None]) -> None:
        self.withdrawn = withdrawn

    def claim(self, token: int, until: Callable[[], int]) -> None:
        """Nothing is to be done."""

    def withdraw(self, reason: str) -> None:
        """Pass it on."""
        self.withdrawn(reason)


def descriptor_share(gateway: GatewayConfig) -> float:
    """The share of its descriptors that the process uses; 0 where the system doesn't tell."""
    try:
        used = len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0.0
    return used / min(gateway.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def memory_share(gateway: GatewayConfig) -> float:
    """The share of its memory that the process uses; 0 where the system doesn't tell."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0.0
    return pages * PAGE_BYTES / (gateway.memory_mb * 1024 * 1024)
