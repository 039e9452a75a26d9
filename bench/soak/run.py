"""Plays a schedule: starts the actors, carries out the steps, and returns what was seen."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Collection, Iterator
from contextlib import AsyncExitStack, suppress
from functools import partial
from pathlib import Path
from typing import Any

from .clients import SoakClient
from .discovery import ReplicaList, SoakDiscovery
from .faults import FaultPlan, draw_plan
from .gateways import SoakGateway
from .judge import is_void
from .observations import Observations, ReplyKind
from .replicas import SoakReplica
from .schedule import GATEWAYS, REPLICAS, Disturbance, Schedule, Step, draw_schedule

CLIENTS = 8  # of each gateway
TICK = 0.01  # seconds between two measurements of the bench's own lateness
MAX_PLAYS = 5  # of a seed whose plays are void
FINISH_TIME = 1.0  # seconds at the end in which nothing new is disturbed


class SoakRun:
    """One run of a schedule."""

    def __init__(self, schedule: Schedule, logs: Path | None = None, plan: FaultPlan | None = None) -> None:
        self._schedule = schedule
        self._plan = plan or FaultPlan()
        self._logs = logs
        self._seen = Observations()
        seed = schedule.seed
        self._replicas = [
            SoakReplica(index, seed, self._seen, self._cuts(f"replica {index}")) for index in range(REPLICAS)
        ]
        self._list = ReplicaList(self._replicas)
        self._discoveries = [
            SoakDiscovery(self._list, self._seen, self._cuts(f"discovery {index}"))
            for index in range(GATEWAYS)
        ]
        self._gateways = [
            SoakGateway(index, seed, discovery, self._list, self._seen, self._plan)
            for index, discovery in enumerate(self._discoveries)
        ]
        self._crowd: list[asyncio.StreamWriter] = []
        self._steps: list[asyncio.Task[None]] = []

    def _cuts(self, name: str) -> random.Random | None:
        return random.Random(f"{self._schedule.seed}:cuts of {name}") if self._plan.cuts else None

    async def play(self) -> Observations:
        """Play to the end."""
        asyncio.get_running_loop().set_exception_handler(self._note_fault)
        async with AsyncExitStack() as stack:
            for server in (*self._replicas, *self._discoveries):
                await stack.enter_async_context(server)
            await asyncio.gather(*(gateway.start(self._logs) for gateway in self._gateways))
            tasks = [asyncio.ensure_future(client.run()) for client in self._clients()]
            tasks.append(asyncio.ensure_future(self._watch_clock()))
            await self._open_crowd()
            await self._carry_out_steps()
            await asyncio.gather(*self._steps)
            await asyncio.sleep(FINISH_TIME)
            ended_at = time.monotonic()
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            self._seen.actor_faults += [repr(result) for result in results if isinstance(result, Exception)]
            for writer in self._crowd:
                writer.close()
            await asyncio.gather(*(gateway.stop_for_good() for gateway in self._gateways))
        self._forget_unfinished(ended_at)
        return self._seen

    def _note_fault(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Record what a stand-in did not catch."""
        self._seen.actor_faults.append(f"{context['message']}: {context.get('exception')!r}")

    def _clients(self) -> list[SoakClient]:
        seed, seen = self._schedule.seed, self._seen
        return [
            SoakClient(f"{gateway.index:02x}{number:06x}", seed, seen, partial(getattr, gateway, "process"))
            for gateway in self._gateways
            for number in range(CLIENTS)
        ]

    async def _open_crowd(self) -> None:
        """Open the connections that never ask for anything."""
        for gateway in self._gateways:
            for _ in range(self._schedule.crowd):
                with suppress(OSError):
                    _, writer = await asyncio.open_connection("127.0.0.1", gateway.process.port)
                    self._crowd.append(writer)

    async def _watch_clock(self) -> None:
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(TICK)
            self._seen.own_delays.append(time.monotonic() - started_at - TICK)
            for discovery in self._discoveries:
                discovery.count_overdue()

    async def _carry_out_steps(self) -> None:
        started_at = time.monotonic()
        for step in sorted((*self._schedule.steps, *self._plan.steps), key=lambda step: step.at):
            await asyncio.sleep(max(0.0, started_at + step.at - time.monotonic()))
            self._steps.append(asyncio.ensure_future(self._carry_out(step)))
        await asyncio.sleep(max(0.0, started_at + self._schedule.seconds - time.monotonic()))

    async def _carry_out(self, step: Step) -> None:
        kind = step.disturbance
        until = time.monotonic() + step.duration
        if kind in (Disturbance.DRAIN, Disturbance.REMOVE):
            await self._take_out(step)
        elif kind is Disturbance.REPLICA_RESET:
            self._replicas[step.target].reset_connections()
        elif kind is Disturbance.DISCOVERY_RESET:
            self._discoveries[step.target].reset_connections()
        elif kind is Disturbance.DISCOVERY_SILENT:
            self._discoveries[step.target].silent_until = until
        elif kind is Disturbance.DISCOVERY_DOWN:
            for discovery in self._discoveries:
                discovery.unreachable_until = until
                discovery.reset_connections()
        elif kind is Disturbance.HOLD:
            await self._gateways[step.target].hold(step.duration)
        elif kind is Disturbance.RELOAD:
            await self._gateways[step.target].reload()
        else:
            await self._gateways[step.target].restart(step.signals)

    async def _take_out(self, step: Step) -> None:
        """Drain or remove a replica, and bring it back as a new process."""
        for discovery in self._discoveries:
            discovery.incarnation_ended(step.target)
        self._list.set_state(step.target, "draining" if step.disturbance is Disturbance.DRAIN else "removed")
        await asyncio.sleep(step.duration)
        self._replicas[step.target].restart()
        self._list.set_state(step.target, "up")

    def _forget_unfinished(self, ended_at: float) -> None:
        """Leave out requests that were open as the run ended, and that are not overdue."""
        for request in list(self._seen.requests.values()):
            is_open = request.reply is None or request.reply is ReplyKind.GATEWAY_KILLED
            if (
                is_open
                and request.ended_at == 0.0
                and ended_at - request.sent_at < request.deadline_ms / 1000 + 5.0
            ):
                del self._seen.requests[request.request_id]


def plays(
    seed: int, seconds: float, concerns: Collection[str] = (), logs: Path | None = None
) -> Iterator[Observations]:
    """Play a seed, and again while its plays are void; yields what was seen in each.

    Args:
        seed: Decides the schedule.
        seconds: The length of a play.
        concerns: The names of the faults that are added.
        logs: A folder for the gateways' logs of the last play.
    """
    for _ in range(MAX_PLAYS):
        run = SoakRun(draw_schedule(seed, seconds), logs, draw_plan(seed, seconds, concerns))
        seen = asyncio.run(run.play())
        yield seen
        if not is_void(seen):
            return
