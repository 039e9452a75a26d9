"""The service address as a subsystem of the gateway, configured by the section `[address]`."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

from lockspoke.core.core import Core
from lockspoke.lifecycle.config import ConfigError, GatewayConfig
from lockspoke.lifecycle.subsystems import EndpointListSource, Subsystem, SubsystemContext
from lockspoke.wire.clients.front import ClientFront

from .announcer import Announcer, AnnouncerGroup
from .clock import steady_clock
from .command_announcer import CommandAnnouncer
from .connections import ServiceConnections
from .listener import ServiceListener
from .measurements import HealthMeter
from .member import Member
from .settings import AddressSettings, parse_endpoint

HEALTH_INTERVAL_SECONDS = 0.1
LEAVE_TIMEOUT_SECONDS = 1.0  # At a shutdown the address must be transferred within this time.

log = structlog.get_logger()

settings_type = AddressSettings  # `lifecycle.subsystems` reads this.


def create(settings: AddressSettings, context: SubsystemContext) -> Subsystem:
    """Create the subsystem; raises ConfigError."""
    return AddressSubsystem(settings, context)


class AddressSubsystem:
    """The service address: clients that connect to it are served by the client front."""

    name = "address"
    endpoint_list_source: EndpointListSource | None = None
    descriptors = 16  # The sockets for UDP, service, control and metrics, and the pipes of a command.

    def __init__(self, settings: AddressSettings, context: SubsystemContext) -> None:
        """Raises ConfigError for settings that can't be used."""
        self._gateway = context.gateway
        self._meter = HealthMeter(context.gateway)
        self._listener = ServiceListener(
            parse_endpoint(settings.listen or settings.service), self._on_accepted
        )
        try:
            name = settings.name or context.gateway.name
            self._member = Member(settings, name, AnnouncerGroup(self._announcers(settings)))
        except (ValueError, OSError) as error:
            raise ConfigError(f"address.{error}") from None
        self._tasks: set[asyncio.Task[None]] = set()
        self._draining = False

    def _announcers(self, settings: AddressSettings) -> list[Announcer]:
        announcers: list[Announcer] = [self._listener]
        if settings.announce == "command":
            command, timeout = settings.command, settings.command_limit
            announcers.append(CommandAnnouncer(command, settings.service, timeout, steady_clock))
        announcers.append(_WithdrawalCallback(self._on_withdrawn))
        return announcers

    def attach(self, core: Core, clients: ClientFront) -> None:
        """Set the core and the client front that serves the clients; called before `start`."""
        self._core = core
        self._connections = ServiceConnections(core, clients)

    def start(self) -> None:
        """Join the election, on the running loop."""
        self._start_task(self._run())

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self) -> None:
        try:
            await self._member.start()
        except OSError as error:
            # The client front keeps running, but without the election this instance can't hold the address.
            log.error("address_not_started", reason=str(error))
            self._member.stop()
            return
        await self._measure_health()

    async def _measure_health(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + HEALTH_INTERVAL_SECONDS
            await asyncio.sleep(HEALTH_INTERVAL_SECONDS)
            now = loop.time()
            self._meter.record_lag(now - due)
            if not self._draining:
                self._member.update_health(self._meter.read(self._core, now))
            self._member.save_record()

    def _on_accepted(self, accepted: socket.socket, token: int) -> None:
        node = self._member.node

        def lease_is_valid() -> bool:
            return node.election.lease.token >= token and node.holding

        self._connections.adopt(accepted, lease_is_valid)

    def _on_withdrawn(self) -> None:
        """Drain the connections of an address that has moved, as at a shutdown."""
        connections = self._connections.release()
        if connections and not self._draining:
            stop_time = self._gateway.shutdown_time
            self._start_task(self._connections.drain(connections, stop_time, self._may_hand_off))

    def _may_hand_off(self) -> bool:
        return self._gateway.clients_resume_streams

    def run_periodic_checks(self) -> None:
        """Forget closed connections."""
        self._connections.discard_closed()

    def prepare_reload(self, settings: AddressSettings, gateway: GatewayConfig) -> Callable[[], None]:
        """Check new settings; returns the function that puts them in force.

        Members (one at a time), keys, priority and health limits may change while the program runs.

        Raises:
            ConfigError: A setting is wrong or can't change.
        """
        try:
            commit_member = self._member.prepare_reload(settings)
        except ValueError as error:
            raise ConfigError(f"address.{error}") from None

        def commit() -> None:
            commit_member()
            self._gateway = self._meter.gateway = gateway

        return commit

    async def drain(self) -> None:
        """Transfer the address; the gateway drains its connections together with all others."""
        self._draining = True
        await self._member.leave(LEAVE_TIMEOUT_SECONDS)
        self._listener.withdraw("it is shutting down")

    def stop(self) -> None:
        """Cancel all tasks and leave the election."""
        for task in self._tasks:
            task.cancel()
        self._member.stop()

    def status(self) -> dict[str, Any]:
        """The state as JSON values."""
        return {**self._member.status(), "connections": len(self._connections)}


class _WithdrawalCallback:
    """An announcer that only reports withdrawals."""

    def __init__(self, on_withdrawn: Callable[[], None]) -> None:
        self._on_withdrawn = on_withdrawn

    def claim(self, token: int, lease_until: Callable[[], int]) -> None:
        """Do nothing."""

    def withdraw(self, reason: str) -> None:  # noqa: ARG002 - the protocol of announcers has it
        """Report the withdrawal."""
        self._on_withdrawn()
