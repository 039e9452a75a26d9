"""The platform's discovery service as the source of the endpoint list."""

from __future__ import annotations

from lockspoke.core.replica_set import ReplicaListUpdate
from lockspoke.wire.discovery.watch import DiscoveryWatch, max_wait_ms

from .config import ConfigError, GatewayConfig


class PlatformDiscovery(DiscoveryWatch):
    """Watches the platform's discovery service, also after a reload that changes its address."""

    def __init__(self, config: GatewayConfig) -> None:
        """Create a stopped watch. Raises ConfigError if the configuration has no discovery address."""
        if config.discovery is None:
            raise ConfigError("discovery is missing")
        super().__init__(
            config.discovery, max_wait_ms(config.settings.gateway_index, config.settings.gateway_count)
        )
        self._config = config

    def initial_list(self) -> ReplicaListUpdate | None:
        """Return the list in the configuration file, if it has one."""
        return self._config.initial_list

    def gateway_reconfigured(self, config: GatewayConfig, needs_complete_list: bool) -> None:
        """Restart the watch, which fetches the complete list, if the address changed or the core needs it."""
        address_changed = config.discovery != self._config.discovery
        self._config = config
        self.hold_ms = max_wait_ms(config.settings.gateway_index, config.settings.gateway_count)
        if config.discovery is not None and (address_changed or needs_complete_list):
            self.change_endpoint(config.discovery)
