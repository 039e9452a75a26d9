"""The batch front's configuration, and its parts put together."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import msgspec
import structlog

from lockspoke.batch.journal import StoreError
from lockspoke.batch.lines import BatchLines
from lockspoke.batch.listener import BatchFront
from lockspoke.batch.runner import BatchRunner
from lockspoke.batch.store import BatchStore
from lockspoke.core.core import Core
from lockspoke.lifecycle.config import ConfigError, GatewayConfig
from lockspoke.lifecycle.subsystems import EndpointListSource, Subsystem, SubsystemContext
from lockspoke.units import MEBIBYTE
from lockspoke.wire.clients.front import ClientFront
from lockspoke.wire.discovery.endpoint_list import EndpointListError, decode_address

TEND = 60.0  # seconds between two looks for uploads whose time is over
Count = Annotated[int, msgspec.Meta(ge=1)]

log = structlog.get_logger()


class BatchSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The section `[batch]`."""

    listen: str  # host:port
    store: str  # a folder that survives restarts
    kind: str = "bulk"  # the request class of a line
    concurrency: Count = 4  # lines out at once
    tries: Count = 3  # of a line that fails
    max_file_mb: Count = 200
    max_lines: Count = 50000
    connections: Count = 64
    token_env: str = ""  # the variable that holds the key clients must show

    def __post_init__(self) -> None:
        """Check what types do not tell."""
        if not self.store:
            raise ValueError("store is empty, want a folder")
        try:
            decode_address(self.listen, 0)
        except EndpointListError as error:
            raise ValueError(f"listen is wrong: {error}") from None


settings_type = BatchSettings


def create(settings: BatchSettings, around: SubsystemContext) -> Subsystem:
    """The batch front."""
    return BatchSubsystem(settings, around)


class BatchSubsystem:
    """Store, runner and listener of the batch front."""

    name = "batch"
    endpoint_list_source: EndpointListSource | None = None

    def __init__(self, settings: BatchSettings, around: SubsystemContext) -> None:
        self.settings = settings
        self.gateway = around.gateway
        self.request_class = self._class(settings, around.gateway)
        self.token = around.environment.get(settings.token_env, "") if settings.token_env else ""
        if settings.token_env and not self.token:
            raise ConfigError(f"batch.token_env names {settings.token_env}, which is not set")
        self.descriptors = settings.connections

    def attach(self, core: Core, clients: ClientFront) -> None:
        """Open the store and put the parts together."""
        settings = self.settings
        try:
            self.store = BatchStore(Path(settings.store), time.time)
        except (StoreError, OSError) as error:
            raise ConfigError(f"batch.store: {error}") from None
        longest = self.gateway.deadlines[self.request_class]
        self.lines = BatchLines(self.store, settings.kind, self.request_class, longest, settings.max_lines)
        self.runner = BatchRunner(
            self.store, core, self.lines, settings.concurrency, settings.tries, time.time
        )
        limit = settings.max_file_mb * MEBIBYTE
        self.front = BatchFront(self.store, self.runner, settings.connections, limit, self.token)

    def _class(self, settings: BatchSettings, gateway: GatewayConfig) -> int:
        if settings.kind not in gateway.classes:
            raise ConfigError(f"batch.kind is {settings.kind!r}, want one of {', '.join(gateway.classes)}")
        return gateway.classes[settings.kind]

    def prepare_reload(self, settings: BatchSettings, gateway: GatewayConfig) -> Callable[[], None]:
        """What may change while it runs: kind, concurrency, tries, sizes. The rest needs a restart."""
        fixed = ("listen", "store", "connections", "token_env")
        changed = [name for name in fixed if getattr(settings, name) != getattr(self.settings, name)]
        if changed:
            raise ConfigError(f"batch.{changed[0]} can't change while the program runs; restart it")
        request_class = self._class(settings, gateway)

        def commit() -> None:
            self.settings, self.gateway, self.request_class = settings, gateway, request_class
            self.lines.kind, self.lines.request_class = settings.kind, request_class
            self.lines.longest = gateway.deadlines[request_class]
            self.lines.most = settings.max_lines
            self.runner.concurrency, self.runner.tries = settings.concurrency, settings.tries
            self.front.file_limit = settings.max_file_mb * MEBIBYTE

        return commit

    def start(self) -> None:
        """Listen, and go on with what was left unfinished."""
        host, port = self.front.listener.listen(decode_address(self.settings.listen, 0))
        log.info("batch_listening", host=host, port=port, batches=len(self.store.batches))
        self.runner.start()
        self._tending = asyncio.ensure_future(self._tend())

    async def _tend(self) -> None:
        while True:
            try:
                async with self.store.creating:
                    await self.store.expire_uploads()
            except StoreError as error:
                log.error("store_failing", error=str(error))
            await asyncio.sleep(TEND)

    def run_periodic_checks(self) -> None:
        """Close connections that stand still."""
        self.front.run_periodic_checks()

    def status(self) -> dict[str, Any]:
        """How many batches there are, and connections."""
        return {"batches": len(self.store.batches), "connections": len(self.front.listener.connections)}

    async def drain(self) -> None:
        """Begin no line any more, and store the end of those that are out."""
        self.front.draining = True
        self._tending.cancel()
        await self.runner.stop()
        self.front.listener.stop()
        self.front.listener.close_all()
        self.store.close()

    def stop(self) -> None:
        """All has ended with the drain."""
