"""The program: one gateway from start to exit."""

from __future__ import annotations

import asyncio
import gc
import signal

import structlog

from .composition import Gateway
from .graceful_shutdown import GracefulShutdown
from .periodic_checks import PeriodicChecks, log_totals
from .phases import ProgramPhase
from .reload import ConfigReloader

log = structlog.get_logger()


class Program:
    """Runs one gateway in the current event loop."""

    def __init__(self, gateway: Gateway, reloader: ConfigReloader) -> None:
        self._gateway = gateway
        self._reloader = reloader
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Start the gateway, serve until SIGTERM or SIGINT, and shut down gracefully.

        Raises ConfigError if there is no valid endpoint list to start with, and OSError if listening fails.
        """
        self._handle_signals()
        self._load_endpoint_list()
        self._listen()
        for subsystem in self._gateway.subsystems:
            subsystem.start()
        gc.freeze()  # Existing objects live until the exit, so garbage collection can skip them.
        tasks = [asyncio.ensure_future(PeriodicChecks(self._gateway).run())]
        if self._gateway.operators is not None:
            self._gateway.operator_state.join()
            tasks.append(asyncio.ensure_future(self._gateway.operator_state.follow_changes()))
        await self._stop.wait()
        await GracefulShutdown(self._gateway).run()
        for task in tasks:
            task.cancel()
        self._close()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reloader.reload)
        # SIGHUP was blocked since the start of the process, so one that was sent meanwhile is delivered now.
        # It may concern a newer configuration file than the one that was read.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    def _load_endpoint_list(self) -> None:
        gateway = self._gateway
        gateway.core.start()
        if gateway.operators is not None:
            gateway.operator_state.restore()
        initial_list = gateway.endpoint_list_source.initial_list()
        if initial_list is not None:
            gateway.core.endpoint_list_changed(initial_list, cached=True)
        else:
            gateway.endpoint_list_source.watch(True)

    def _listen(self) -> None:
        gateway = self._gateway
        # During an upgrade the new version runs alongside the old one at the same address. That is possible
        # only with an operators' port, which operators need to see when the new version is ready.
        shared = gateway.operators is not None
        host, port = gateway.clients.listener.listen(gateway.config.listen, shared=shared)
        log.info("listening", host=host, port=port, replicas=gateway.replica_set.ready_count)
        if gateway.operators is not None and gateway.config.operator is not None:
            host, port = gateway.operators.listener.listen(gateway.config.operator)
            log.info("operators_listening", host=host, port=port)

    def _close(self) -> None:
        gateway = self._gateway
        gateway.operator_state.leave()
        if gateway.operators is not None:
            gateway.operators.listener.stop()
            gateway.operators.listener.close_all()
        gateway.endpoint_list_source.close()
        for subsystem in gateway.subsystems:
            subsystem.stop()
        gateway.transport.close()
        log_totals(gateway)
        gateway.state.enter(ProgramPhase.STOPPED)
