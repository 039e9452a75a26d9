"""Tests of the start of the program in its own process."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import tomllib
from collections.abc import Awaitable
from typing import Any

import pytest

from tests.standins import ROOT, Client, FakeReplica, Program

from .support import UP, run


@run
async def test_twenty_programs_started_at_once_are_ready_in_time() -> None:
    """They share two cores."""
    cores, loop = os.sched_getaffinity(0), asyncio.get_running_loop()

    async def ready(start: Awaitable[Program]) -> float:
        program = await start
        async with Client(program.port) as client:
            while (await client.request(UP))[0] != 200:
                await asyncio.sleep(0.01)
        return loop.time()

    async with contextlib.AsyncExitStack() as stack:
        replica = await stack.enter_async_context(FakeReplica())
        started_at = loop.time()
        os.sched_setaffinity(0, sorted(cores)[:2])  # inherited by the processes
        try:
            starts = [ready(stack.enter_async_context(Program(replica))) for _ in range(20)]
            took = sorted(when - started_at for when in await asyncio.gather(*starts))
        finally:
            os.sched_setaffinity(0, cores)
    assert took[17] <= 10.0, "nine in ten"
    assert took[-1] <= 30.0


@pytest.mark.parametrize("raw", ["", "[]", '{"settings": {}}', '{"listen": "a"}'])
def test_an_invalid_configuration_ends_the_program_with_one_error_line(tmp_path: Any, raw: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(raw)
    done = subprocess.run(
        [sys.executable, "-B", "-m", "lockspoke"],
        cwd=ROOT,
        env={"NODE_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2 and done.stderr.startswith("lockspoke: ") and done.stderr.count("\n") == 1


def test_the_run_command_ignores_sighup_from_the_start() -> None:
    """Until the program runs its first line, the default action of SIGHUP would terminate the process."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    shown = run.replace(".venv/bin/python -B -m lockspoke", "grep SigIgn /proc/self/status")
    assert shown != run
    mask = subprocess.run(
        ["/bin/sh", "-c", shown], capture_output=True, text=True, check=True
    ).stdout.split()[1]
    assert int(mask, 16) >> (signal.SIGHUP - 1) & 1
