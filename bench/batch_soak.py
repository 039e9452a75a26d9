"""Soak test of the batch front: `python -m bench.batch_soak --seed N [--seeds K] [--lines L]`.

A seed determines a schedule: five batches, each cancelled before or after the restart or expired, and one
restart of the gateway while they run, by SIGKILL or SIGTERM. While the gateway runs, probes measure
`GET /up`, an operator's call and interactive streams; their bounds are in tests/batch/gateway_probes.py. At
the end every line must have exactly one result in the result files.

A run in which the probing process itself was late is inconclusive (printed as `void`) and is repeated. The
exit code is the number of seeds that failed or stayed inconclusive, 100 at the most.
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

from bench.faults.settings import SETTINGS_VARIABLE, FaultSettings
from bench.garbage_collection import short_collections
from tests.batch.api_client import Api, batch_config, call_once, connect, input_file, retry_while_unavailable
from tests.batch.gateway_probes import GatewayProbes, Measurements, TimestampReplica
from tests.standins import Program

BATCHES = 5
CONCERNS = ("disk", "clock")  # names of the kinds of faults
DISK_PHASE = 0.5  # part of its period after which the disk fails, so that processes start without failures
DISK_SHARES = (0.1, 0.3, 1.0)  # shares of the calls that fail while the disk fails
WALL_STEPS = (-3600.0, -5.0, 5.0, 3600.0)  # seconds by which the wall clock is set
MAX_RUNS = 5  # of a seed whose runs are inconclusive
DEFAULT_LINES = 10_000  # in each batch
MAX_CANCEL_DELAY = 2.0  # seconds after the last creation, or the restart, until the last cancellation
MAX_TIME_BEFORE_RESTART = 4.0  # seconds from the last creation to the restart
# Seconds from SIGTERM to the earliest SIGKILL: the longest deadline, but at most 3 s, plus 0.7 s
# (the protocol page, "Figures").
STOP_TIMEOUT = 3.7
DECODE_CHUNK_LINES = 200  # lines of a result file that are decoded without a break
FINISH_TIMEOUT = 120.0  # seconds for all batches to end after the restart

ResultT = TypeVar("ResultT")


class BatchEnding(Enum):
    """How a batch ends."""

    CANCELLED = "cancelled"
    EXPIRED = "expired"
    CANCELLED_AFTER_RESTART = "cancelled after the restart"


@dataclass(frozen=True, slots=True)
class BatchPlan:
    """One batch of a schedule."""

    ending: BatchEnding
    window: str  # completion window
    cancel_at: float  # seconds after the last creation, or after the restart


@dataclass(frozen=True, slots=True)
class Schedule:
    """Everything that a seed determines except the injected faults."""

    batches: tuple[BatchPlan, ...]
    concurrency: int
    replica_delay: float  # seconds that a replica takes to answer a line
    restart_at: float  # seconds after the last creation
    restart_by_kill: bool


def draw_schedule(seed: int) -> Schedule:
    """Draw the schedule of a seed; endings, settings and restart have separate generators."""
    endings, settings, restart = (
        random.Random(f"{seed}:{name}") for name in ("fates", "settings", "restart")
    )
    plans = []
    for _ in range(BATCHES):
        ending = endings.choice(list(BatchEnding))
        window = f"{endings.randint(1, 5)}s" if ending is BatchEnding.EXPIRED else "24h"
        plans.append(BatchPlan(ending, window, endings.uniform(0.0, MAX_CANCEL_DELAY)))
    return Schedule(
        tuple(plans),
        concurrency=settings.choice((2, 8, 32)),
        replica_delay=settings.choice((0.002, 0.05, 0.5)),
        restart_at=restart.uniform(0.2, MAX_TIME_BEFORE_RESTART),
        restart_by_kill=restart.random() < 0.5,
    )


def draw_faults(seed: int, concerns: Collection[str]) -> FaultSettings | None:
    """Draw the faults of a seed for these concerns; None without any concern."""
    if not concerns:
        return None
    settings = FaultSettings(seed=seed, disk_phase=DISK_PHASE)
    if "disk" in concerns:
        settings = replace(settings, disk_share=random.Random(f"{seed}:disk share").choice(DISK_SHARES))
    if "clock" in concerns:
        clock = random.Random(f"{seed}:clock")
        step, at = clock.choice(WALL_STEPS), clock.uniform(0.0, MAX_TIME_BEFORE_RESTART)
        settings = replace(settings, wall_step=step, wall_step_at=at)
    return settings


class SoakError(AssertionError):
    """The gateway violated a bound."""


@dataclass(slots=True)
class SoakResult:
    """Result of one run without a violation."""

    inconclusive: bool
    summary: str


class BatchSoak:
    """Runs the schedule of one seed."""

    def __init__(
        self, schedule: Schedule, lines: int, folder: Path, faults: FaultSettings | None = None
    ) -> None:
        self._schedule = schedule
        self._faults = faults
        self._lines = lines
        self._input = input_file(lines)
        self._gateway_options = ("--batch", batch_config(folder, concurrency=schedule.concurrency))
        self._batch_ids: list[str] = []

    async def execute(self) -> SoakResult:
        """Run the gateway before and after its restart; raises SoakError if a bound is violated."""
        with short_collections():
            return await self._execute()

    async def _execute(self) -> SoakResult:
        answer_delay = self._schedule.replica_delay
        async with TimestampReplica(pause=answer_delay) as one, TimestampReplica(pause=answer_delay) as two:
            async with self._program(one, two) as program:
                first = await self._run_until_restart(program)
            async with self._program(one, two) as program:
                second, statuses = await self._run_after_restart(program)
        inconclusive = first.is_void() or second.is_void()
        violations = first.violations() + second.violations()
        summary = f"{dict(statuses)}; first: {first.summary()}; second: {second.summary()}"
        if violations and not inconclusive:
            raise SoakError(f"{'; '.join(violations)} ({summary})")
        return SoakResult(inconclusive, summary)

    def _program(self, *replicas: TimestampReplica) -> Program:
        if self._faults is None:
            return Program(*replicas, options=self._gateway_options, operator=True)
        env = {SETTINGS_VARIABLE: self._faults.encode()}
        return Program(
            *replicas, options=self._gateway_options, operator=True, module="bench.faults", env=env
        )

    async def _call(self, program: Program, operation: Callable[[Api], Awaitable[ResultT]]) -> ResultT:
        """Run an operation; it may fail for a while only if the disk does."""
        run = call_once if self._faults is None else retry_while_unavailable
        return await run(program, operation)

    async def _run_until_restart(self, program: Program) -> Measurements:
        async with GatewayProbes(program).running() as measurements:
            for plan in self._schedule.batches:
                self._batch_ids.append(await self._call(program, partial(self._create, window=plan.window)))
            cancels = asyncio.ensure_future(self._cancel(program, BatchEnding.CANCELLED))
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

    async def _run_after_restart(self, program: Program) -> tuple[Measurements, Counter[str]]:
        api = await connect(program)
        async with GatewayProbes(program).running() as measurements, asyncio.timeout(FINISH_TIMEOUT):
            await self._cancel(program, BatchEnding.CANCELLED, BatchEnding.CANCELLED_AFTER_RESTART)
            statuses: Counter[str] = Counter()
            for batch_id in self._batch_ids:
                statuses += await self._check_results(api, batch_id)
        await self._terminate(program)
        return measurements, statuses

    async def _cancel(self, program: Program, *endings: BatchEnding) -> None:
        """Cancel the batches with these endings, each at its time."""
        pairs = zip(self._batch_ids, self._schedule.batches, strict=True)
        due = sorted((plan.cancel_at, batch_id) for batch_id, plan in pairs if plan.ending in endings)
        started_at = time.monotonic()
        for cancel_at, batch_id in due:
            await asyncio.sleep(max(0.0, started_at + cancel_at - time.monotonic()))
            await self._call(program, partial(self._cancel_one, batch_id=batch_id))

    @staticmethod
    async def _cancel_one(api: Api, batch_id: str) -> None:
        batch = (await api.request("GET", f"/v1/batches/{batch_id}"))[0]
        if batch["status"] in ("validating", "in_progress"):
            await api.request("POST", f"/v1/batches/{batch_id}/cancel")

    async def _check_results(self, api: Api, batch_id: str) -> Counter[str]:
        """Wait until a batch is final and count its results by outcome; every line must have exactly one."""
        batch = await api.wait_until_final(batch_id)
        results: list[Any] = []
        for file_id in (batch["output_file_id"], batch["error_file_id"]):
            if file_id:
                results += await self._read_results(api, file_id)
        ids = sorted(result["custom_id"] for result in results)
        if ids != sorted(f"c{number}" for number in range(self._lines)):
            distinct = len(set(ids))
            raise SoakError(f"{batch_id}: {self._lines} lines, {len(ids)} results for {distinct} of them")
        return Counter(result["error"]["code"] if result["error"] else "served" for result in results)

    async def _read_results(self, api: Api, file_id: str) -> list[Any]:
        """Decode a result file a few lines at a time, so that the probes are not delayed."""
        lines = (await api.request("GET", f"/v1/files/{file_id}/content"))[0].splitlines()
        results = []
        for start in range(0, len(lines), DECODE_CHUNK_LINES):
            results += [json.loads(line) for line in lines[start : start + DECODE_CHUNK_LINES]]
            await asyncio.sleep(0)
        return results

    async def _terminate(self, program: Program) -> None:
        started_at = time.monotonic()
        program.process.terminate()
        code = await program.process.wait()
        took = time.monotonic() - started_at
        if code != 0 or took > STOP_TIMEOUT:
            raise SoakError(f"SIGTERM: exit code {code} after {took:.1f} s, wanted 0 within {STOP_TIMEOUT} s")


def run_seed(seed: int, lines: int, concerns: tuple[str, ...]) -> bool:
    """Run one seed until a run is conclusive, and print each outcome; returns whether it failed."""
    command = f"python -m bench.batch_soak --seed {seed} --lines {lines}"
    command += f" --faults {','.join(concerns)}" if concerns else ""
    for _ in range(MAX_RUNS):
        result = run_seed_once(seed, lines, concerns, command)
        if result is None or not result.inconclusive:
            break
    return result is None or result.inconclusive


def run_seed_once(seed: int, lines: int, concerns: tuple[str, ...], command: str) -> SoakResult | None:
    """Run one seed once and print its outcome; returns None if it failed."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        try:
            soak = BatchSoak(draw_schedule(seed), lines, Path(folder), draw_faults(seed, concerns))
            result = asyncio.run(soak.execute())
        except (SoakError, AssertionError, TimeoutError, OSError) as error:
            print(f"seed {seed}: FAILED: {error!r}; again by: {command}", flush=True)
            return None
    outcome = "void (the probing process was late)" if result.inconclusive else "passed"
    print(f"seed {seed}: {outcome} in {time.monotonic() - started_at:.0f} s; {result.summary}", flush=True)
    return result


def _parse_concerns(text: str) -> tuple[str, ...]:
    names = tuple(text.split(","))
    for name in names:
        if name not in CONCERNS:
            raise argparse.ArgumentTypeError(f"{name!r} is none of {', '.join(CONCERNS)}")
    return names


def main() -> None:
    """Run the seeds that the command line selects."""
    parser = argparse.ArgumentParser(description="Soak of the batch front, with seeded schedules.")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one after another")
    parser.add_argument("--lines", type=int, default=DEFAULT_LINES, help="lines of each batch")
    parser.add_argument("--faults", type=_parse_concerns, default=(), help=f"some of {','.join(CONCERNS)}")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    failed = sum(run_seed(seed, options.lines, options.faults) for seed in seeds)
    print(f"{options.seeds} seeds, {failed} failed")
    sys.exit(min(failed, 100))


if __name__ == "__main__":
    main()
