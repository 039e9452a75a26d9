"""The batch front as a subsystem of the program: connects the store, the runner and the front."""

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

from .front import BatchFront
from .journal import StoreError
from .lines import BatchLines
from .runner import BatchRunner
from .settings import BatchSettings
from .store import BatchStore

EXPIRY_INTERVAL = 60.0  # seconds between two searches for expired uploads
FIXED_SETTINGS = ("listen", "store", "connections", "token_env")  # Changing these requires a restart.

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


async def stop_batches(front: BatchFront, runner: BatchRunner, store: BatchStore) -> None:
    """Start no more lines, store the results of those in flight, and close front and store."""
    front.start_draining()
    await runner.stop()
    front.close()
    await store.wait_until_idle()  # Interactive requests continue meanwhile.
    store.close()


class BatchSubsystem:
    """Store, runner and front of the batch API."""

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

    def attach(self, core: Core, clients: ClientFront) -> None:  # noqa: ARG002  Batches do not use the client front.
        """Open the store and connect runner and front; raises ConfigError if the store cannot be opened."""
        settings = self.settings
        try:
            self.store = BatchStore(Path(settings.store), steady_unix_time, read_boot_time())
        except (StoreError, OSError) as error:
            raise ConfigError(f"batch.store: {error}") from None
        self.store.max_lines = settings.max_lines
        first_token_timeout = self.gateway.deadlines[self.request_class]
        self.lines = BatchLines(
            self.store, settings.kind, self.request_class, first_token_timeout, settings.max_lines
        )
        self.runner = BatchRunner(
            self.store, core, self.lines, settings.concurrency, settings.tries, steady_unix_time
        )
        self.front = BatchFront(
            self.store, self.runner, settings.connections, settings.file_limit, self.token
        )

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
            self.lines.class_name = settings.kind
            self.lines.request_class = request_class
            self.lines.first_token_timeout = gateway.deadlines[request_class]
            self.lines.max_lines = self.store.max_lines = settings.max_lines
            self.runner.reconfigure(settings.concurrency, settings.tries)
            self.front.limits.set_file_size(settings.file_limit)

        return commit

    def start(self) -> None:
        """Listen, and resume unfinished batches."""
        host, port = self.front.listener.listen(self.settings.address)
        log.info("batch_listening", host=host, port=port, batches=len(self.store.batches))
        self.runner.start()
        self._expiry = asyncio.ensure_future(self._expire_uploads())

    async def _expire_uploads(self) -> None:
        while True:
            try:
                async with self.store.creation_lock:
                    await self.store.expire_uploads()
            except StoreError as error:
                log.error("store_unavailable", error=str(error))
            await asyncio.sleep(EXPIRY_INTERVAL)

    def run_periodic_checks(self) -> None:
        """Enforce the time limits and the maximum number of connections."""
        self.front.run_periodic_checks()

    def status(self) -> dict[str, Any]:
        """The number of batches and of connections."""
        return {"batches": len(self.store.batches), "connections": len(self.front.listener.connections)}

    async def drain(self) -> None:
        """Start no more lines, store the results of those in flight, and close everything."""
        self._expiry.cancel()
        await stop_batches(self.front, self.runner, self.store)

    def stop(self) -> None:
        """Do nothing: `drain` has closed everything."""
