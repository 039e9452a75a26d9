"""Periodic work of the program: checks readiness and connection timeouts, logs totals and frees memory."""

from __future__ import annotations

import time

import structlog

from .composition import Gateway
from .graceful_shutdown import IDLE_TIME
from .loop_lateness import LoopLateness
from .memory import return_free_memory
from .phases import ProgramPhase

# The interval of the checks in seconds. Misbehaving clients must get a response within 3 s.
CHECK_INTERVAL = 0.25
STARTING_CHECK_INTERVAL = 0.02  # The interval in seconds until the program is ready.
TOTALS_INTERVAL = 10.0  # Totals are logged at this interval in seconds.

log = structlog.get_logger()


class PeriodicChecks:
    """The periodic checks of one gateway."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    async def run(self) -> None:
        """Check until cancelled."""
        state = self._gateway.state
        totals_logged_at = time.monotonic()
        lateness = LoopLateness()
        while True:
            self._check_readiness()
            self._check_connections()
            if time.monotonic() - totals_logged_at >= TOTALS_INTERVAL:
                totals_logged_at = time.monotonic()
                log_totals(self._gateway, lateness)
                log_client_counts(self._gateway)
                return_free_memory()
            starting = state.phase is ProgramPhase.STARTING
            await lateness.sleep(STARTING_CHECK_INTERVAL if starting else CHECK_INTERVAL)

    def _check_readiness(self) -> None:
        gateway = self._gateway
        starting = gateway.state.phase is ProgramPhase.STARTING
        if starting and gateway.replica_set.ready_count and gateway.list_is_current:
            gateway.state.enter(ProgramPhase.READY)

    def _check_connections(self) -> None:
        gateway = self._gateway
        gateway.transport.run_periodic_checks()
        gateway.clients.run_periodic_checks()
        if gateway.state.out_of_service:
            gateway.clients.listener.close_idle(IDLE_TIME)
        if gateway.operators is not None:
            gateway.operators.run_periodic_checks()
        gateway.operator_state.run_periodic_checks()
        for subsystem in gateway.subsystems:
            subsystem.run_periodic_checks()


def log_totals(gateway: Gateway, lateness: LoopLateness | None = None) -> None:
    """Log the open requests and connections, the counters since startup, and how late the event loop was."""
    log.info(
        "totals",
        open_requests=len(gateway.core.requests),
        clients=len(gateway.clients.listener.connections),
        replica_connections=gateway.transport.open_connections,
        malformed_responses=gateway.transport.malformed_responses,
        **gateway.core.totals.log_fields(),
        **({} if lateness is None else lateness.take_log_fields()),
    )


def log_client_counts(gateway: Gateway) -> None:
    """Log, since startup, why client connections were closed and which responses the front itself sent."""
    closes = {f"closed_{reason.value}": count for reason, count in gateway.clients.listener.closes.items()}
    responses = {f"status_{status}": count for status, count in gateway.clients.gateway_responses.items()}
    log.info("client_counts", **closes, **responses)
