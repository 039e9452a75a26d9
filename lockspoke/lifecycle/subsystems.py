"""Interfaces of what plugs into the program: subsystems and sources of the endpoint list.

Each subsystem is configured by a section of the edge file. Its module is imported only where the file has
that section, so that a gateway without it loads none of its libraries.
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
    import msgspec  # loaded only where there is an edge file

# The module of each section; see SubsystemModule for what it holds.
SUBSYSTEM_MODULES = {
    "address": "lockspoke.address.subsystem",
    "batch": "lockspoke.batch.subsystem",
    "inventory": "lockspoke.inventory.subsystem",
}


class EndpointListSource(Protocol):
    """Where the endpoint list comes from. A gateway has one; it is the core's discovery as well."""

    first_poll_finished: bool  # whether the first request for changes has ended, with or without success

    def attach(self, listener: EndpointListListener) -> None:
        """Report changes to this listener; called once, before `initial_list` and `watch`."""

    def initial_list(self) -> ReplicaListUpdate | None:
        """The list to start with, if there is one yet. Raises ConfigError if there can't be one."""

    @property
    def has_unread_changes(self) -> bool:
        """Whether changes have arrived that are not in force yet."""

    def watch(self, enable: bool) -> None:
        """Start or stop notifying the core of changes. Starting twice is the same as once."""

    def gateway_reconfigured(self, config: GatewayConfig, needs_complete_list: bool) -> None:
        """Take a changed configuration; the core may need the complete list again for it."""

    def close(self) -> None:
        """Stop for good."""


class Subsystem(Protocol):
    """One section of the edge file at work. The program calls the methods in the order they have here.

    A reload is all or nothing: `prepare_reload` of each subsystem is called first, and only if none raises
    ConfigError are the functions called that they returned. Those must not fail.
    """

    name: str
    descriptors: int  # file descriptors that its connections may use
    endpoint_list_source: EndpointListSource | None  # None unless it feeds the replica set

    def attach(self, core: Core, clients: ClientFront) -> None:
        """Connect to the core and the clients' port. Raises ConfigError if it can't start."""

    def start(self) -> None:
        """Start working in the running event loop."""

    def run_periodic_checks(self) -> None:
        """Enforce time limits; called several times a second."""

    # Each implementation takes its own settings type, which a common type of the parameter would not allow.
    def prepare_reload(self, settings: Any, gateway: GatewayConfig) -> Callable[[], None]:
        """Check new settings; returns what puts them in force. Raises ConfigError if they can't be."""

    async def drain(self) -> None:
        """Accept no new work and finish what is open; returns when that is done."""

    def stop(self) -> None:
        """Stop for good, after the drain."""

    def status(self) -> dict[str, Any]:
        """The current state, as values that JSON can hold."""


@dataclass(frozen=True, slots=True)
class SubsystemContext:
    """What a subsystem is created with, besides its own settings."""

    gateway: GatewayConfig
    environment: Mapping[str, str]
    folder: Path  # that the edge file is in


class SubsystemFactory(Protocol):
    """The function `create` of a subsystem's module."""

    def __call__(self, settings: Any, context: SubsystemContext, /) -> Subsystem:
        """Create the subsystem. Raises ConfigError, which names the key that is wrong."""


class SubsystemModule(Protocol):
    """What the module of a subsystem holds."""

    settings_type: type[msgspec.Struct]  # the schema of its section
    create: SubsystemFactory


@dataclass(frozen=True, slots=True)
class Section:
    """A section of the edge file that has been read and checked."""

    name: str
    settings: Any  # an instance of its module's settings_type
    create: SubsystemFactory


def subsystem_module(section: str) -> SubsystemModule:
    """Import the module of a section."""
    return cast(SubsystemModule, importlib.import_module(SUBSYSTEM_MODULES[section]))


def find_endpoint_list_source(subsystems: Iterable[Subsystem]) -> EndpointListSource | None:
    """The source of the endpoint list among the subsystems, if there is one."""
    sources = (subsystem.endpoint_list_source for subsystem in subsystems)
    return next((source for source in sources if source is not None), None)
