"""Runs the schedule of one seed: one batch, through all stops and kills, to its results."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

from bench.faults.settings import SETTINGS_VARIABLE, FaultSettings
from tests.batch.api_client import Api, batch_config, connect, retry_while_unavailable
from tests.batch.harness import ENDPOINT
from tests.standins import SECOND, SETTINGS, Program

from .checker import line_name
from .observations import LineResult, Observations, Rules
from .replicas import LineReplica
from .schedule import Schedule, Stop

REPLICAS = 4
DEADLINE = 2.0  # seconds of the lines' class; shorter than a replica hangs
STOP_TIMEOUT = DEADLINE + 0.7  # seconds from SIGTERM to SIGKILL
HANG_LEAD = 1.0  # seconds before a stop from which replicas hang
ATTEMPTS = 50  # of a line, more than any line needs: the number of attempts shall not end a line
FINISH_TIMEOUT = 240.0  # seconds after the last start


def input_file(lines: int) -> bytes:
    """Lines whose text says which line it is."""
    rows = []
    for number in range(lines):
        name = line_name(number)
        body = {"model": "m", "messages": [{"role": "user", "content": name}]}
        rows.append({"custom_id": name, "method": "POST", "url": ENDPOINT, "body": body})
    return b"".join(json.dumps(row).encode() + b"\n" for row in rows)


def gateway_settings(rules: Rules) -> dict[str, Any]:
    """Settings whose class `bulk`, that of lines, has these rules."""
    interactive = {"name": "docs", "effect": "free", "aim": SECOND, "deadline": 2 * SECOND}
    lines = {
        "name": "bulk",
        "effect": rules.effect.value,
        "dedupScope": rules.scope.value,
        "window": int(rules.window * SECOND),
        "aim": SECOND,
        "deadline": int(DEADLINE * SECOND),
    }
    return {
        "profiles": [interactive, lines],
        "limits": SETTINGS["limits"] | {"attemptsCap": ATTEMPTS},
        "zones": ["zone-0", "zone-1"],
    }


class LineSoak:
    """One run of a schedule."""

    def __init__(self, seed: int, schedule: Schedule, lines: int, folder: Path) -> None:
        self._schedule = schedule
        self._options = ("--batch", batch_config(folder, concurrency=schedule.concurrency, tries=ATTEMPTS))
        self.observations = Observations(schedule.rules, lines, schedule.concurrency)
        self.observations.cancelled = schedule.cancels
        runs = self.observations.runs
        self._replicas = [LineReplica(index, seed, runs) for index in range(REPLICAS)]

    async def execute(self) -> Observations:
        """Run the batch to its end; raises TimeoutError or OSError if that is not possible."""
        asyncio.get_running_loop().set_exception_handler(self._record_fault)
        async with AsyncExitStack() as stack:
            for replica in self._replicas:
                await stack.enter_async_context(replica)
            async with self._gateway(FaultSettings()) as program:
                batch_id = await retry_while_unavailable(program, self._create)
                await self._end_process(program, self._schedule.stops[0], batch_id)
            for stop, next_stop in zip(self._schedule.stops, self._schedule.stops[1:], strict=False):
                await asyncio.sleep(stop.pause)
                async with self._gateway(stop.faults) as program:
                    await self._end_process(program, next_stop, batch_id)
            last = self._schedule.stops[-1]
            await asyncio.sleep(last.pause)
            async with self._gateway(last.faults) as program, asyncio.timeout(FINISH_TIMEOUT):
                await self._read_results(await connect(program), batch_id)
        return self.observations

    def _record_fault(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        # Stand-ins that hang are cancelled at the end of the run.
        if not isinstance(context.get("exception"), asyncio.CancelledError):
            self.observations.faults.append(repr(context))

    @asynccontextmanager
    async def _gateway(self, faults: FaultSettings) -> AsyncIterator[Program]:
        program = Program(
            options=self._options,
            module="bench.faults",
            env={SETTINGS_VARIABLE: faults.encode()},
            **gateway_settings(self._schedule.rules),
        )
        program.known = {"rev": 1, "all": True, "targets": [replica.listed() for replica in self._replicas]}
        async with program:
            yield program

    async def _end_process(self, program: Program, stop: Stop, batch_id: str) -> None:
        await asyncio.sleep(max(0.0, stop.after - HANG_LEAD))
        self._set_hanging(stop.hangs)
        await asyncio.sleep(min(stop.after, HANG_LEAD))
        if stop.cancels:
            await retry_while_unavailable(program, lambda api: self._cancel(api, batch_id))
        if stop.by_kill:
            self.observations.kills += 1
            program.process.kill()
        else:
            self.observations.stops += 1
            program.process.terminate()
        try:
            await asyncio.wait_for(program.process.wait(), STOP_TIMEOUT)
        except TimeoutError:  # As the platform does.
            self.observations.kills += 1
            program.process.kill()
            await program.process.wait()
        self._set_hanging(False)

    def _set_hanging(self, hangs: bool) -> None:
        for replica in self._replicas:
            replica.hangs = hangs

    async def _create(self, api: Api) -> str:
        return await api.create_batch(input_file(self.observations.lines))

    @staticmethod
    async def _cancel(api: Api, batch_id: str) -> None:
        batch = (await api.request("GET", f"/v1/batches/{batch_id}"))[0]
        if batch["status"] in ("validating", "in_progress"):
            await api.request("POST", f"/v1/batches/{batch_id}/cancel")

    async def _read_results(self, api: Api, batch_id: str) -> None:
        batch = await api.wait_until_final(batch_id)
        for file_id in (batch["output_file_id"], batch["error_file_id"]):
            for row in await api.results(file_id) if file_id else ():
                error = row["error"] or {"code": "", "message": ""}
                result = LineResult(error["code"], error["message"])
                self.observations.results.setdefault(row["custom_id"], []).append(result)
