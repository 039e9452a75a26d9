"""Interfaces of the optional parts of the program: subsystems and sources of the endpoint list.

Each subsystem is configured by a section of the edge file. Its module is imported only if the file has that
section, so that a gateway without the subsystem loads none of its libraries.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol, cast

from lockspoke.core.core import Core
from lockspoke.core.endpoint_list import EndpointListListener
from lockspoke.core.replica_set import ReplicaListUpdate
from lockspoke.wire.clients.front import ClientFront

from .config import GatewayConfig

if TYPE_CHECKING:
    import msgspec  # loaded at run time only if there is an edge file

# The module that implements each section; it has the members of SubsystemModule.
SUBSYSTEM_MODULES = {
    "address": "lockspoke.address.subsystem",
    "batch": "lockspoke.batch.subsystem",
    "inventory": "lockspoke.inventory.subsystem",
}


class EndpointListSource(Protocol):
    """Supplies the endpoint list. A gateway has one source, which the core uses as its discovery."""

    first_poll_finished: bool  # Whether the first request for changes has succeeded or failed.

    def attach(self, listener: EndpointListListener) -> None:
        """Set the listener to notify of changes; called once, before `initial_list` and `watch`."""

    def initial_list(self) -> ReplicaListUpdate | None:
        """Return the list to start with, if it is known yet. Raises ConfigError if there is no valid one."""

    @property
    def has_unread_changes(self) -> bool:
        """Whether changes have arrived that have not been applied yet."""

    def watch(self, enable: bool) -> None:
        """Start or stop notifying the listener of changes. Starting again has no effect."""

    def gateway_reconfigured(self, config: GatewayConfig, needs_complete_list: bool) -> None:
        """Apply a changed configuration, which may require the core to get the complete list again."""

    def close(self) -> None:
        """Stop permanently."""


class Subsystem(Protocol):
    """The running part of the program that a section of the edge file configures.

    The program calls the methods in the order of their definitions.

    A reload is all or nothing. `prepare_reload` of every subsystem is called first. The functions that they
    return are called only if none of them raises ConfigError, and must not fail.
    """

    name: str
    descriptors: int  # the maximum number of file descriptors for its connections
    endpoint_list_source: EndpointListSource | None  # None unless it supplies the endpoint list

    def attach(self, core: Core, clients: ClientFront) -> None:
        """Connect to the core and the client front. Raises ConfigError if the subsystem can't start."""

    def start(self) -> None:
        """Start in the running event loop."""

    def run_periodic_checks(self) -> None:
        """Enforce timeouts; called several times a second."""

    # Any, because each implementation accepts only its own settings type.
    def prepare_reload(self, settings: Any, gateway: GatewayConfig) -> Callable[[], None]:
        """Validate new settings; returns a function that applies them. Raises ConfigError if invalid."""

    async def drain(self) -> None:
        """Accept no new work and finish the work in progress; returns when that is done."""

    def stop(self) -> None:
        """Stop permanently, after the drain."""

    def status(self) -> dict[str, Any]:
        """Return the current state as JSON-serializable values."""


@dataclass(frozen=True, slots=True)
class SubsystemContext:
    """What a subsystem needs for its creation besides its own settings."""

    gateway: GatewayConfig
    environment: Mapping[str, str]
    folder: Path  # the folder of the edge file


class SubsystemFactory(Protocol):
    """The function `create` of a subsystem's module."""

    def __call__(self, settings: Any, context: SubsystemContext, /) -> Subsystem:
        """Create the subsystem. Raises ConfigError if a key of its settings is invalid."""


class SubsystemModule(Protocol):
    """The members that the module of a subsystem must have."""

    settings_type: type[msgspec.Struct]  # the schema of the section
    create: SubsystemFactory


@dataclass(frozen=True, slots=True)
class Section:
    """A section of the edge file that has been read and validated."""

    name: str
    settings: Any  # an instance of the module's settings_type
    create: SubsystemFactory


def subsystem_module(section: str) -> SubsystemModule:
    """Import the module that implements a section."""
    return cast(SubsystemModule, importlib.import_module(SUBSYSTEM_MODULES[section]))


def find_endpoint_list_source(subsystems: Iterable[Subsystem]) -> EndpointListSource | None:
    """Return the endpoint list source among the subsystems, or None if no subsystem has one."""
    sources = (subsystem.endpoint_list_source for subsystem in subsystems)
    return next((source for source in sources if source is not None), None)
