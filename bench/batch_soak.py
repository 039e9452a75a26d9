"""Soak of the batch front: `python -m bench.batch_soak --seed N [--seeds K] [--lines L]`.

A seed draws a schedule: five batches, each cancelled, expired or left to run, and one restart of the gateway
in the middle of them, by SIGKILL or SIGTERM. While the gateway runs, probes ask for `GET /up`, an operator's
call and interactive streams (tests/batch/gateway_probes.py says within which bounds). In the end every line
must stand exactly once in a result file.

A run in which the probing process itself was late is void, which is neither passed nor failed. The exit code
is the number of seeds that failed, 100 at the most.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, replace
from enum import Enum
from functools import partial
from pathlib import Path
from typing import Any, TypeVar

from bench.faults.settings import VARIABLE, FaultSettings
from tests.batch.api_client import Api, batch_config, connect, input_file
from tests.batch.gateway_probes import GatewayProbes, Measurements, TimestampReplica
from tests.standins import Program

BATCHES = 5
CONCERNS = ("disk", "clock")  # what may fail, by name
DISK_PHASE = 0.5  # where in its period the disk begins to fail: not as a process starts
DISK_SHARES = (0.1, 0.3, 1.0)  # of the calls that fail meanwhile
WALL_STEPS = (-3600.0, -5.0, 5.0, 3600.0)  # seconds
RETRY_INTERVAL = 0.1  # seconds after a call that the store could not take
MAX_PLAYS = 5  # of a seed whose plays are void
DEFAULT_LINES = 10_000  # of each batch
LAST_CANCEL = 2.0  # seconds of a gateway's life within which its batches are cancelled
LONGEST_LIFE = 4.0  # seconds until the restart
# Seconds from SIGTERM to the earliest SIGKILL: the longest deadline, taken as 3 s where longer, and 0.7 s
# (the protocol page, "Figures").
STOP_TIME = 3.7
DECODE_AT_ONCE = 200  # lines of a result file
FINISH_TIMEOUT = 120.0  # seconds for all batches to end after the restart


ResultT = TypeVar("ResultT")


class BatchFate(Enum):
    """What becomes of a batch."""

    CANCELLED = "cancelled"
    EXPIRED = "expired"
    CANCELLED_AFTER_RESTART = "cancelled after the restart"


@dataclass(frozen=True, slots=True)
class BatchPlan:
    """One batch of a schedule."""

    fate: BatchFate
    window: str  # completion window
    cancel_at: float  # seconds after the last creation, or after the restart


@dataclass(frozen=True, slots=True)
class Schedule:
    """All that a seed decides."""

    batches: tuple[BatchPlan, ...]
    concurrency: int
    replica_pause: float  # seconds that a replica takes for a line
    restart_at: float  # seconds after the last creation
    restart_by_kill: bool


def draw_schedule(seed: int) -> Schedule:
    """The schedule of a seed; each concern has a generator of its own."""
    fates, settings, restart = (random.Random(f"{seed}:{name}") for name in ("fates", "settings", "restart"))
    plans = []
    for _ in range(BATCHES):
        fate = fates.choice(list(BatchFate))
        window = f"{fates.randint(1, 5)}s" if fate is BatchFate.EXPIRED else "24h"
        plans.append(BatchPlan(fate, window, fates.uniform(0.0, LAST_CANCEL)))
    return Schedule(
        tuple(plans),
        concurrency=settings.choice((2, 8, 32)),
        replica_pause=settings.choice((0.002, 0.05, 0.5)),
        restart_at=restart.uniform(0.2, LONGEST_LIFE),
        restart_by_kill=restart.random() < 0.5,
    )


def draw_faults(seed: int, concerns: Collection[str]) -> FaultSettings | None:
    """The faulty system calls of a seed, for these concerns; None without any."""
    if not concerns:
        return None
    settings = FaultSettings(seed=seed, disk_phase=DISK_PHASE)
    if "disk" in concerns:
        settings = replace(settings, disk_share=random.Random(f"{seed}:disk share").choice(DISK_SHARES))
    if "clock" in concerns:
        clock = random.Random(f"{seed}:clock")
        step, at = clock.choice(WALL_STEPS), clock.uniform(0.0, LONGEST_LIFE)
        settings = replace(settings, wall_step=step, wall_step_at=at)
    return settings


class SoakError(AssertionError):
    """The gateway broke a bound."""


@dataclass(slots=True)
class SoakResult:
    """What one seed showed."""

    void: bool
    summary: str


class BatchSoak:
    """Plays the schedule of one seed."""

    def __init__(
        self, schedule: Schedule, lines: int, folder: Path, faults: FaultSettings | None = None
    ) -> None:
        self._schedule = schedule
        self._faults = faults
        self._lines = lines
        self._input = input_file(lines)
        self._options = ("--batch", batch_config(folder, concurrency=schedule.concurrency))
        self._ids: list[str] = []

    async def play(self) -> SoakResult:
        """Play both lives of the gateway; raises SoakError if a bound is broken."""
        pause = self._schedule.replica_pause
        async with TimestampReplica(pause=pause) as one, TimestampReplica(pause=pause) as two:
            async with self._program(one, two) as program:
                first = await self._first_life(program)
            async with self._program(one, two) as program:
                second, statuses = await self._second_life(program)
        void = first.is_void() or second.is_void()
        violations = first.violations() + second.violations()
        summary = f"{dict(statuses)}; first: {first.summary()}; second: {second.summary()}"
        if violations and not void:
            raise SoakError(f"{'; '.join(violations)} ({summary})")
        return SoakResult(void, summary)

    def _program(self, *replicas: TimestampReplica) -> Program:
        if self._faults is None:
            return Program(*replicas, options=self._options, operator=True)
        env = {VARIABLE: self._faults.encode()}
        return Program(*replicas, options=self._options, operator=True, module="bench.faults", env=env)

    async def _until_stored(self, program: Program, call: Callable[[Api], Awaitable[ResultT]]) -> ResultT:
        """Repeat a call while the store cannot write: nothing of it was accepted."""
        while True:
            api = await connect(program)
            try:
                return await call(api)
            except AssertionError as error:
                if self._faults is None or "(503," not in str(error):
                    raise
            finally:
                await api.client.__aexit__()
            await asyncio.sleep(RETRY_INTERVAL)

    async def _first_life(self, program: Program) -> Measurements:
        async with GatewayProbes(program).running() as measurements:
            for plan in self._schedule.batches:
                self._ids.append(await self._until_stored(program, partial(self._create, window=plan.window)))
            cancels = asyncio.ensure_future(self._cancel(program, BatchFate.CANCELLED))
            await asyncio.sleep(self._schedule.restart_at)
            cancels.cancel()
            await asyncio.gather(cancels, return_exceptions=True)
        if self._schedule.restart_by_kill:
            program.process.kill()
            await program.process.wait()
        else:
            await self._terminate(program)
        return measurements

    async def _create(self, api: Api, window: str) -> str:
        return await api.create_batch(self._input, window=window)

    async def _second_life(self, program: Program) -> tuple[Measurements, Counter[str]]:
        api = await connect(program)
        async with GatewayProbes(program).running() as measurements, asyncio.timeout(FINISH_TIMEOUT):
            await self._cancel(program, BatchFate.CANCELLED, BatchFate.CANCELLED_AFTER_RESTART)
            statuses: Counter[str] = Counter()
            for batch_id in self._ids:
                statuses += await self._check_results(api, batch_id)
        await self._terminate(program)
        return measurements, statuses

    async def _cancel(self, program: Program, *fates: BatchFate) -> None:
        """Cancel the batches of these fates, each at its time."""
        pairs = zip(self._ids, self._schedule.batches, strict=True)
        due = sorted((plan.cancel_at, batch_id) for batch_id, plan in pairs if plan.fate in fates)
        started_at = time.monotonic()
        for cancel_at, batch_id in due:
            await asyncio.sleep(max(0.0, started_at + cancel_at - time.monotonic()))
            await self._until_stored(program, partial(self._cancel_one, batch_id=batch_id))

    @staticmethod
    async def _cancel_one(api: Api, batch_id: str) -> None:
        batch = (await api.request("GET", f"/v1/batches/{batch_id}"))[0]
        if batch["status"] in ("validating", "in_progress"):
            await api.request("POST", f"/v1/batches/{batch_id}/cancel")

    async def _check_results(self, api: Api, batch_id: str) -> Counter[str]:
        """Count the results of a batch once it is final; every line must have exactly one."""
        batch = await api.wait_until_final(batch_id)
        results: list[Any] = []
        for file_id in (batch["output_file_id"], batch["error_file_id"]):
            if file_id:
                results += await self._read_results(api, file_id)
        ids = sorted(result["custom_id"] for result in results)
        if ids != sorted(f"c{number}" for number in range(self._lines)):
            unlike = len(set(ids))
            raise SoakError(f"{batch_id}: {self._lines} lines, {len(ids)} results for {unlike} of them")
        return Counter(result["error"]["code"] if result["error"] else "served" for result in results)

    async def _read_results(self, api: Api, file_id: str) -> list[Any]:
        """Decode a result file a few lines at a time, so that the probes are not held up."""
        lines = (await api.request("GET", f"/v1/files/{file_id}/content"))[0].splitlines()
        results = []
        for start in range(0, len(lines), DECODE_AT_ONCE):
            results += [json.loads(line) for line in lines[start : start + DECODE_AT_ONCE]]
            await asyncio.sleep(0)
        return results

    async def _terminate(self, program: Program) -> None:
        started_at = time.monotonic()
        program.process.terminate()
        code = await program.process.wait()
        took = time.monotonic() - started_at
        if code != 0 or took > STOP_TIME:
            raise SoakError(f"SIGTERM: exit code {code} after {took:.1f} s, wanted 0 within {STOP_TIME} s")


def play_seed(seed: int, lines: int, concerns: tuple[str, ...]) -> bool:
    """Play one seed until a play counts, and print each verdict; returns whether it failed."""
    command = f"python -m bench.batch_soak --seed {seed} --lines {lines}"
    command += f" --faults {','.join(concerns)}" if concerns else ""
    for _ in range(MAX_PLAYS):
        result = play_once(seed, lines, concerns, command)
        if result is None or not result.void:
            break
    return result is None or result.void


def play_once(seed: int, lines: int, concerns: tuple[str, ...], command: str) -> SoakResult | None:
    """Play one seed and print its verdict; returns None if it failed."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        try:
            soak = BatchSoak(draw_schedule(seed), lines, Path(folder), draw_faults(seed, concerns))
            result = asyncio.run(soak.play())
        except (SoakError, AssertionError, TimeoutError, OSError) as error:
            print(f"seed {seed}: FAILED: {error!r}; again by: {command}", flush=True)
            return None
    verdict = "void (the probing process was late)" if result.void else "passed"
    print(f"seed {seed}: {verdict} in {time.monotonic() - started_at:.0f} s; {result.summary}", flush=True)
    return result


def _concerns(text: str) -> tuple[str, ...]:
    names = tuple(text.split(","))
    for name in names:
        if name not in CONCERNS:
            raise argparse.ArgumentTypeError(f"{name!r} is none of {', '.join(CONCERNS)}")
    return names


def main() -> None:
    """Play the seeds that the command line names."""
    parser = argparse.ArgumentParser(description="Soak of the batch front, with seeded schedules.")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one after another")
    parser.add_argument("--lines", type=int, default=DEFAULT_LINES, help="lines of each batch")
    parser.add_argument("--faults", type=_concerns, default=(), help=f"some of {','.join(CONCERNS)}")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    failed = sum(play_seed(seed, options.lines, options.faults) for seed in seeds)
    print(f"{options.seeds} seeds, {failed} failed")
    sys.exit(min(failed, 100))


if __name__ == "__main__":
    main()
