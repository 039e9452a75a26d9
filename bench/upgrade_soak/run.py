"""One upgrade under load: two processes of a gateway, operators' calls at both, and one that remains."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from lockspoke.lifecycle.operator_state_file import load_state
from lockspoke.wire.http.messages import Request
from tests.standins import Client, FakeReplica, Program, request_bytes, until

from .observations import GATEWAY, Call, Observations

REPLICAS = 6
CLIENTS = 3
CLIENT_PAUSE = 0.01  # seconds between two requests of a client
MAX_CALL_PAUSE = 0.08  # seconds between two calls about one subject
BURST_INTERVAL = 0.1  # seconds between the moments at which calls about several subjects are made at once
MAX_OVERLAP = 1.2  # seconds for which both processes serve
START_TIME = 0.5  # seconds that the new process takes to start, about
CALLS_AFTER_END = 0.3  # seconds for which calls go on once only one process runs
REQUESTS_AFTER_CALLS = 1.0  # seconds for which requests go on while nobody calls
SUSPENSION_TIME = 0.15  # seconds
STOP_TIMEOUT = 3.7  # seconds from SIGTERM to SIGKILL
CALL_DEADLINE = 5.0  # seconds after which the bench gives a call up
UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"


class Ending(StrEnum):
    """Which process ends, and how."""

    OLD_STOPPED = "old one stopped"
    OLD_KILLED = "old one killed"
    NEW_KILLED = "new one killed"


@dataclass(frozen=True, slots=True)
class Schedule:
    """What happens in one run."""

    ending: Ending
    lead: float  # seconds from the first call to the start of the new process
    overlap: float  # seconds from then on until one process ends
    suspends: bool  # whether a process is suspended for a moment


def draw_schedule(seed: int) -> Schedule:
    """Draw the schedule of a seed."""
    rng = random.Random(f"{seed}:schedule")
    ending = rng.choice([Ending.OLD_STOPPED, Ending.OLD_STOPPED, Ending.OLD_KILLED, Ending.NEW_KILLED])
    return Schedule(ending, rng.uniform(0.0, 0.3), rng.uniform(0.1, MAX_OVERLAP), rng.random() < 0.5)


class RecordingReplica(FakeReplica):
    """Records when it gets requests."""

    def __init__(self, times: list[float]) -> None:
        super().__init__()
        self._times = times

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer a request whose last byte has come."""
        self._times.append(time.monotonic())
        await super().answer(request, writer)


class UpgradeSoak:
    """One run of a schedule."""

    def __init__(self, seed: int, schedule: Schedule) -> None:
        self._seed = seed
        self._schedule = schedule
        self._request_number = 0
        self._running: list[Program] = []  # The processes that operators may call.
        self._calls_end = asyncio.Event()  # Set when no further call is made about any subject.
        self._requests_end = asyncio.Event()
        self.observations = Observations()

    async def execute(self) -> Observations:
        """Run the upgrade; raises OSError or TimeoutError if that is not possible."""
        async with AsyncExitStack() as stack:
            replicas = []
            for _ in range(REPLICAS):
                times: list[float] = []
                replica = await stack.enter_async_context(RecordingReplica(times))
                self.observations.requests[f"s-{replica.port}"] = times
                replicas.append(replica)
            old = await stack.enter_async_context(Program(*replicas, operator=True))
            await self._add(old)
            clients = [asyncio.ensure_future(self._send_requests(old.port)) for _ in range(CLIENTS)]
            operators = [
                asyncio.ensure_future(self._make_calls(number, subject))
                for number, subject in enumerate((GATEWAY, *self.observations.requests))
            ]
            await asyncio.sleep(self._schedule.lead)
            env = {"NODE_LISTEN": f"127.0.0.1:{old.port}", "TMPDIR": old.folder.name}
            new = await stack.enter_async_context(Program(*replicas, operator=True, env=env))
            await self._add(new)
            remaining = await self._end_one(old, new)
            await asyncio.sleep(CALLS_AFTER_END)
            self._calls_end.set()
            await asyncio.gather(*operators)
            await asyncio.sleep(REQUESTS_AFTER_CALLS)
            self._requests_end.set()
            await asyncio.gather(*clients)
            await self._read_end(remaining, Path(old.folder.name, "t1.bans.json"))
        return self.observations

    async def _add(self, program: Program) -> None:
        await until(lambda: program.log("phase", now="ready") is not None)
        await until(lambda: program.log("operators_listening") is not None)
        self._running.append(program)

    async def _end_one(self, old: Program, new: Program) -> Program:
        """End one process; returns the one that remains."""
        if self._schedule.suspends:
            await self._suspend(random.Random(f"{self._seed}:suspension").choice([old, new]))
        await asyncio.sleep(self._schedule.overlap)
        if self._schedule.ending is Ending.OLD_STOPPED:
            old.process.terminate()
            with suppress(TimeoutError):
                await asyncio.wait_for(old.process.wait(), STOP_TIMEOUT)
        ended, remaining = (new, old) if self._schedule.ending is Ending.NEW_KILLED else (old, new)
        if ended.process.returncode is None:
            ended.process.kill()
        code = await ended.process.wait()
        if self._schedule.ending is Ending.OLD_STOPPED and code != 0:
            self.observations.faults.append(f"the old process ended with {code}")
        self._running.remove(ended)
        return remaining

    async def _suspend(self, program: Program) -> None:
        program.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(SUSPENSION_TIME)
        program.process.send_signal(signal.SIGCONT)

    async def _send_requests(self, port: int) -> None:
        """Send requests one after another, each on a connection of its own."""
        while not self._requests_end.is_set():
            self._request_number += 1
            request = request_bytes(self._request_number)
            # A connection may arrive at a process that is ending.
            with suppress(OSError, EOFError, AssertionError):
                async with Client(port) as client:
                    await client.request(request)
            await asyncio.sleep(CLIENT_PAUSE)

    async def _make_calls(self, number: int, subject: str) -> None:
        """Make calls about one subject, one after another, at any of the processes."""
        rng = random.Random(f"{self._seed}:calls of {number}")
        calls = self.observations.calls.setdefault(subject, [])
        # The last call may come before one process ends, and then has to hold in the other.
        duration = rng.uniform(0.0, self._schedule.lead + self._schedule.overlap + 2 * CALLS_AFTER_END)
        last_call_at = time.monotonic() + START_TIME + duration
        while not self._calls_end.is_set() and time.monotonic() < last_call_at:
            in_burst = rng.random() < 0.5
            to_burst = BURST_INTERVAL - time.monotonic() % BURST_INTERVAL
            await asyncio.sleep(to_burst if in_burst else rng.uniform(0.0, MAX_CALL_PAUSE))
            call = await self._call(rng.choice(self._running), subject, rng.random() < 0.5)
            if call is not None:
                calls.append(call)

    async def _call(self, program: Program, subject: str, takes_out: bool) -> Call | None:
        """Make a call; None if the process does not listen any more."""
        path = f"replicas/{subject}/{'offline' if takes_out else 'online'}"
        if subject == GATEWAY:
            path = "out-of-service" if takes_out else "in-service"
        listening = program.log("operators_listening")
        assert listening is not None
        client = Client(listening["port"])
        started_at, status = time.monotonic(), 0
        try:
            await client.__aenter__()
        except OSError:
            return None
        try:
            async with asyncio.timeout(CALL_DEADLINE):
                raw = f"POST /control/{path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
                status = (await client.request(raw.encode()))[0]
        except (OSError, EOFError, AssertionError):
            pass  # The process ended in the middle of the call.
        finally:
            await client.__aexit__()
        return Call(takes_out, started_at, time.monotonic(), status)

    async def _read_end(self, remaining: Program, file: Path) -> None:
        state = load_state(file)
        banned = state.banned if state is not None else frozenset()
        out = {uid: uid in banned for uid in self.observations.requests}
        async with Client(remaining.port) as client:
            out[GATEWAY] = (await client.request(UP_REQUEST))[0] != 200
        self.observations.out_at_end = out
        if remaining.process.returncode is not None:
            self.observations.faults.append(
                f"the process that remains ended with {remaining.process.returncode}"
            )
