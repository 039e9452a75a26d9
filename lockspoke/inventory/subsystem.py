"""The inventory as a subsystem: with the section `[inventory]`, files provide the endpoint list."""

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


def create(settings: InventorySettings, context: SubsystemContext) -> Subsystem:
    """Create the subsystem."""
    return InventorySubsystem(settings, context.gateway)


class _Source(InventorySource):
    """Adapts the inventory source to the program's interface for sources of the endpoint list."""

    def initial_list(self) -> ReplicaListUpdate | None:
        """The list to start with. Raises ConfigError if the inventory has no usable replica."""
        try:
            return super().initial_list()
        except InventoryError as error:
            raise ConfigError(str(error)) from None

    def gateway_reconfigured(self, config: GatewayConfig, needs_complete_list: bool) -> None:
        """Use the zones of the new configuration."""
        self.zones_changed(config.zones, needs_complete_list)


class InventorySubsystem:
    """Connects the inventory to the program."""

    name = "inventory"
    descriptors = 16  # For files, change notifications and the pipes of the parser process.

    def __init__(self, settings: InventorySettings, gateway: GatewayConfig) -> None:
        self.inventory = _Source(settings, gateway.zones)
        self.endpoint_list_source: EndpointListSource | None = self.inventory

    def attach(self, core: Core, clients: ClientFront) -> None:
        """Nothing to do: the program connects the source and the core."""

    def start(self) -> None:
        """Watch the files even if the core does not request it."""
        self.inventory.watch(True)

    def run_periodic_checks(self) -> None:
        """Nothing to check."""

    def prepare_reload(
        self,
        settings: InventorySettings,
        gateway: GatewayConfig,  # noqa: ARG002 - part of the protocol; zones come by gateway_reconfigured
    ) -> Callable[[], None]:
        """Accept any change of the settings."""
        return lambda: self.inventory.reconfigure(settings)

    async def drain(self) -> None:
        """Nothing to wait for: changes of the list are applied until the last request has ended."""

    def stop(self) -> None:
        """Nothing to do: the program closes the source."""

    def status(self) -> dict[str, Any]:
        """The status document of the inventory."""
        return self.inventory.status()
