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

from lockspoke.address.command import CommandAnnouncer
from lockspoke.address.health import Vitals
from lockspoke.address.listening import Announcer, Announcers, LoopbackListener, steady_clock
from lockspoke.address.member import Member
from lockspoke.address.settings import AddressSettings, endpoint
from lockspoke.core.core import Core
from lockspoke.core.totals import RequestOutcome
from lockspoke.lifecycle.config import ConfigError, GatewayConfig
from lockspoke.lifecycle.subsystems import EndpointListSource, Subsystem, SubsystemContext
from lockspoke.wire.clients.connection import ClientConnection
from lockspoke.wire.clients.front import ClientFront
from lockspoke.wire.tcp.listener import close_if_quiet

__all__ = ["AddressSettings", "AddressSubsystem", "create"]

PULSE = 0.1  # seconds between two looks at how late the loop is
RESOURCES = 1.0  # seconds between two looks at descriptors and memory, which cost more
WINDOW = 5.0  # seconds over which calls that fail are counted
QUIET = 0.3  # seconds that a connection of an address that has gone may be idle before it is closed
PAGE = os.sysconf("SC_PAGE_SIZE")

log = structlog.get_logger()


settings_type = AddressSettings


def create(settings: AddressSettings, around: SubsystemContext) -> Subsystem:
    """The moving address."""
    return AddressSubsystem(settings, around)


class AddressSubsystem:
    """The service address: clients that come by it are clients of the platform's front."""

    name = "address"
    endpoint_list_source: EndpointListSource | None = None
    descriptors = 16  # the datagrams' socket, the listener, control, metrics, a command's pipes

    def __init__(self, settings: AddressSettings, around: SubsystemContext) -> None:
        self.gateway = around.gateway
        listen = endpoint(settings.listen or settings.service)
        self.listener = LoopbackListener(listen, self._accepted)
        announcers: list[Announcer] = [self.listener]
        if settings.announce == "command":
            announcers.append(
                CommandAnnouncer(settings.command, settings.service, settings.command_limit, steady_clock)
            )
        announcers.append(_Withdrawal(self._withdrawn))
        try:
            self.member = Member(settings, settings.name or around.gateway.name, Announcers(announcers))
        except (ValueError, OSError) as error:
            raise ConfigError(f"address.{error}") from None
        self.connections: set[ClientConnection] = set()
        self._samples: deque[tuple[float, int, int]] = deque()
        self._lag = 0.0
        self._resources, self._looked_at = (0.0, 0.0), float("-inf")  # shares in use, and when that was seen
        self._tasks: set[asyncio.Task[None]] = set()
        self._draining = False

    def attach(self, core: Core, clients: ClientFront) -> None:
        """The core and the front that its clients go to."""
        self.core, self.clients = core, clients

    def start(self) -> None:
        """Begin."""
        self._keep(self._start())

    def _keep(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
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
        await self._pulse()

    async def _pulse(self) -> None:
        """See how late timers fire, and judge by that and the rest how this instance is."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + PULSE
            await asyncio.sleep(PULSE)
            # The latest lag counts, and what was before it fades.
            self._lag = max(loop.time() - due, self._lag * 0.7)
            if not self._draining:
                self.member.judge(self._vitals(loop.time()))
            self.member.keep_record()

    def _vitals(self, now: float) -> Vitals:
        outcomes = self.core.totals.request_outcomes
        failed = outcomes[RequestOutcome.FAILED] + outcomes[RequestOutcome.REJECTED]
        self._samples.append((now, outcomes[RequestOutcome.SERVED] + failed, failed))
        while self._samples[0][0] < now - WINDOW:
            self._samples.popleft()
        calls = self._samples[-1][1] - self._samples[0][1]
        failing = (self._samples[-1][2] - self._samples[0][2]) / calls if calls else 0.0
        if now - self._looked_at >= RESOURCES:
            self._resources, self._looked_at = (_sockets(self.gateway), _memory(self.gateway)), now
        return Vitals(self.core.replica_set.ready_count, self._lag, failing, calls, *self._resources)

    # Clients of the service address

    def _accepted(self, accepted: socket.socket, token: int) -> None:
        connection = self.clients.listener.serve_accepted(accepted)
        assert isinstance(connection, ClientConnection)
        # Also what comes later on it counts only while the lease runs.
        connection.lease_is_valid = lambda: (
            self.member.node.election.token >= token and self.member.node.holding
        )
        self.connections.add(connection)

    def _withdrawn(self, reason: str) -> None:
        """The address has gone: finish what is open, then hand over, as at a stop."""
        leaving, self.connections = self.connections, set()
        if leaving and not self._draining:
            self._keep(self._finish(leaving))

    async def _finish(self, leaving: set[ClientConnection]) -> None:
        loop = asyncio.get_running_loop()
        for connection in leaving:
            connection.closes_after_response = True
        end = loop.time() + self.gateway.shutdown_time
        while leaving:
            before = loop.time() - QUIET
            for connection in list(leaving):
                if connection.idle and connection.active_at <= before:
                    close_if_quiet(connection)
                if connection.stream.closed():
                    leaving.discard(connection)
            if leaving and self.gateway.clients_resume_streams and loop.time() >= end:
                open_requests = [one.open_request for one in leaving if one.open_request is not None]
                self.core.hand_off(open_requests)
                end = float("inf")
            await asyncio.sleep(0.05)

    def run_periodic_checks(self) -> None:
        """Forget connections that have ended."""
        self.connections = {one for one in self.connections if not one.stream.closed()}

    def prepare_reload(self, settings: AddressSettings, gateway: GatewayConfig) -> Callable[[], None]:
        """Members one at a time, keys, priority and health may change while it runs."""
        try:
            commit = self.member.prepare(settings)
        except ValueError as error:
            raise ConfigError(f"address.{error}") from None

        def both() -> None:
            commit()
            self.gateway = gateway

        return both

    async def drain(self) -> None:
        """Hand the address over; what came by it ends with all other connections."""
        self._draining = True
        await self.member.leave(patience=1.0)
        self.listener.withdraw("it stops")

    def stop(self) -> None:
        """End for good."""
        for task in self._tasks:
            task.cancel()
        self.member.stop()

    def status(self) -> dict[str, Any]:
        """As `lockspoke address status` shows it."""
        return {**self.member.status(), "connections": len(self.connections)}


class _Withdrawal:
    """Tells the part when the address goes."""

    def __init__(self, withdrawn: Callable[[str], None]) -> None:
        self.withdrawn = withdrawn

    def claim(self, token: int, until: Callable[[], int]) -> None:
        """Nothing is to be done."""

    def withdraw(self, reason: str) -> None:
        """Pass it on."""
        self.withdrawn(reason)


def _sockets(gateway: GatewayConfig) -> float:
    """The share of its descriptors that the process uses; 0 where the system doesn't tell."""
    try:
        used = len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0.0
    return used / min(gateway.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def _memory(gateway: GatewayConfig) -> float:
    """The share of its memory that the process uses; 0 where the system doesn't tell."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0.0
    return pages * PAGE / (gateway.memory_mb * 1024 * 1024)
