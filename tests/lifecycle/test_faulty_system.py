"""Tests that the program keeps serving while system calls fail temporarily, as Linux documents."""

from __future__ import annotations

import asyncio

import pytest

from bench.faults.settings import SETTINGS_VARIABLE, FaultSettings
from tests.standins import Client, FakeReplica, Program, request_bytes

from .support import run

REQUESTS = 40


def faulty_program(replica: FakeReplica, faults: FaultSettings) -> Program:
    return Program(replica, module="bench.faults", env={SETTINGS_VARIABLE: faults.encode()})


def error_lines(program: Program) -> list[str]:
    """Return the log lines of errors and uncaught exceptions."""
    return [line for line in program.raw_logs if '"level": "error"' in line or "Traceback" in line]


async def response_status(program: Program, number: int) -> int:
    async with Client(program.port) as client:
        return (await client.request(request_bytes(number)))[0]


@pytest.mark.parametrize(
    ("faults", "answers"),
    [
        (FaultSettings(seed=1, accept_share=0.3), {200}),
        # The only replica is temporarily unreachable: the client may retry safely.
        (FaultSettings(seed=2, connect_share=0.1, socket_share=0.05), {200, 503}),
        (FaultSettings(seed=3, short_share=0.5), {200}),
    ],
    ids=["accept", "connect", "short"],
)
def test_temporary_faults_lose_no_response_and_raise_nothing(
    faults: FaultSettings, answers: set[int]
) -> None:
    @run
    async def scenario() -> None:
        async with FakeReplica() as replica, faulty_program(replica, faults) as program:
            statuses = [await response_status(program, number) for number in range(1, REQUESTS)]
            assert set(statuses) <= answers
            assert statuses.count(200) > REQUESTS / 2
            assert await program.terminate() == 0
            await program.reading
            assert not error_lines(program)

    scenario()


@run
async def test_connections_that_break_without_a_reset_raise_nothing() -> None:
    faults = FaultSettings(seed=4, break_share=0.05)
    async with FakeReplica() as replica, faulty_program(replica, faults) as program:
        statuses = [await response_status(program, number) for number in range(1, REQUESTS)]
        assert statuses.count(200) > REQUESTS / 2
        assert await program.terminate() == 0
        await program.reading
        assert not error_lines(program)


@run
async def test_queued_connections_are_answered_if_accept_fails_at_shutdown() -> None:
    """Their requests were written before the gateway stopped listening."""
    faults = FaultSettings(seed=5, accept_share=1.0, accept_until=2.5)
    async with FakeReplica() as replica, faulty_program(replica, faults) as program:
        clients = [Client(program.port) for _ in range(10)]
        for client in clients:
            await client.__aenter__()
        responses = [
            asyncio.ensure_future(client.request(request_bytes(number)))
            for number, client in enumerate(clients, 1)
        ]
        assert await program.terminate() == 0
        # They are accepted after the time from which new requests are rejected.
        assert {(await response)[0] for response in responses} <= {200, 503}
        for client in clients:
            await client.__aexit__()
