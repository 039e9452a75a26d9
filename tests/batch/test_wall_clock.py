"""Setting the wall clock while a batch runs does not change its completion window."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from bench.faults.settings import SETTINGS_VARIABLE, FaultSettings
from tests.standins import FakeReplica, Program

from .api_client import batch_config, connect, input_file

LINES = 20
STEP_AT = 2.0  # seconds after the start of the program, when the batch is in progress
PAUSE = 0.3  # seconds that a replica takes for a line


@pytest.mark.parametrize("step", [-3600.0, 3600.0])
def test_a_batch_keeps_its_window_when_the_wall_clock_is_set(step: float, tmp_path: Path) -> None:
    faults = FaultSettings(wall_step=step, wall_step_at=STEP_AT)

    async def scenario() -> None:
        async with (
            FakeReplica(pause=PAUSE) as replica,
            Program(
                replica,
                module="bench.faults",
                env={SETTINGS_VARIABLE: faults.encode()},
                options=("--batch", batch_config(tmp_path, concurrency=1)),
            ) as program,
        ):
            api = await connect(program)
            batch_id = await api.create_batch(input_file(LINES), "60s")
            batch = await api.wait_until_final(batch_id)
            assert batch["status"] == "completed"
            assert batch["request_counts"] == {"total": LINES, "completed": LINES, "failed": 0}

    asyncio.run(scenario())


@pytest.mark.parametrize("step", [-3600.0, 3600.0])
def test_batches_keep_their_windows_when_the_wall_clock_is_set_between_two_starts(
    step: float, tmp_path: Path
) -> None:
    """Guards against: after a kill and a step of an hour a batch expired at once, or an hour late."""
    faults = FaultSettings(wall_step=step)  # From the start of the second process on.
    options = ("--batch", batch_config(tmp_path, concurrency=1))

    async def scenario() -> None:
        async with FakeReplica(pause=PAUSE) as replica:
            async with Program(replica, options=options) as program:
                api = await connect(program)
                short = await api.create_batch(input_file(LINES), "4s")
                long = await api.create_batch(input_file(2), "60s")
                program.process.kill()
                await program.process.wait()
            env = {SETTINGS_VARIABLE: faults.encode()}
            async with Program(replica, module="bench.faults", env=env, options=options) as program:
                api = await connect(program)
                async with asyncio.timeout(LINES * PAUSE):  # An hour late would be too late.
                    statuses = [(await api.wait_until_final(batch))["status"] for batch in (short, long)]
                assert statuses == ["expired", "completed"]

    asyncio.run(scenario())
