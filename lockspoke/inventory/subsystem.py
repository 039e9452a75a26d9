"""The inventory as a part of the program: the section `[inventory]` feeds the replica set."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lockspoke.core.core import Core
from lockspoke.core.replica_set import ReplicaUpdate
from lockspoke.inventory.settings import Settings
from lockspoke.inventory.source import InventoryError, InventorySource
from lockspoke.lifecycle.config import Config, ConfigError
from lockspoke.lifecycle.subsystems import Surroundings
from lockspoke.wire.clients.front import ClientFront

__all__ = ["InventoryPart", "Settings", "make"]


def make(settings: Settings, around: Surroundings) -> InventoryPart:
    """The inventory."""
    return InventoryPart(settings, around.gateway)


class _Source(InventorySource):
    """The source as the program's interface for one has it."""

    def first(self) -> ReplicaUpdate | None:
        """The list to begin with."""
        try:
            return super().first()
        except InventoryError as error:
            raise ConfigError(str(error)) from None

    def gateway_changed(self, config: Config, anew: bool) -> None:
        """Zones may have other names now."""
        self.zones_changed(config.zones, anew)


class InventoryPart:
    """The inventory's place in the program."""

    name = "inventory"
    descriptors = 16  # files, the notice, and the pipes of the helper

    def __init__(self, settings: Settings, gateway: Config) -> None:
        self.source = _Source(settings, gateway.zones)

    def attach(self, core: Core, clients: ClientFront) -> None:
        """The source is the core's discovery and has been given it."""

    def start(self) -> None:
        """The core begins to watch by itself where its list is not asked for; here it is always watched."""
        self.source.watch(True)

    def sweep(self) -> None:
        """Nothing stands for long here."""

    def prepare(self, settings: Settings, gateway: Config) -> Callable[[], None]:
        """Everything may change while it runs."""
        return lambda: self.source.reconfigure(settings)

    async def drain(self) -> None:
        """Changes of the list go on to count while calls are open."""

    def stop(self) -> None:
        """The program closes the source itself."""

    def status(self) -> dict[str, Any]:
        """As `lockspoke inventory status` shows it."""
        return self.source.status()
