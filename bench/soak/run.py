"""Runs a schedule: starts gateways, stand-ins and clients, applies the steps, returns the observations."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Collection, Iterator
from contextlib import AsyncExitStack, suppress
from functools import partial
from pathlib import Path
from typing import Any

from bench.garbage_collection import short_collections

from .checker import is_inconclusive
from .clients import SoakClient
from .discovery import ReplicaList, SoakDiscovery
from .faults import FaultPlan, draw_plan
from .gateways import SoakGateway
from .observations import Observations, ReplyKind
from .replicas import SoakReplica
from .schedule import GATEWAYS, REPLICAS, Disturbance, Schedule, Step, draw_schedule
from .unsound_clients import UnsoundClient

CLIENTS = 8  # for each gateway
UNSOUND_CLIENTS = 2  # for each gateway
DELAY_SAMPLE_INTERVAL = 0.01  # seconds between two measurements of how late the bench's event loop is
MAX_RUNS = 5  # of a seed whose runs are inconclusive
SETTLE_TIME = 1.0  # seconds after the last step before the clients are stopped


class SoakRun:
    """One run of a schedule."""

    def __init__(self, schedule: Schedule, logs: Path | None = None, plan: FaultPlan | None = None) -> None:
        self._schedule = schedule
        self._plan = plan or FaultPlan()
        self._logs = logs
        self._observations = Observations()
        seed = schedule.seed
        self._replicas = [
            SoakReplica(
                index, seed, self._observations, self._cut_rng(f"replica {index}"), self._repeat_rng(index)
            )
            for index in range(REPLICAS)
        ]
        self._list = ReplicaList(self._replicas)
        self._discoveries = [
            SoakDiscovery(self._list, self._observations, self._cut_rng(f"discovery {index}"))
            for index in range(GATEWAYS)
        ]
        self._gateways = [
            SoakGateway(index, seed, discovery, self._list, self._observations, self._plan)
            for index, discovery in enumerate(self._discoveries)
        ]
        self._idle_connections: list[asyncio.StreamWriter] = []
        self._step_tasks: list[asyncio.Task[None]] = []

    def _cut_rng(self, name: str) -> random.Random | None:
        return random.Random(f"{self._schedule.seed}:cuts of {name}") if self._plan.cuts else None

    def _repeat_rng(self, replica: int) -> random.Random | None:
        seed = self._schedule.seed
        return random.Random(f"{seed}:repeats of replica {replica}") if self._plan.repeats else None

    async def execute(self) -> Observations:
        """Run the schedule to its end."""
        asyncio.get_running_loop().set_exception_handler(self._record_unhandled_error)
        with short_collections() as pauses:
            await self._execute_steps()
        self._observations.longest_collection = pauses.longest
        return self._observations

    async def _execute_steps(self) -> None:
        async with AsyncExitStack() as stack:
            for server in (*self._replicas, *self._discoveries):
                await stack.enter_async_context(server)
            await asyncio.gather(*(gateway.start(self._logs) for gateway in self._gateways))
            tasks = [asyncio.ensure_future(client.run()) for client in self._clients()]
            tasks += [asyncio.ensure_future(client.run()) for client in self._unsound_clients()]
            tasks.append(asyncio.ensure_future(self._measure_loop_delays()))
            await self._open_idle_connections()
            await self._apply_steps()
            await asyncio.gather(*self._step_tasks)
            await asyncio.sleep(SETTLE_TIME)
            ended_at = time.monotonic()
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            self._observations.stand_in_errors += [
                repr(result) for result in results if isinstance(result, Exception)
            ]
            for writer in self._idle_connections:
                writer.close()
            await asyncio.gather(*(gateway.shut_down() for gateway in self._gateways))
        self._drop_unfinished(ended_at)

    def _record_unhandled_error(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Record an exception that no task of the bench has caught."""
        self._observations.stand_in_errors.append(f"{context['message']}: {context.get('exception')!r}")

    def _clients(self) -> list[SoakClient]:
        seed, observations = self._schedule.seed, self._observations
        return [
            SoakClient(
                f"{gateway.index:02x}{number:06x}", seed, observations, partial(getattr, gateway, "process")
            )
            for gateway in self._gateways
            for number in range(CLIENTS)
        ]

    def _unsound_clients(self) -> list[UnsoundClient]:
        """Return two for each gateway, or none."""
        return [
            UnsoundClient(
                f"{gateway.index:02x}{number:02x}dead",
                self._schedule.seed,
                self._observations,
                partial(getattr, gateway, "process"),
            )
            for gateway in self._gateways
            for number in range(UNSOUND_CLIENTS if self._plan.unsound else 0)
        ]

    async def _open_idle_connections(self) -> None:
        """Open connections that never send a request."""
        for gateway in self._gateways:
            for _ in range(self._schedule.idle_connections):
                with suppress(OSError):
                    _, writer = await asyncio.open_connection("127.0.0.1", gateway.process.port)
                    self._idle_connections.append(writer)

    async def _measure_loop_delays(self) -> None:
        """Measure the delay of the event loop, and record overdue drains, at a fixed interval."""
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(DELAY_SAMPLE_INTERVAL)
            self._observations.loop_delays.append(time.monotonic() - started_at - DELAY_SAMPLE_INTERVAL)
            for discovery in self._discoveries:
                discovery.record_overdue_drains()

    async def _apply_steps(self) -> None:
        started_at = time.monotonic()
        for step in sorted((*self._schedule.steps, *self._plan.steps), key=lambda step: step.at):
            await asyncio.sleep(max(0.0, started_at + step.at - time.monotonic()))
            self._step_tasks.append(asyncio.ensure_future(self._apply_step(step)))
        await asyncio.sleep(max(0.0, started_at + self._schedule.seconds - time.monotonic()))

    async def _apply_step(self, step: Step) -> None:
        kind = step.disturbance
        until = time.monotonic() + step.duration
        if kind in (Disturbance.DRAIN, Disturbance.REMOVE):
            await self._disable_replica(step)
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
            await self._gateways[step.target].suspend(step.duration)
        elif kind is Disturbance.RELOAD:
            await self._gateways[step.target].reload()
        else:
            await self._gateways[step.target].restart(step.signals)

    async def _disable_replica(self, step: Step) -> None:
        """Drain or remove a replica, and later list it again as a new incarnation."""
        for discovery in self._discoveries:
            discovery.record_incarnation_end(step.target)
        self._list.set_state(step.target, "draining" if step.disturbance is Disturbance.DRAIN else "removed")
        await asyncio.sleep(step.duration)
        self._replicas[step.target].restart()
        self._list.set_state(step.target, "up")

    def _drop_unfinished(self, ended_at: float) -> None:
        """Drop requests that were still open at the end of the run and were not overdue."""
        for request in list(self._observations.requests.values()):
            is_open = request.reply is None or request.reply is ReplyKind.GATEWAY_KILLED
            if (
                is_open
                and request.ended_at == 0.0
                and ended_at - request.sent_at < request.deadline_ms / 1000 + 5.0
            ):
                del self._observations.requests[request.request_id]


def run_until_conclusive(
    seed: int, seconds: float, concerns: Collection[str] = (), logs: Path | None = None
) -> Iterator[Observations]:
    """Run a seed until a run is conclusive, at most `MAX_RUNS` times; yields the observations of each run.

    Args:
        seed: Determines the schedule.
        seconds: The length of a run.
        concerns: The names of the kinds of faults that are added.
        logs: A folder for the gateways' logs of the last run.
    """
    for _ in range(MAX_RUNS):
        soak = SoakRun(draw_schedule(seed, seconds), logs, draw_plan(seed, seconds, concerns))
        observations = asyncio.run(soak.execute())
        yield observations
        if not is_inconclusive(observations):
            return
