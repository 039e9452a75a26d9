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

from .control import Control
from .election import Hold, Lose
from .health import Health, Vitals
from .keys import read_keys
from .listening import Announcer, steady_clock
from .node import Node
from .record import Record
from .settings import AddressSettings, endpoint

LONGEST_DOWN = 86400.0  # seconds that an operator's word holds an instance down

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
        self.record = Record(Path(settings.record), name, settings.generation) if settings.record else None
        self.trace: TextIO | None = Path(settings.trace).open("a") if settings.trace else None  # noqa: SIM115
        self.health = Health(settings.health.bounds())
        self.vitals: Vitals | None = None
        self.down_until = 0  # an operator's word
        book = settings.book()
        if settings.bind:
            book[name] = endpoint(settings.bind)
        self.node = Node(
            name,
            book,
            settings.terms(),
            keys,
            announcer,
            random.SystemRandom().random,
            steady_clock,
            priority=settings.priority,
            take_back=int(settings.take_back * SECOND) or None,
            first_term=self.record.term if self.record is not None else 0,
            told=self._told,
        )
        self.control = Control(Path(settings.control), self._obey) if settings.control else None
        self._metrics: Callable[[], None] | None = None
        self._writing: asyncio.Future[None] | None = None
        self._record_failing = ""
        self._held_down = False

    async def start(self) -> None:
        """Begin. Raises OSError where a port or the control's path is not to be had."""
        await self.node.start()
        if self.control is not None:
            await self.control.start()
        if self.settings.metrics:
            from .metrics import serve

            self._metrics = serve(endpoint(self.settings.metrics), self.status)
        settings, own = self.settings, self.node.book[self.name]
        log.info(
            "address_started",
            member=self.name,
            host=own[0],
            port=own[1],
            survives=settings.terms().survives(),
        )
        self.keep_record()

    def judge(self, vitals: Vitals) -> None:
        """How the instance is now; asked some times a second."""
        now = self.node.clock()
        self.vitals = vitals
        was_fit, held = self.health.fit, self.node.holding
        fit = self.health.judge(vitals, now)
        if was_fit and not fit:
            log.warning("address_unfit", reasons=list(self.health.reasons), held=held)
            if held:
                self.health.gave_up(now)
        elif fit and not was_fit:
            log.info("address_fit")
        if self.health.held_down != self._held_down:
            self._held_down = self.health.held_down
            log.warning("address_held_down", now=self._held_down, penalty=round(self.health.penalty(now)))
        self.node.set_health(fit and now >= self.down_until)

    def keep_record(self) -> None:
        """Have the record written where it has to be, off the loop."""
        record, election = self.record, self.node.election
        if record is None or (self._writing is not None and not self._writing.done()):
            return
        if record.failing != self._record_failing:
            self._record_failing = record.failing
            if record.failing:
                log.error("address_record_failing", reason=record.failing)
            else:
                log.info("address_record_kept")
        if record.wants(election.term, election.terms.generation):
            loop = asyncio.get_running_loop()
            self._writing = loop.run_in_executor(None, record.write, election.term, election.terms.generation)

    def prepare(self, settings: AddressSettings) -> Callable[[], None]:
        """Check new settings; gives what puts them in force. Raises ValueError naming the key."""
        fixed = ("service", "listen", "bind", "announce", "record", "control", "metrics", "trace", "name")
        for key in fixed:
            if getattr(settings, key) != getattr(self.settings, key):
                raise ValueError(f"{key} can't change while the program runs; restart it")
        keys, terms, node = read_keys(settings.keys), settings.terms(), self.node
        node.election.roster.check(terms, node.clock())

        def commit() -> None:
            if keys != node.channel.keys:
                node.channel.keys = keys
                log.info("address_keys_changed", keys=len(keys))
            if terms != node.election.terms:
                node.change(terms, settings.book())
                log.info("address_members_changed", generation=terms.generation, members=list(terms.members))
                self.keep_record()
            node.election.priority = settings.priority
            node.election.take_back = int(settings.take_back * SECOND) or None
            self.health.bounds = settings.health.bounds()
            self.settings = settings

        return commit

    async def leave(self, patience: float) -> None:
        """Hand the address over, or let it go where nobody can have it within so many seconds."""
        self.node.leave()
        loop = asyncio.get_running_loop()
        end = loop.time() + patience
        while not self.node.left and loop.time() < end:
            await asyncio.sleep(0.005)

    def stop(self) -> None:
        """End for good."""
        self.node.stop()
        if self.control is not None:
            self.control.close()
        if self._metrics is not None:
            self._metrics()
        if self.trace is not None:
            self.trace.close()

    def status(self) -> dict[str, Any]:
        """As `lockspoke address status` shows it."""
        now = self.node.clock()
        found = self.node.status()
        reasons = list(self.health.reasons)
        if now < self.down_until:
            reasons.append(f"held down by an operator for {(self.down_until - now) / SECOND:.0f} s more")
        found["why_not"] = [
            line
            for one in found["why_not"]
            for line in (reasons if one == "it is not fit" and reasons else [one])
        ]
        found["health"] = {**self.health.status(now), "held_down": self.health.held_down}
        found["record_failing"] = self.record.failing if self.record is not None else ""
        return found

    def _told(self, action: Hold | Lose, now: int) -> None:
        if self.trace is not None:
            line: dict[str, Any] = {"member": self.name, "at": now}
            line |= (
                {"token": action.token, "until": action.until} if isinstance(action, Hold) else {"lost": True}
            )
            print(json.dumps(line), file=self.trace, flush=True)

    def _obey(self, word: dict[str, Any]) -> dict[str, Any]:
        match word.get("do"):
            case "status":
                return self.status()
            case "move":
                self.node.move(str(word.get("to")))
                return {"done": f"{self.name} hands the address to {word['to']}"}
            case "hold-down":
                seconds = word.get("seconds")
                if not isinstance(seconds, int | float) or not 0 <= seconds <= LONGEST_DOWN:
                    raise ValueError(f"seconds is {seconds!r}, want 0 to {LONGEST_DOWN:.0f}")
                self.down_until = self.node.clock() + int(seconds * SECOND)
                log.warning("address_operator_hold_down", seconds=seconds)
                self.node.set_health(self.health.fit and not seconds)
                return {"done": f"{self.name} is held down for {seconds:g} s"}
            case other:
                raise ValueError(f"{other!r} is no word; known are status, move, hold-down")
