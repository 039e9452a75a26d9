"""Tests of reloads of the configuration on SIGHUP."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tempfile
from copy import deepcopy
from pathlib import Path
from typing import Any

import pytest

from lockspoke.lifecycle.config import ConfigError
from lockspoke.lifecycle.config_file import read_config
from tests.standins import (
    SETTINGS,
    WAIT_TIMEOUT,
    Client,
    FakeDiscovery,
    FakeReplica,
    Program,
    request_bytes,
    until,
)

from .support import run


@run
async def test_sighup_applies_a_new_discovery_address_and_rejects_invalid_files() -> None:
    """The address in the file takes precedence over the one in the environment, which is older."""
    async with (
        FakeReplica() as old,
        FakeReplica() as new,
        FakeDiscovery() as first,
        FakeDiscovery() as second,
    ):
        first.change(old)
        second.change(new)
        async with Program(old, discovery=first) as program, Client(program.port) as client:
            assert (await client.request(request_bytes(1)))[0] == 200
            # The first response of discovery is logged as well, possibly later on a busy machine.
            await until(lambda: program.log("endpoint_list_changed") is not None)
            for bad in ("{", '{"settings": {"profiles": 5}}', '{"limits": {"sockets": "x"}}'):
                program.raw_logs.clear()
                program.reload(bad)
                await until(lambda: "reload_rejected" in "".join(program.raw_logs))
                lines = [line for line in program.raw_logs if '"event_loop_late"' not in line]
                assert len(lines) == 1  # one line for each rejected file
            address = f"127.0.0.1:{second.port}"
            moved: dict[str, Any] = {"discovery": address, "limits": {"memory_mb": 64, "sockets": 300}}
            program.reload(**moved)
            program.reload(**moved)  # a second SIGHUP before the first is handled
            await until(lambda: program.log("reloaded", discovery_moved=True) is not None)
            await until(lambda: any("from=" in request.head.query for request in second.seen))
            assert "from=" not in second.seen[0].head.query  # each service has its own list versions
            assert (await client.request(request_bytes(2)))[0] == 200  # the connection survived the reload
            assert (len(old.seen), len(new.seen)) == (1, 1)
            program.reload(discovery=f"127.0.0.1:{first.port}")
            assert await program.terminate() == 0


@pytest.mark.parametrize(
    "path",
    [
        ("limits",),
        ("settings", "discovery"),
        ("settings", "profiles", 1, "name"),
        ("settings", "profiles", 0, "deadline"),
        ("settings", "limits", "attemptsCap"),
    ],
)
def test_a_reload_of_a_file_that_lacks_a_key_takes_nothing(
    tmp_path: Path, path: tuple[str | int, ...]
) -> None:
    """The key that is missing would have had its default in place of what was in force."""
    document: Any = {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "limits": {"memory_mb": 64, "sockets": 300},
        "settings": deepcopy(SETTINGS),
    }
    file = tmp_path / "config.json"
    environment = {"NODE_CONFIG": str(file)}
    file.write_text(json.dumps(document))
    current = read_config(environment)
    assert read_config(environment, current) == current
    holder = document
    for key in path[:-1]:
        holder = holder[key]
    del holder[path[-1]]
    file.write_text(json.dumps(document))
    with pytest.raises(ConfigError) as raised:
        read_config(environment, current)
    message = str(raised.value)
    assert str(path[-1]) in message and "missing" in message and "\n" not in message


BLOCKING_CTYPES = """
import os, sys
open(os.environ["GATE"]).close()  # blocks until the test has sent the signal
sys.path.remove(os.path.dirname(__file__))
del sys.modules["ctypes"]
import ctypes
"""


async def open_writer(fifo: Path) -> Any:
    """Open a named pipe for writing; returns when the program has opened it for reading."""
    return await asyncio.wait_for(asyncio.to_thread(fifo.open, "w"), WAIT_TIMEOUT)


@run
async def test_sighup_while_the_program_is_loading_does_not_end_it() -> None:
    with tempfile.TemporaryDirectory() as folder:
        gate = Path(folder, "gate")
        os.mkfifo(gate)
        Path(folder, "ctypes.py").write_text(
            BLOCKING_CTYPES
        )  # imported instead of the standard library's module, amid the other imports
        program = Program(env={"PYTHONPATH": folder, "GATE": str(gate)})
        starting = asyncio.ensure_future(program.__aenter__())
        try:
            writer = await open_writer(gate)
            program.process.send_signal(signal.SIGHUP)
            writer.close()
            await starting
            await until(lambda: program.log("reloaded") is not None)
        finally:
            await program.__aexit__()


@run
async def test_sighup_between_reading_the_file_and_the_event_loop_is_not_lost() -> None:
    """Otherwise the program would keep using the old file and, if discovery has moved, miss every drain."""
    async with FakeReplica() as replica, FakeDiscovery() as moved:
        moved.change(replica)
        program = Program(replica)
        program.fifo = True
        before = signal.signal(signal.SIGHUP, signal.SIG_IGN)  # like the platform's command
        starting = asyncio.ensure_future(program.__aenter__())
        await until(lambda: hasattr(program, "process"))
        signal.signal(signal.SIGHUP, before)
        try:
            writer = await open_writer(program.config)
            writer.write(json.dumps(program.raw_config))
            newer = program.config.with_name("newer.json")
            newer.write_text(json.dumps(program.raw_config | {"discovery": f"127.0.0.1:{moved.port}"}))
            newer.replace(program.config)
            program.process.send_signal(signal.SIGHUP)
            writer.close()  # The program has read the older file only now.
            await starting
            await until(lambda: program.log("reloaded", discovery_moved=True) is not None)
        finally:
            await program.__aexit__()
