"""Operators' calls at both processes of one gateway, while a new version runs beside the old one."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from contextlib import AsyncExitStack
from pathlib import Path

from lockspoke.lifecycle.operator_state import OperatorState
from lockspoke.lifecycle.operator_state_file import write_state
from tests.lifecycle.support import run
from tests.standins import Client, FakeReplica, Program

from .test_front import banned_in, send_command, send_requests

REPLICAS = 12
CALL_TIME = 1.0  # seconds for which an operator waits
POLL_TIME = 0.2  # seconds within which a process has read a file that was replaced


def beside(old: Program) -> dict[str, str]:
    """The environment of a new version that starts beside the old one."""
    return {"NODE_LISTEN": f"127.0.0.1:{old.port}", "TMPDIR": old.folder.name}


@run
async def test_calls_at_both_processes_at_the_same_time_all_hold() -> None:
    """Guards against: each process wrote its own set of bans, and took the other's for calls back.

    `review/7`: ten replicas were taken offline in turn at both processes within milliseconds, all answered
    with yes; two to five of them went on getting requests.
    """
    rng = random.Random(1)
    async with AsyncExitStack() as stack:
        replicas = [await stack.enter_async_context(FakeReplica()) for _ in range(REPLICAS)]
        old = await stack.enter_async_context(Program(*replicas, operator=True))
        new = await stack.enter_async_context(Program(*replicas, operator=True, env=beside(old)))
        names = [f"s-{replica.port}" for replica in replicas]
        file = Path(old.folder.name, "t1.bans.json")
        for banned in (names[:-1], names[:-2], names[1:-1]):
            calls = [(name, "offline") for name in banned]
            calls += [(name, "online") for name in names if name not in banned]
            rng.shuffle(calls)
            answers = await asyncio.gather(
                *(
                    send_command((old, new)[number % 2], f"replicas/{name}/{command}")
                    for number, (name, command) in enumerate(calls)
                )
            )
            assert set(answers) == {200}
            assert banned_in(file) == sorted(banned)
            sent = {replica.port: len(replica.seen) for replica in replicas}
            await send_requests(old, 1000 * len(sent), 20)
            allowed = {replica.port for replica in replicas if f"s-{replica.port}" not in banned}
            assert {replica.port for replica in replicas if len(replica.seen) > sent[replica.port]} <= allowed
        assert await old.terminate() == 0
        before = {replica.port: len(replica.seen) for replica in replicas}
        await send_requests(new, 5000, 40)
        assert {replica.port for replica in replicas if len(replica.seen) > before[replica.port]} <= allowed


@run
async def test_a_call_is_confirmed_once_both_processes_obey_it() -> None:
    """Guards against: a yes while the other process, held up just then, goes on sending requests."""
    async with FakeReplica() as one, FakeReplica() as two, Program(one, two, operator=True) as old:
        env = beside(old)
        async with Program(one, two, operator=True, env=env) as new:
            assert await send_command(new, "ready", "GET") == 200
            old.process.send_signal(signal.SIGSTOP)
            started_at = time.monotonic()
            assert await send_command(new, f"replicas/s-{one.port}/offline") == 503
            assert time.monotonic() - started_at < CALL_TIME
            old.process.send_signal(signal.SIGCONT)
            assert await send_command(new, f"replicas/s-{one.port}/offline") == 200
            before = len(one.seen)
            await send_requests(old, 100, 20)
            assert len(one.seen) == before
            old.process.kill()
            await old.process.wait()
            assert await send_command(new, f"replicas/s-{one.port}/online") == 200, (
                "nobody waits for the dead"
            )


@run
async def test_a_file_without_a_ban_is_not_a_call_back() -> None:
    """Guards against: a file written by an earlier version, or deleted, ended bans that nobody had ended."""
    async with FakeReplica() as one, FakeReplica() as two, Program(one, two, operator=True) as program:
        file = Path(program.folder.name, "t1.bans.json")
        assert await send_command(program, f"replicas/s-{one.port}/offline") == 200
        for change in (lambda: write_state(file, OperatorState()), lambda: os.unlink(file)):
            change()
            await asyncio.sleep(POLL_TIME)
            before = len(one.seen)
            await send_requests(program, 100 + before, 20)
            assert len(one.seen) == before
        assert await send_command(program, f"replicas/s-{two.port}/offline") == 200
        assert banned_in(file) == sorted([f"s-{one.port}", f"s-{two.port}"])


async def up_statuses(program: Program) -> set[int]:
    """The answers to `GET /up` at the shared address, on so many connections that both processes get some."""
    statuses = set()
    for _ in range(24):
        async with Client(program.port) as client:
            statuses.add((await client.request(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"))[0])
    return statuses


@run
async def test_out_of_service_and_back_hold_for_both_processes() -> None:
    """Guards against: the other process of an upgrade went on saying yes to `GET /up`."""
    async with FakeReplica() as replica, Program(replica, operator=True) as old:
        assert await send_command(old, "out-of-service") == 200
        env = beside(old)
        async with Program(replica, operator=True, env=env) as new:
            assert await send_command(new, "ready", "GET") == 200
            assert await up_statuses(old) == {503}, "a new version starts as the old one is"
            assert await send_command(new, "in-service") == 200
            assert await up_statuses(old) == {200}
            assert await send_command(new, "out-of-service") == 200
            assert await up_statuses(old) == {503}
            assert await old.terminate() == 0
            assert await up_statuses(new) == {503}


@run
async def test_a_process_that_starts_alone_is_in_service() -> None:
    """What a killed process was told is not what operators have said of the next one."""
    async with FakeReplica() as replica, Program(replica, operator=True) as first:
        assert await send_command(first, "out-of-service") == 200
        first.process.kill()
        await first.process.wait()
        async with Program(replica, operator=True, env={"TMPDIR": first.folder.name}) as second:
            assert await send_command(second, "ready", "GET") == 200
            assert await up_statuses(second) == {200}
            third_env = beside(second) | {"TMPDIR": first.folder.name}
            async with Program(replica, operator=True, env=third_env) as third:
                assert await send_command(third, "ready", "GET") == 200
                assert await up_statuses(second) == {200}
