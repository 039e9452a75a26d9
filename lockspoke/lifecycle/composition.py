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

from .ban_storage import BanStorage
from .clock import EventLoopClock
from .config import GatewayConfig
from .operator_commands import OperatorCommands
from .phases import ProgramState
from .platform_discovery import PlatformDiscovery
from .subsystems import EndpointListSource, Subsystem, find_endpoint_list_source


@dataclass(slots=True, eq=False)
class Gateway:
    """The parts of one gateway, and the configuration that is in force."""

    config: GatewayConfig
    state: ProgramState
    replica_set: ReplicaSet
    transport: ReplicaTransport
    endpoint_list_source: EndpointListSource
    core: Core
    clients: ClientFront
    operators: OperatorFront | None  # None where the configuration names no address for operators
    bans: BanStorage
    subsystems: Sequence[Subsystem]
    reserved_descriptors: int  # file descriptors for connections of operators and subsystems

    @property
    def list_is_current(self) -> bool:
        """Whether the endpoint list is recent enough for the first request.

        Where changes are pushed, the gateway must know from its first moment what discovery has published,
        so the first answer has to arrive before the program is ready.
        """
        return self.config.settings.polls_endpoint_list or self.endpoint_list_source.first_poll_finished

    def apply(self, config: GatewayConfig) -> None:
        """Put a new configuration in force. Requests, connections and the replica set stay."""
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
    """The client connections to accept where each side may have `per_side` connections.

    The listener holds one connection more than its limit while it looks for one to close, and each request
    needs a connection to a replica.
    """
    return per_side - 1


def build_gateway(config: GatewayConfig, subsystems: Sequence[Subsystem], bans_file: Path) -> Gateway:
    """Build a gateway that has not started yet. Raises ConfigError if a part can't work as configured."""
    state = ProgramState()
    clock = EventLoopClock()
    replica_set = ReplicaSet(Identifiers(), config.zones)
    reserved_descriptors = _reserved_descriptors(config, subsystems)
    per_side = config.max_connections_per_side(reserved_descriptors)
    transport = ReplicaTransport(
        config.load_report_fields, config.connect_timeout, config.keepalive, per_side, clock.now
    )
    watch: EndpointListSource = find_endpoint_list_source(subsystems) or PlatformDiscovery(config)
    core = Core(config.settings, config.seed, replica_set, clock, transport, watch)
    watch.attach(core)
    clients = _client_front(config, core, state, per_side)
    operators = None
    bans = BanStorage(bans_file, replica_set)
    if config.operator is not None:
        operators = OperatorFront(OperatorCommands(state, core, clients, bans).execute)
    for subsystem in subsystems:
        subsystem.attach(core, clients)
    return Gateway(
        config=config,
        state=state,
        replica_set=replica_set,
        transport=transport,
        endpoint_list_source=watch,
        core=core,
        clients=clients,
        operators=operators,
        bans=bans,
        subsystems=subsystems,
        reserved_descriptors=reserved_descriptors,
    )


def _reserved_descriptors(config: GatewayConfig, subsystems: Sequence[Subsystem]) -> int:
    """The file descriptors for connections other than those of clients and replicas."""
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
