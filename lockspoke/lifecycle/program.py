"""The program: one object that goes through named phases from start to exit."""

from __future__ import annotations

import argparse
import asyncio
import ctypes
import gc
import os
import signal
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import structlog

from lockspoke.core.core import Core
from lockspoke.core.identifiers import Identifiers
from lockspoke.core.replica_set import ReplicaListUpdate, ReplicaSet
from lockspoke.wire.clients.admission import AdmissionMode
from lockspoke.wire.clients.front import ClientFront
from lockspoke.wire.discovery.watch import DiscoveryWatch, hold_duration_ms
from lockspoke.wire.http.messages import HttpError
from lockspoke.wire.operators.api import OperatorCommand, OperatorRequest
from lockspoke.wire.operators.front import MAX_CONNECTIONS, OperatorFront
from lockspoke.wire.replicas.transport import ReplicaTransport

from .bans_file import read_bans, write_bans
from .clock import EventLoopClock
from .config import ConfigError, GatewayConfig, read_config
from .event_loop import PolledLoop
from .graceful_shutdown import QUIET, GracefulShutdown
from .logging_setup import start_logging
from .phases import ProgramPhase
from .subsystems import EndpointListSource, Subsystem, SubsystemContext, find_endpoint_list_source

if TYPE_CHECKING:
    from .edge_file import Section

SWEEP = 0.25  # bad clients are owed an answer within 3 s
TOTALS = 10.0  # seconds between two lines of totals
log = structlog.get_logger()


class PlatformDiscovery(DiscoveryWatch):
    """The platform's discovery as the source of the list."""

    def __init__(self, config: GatewayConfig) -> None:
        if config.discovery is None:
            raise ConfigError("discovery is missing")
        super().__init__(
            config.discovery, hold_duration_ms(config.settings.gateway_index, config.settings.gateway_count)
        )
        self._config = config

    def initial_list(self) -> ReplicaListUpdate | None:
        """The list that the configuration holds."""
        return self._config.known

    def gateway_reconfigured(self, config: GatewayConfig, needs_complete_list: bool) -> None:
        """Discovery may have moved; a whole list is got by asking it anew."""
        moved = config.discovery != self._config.discovery
        self._config = config
        self.hold_ms = hold_duration_ms(config.settings.gateway_index, config.settings.gateway_count)
        if config.discovery is not None and (moved or needs_complete_list):
            self.move(config.discovery)


class Program:
    """One gateway."""

    def __init__(
        self,
        config: GatewayConfig,
        parts: Sequence[Subsystem] = (),
        read_sections: Callable[[], Sequence[Section]] = tuple,
    ) -> None:
        self.parts = list(parts)
        self.read_sections = read_sections  # the edge file as it is now
        self.config = config
        self.phase = ProgramPhase.STARTING
        self.timers = EventLoopClock()
        self.replica_set = ReplicaSet(Identifiers(), config.zones)
        self.operators = OperatorFront(self._operated) if config.operator else None
        self.bans_file = Path(os.environ.get("TMPDIR") or "/tmp", f"{config.name}.bans.json")
        self.out_of_service = False  # by an operator's word: it answers what comes and asks for no more
        self._others = sum(part.descriptors for part in self.parts)
        self._others += MAX_CONNECTIONS if self.operators is not None else 0
        most = config.connections(self._others)
        self.transport = ReplicaTransport(
            config.load_names,
            config.connect_timeout,
            config.keepalive,
            most,
            self.timers.now,
        )
        self.watch: EndpointListSource = find_endpoint_list_source(self.parts) or PlatformDiscovery(config)
        self.core = Core(
            config.settings, config.seed, self.replica_set, self.timers, self.transport, self.watch
        )
        self.watch.core = self.core
        # The listener holds one past its bound while it looks for room; each call needs a replica's place.
        self.clients = ClientFront(
            self.core,
            config.classes,
            most - 1,
            config.max_buffered_bytes,
            lambda: self._ready and not self.out_of_service,
            config.tenants,
        )
        for part in self.parts:
            part.attach(self.core, self.clients)
        self._stop = asyncio.Event()

    @property
    def _ready(self) -> bool:
        return self.phase is ProgramPhase.READY

    @property
    def _list_is_current(self) -> bool:
        """Whether the list is as new as it has to be before the first request comes.

        Where lists are pushed, what discovery has counts as told from a process's first moment.
        """
        return self.config.settings.polls_endpoint_list or self.watch.first_poll_finished

    def _operated(self, call: OperatorRequest) -> str:
        """Do what an operator asks; raises HttpError for a no."""
        match call.command:
            case OperatorCommand.READY:
                if not self._ready:
                    raise HttpError(503, f"not ready: {self.phase.value}")
                return "ready"
            case OperatorCommand.OFFLINE | OperatorCommand.ONLINE:
                if not self.core.set_banned(call.uid, call.command is OperatorCommand.OFFLINE):
                    raise HttpError(404, f"no list has named {call.uid[:200]}")
                write_bans(self.bans_file, self.replica_set.banned)
            case OperatorCommand.OUT_OF_SERVICE | OperatorCommand.IN_SERVICE:
                if self.phase in (ProgramPhase.DRAINING, ProgramPhase.REJECTING):
                    raise HttpError(409, "the gateway is stopping")
                self.out_of_service = call.command is OperatorCommand.OUT_OF_SERVICE
                self.clients.admission_mode = (
                    AdmissionMode.ACCEPT_AND_CLOSE if self.out_of_service else AdmissionMode.ACCEPT
                )
        log.info("operator_call", asked=call.command.name.lower(), worker=call.uid)
        return "done"

    def _enter(self, phase: ProgramPhase) -> None:
        log.info("phase", now=phase.value, before=self.phase.value)
        self.phase = phase

    async def run(self) -> None:
        """From start to exit."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        # One that came while the program started may speak of a file that is newer than the one it has read.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        self.core.start()
        if self.operators is not None:
            self.replica_set.ban_all(read_bans(self.bans_file))
        known = self.watch.initial_list()
        if known is not None:
            self.core.endpoint_list_changed(known, cached=True)
        else:
            self.watch.watch(True)
        # A new version is started beside this one, at the same address, where operators say when it is ready.
        host, port = self.clients.listener.listen(self.config.listen, shared=self.operators is not None)
        log.info("listening", host=host, port=port, workers=self.replica_set.ready_count)
        if self.operators is not None and self.config.operator is not None:
            host, port = self.operators.listener.listen(self.config.operator)
            log.info("operators_listening", host=host, port=port)
        for part in self.parts:
            part.start()
        gc.freeze()  # what is loaded now stays: later collections need not look at it
        sweeps = asyncio.ensure_future(self._sweep())
        await self._stop.wait()
        await GracefulShutdown(self.core, self.clients, self.parts, lambda: self.config, self._enter).run()
        sweeps.cancel()
        if self.operators is not None:
            self.operators.listener.stop()
            self.operators.listener.close_all()
        self.watch.close()
        for part in self.parts:
            part.stop()
        self.transport.close()
        self._tell_totals()
        self._enter(ProgramPhase.STOPPED)

    def _reload(self) -> None:
        """Take up the configuration's files as they are now; one that cannot be read leaves the old in force.

        Calls, connections and what is known of replicas stay. Name, address and seed are of the start alone,
        and so is the list that the file holds: discovery's own is newer.
        """
        try:
            config = read_config(os.environ, self.config)
            commits = self._prepare(config)
        except ConfigError as error:
            log.error("reload_refused", reason=str(error))
            return
        moved = config.discovery != self.config.discovery
        self.config = config
        most = config.connections(self._others)
        self.transport.reconfigure(config.load_names, config.connect_timeout, config.keepalive, most)
        self.clients.reconfigure(config.classes, most - 1, config.max_buffered_bytes, config.tenants)
        anew = self.core.reconfigure(config.settings, config.zones)
        self.watch.gateway_reconfigured(config, anew)
        for commit in commits:
            commit()
        log.info("reloaded", discovery_moved=moved)

    def _prepare(self, config: GatewayConfig) -> list[Callable[[], None]]:
        """Have every part check what is new for it; all or none of them take it up."""
        sections = {section.name: section.settings for section in self.read_sections()}
        running = {part.name for part in self.parts}
        if changed := sorted(running ^ sections.keys()):
            raise ConfigError(f"[{changed[0]}] came or went in the edge file; that needs a restart")
        return [part.prepare_reload(sections[part.name], config) for part in self.parts]

    async def _sweep(self) -> None:
        told = time.monotonic()
        while True:
            if self.phase is ProgramPhase.STARTING and self.replica_set.ready_count and self._list_is_current:
                self._enter(ProgramPhase.READY)
            self.transport.run_periodic_checks()
            self.clients.run_periodic_checks()
            if self.out_of_service:
                self.clients.listener.close_idle(QUIET)
            if self.operators is not None:
                self.operators.run_periodic_checks()
            for part in self.parts:
                part.run_periodic_checks()
            if time.monotonic() - told >= TOTALS:
                told = time.monotonic()
                self._tell_totals()
                give_back()
            await asyncio.sleep(SWEEP if self.phase is not ProgramPhase.STARTING else 0.02)

    def _tell_totals(self) -> None:
        log.info(
            "totals",
            open_calls=len(self.core.requests),
            clients=len(self.clients.listener.connections),
            workers=self.transport.open_connections,
            spoilt=self.transport.malformed_responses,
            **self.core.totals,
        )


def give_back() -> None:
    """Give memory that nothing uses back to the system.

    Without it the heap grows all day round what is kept: what comes free lies between what does not.
    """
    gc.collect()
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)  # glibc has it; elsewhere it is not needed
    if trim is not None:
        trim(0)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one gateway until it is told to stop."""
    parser = argparse.ArgumentParser(
        prog="lockspoke",
        description="A gateway for language-model replicas.",
        epilog="Tools beside it: lockspoke inventory --help, lockspoke config --help.",
    )
    which = parser.add_mutually_exclusive_group()
    which.add_argument(
        "--edge", type=Path, metavar="FILE", help="also run the parts that FILE has sections for"
    )
    which.add_argument("--batch", type=Path, metavar="FILE", help="a file of the batch front alone")
    options = parser.parse_args(arguments)
    start_logging()
    try:
        config = read_config(os.environ)
        structlog.contextvars.bind_contextvars(gateway=config.name)
        with asyncio.Runner(loop_factory=PolledLoop) as runner:
            runner.run(_run(config, options.edge, options.batch))
    except ConfigError as error:
        print(f"lockspoke: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"lockspoke: {error}", file=sys.stderr)
        return 1
    return 0


async def _run(config: GatewayConfig, edge: Path | None, batch: Path | None) -> None:
    if edge is None and batch is None:
        await Program(config).run()
        return
    # With them comes what only they need.
    from .edge_file import read_batch_file, read_edge

    def sections() -> Sequence[Section]:
        return read_edge(edge) if edge is not None else read_batch_file(batch or Path())

    folder = (edge or batch or Path()).parent
    around = SubsystemContext(config, os.environ, folder)
    parts = [section.make(section.settings, around) for section in sections()]
    await Program(config, parts, sections).run()
