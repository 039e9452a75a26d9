"""One running member: its node with keys, record, control socket, metrics and trace, from its settings."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from lockspoke.units import SECOND

from .actions import ExtendLease, LoseLease
from .announcer import Announcer
from .clock import steady_clock
from .control import ControlServer, JsonObject
from .health import HealthMetrics, HealthTracker
from .keys import read_keys
from .lease_trace import LeaseTrace
from .node import NOT_HEALTHY, Node
from .record_writer import RecordWriter
from .settings import AddressSettings, parse_endpoint
from .term_record import TermRecord

MAX_HOLD_DOWN_SECONDS = 86400.0
LEAVE_POLL_INTERVAL_SECONDS = 0.005
FIXED_KEYS = ("service", "listen", "bind", "announce", "record", "control", "metrics", "trace", "name")

log = structlog.get_logger()


class Member:
    """A member of the election. It can be created without an event loop; `start` needs a running one."""

    def __init__(self, settings: AddressSettings, name: str, announcer: Announcer) -> None:
        """Prepare a member.

        Raises:
            ValueError: A setting is wrong; the text begins with its key.
            OSError: The trace file can't be opened.
        """
        self.settings, self.name = settings, name
        if name not in settings.members:
            raise ValueError(
                f"members lacks {name!r}, this instance; want one of {', '.join(settings.members)}"
            )
        keys = read_keys(settings.keys)
        self.record: TermRecord | None = None
        if settings.record:
            self.record = TermRecord(Path(settings.record), name, settings.generation)
        self._record_writer = RecordWriter(self.record) if self.record is not None else None
        self._trace = LeaseTrace(Path(settings.trace), name) if settings.trace else None
        self.health = HealthTracker(settings.health.limits())
        self.ineligible_until = 0  # Until then an operator keeps the member from holding the address.
        self.node = self._create_node(keys, announcer)
        self._control: ControlServer | None = None
        if settings.control:
            self._control = ControlServer(Path(settings.control), self._handle_command)
        self._stop_metrics: Callable[[], None] | None = None
        self._logged_suppressed = False

    def _create_node(self, keys: list[bytes], announcer: Announcer) -> Node:
        settings = self.settings
        peer_addresses = settings.peer_addresses()
        if settings.bind:
            peer_addresses[self.name] = parse_endpoint(settings.bind)
        return Node(
            self.name,
            peer_addresses,
            settings.election_config(),
            keys,
            announcer,
            random.SystemRandom().random,
            steady_clock,
            priority=settings.priority,
            preempt_after=settings.preempt_after(),
            first_term=self.record.term if self.record is not None else 0,
            on_lease_change=self._trace_lease_change,
        )

    async def start(self) -> None:
        """Join the election; raises OSError if a port or the control socket is not available."""
        await self.node.start()
        if self._control is not None:
            await self._control.start()
        if self.settings.metrics:
            from .metrics import serve  # noqa: PLC0415 - prometheus_client takes memory

            self._stop_metrics = serve(parse_endpoint(self.settings.metrics), self.status)
        host, port = self.node.peer_addresses[self.name]
        fault_tolerance = self.settings.election_config().describe_fault_tolerance()
        log.info("address_started", member=self.name, host=host, port=port, fault_tolerance=fault_tolerance)
        self.save_record()

    def update_health(self, metrics: HealthMetrics) -> None:
        """Evaluate new metrics. Must be called several times a second."""
        now = self.node.clock()
        was_healthy, holding = self.health.healthy, self.node.holding
        healthy = self.health.update(metrics, now)
        if was_healthy and not healthy:
            log.warning("address_unhealthy", reasons=list(self.health.reasons), holding=holding)
            if holding:
                self.health.record_loss(now)
        elif healthy and not was_healthy:
            log.info("address_healthy")
        self._log_suppression(now)
        self.node.set_health(healthy and now >= self.ineligible_until)

    def _log_suppression(self, now: int) -> None:
        suppressed = self.health.suppressed
        if suppressed != self._logged_suppressed:
            self._logged_suppressed = suppressed
            penalty = round(self.health.penalty(now))
            log.warning("address_suppression_changed", suppressed=suppressed, penalty=penalty)

    def save_record(self) -> None:
        """Start to write the term record if needed, outside the event loop."""
        if self._record_writer is not None:
            election = self.node.election
            self._record_writer.save(election.term, election.config.generation)

    def prepare_reload(self, settings: AddressSettings) -> Callable[[], None]:
        """Check new settings; returns the function that puts them in force.

        Raises:
            ValueError: A setting is wrong or can't change while running; the text begins with its key.
        """
        for key in FIXED_KEYS:
            if getattr(settings, key) != getattr(self.settings, key):
                raise ValueError(f"{key} can't change while the program runs; restart it")
        keys, node = read_keys(settings.keys), self.node
        node.election.membership.check_change(settings.election_config(), node.clock())

        def commit() -> None:
            self._commit_reload(settings, keys)

        return commit

    def _commit_reload(self, settings: AddressSettings, keys: list[bytes]) -> None:
        node, config = self.node, settings.election_config()
        if keys != node.channel.keys:
            node.channel.keys = keys
            log.info("address_keys_changed", keys=len(keys))
        if config != node.election.config:
            node.change_config(config, settings.peer_addresses())
            log.info("address_members_changed", generation=config.generation, members=list(config.members))
            self.save_record()
        node.election.priority = settings.priority
        node.election.preempt_after = settings.preempt_after()
        self.health.limits = settings.health.limits()
        self.settings = settings

    async def leave(self, timeout: float) -> None:  # noqa: ASYNC109 - the wait is a poll of the election
        """Transfer the address, or release it if no member takes it over within `timeout` seconds."""
        self.node.start_shutdown()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while not self.node.is_shutdown_complete and loop.time() < deadline:  # noqa: ASYNC110 - the election has no events
            await asyncio.sleep(LEAVE_POLL_INTERVAL_SECONDS)

    def stop(self) -> None:
        """Leave at once and close everything."""
        self.node.stop()
        if self._control is not None:
            self._control.close()
        if self._stop_metrics is not None:
            self._stop_metrics()
        if self._trace is not None:
            self._trace.close()

    def status(self) -> JsonObject:
        """The state as JSON values, as `lockspoke address status` shows it."""
        now = self.node.clock()
        status = self.node.status()
        status["why_not"] = self._not_holder_reasons(status["why_not"], now)
        status["health"] = {**self.health.status(now), "held_down": self.health.suppressed}
        status["record_failing"] = self.record.write_error if self.record is not None else ""
        return status

    def _not_holder_reasons(self, node_reasons: list[str], now: int) -> list[str]:
        """The node's reasons, with the general reason `NOT_HEALTHY` replaced by the detailed ones."""
        health_reasons = list(self.health.reasons)
        if now < self.ineligible_until:
            remaining = (self.ineligible_until - now) / SECOND
            health_reasons.append(f"held down by an operator for {remaining:.0f} s more")
        reasons: list[str] = []
        for reason in node_reasons:
            if reason == NOT_HEALTHY and health_reasons:
                reasons += health_reasons
            else:
                reasons.append(reason)
        return reasons

    def _trace_lease_change(self, action: ExtendLease | LoseLease, now: int) -> None:
        if self._trace is not None:
            self._trace.record(action, now)

    def _handle_command(self, command: JsonObject) -> JsonObject:
        match command.get("do"):
            case "status":
                return self.status()
            case "move":
                self.node.move(str(command.get("to")))
                return {"done": f"{self.name} hands the address to {command['to']}"}
            case "hold-down":
                return self._hold_down(command.get("seconds"))
            case other:
                raise ValueError(f"{other!r} is no word; known are status, move, hold-down")

    def _hold_down(self, seconds: Any) -> JsonObject:
        if not isinstance(seconds, int | float) or not 0 <= seconds <= MAX_HOLD_DOWN_SECONDS:
            raise ValueError(f"seconds is {seconds!r}, want 0 to {MAX_HOLD_DOWN_SECONDS:.0f}")
        self.ineligible_until = self.node.clock() + int(seconds * SECOND)
        log.warning("address_operator_hold_down", seconds=seconds)
        self.node.set_health(self.health.healthy and not seconds)
        return {"done": f"{self.name} is held down for {seconds:g} s"}
