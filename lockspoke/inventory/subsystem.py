"""The inventory as a part of the program: the section `[inventory]` feeds the replica set."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lockspoke.core.core import Core
from lockspoke.core.replica_set import ReplicaListUpdate
from lockspoke.inventory.settings import InventorySettings
from lockspoke.inventory.source import InventoryError, InventorySource
from lockspoke.lifecycle.config import ConfigError, GatewayConfig
from lockspoke.lifecycle.subsystems import EndpointListSource, Subsystem, SubsystemContext
from lockspoke.wire.clients.front import ClientFront

__all__ = ["InventorySettings", "InventorySubsystem", "create"]


settings_type = InventorySettings


def create(settings: InventorySettings, around: SubsystemContext) -> Subsystem:
    """The inventory."""
    return InventorySubsystem(settings, around.gateway)


class _Source(InventorySource):
    """The source as the program's interface for one has it."""

    def initial_list(self) -> ReplicaListUpdate | None:
        """The list to begin with."""
        try:
            return super().initial_list()
        except InventoryError as error:
            raise ConfigError(str(error)) from None

    def gateway_reconfigured(self, config: GatewayConfig, needs_complete_list: bool) -> None:
        """Zones may have other names now."""
        self.zones_changed(config.zones, needs_complete_list)


class InventorySubsystem:
    """The inventory's place in the program."""

    name = "inventory"
    descriptors = 16  # files, the notice, and the pipes of the helper

    def __init__(self, settings: InventorySettings, gateway: GatewayConfig) -> None:
        self.inventory = _Source(settings, gateway.zones)
        self.endpoint_list_source: EndpointListSource | None = self.inventory

    def attach(self, core: Core, clients: ClientFront) -> None:
        """The source is the core's discovery and has been given it."""

    def start(self) -> None:
        """The core begins to watch by itself where its list is not asked for; here it is always watched."""
        self.inventory.watch(True)

    def run_periodic_checks(self) -> None:
        """Nothing stands for long here."""

    def prepare_reload(self, settings: InventorySettings, gateway: GatewayConfig) -> Callable[[], None]:
        """Everything may change while it runs."""
        return lambda: self.inventory.reconfigure(settings)

    async def drain(self) -> None:
        """Changes of the list go on to count while calls are open."""

    def stop(self) -> None:
        """The program closes the source itself."""

    def status(self) -> dict[str, Any]:
        """As `lockspoke inventory status` shows it."""
        return self.inventory.status()
