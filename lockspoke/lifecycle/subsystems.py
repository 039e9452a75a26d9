"""What plugs into the program: subsystems beside the platform's front, and sources of the list of replicas.

A subsystem is named by a section of the edge file. Its module is imported only where that section is there,
so a program without one carries nothing of it. `PARTS` is the whole of what the program knows of them.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from lockspoke.core.core import Core
from lockspoke.core.endpoint_list import EndpointListListener
from lockspoke.core.replica_set import ReplicaListUpdate
from lockspoke.wire.clients.front import ClientFront

from .config import GatewayConfig

# By section, the module that holds its `settings_type` (a msgspec struct) and `create` (a
# `SubsystemFactory`).
SUBSYSTEM_MODULES = {
    "address": "lockspoke.address.subsystem",
    "batch": "lockspoke.batch.subsystem",
    "inventory": "lockspoke.inventory.subsystem",
}


class EndpointListSource(Protocol):
    """Where the list of replicas comes from. One feeds the replica set; it is the core's discovery too."""

    first_poll_finished: (
        bool  # whether it has said, or failed to say, what is newer than the list to begin with
    )

    def attach(self, listener: EndpointListListener) -> None:
        """Report to this listener; called once, before `initial_list` and `watch`."""

    def initial_list(self) -> ReplicaListUpdate | None:
        """The list to begin with, if there is one now; raises ConfigError where none can be had at all."""

    @property
    def has_unread_changes(self) -> bool:
        """Whether changes have come that are not in force yet."""

    def watch(self, enable: bool) -> None:
        """Tell the core of changes from now on, or end that; asked again while it does, nothing changes."""

    def gateway_reconfigured(self, config: GatewayConfig, needs_complete_list: bool) -> None:
        """The gateway's configuration has changed; `anew`: the core wants the whole list again."""

    def close(self) -> None:
        """End for good."""


class Subsystem(Protocol):
    """One section of the edge file at work. The program calls its methods in the order of their names here.

    A reload is all or none: `prepare` of every part is called, and only if none raises ConfigError are the
    functions that they gave called, which may not fail.
    """

    name: str
    descriptors: int  # that its connections may take
    endpoint_list_source: EndpointListSource | None  # where it feeds the replica set

    def attach(self, core: Core, clients: ClientFront) -> None:
        """The core that it goes through and the platform's front; raises ConfigError where it can't start."""

    def start(self) -> None:
        """Begin, on the running loop."""

    def run_periodic_checks(self) -> None:
        """Look after what has stood for long; called some times a second."""

    def prepare_reload(self, settings: Any, gateway: GatewayConfig) -> Callable[[], None]:
        """Check new settings of its own and of the gateway; gives what puts them in force."""

    async def drain(self) -> None:
        """Take nothing new and finish what is open; returns when that is done."""

    def stop(self) -> None:
        """End for good, after the drain."""

    def status(self) -> dict[str, Any]:
        """How it stands, as plain values."""


@dataclass(frozen=True, slots=True)
class SubsystemContext:
    """What a part is made with, beside its own settings."""

    gateway: GatewayConfig
    environment: Mapping[str, str]
    folder: Path  # paths in the edge file are taken from the working folder; this is the file's own


class SubsystemFactory(Protocol):
    """The `make` of a part's module."""

    def __call__(self, settings: Any, around: SubsystemContext) -> Subsystem:
        """The part; raises ConfigError, naming the key."""


def subsystem_module(section: str) -> Any:
    """The module of a part, imported now if it was not."""
    return importlib.import_module(SUBSYSTEM_MODULES[section])


def find_endpoint_list_source(parts: list[Subsystem]) -> EndpointListSource | None:
    """The one source of the list among the parts, if any."""
    return next((part.endpoint_list_source for part in parts if part.endpoint_list_source is not None), None)
