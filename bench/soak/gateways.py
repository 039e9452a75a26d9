"""Starts, reloads, suspends, stops and restarts the gateway processes of a run."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

from bench.faults.network import BREAK_EVENT
from bench.faults.settings import SETTINGS_VARIABLE
from lockspoke.units import SECOND
from tests.standins import ROOT, Client, Program

from .clients import DEADLINES_MS, GatewayProcess
from .discovery import ReplicaList, SoakDiscovery
from .faults import FaultPlan
from .observations import GatewayExit, Observations
from .schedule import GATEWAYS, KILL_AFTER

UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
READY_TIMEOUT = 10.0  # seconds within which a started gateway must be ready
SIGNAL_INTERVAL = 0.02  # seconds between the signals of a series
# Range of the seconds after SIGTERM for which clients still open connections.
ACCEPT_TIME_RANGE = (0.2, 0.4)
PROFILES = [
    {"name": "chat", "effect": "free", "aim": SECOND, "deadline": DEADLINES_MS["chat"] * SECOND // 1000},
    {
        "name": "once",
        "effect": "single_shot",
        "aim": SECOND,
        "deadline": DEADLINES_MS["once"] * SECOND // 1000,
    },
]


class SoakGateway:
    """One gateway, across the restarts of its process."""

    def __init__(
        self,
        index: int,
        seed: int,
        discovery: SoakDiscovery,
        replicas: ReplicaList,
        observations: Observations,
        plan: FaultPlan,
    ) -> None:
        self.index = index
        self.process = GatewayProcess(f"g{index}.0", 0, accepts=False)
        self._rng = random.Random(f"{seed}:gateway {index}")
        self._discovery = discovery
        self._replicas = replicas
        self._observations = observations
        self._plan = plan
        self._process_number = 0
        self._crowd_process: asyncio.subprocess.Process | None = None
        self._program: Program | None = None
        self._restart_lock = asyncio.Lock()  # one restart at a time

    async def start(self, logs: Path | None) -> None:
        """Start a process and wait until it is ready."""
        self._process_number += 1
        name = f"g{self.index}.{self._process_number}"
        program = Program(
            discovery=self._discovery,  # type: ignore[arg-type]  # only its port is used
            sockets=self._plan.sockets,
            profiles=PROFILES,
            index=self.index,
            peers=GATEWAYS,
        )
        if self._plan.settings is not None:
            program.module = "bench.faults"
            program.env = {SETTINGS_VARIABLE: self._plan.settings.encode()}
        program.known = self._replicas.complete()
        self._discovery.serve_new_process(name)
        await program.__aenter__()
        self._program = program
        async with asyncio.timeout(READY_TIMEOUT), Client(program.port) as client:
            await _wait_until_ready(client)
        self.process = GatewayProcess(name, program.port, crowded=self._plan.reconnecting > 0)
        self._logs = logs
        if self._plan.reconnecting:
            arguments = (str(program.port), str(self._plan.reconnecting))
            self._crowd_process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "bench.soak.crowd", *arguments, cwd=ROOT
            )

    async def suspend(self, seconds: float) -> None:
        """Suspend the process for some seconds with SIGSTOP."""
        if self._program is None or self._restart_lock.locked():
            return
        process = self._program.process
        if process.returncode is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            process.send_signal(signal.SIGCONT)

    async def reload(self) -> None:
        """Send SIGHUP twice in a row."""
        if self._program is not None and not self._restart_lock.locked():
            self._program.reload()
            await asyncio.sleep(SIGNAL_INTERVAL)
            if self._program is not None and self._program.process.returncode is None:
                self._program.reload()

    async def restart(self, signals: tuple[str, ...]) -> None:
        """Send SIGTERM and further signals, SIGKILL after KILL_AFTER, then start a new process."""
        if self._restart_lock.locked():
            return
        async with self._restart_lock:
            await self._stop(signals)
            await self.start(self._logs)

    async def _stop(self, signals: tuple[str, ...]) -> None:
        program, process = self._program, self.process
        assert program is not None
        self._program = None
        started_at = process.terminated_at = time.monotonic()
        program.process.terminate()
        closing = asyncio.get_running_loop().call_later(
            self._rng.uniform(*ACCEPT_TIME_RANGE), setattr, process, "accepts", False
        )
        for name in signals:
            await asyncio.sleep(SIGNAL_INTERVAL)
            if program.process.returncode is None:
                program.process.send_signal(getattr(signal, name))
        try:
            async with asyncio.timeout(KILL_AFTER - (time.monotonic() - started_at)):
                await program.process.wait()
        except TimeoutError:
            process.killed = True
            program.process.kill()
            await program.process.wait()
        closing.cancel()
        process.accepts = False
        code, after = program.process.returncode or 0, time.monotonic() - started_at
        self._observations.exits.append(GatewayExit(process.name, code, process.killed, after))
        await self._close(program, process)

    async def shut_down(self) -> None:
        """Stop the process at the end of the run, and record whether it had ended by itself."""
        async with self._restart_lock:
            program, self._program = self._program, None
            if program is None:
                return
            if program.process.returncode is not None:
                code = program.process.returncode
                self._observations.crashes.append(f"{self.process.name} ended with {code} by itself")
            self.process.killed = True
            await self._close(program, self.process)

    async def _close(self, program: Program, process: GatewayProcess) -> None:
        await program.__aexit__(None, None, None)
        if self._crowd_process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._crowd_process.kill()
            await self._crowd_process.wait()
            self._crowd_process = None
        self._observations.broken_ports |= {
            line["port"] for line in program.logs if line.get("event") == BREAK_EVENT
        }
        errors = [line for line in program.logs if line.get("level") == "error"]
        self._observations.crashes += [f"{process.name} logged {line}" for line in errors]
        if self._logs is not None:
            self._logs.mkdir(parents=True, exist_ok=True)
            (self._logs / f"{process.name}.log").write_text("".join(program.raw_logs))


async def _wait_until_ready(client: Client) -> None:
    while True:
        status, *_ = await client.request(UP_REQUEST)
        if status == 200:
            return
        await asyncio.sleep(0.05)


def summarize(observations: Observations) -> dict[str, Any]:
    """Count the observations, for the printed summary."""
    replies: dict[str, int] = {}
    for request in observations.requests.values():
        name = request.reply.value if request.reply is not None else "open"
        replies[name] = replies.get(name, 0) + 1
    return replies | {
        "attempts": len(observations.attempts),
        "drains": len(observations.drains),
        "restarts": len(observations.exits),
        "killed": sum(ended.killed for ended in observations.exits),
    }
