"""The batch front's configuration, and its parts put together."""

from __future__ import annotations

import asyncio
import time
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import structlog

from lockspoke.memory.batch_runner import BatchRunner
from lockspoke.memory.batch_store import BatchStore
from lockspoke.memory.core import Core
from lockspoke.memory.journal import StoreError
from lockspoke.wire.batch_lines import BatchLines
from lockspoke.wire.batch_listener import BatchFront
from lockspoke.wire.discovery import ListError, decode_endpoint

from .config import Config, ConfigError

MB = 1024 * 1024
TEND = 60.0  # seconds between two looks for uploads whose time is over
DEFAULTS: dict[str, Any] = {
    "listen": "",
    "store": "",
    "kind": "bulk",
    "concurrency": 4,
    "tries": 3,
    "max_file_mb": 200,
    "max_lines": 50000,
    "connections": 64,
    "token_env": "",
    "inventory": {},
}

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class BatchConfig:
    """What the file that `--batch` names says."""

    listen: tuple[str, int]
    store: Path
    kind: str
    concurrency: int
    tries: int
    file_limit: int
    lines_limit: int
    connections: int
    token: str
    inventory: Path | None


def read_batch_config(path: Path, environment: Mapping[str, str]) -> BatchConfig:
    """Read the file; every key is checked, and one that is not known is an error."""
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    values = DEFAULTS | raw
    for key, value in values.items():
        if key not in DEFAULTS or type(value) is not type(DEFAULTS[key]):
            raise ConfigError(f"{path}: {key} is unknown or of the wrong kind")
        if isinstance(value, int) and value < 1:
            raise ConfigError(f"{path}: {key} is {value}, want 1 or more")
    if not values["store"]:
        raise ConfigError(f"{path}: store is missing")
    inventory = values["inventory"].get("path")
    if inventory is not None and not isinstance(inventory, str):
        raise ConfigError(f"{path}: inventory.path is no text")
    token = environment.get(values["token_env"], "") if values["token_env"] else ""
    if values["token_env"] and not token:
        raise ConfigError(f"{path}: token_env names {values['token_env']}, which is not set")
    try:
        listen = decode_endpoint(values["listen"], 0)
    except ListError as error:
        raise ConfigError(f"{path}: listen: {error}") from None
    return BatchConfig(
        listen=listen,
        store=Path(values["store"]),
        kind=values["kind"],
        concurrency=values["concurrency"],
        tries=values["tries"],
        file_limit=values["max_file_mb"] * MB,
        lines_limit=values["max_lines"],
        connections=values["connections"],
        token=token,
        inventory=None if inventory is None else Path(inventory),
    )


class BatchSide:
    """Store, runner and listener of the batch front."""

    def __init__(self, config: BatchConfig, gateway: Config, core: Core) -> None:
        self.config = config
        request_class = self._class(gateway)
        try:
            self.store = BatchStore(config.store, time.time)
        except (StoreError, OSError) as error:
            raise ConfigError(f"store: {error}") from None
        longest = gateway.deadlines[request_class]
        self.lines = BatchLines(self.store, config.kind, request_class, longest, config.lines_limit)
        self.runner = BatchRunner(self.store, core, self.lines, config.concurrency, config.tries, time.time)
        self.front = BatchFront(self.store, self.runner, config.connections, config.file_limit, config.token)

    def _class(self, gateway: Config) -> int:
        if self.config.kind not in gateway.classes:
            raise ConfigError(f"kind is {self.config.kind!r}, want one of {', '.join(gateway.classes)}")
        return gateway.classes[self.config.kind]

    def reconfigure(self, gateway: Config) -> None:
        """The gateway's configuration has changed: lines that begin from now on go by the new one."""
        self.lines.request_class = self._class(gateway)
        self.lines.longest = gateway.deadlines[self.lines.request_class]

    def start(self) -> None:
        """Listen, and go on with what was left unfinished."""
        host, port = self.front.listener.listen(self.config.listen)
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

    async def stop(self) -> None:
        """Begin no line any more, and store the end of those that are out."""
        self.front.draining = True
        self._tending.cancel()
        await self.runner.stop()
        self.front.listener.stop()
        self.front.listener.close_all()
        self.store.close()
