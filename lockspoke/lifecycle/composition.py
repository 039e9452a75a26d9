"""Builds the parts of a gateway and connects them to each other."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from lockspoke.core.core import Core
from lockspoke.core.identifiers import Identifiers
from lockspoke.core.replica_set import ReplicaSet
from lockspoke.wire.clients.front import ClientFront
from lockspoke.wire.operators.front import MAX_CONNECTIONS, OperatorFront
from lockspoke.wire.replicas.transport import ReplicaTransport

from .clock import EventLoopClock
from .config import GatewayConfig
from .operator_commands import OperatorCommands
from .operator_state_storage import OperatorStateStorage
from .phases import ProgramState
from .platform_discovery import PlatformDiscovery
from .service_switch import ServiceSwitch
from .subsystems import EndpointListSource, Subsystem, find_endpoint_list_source


@dataclass(slots=True, eq=False)
class Gateway:
    """The parts of one gateway and its current configuration."""

    config: GatewayConfig
    state: ProgramState
    replica_set: ReplicaSet
    transport: ReplicaTransport
    endpoint_list_source: EndpointListSource
    core: Core
    clients: ClientFront
    operators: OperatorFront | None  # None if the configuration has no address for operators
    operator_state: OperatorStateStorage
    subsystems: Sequence[Subsystem]
    reserved_descriptors: int  # File descriptors set aside for connections of operators and subsystems.

    @property
    def list_is_current(self) -> bool:
        """Whether the endpoint list is recent enough to serve the first request.

        If discovery pushes changes, the gateway must know every published change from its first request on,
        so it becomes ready only after discovery's first response.
        """
        return self.config.settings.polls_endpoint_list or self.endpoint_list_source.first_poll_finished

    def apply(self, config: GatewayConfig) -> None:
        """Apply a new configuration, keeping requests, connections and the replica set."""
        self.config = config
        per_side = config.max_connections_per_side(self.reserved_descriptors)
        self.transport.reconfigure(
            config.load_report_fields, config.connect_timeout, config.keepalive, per_side
        )
        self.clients.reconfigure(
            config.classes, max_client_connections(per_side), config.max_buffered_bytes, config.tenants
        )
        needs_complete_list = self.core.reconfigure(config.settings, config.zones)
        self.endpoint_list_source.gateway_reconfigured(config, needs_complete_list)


def max_client_connections(per_side: int) -> int:
    """Return how many client connections to accept if each side may have `per_side` connections.

    The limit is one less, because the listener briefly exceeds its limit by one connection while it chooses
    an idle one to close, and each request needs a connection to a replica.
    """
    return per_side - 1


def build_gateway(
    config: GatewayConfig, subsystems: Sequence[Subsystem], operator_state_file: Path
) -> Gateway:
    """Build a gateway without starting it. Raises ConfigError if a part doesn't accept the configuration."""
    state = ProgramState()
    clock = EventLoopClock()
    replica_set = ReplicaSet(Identifiers(), config.zones)
    reserved_descriptors = _reserved_descriptors(config, subsystems)
    per_side = config.max_connections_per_side(reserved_descriptors)
    transport = ReplicaTransport(
        config.load_report_fields, config.connect_timeout, config.keepalive, per_side, clock.now
    )
    list_source: EndpointListSource = find_endpoint_list_source(subsystems) or PlatformDiscovery(config)
    core = Core(config.settings, config.seed, replica_set, clock, transport, list_source)
    list_source.attach(core)
    clients = _client_front(config, core, state, per_side)
    operators = None
    operator_state = OperatorStateStorage(operator_state_file, core, ServiceSwitch(state, clients))
    if config.operator is not None:
        operators = OperatorFront(OperatorCommands(state, operator_state).execute)
    for subsystem in subsystems:
        subsystem.attach(core, clients)
    return Gateway(
        config=config,
        state=state,
        replica_set=replica_set,
        transport=transport,
        endpoint_list_source=list_source,
        core=core,
        clients=clients,
        operators=operators,
        operator_state=operator_state,
        subsystems=subsystems,
        reserved_descriptors=reserved_descriptors,
    )


def _reserved_descriptors(config: GatewayConfig, subsystems: Sequence[Subsystem]) -> int:
    """Return the number of file descriptors for connections of operators and subsystems."""
    for_operators = MAX_CONNECTIONS if config.operator is not None else 0
    return for_operators + sum(subsystem.descriptors for subsystem in subsystems)


def _client_front(config: GatewayConfig, core: Core, state: ProgramState, per_side: int) -> ClientFront:
    return ClientFront(
        core,
        config.classes,
        max_client_connections(per_side),
        config.max_buffered_bytes,
        lambda: state.wants_requests,
        config.tenants,
    )
