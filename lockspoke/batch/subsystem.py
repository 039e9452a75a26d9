"""The batch front as a subsystem of the program: opens the store, or takes it over from an older version."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from lockspoke.boot_time import read_boot_time
from lockspoke.core.core import Core
from lockspoke.lifecycle.config import ConfigError, GatewayConfig
from lockspoke.lifecycle.subsystems import EndpointListSource, Subsystem, SubsystemContext
from lockspoke.steady_unix_time import steady_unix_time
from lockspoke.wire.clients.front import ClientFront

from .journal import StoreError, StoreInUseError
from .service import BatchService
from .settings import BatchSettings
from .store import BatchStore

FIXED_SETTINGS = ("listen", "store", "connections", "token_env")  # Changing these requires a restart.
TAKE_OVER_INTERVAL = 0.05  # seconds between two attempts to open a store that is in use
TAKE_OVER_RETRY_INTERVAL = 1.0  # seconds after an attempt that failed for another reason

log = structlog.get_logger()

settings_type = BatchSettings


def create(settings: BatchSettings, context: SubsystemContext) -> Subsystem:
    """Create the batch front; raises ConfigError if the settings do not match the gateway's configuration."""
    return BatchSubsystem(settings, context)


def _request_class(settings: BatchSettings, gateway: GatewayConfig) -> int:
    """The index of the request class of lines."""
    if settings.kind not in gateway.classes:
        raise ConfigError(f"batch.kind is {settings.kind!r}, want one of {', '.join(gateway.classes)}")
    return gateway.classes[settings.kind]


class BatchSubsystem:
    """The batch front, which serves once it has the store.

    During an upgrade the old version has the store until it ends. The new one starts without the batch front
    and takes the store over then.
    """

    name = "batch"
    endpoint_list_source: EndpointListSource | None = None

    def __init__(self, settings: BatchSettings, context: SubsystemContext) -> None:
        self.settings = settings
        self.gateway = context.gateway
        self.request_class = _request_class(settings, context.gateway)
        self.token = context.environment.get(settings.token_env, "") if settings.token_env else ""
        if settings.token_env and not self.token:
            raise ConfigError(f"batch.token_env names {settings.token_env}, which is not set")
        self.descriptors = settings.connections
        self._service: BatchService | None = None  # None while another process has the store.
        self._take_over: asyncio.Task[None] | None = None

    def attach(self, core: Core, clients: ClientFront) -> None:  # noqa: ARG002  Batches do not use the client front.
        """Open the store and connect the parts; raises ConfigError if the store cannot be opened.

        A store that is in use is an error only if this gateway cannot be a new version beside an old one,
        which takes an address for operators.
        """
        self._core = core
        try:
            self._service = self._create_service(self._open_store())
        except StoreInUseError as error:
            if self.gateway.operator is None:
                raise ConfigError(f"batch.store: {error}") from None
        except (StoreError, OSError) as error:
            raise ConfigError(f"batch.store: {error}") from None

    def _open_store(self) -> BatchStore:
        return BatchStore(Path(self.settings.store), steady_unix_time, read_boot_time())

    def _create_service(self, store: BatchStore) -> BatchService:
        return BatchService(store, self._core, self.settings, self.gateway, self.request_class, self.token)

    def prepare_reload(self, settings: BatchSettings, gateway: GatewayConfig) -> Callable[[], None]:
        """Check new settings; returns a function that applies them.

        Raises:
            ConfigError: A changed setting requires a restart, or the request class is unknown.
        """
        for name in FIXED_SETTINGS:
            if getattr(settings, name) != getattr(self.settings, name):
                raise ConfigError(f"batch.{name} can't change while the program runs; restart it")
        request_class = _request_class(settings, gateway)

        def commit() -> None:
            self.settings = settings
            self.gateway = gateway
            self.request_class = request_class
            if self._service is not None:
                self._service.reconfigure(settings, gateway, request_class)

        return commit

    def start(self) -> None:
        """Listen and resume unfinished batches, now or once another process has given up the store."""
        if self._service is not None:
            self._service.start(self.settings.address)
            return
        log.info("batch_store_in_use", store=self.settings.store)
        self._take_over = asyncio.ensure_future(self._start_when_store_is_free())

    async def _start_when_store_is_free(self) -> None:
        service = self._create_service(await self._open_store_when_free())
        # No other process has the store, so this one is responsible for it even if it cannot listen yet.
        self._service = service
        while True:
            try:
                service.start(self.settings.address)
            except OSError as error:
                log.error("batch_take_over_failed", error=str(error))
                await asyncio.sleep(TAKE_OVER_RETRY_INTERVAL)
            else:
                return

    async def _open_store_when_free(self) -> BatchStore:
        while True:
            try:
                # In a thread, because a long journal takes long to read.
                return await asyncio.to_thread(self._open_store)
            except StoreInUseError:
                await asyncio.sleep(TAKE_OVER_INTERVAL)
            except (StoreError, OSError) as error:
                log.error("batch_take_over_failed", error=str(error))
                await asyncio.sleep(TAKE_OVER_RETRY_INTERVAL)

    def run_periodic_checks(self) -> None:
        """Enforce the time limits and the maximum number of connections."""
        if self._service is not None:
            self._service.run_periodic_checks()

    def status(self) -> dict[str, Any]:
        """The number of batches and of connections."""
        if self._service is None:
            return {"batches": 0, "connections": 0}
        return self._service.status()

    async def drain(self) -> None:
        """Start no more lines, store the results of those in flight, and close everything."""
        if self._take_over is not None:
            self._take_over.cancel()
        if self._service is not None:
            await self._service.drain()

    def stop(self) -> None:
        """Do nothing: `drain` has closed everything."""
