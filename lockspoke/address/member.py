"""One member as it runs: its node with keys, record, control, metrics and trace, by its settings."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any, TextIO

import structlog

from lockspoke.units import SECOND

from .actions import HoldLease, LoseLease
from .announcer import Announcer
from .clock import steady_clock
from .control import ControlServer
from .health import HealthMetrics, HealthTracker
from .keys import read_keys
from .node import Node
from .settings import AddressSettings, parse_endpoint
from .term_record import TermRecord

MAX_HOLD_DOWN = 86400.0  # seconds that an operator's word holds an instance down

log = structlog.get_logger()


class Member:
    """A node and what stands round it. Made and prepared without the loop; it runs from `start` on."""

    def __init__(self, settings: AddressSettings, name: str, announcer: Announcer) -> None:
        """Raises ValueError naming the key, for what can't be started with."""
        self.settings, self.name = settings, name
        if name not in settings.members:
            raise ValueError(
                f"members lacks {name!r}, this instance; want one of {', '.join(settings.members)}"
            )
        keys = read_keys(settings.keys)
        self.record = (
            TermRecord(Path(settings.record), name, settings.generation) if settings.record else None
        )
        self.trace: TextIO | None = Path(settings.trace).open("a") if settings.trace else None  # noqa: SIM115
        self.health = HealthTracker(settings.health.limits())
        self.metrics: HealthMetrics | None = None
        self.held_down_until = 0  # an operator's word
        book = settings.peer_addresses()
        if settings.bind:
            book[name] = parse_endpoint(settings.bind)
        self.node = Node(
            name,
            book,
            settings.election_config(),
            keys,
            announcer,
            random.SystemRandom().random,
            steady_clock,
            priority=settings.priority,
            preempt_after=int(settings.take_back * SECOND) or None,
            first_term=self.record.term if self.record is not None else 0,
            on_lease_change=self._trace_lease_change,
        )
        self.control = (
            ControlServer(Path(settings.control), self._handle_command) if settings.control else None
        )
        self._stop_metrics: Callable[[], None] | None = None
        self._record_write: asyncio.Future[None] | None = None
        self._logged_write_error = ""
        self._logged_suppressed = False

    async def start(self) -> None:
        """Begin. Raises OSError where a port or the control's path is not to be had."""
        await self.node.start()
        if self.control is not None:
            await self.control.start()
        if self.settings.metrics:
            from .metrics import serve

            self._stop_metrics = serve(parse_endpoint(self.settings.metrics), self.status)
        settings, own = self.settings, self.node.peer_addresses[self.name]
        log.info(
            "address_started",
            member=self.name,
            host=own[0],
            port=own[1],
            survives=settings.election_config().describe_fault_tolerance(),
        )
        self.save_record()

    def update_health(self, metrics: HealthMetrics) -> None:
        """How the instance is now; asked some times a second."""
        now = self.node.clock()
        self.metrics = metrics
        was_fit, held = self.health.healthy, self.node.holding
        fit = self.health.update(metrics, now)
        if was_fit and not fit:
            log.warning("address_unfit", reasons=list(self.health.reasons), held=held)
            if held:
                self.health.record_loss(now)
        elif fit and not was_fit:
            log.info("address_fit")
        if self.health.suppressed != self._logged_suppressed:
            self._logged_suppressed = self.health.suppressed
            log.warning(
                "address_held_down", now=self._logged_suppressed, penalty=round(self.health.penalty(now))
            )
        self.node.set_health(fit and now >= self.held_down_until)

    def save_record(self) -> None:
        """Have the record written where it has to be, off the loop."""
        record, election = self.record, self.node.election
        if record is None or (self._record_write is not None and not self._record_write.done()):
            return
        if record.write_error != self._logged_write_error:
            self._logged_write_error = record.write_error
            if record.write_error:
                log.error("address_record_failing", reason=record.write_error)
            else:
                log.info("address_record_kept")
        if record.needs_write(election.term, election.config.generation):
            loop = asyncio.get_running_loop()
            self._record_write = loop.run_in_executor(
                None, record.write, election.term, election.config.generation
            )

    def prepare_reload(self, settings: AddressSettings) -> Callable[[], None]:
        """Check new settings; gives what puts them in force. Raises ValueError naming the key."""
        fixed = ("service", "listen", "bind", "announce", "record", "control", "metrics", "trace", "name")
        for key in fixed:
            if getattr(settings, key) != getattr(self.settings, key):
                raise ValueError(f"{key} can't change while the program runs; restart it")
        keys, terms, node = read_keys(settings.keys), settings.election_config(), self.node
        node.election.membership.check_change(terms, node.clock())

        def commit() -> None:
            if keys != node.channel.keys:
                node.channel.keys = keys
                log.info("address_keys_changed", keys=len(keys))
            if terms != node.election.config:
                node.change_config(terms, settings.peer_addresses())
                log.info("address_members_changed", generation=terms.generation, members=list(terms.members))
                self.save_record()
            node.election.priority = settings.priority
            node.election.preempt_after = int(settings.take_back * SECOND) or None
            self.health.limits = settings.health.limits()
            self.settings = settings

        return commit

    async def leave(self, timeout: float) -> None:
        """Hand the address over, or let it go where nobody can have it within so many seconds."""
        self.node.start_leaving()
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        while not self.node.has_left and loop.time() < end:
            await asyncio.sleep(0.005)

    def stop(self) -> None:
        """End for good."""
        self.node.stop()
        if self.control is not None:
            self.control.close()
        if self._stop_metrics is not None:
            self._stop_metrics()
        if self.trace is not None:
            self.trace.close()

    def status(self) -> dict[str, Any]:
        """As `lockspoke address status` shows it."""
        now = self.node.clock()
        found = self.node.status()
        reasons = list(self.health.reasons)
        if now < self.held_down_until:
            reasons.append(f"held down by an operator for {(self.held_down_until - now) / SECOND:.0f} s more")
        found["why_not"] = [
            line
            for one in found["why_not"]
            for line in (reasons if one == "it is not fit" and reasons else [one])
        ]
        found["health"] = {**self.health.status(now), "held_down": self.health.suppressed}
        found["record_failing"] = self.record.write_error if self.record is not None else ""
        return found

    def _trace_lease_change(self, action: HoldLease | LoseLease, now: int) -> None:
        if self.trace is not None:
            line: dict[str, Any] = {"member": self.name, "at": now}
            line |= (
                {"token": action.token, "until": action.until}
                if isinstance(action, HoldLease)
                else {"lost": True}
            )
            print(json.dumps(line), file=self.trace, flush=True)

    def _handle_command(self, command: dict[str, Any]) -> dict[str, Any]:
        match command.get("do"):
            case "status":
                return self.status()
            case "move":
                self.node.move(str(command.get("to")))
                return {"done": f"{self.name} hands the address to {command['to']}"}
            case "hold-down":
                seconds = command.get("seconds")
                if not isinstance(seconds, int | float) or not 0 <= seconds <= MAX_HOLD_DOWN:
                    raise ValueError(f"seconds is {seconds!r}, want 0 to {MAX_HOLD_DOWN:.0f}")
                self.held_down_until = self.node.clock() + int(seconds * SECOND)
                log.warning("address_operator_hold_down", seconds=seconds)
                self.node.set_health(self.health.healthy and not seconds)
                return {"done": f"{self.name} is held down for {seconds:g} s"}
            case other:
                raise ValueError(f"{other!r} is no word; known are status, move, hold-down")
