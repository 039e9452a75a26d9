"""Rereads the configuration files on SIGHUP and applies either all of them or none."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import structlog

from .composition import Gateway
from .config import ConfigError, GatewayConfig
from .config_file import read_config
from .subsystems import Section

SectionReader = Callable[[], Sequence[Section]]  # reads the current edge file

log = structlog.get_logger()


class ConfigReloader:
    """Reloads the configuration of a running gateway.

    The gateway's name, its listen addresses and the seed are used only at startup. So is the endpoint list in
    the file, because the list from discovery is newer.
    """

    def __init__(
        self, gateway: Gateway, environment: Mapping[str, str], read_sections: SectionReader
    ) -> None:
        self._gateway = gateway
        self._environment = environment
        self._read_sections = read_sections

    def reload(self) -> None:
        """Apply the current files; if any of them is invalid, keep the old configuration."""
        previous = self._gateway.config
        try:
            config = read_config(self._environment, previous)
            commits = self._prepare_subsystems(config)
        except ConfigError as error:
            log.error("reload_rejected", reason=str(error))
            return
        self._gateway.apply(config)
        for commit in commits:
            commit()
        log.info("reloaded", discovery_moved=config.discovery != previous.discovery)

    def _prepare_subsystems(self, config: GatewayConfig) -> list[Callable[[], None]]:
        """Have each subsystem validate its new settings; returns the functions that apply them."""
        subsystems = self._gateway.subsystems
        sections = {section.name: section.settings for section in self._read_sections()}
        running = {subsystem.name for subsystem in subsystems}
        if changed := sorted(running ^ sections.keys()):
            raise ConfigError(f"[{changed[0]}] came or went in the edge file; that needs a restart")
        return [subsystem.prepare_reload(sections[subsystem.name], config) for subsystem in subsystems]
