"""Graceful shutdown on SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib

from tests.standins import EVENTS, HEAD, PATIENCE, TAIL, Client, FakeWorker, Program, call_bytes, chunk, until

from .support import run, streams_on


@run
async def test_sigterm_answers_all_and_what_still_comes() -> None:
    go = asyncio.Event()

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + chunk(EVENTS[0]))
        await go.wait()
        writer.write(chunk(TAIL) + chunk(b""))

    async with FakeWorker(script) as worker, Program(worker) as program, Client(program.port) as client:
        held = asyncio.ensure_future(client.ask(call_bytes(1)))
        await until(lambda: len(worker.seen) == 1)
        program.process.terminate()
        await until(lambda: program.log("phase", now="draining") is not None)
        async with Client(program.port) as late:  # the front has not noticed yet
            coming = asyncio.ensure_future(late.ask(call_bytes(2)))
            await until(lambda: len(worker.seen) == 2)
            go.set()
            for answer in (held, coming):
                status, fields, body, whole = await answer
                assert (status, body, whole) == (200, EVENTS[0] + TAIL, True)
            assert fields["connection"] == "close"
        assert await program.process.wait() == 0


@run
async def test_sigterm_hands_over_what_would_be_open_when_the_kill_comes() -> None:
    """Where clients ask for the rest: a stream without an end would be lost with the program."""
    async with FakeWorker(streams_on) as worker:
        program = Program(worker, familyInfo={"resume": True})
        async with program, Client(program.port) as client:
            asked = asyncio.ensure_future(client.ask(call_bytes(1)))
            await until(lambda: len(worker.seen) == 1)
            assert await program.terminate() == 0
            status, _, body, whole = await asked
            assert (status, whole) == (200, False) and body.startswith(EVENTS[0])
            await until(lambda: program.log("totals", handed_over=1) is not None)


@run
async def test_sigterm_hands_over_what_comes_after_all_else_is_answered() -> None:
    """What came once nothing was open any more was never given away, and the kill lost it."""

    async def refused(port: int) -> bool:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except ConnectionError:
            return True
        writer.close()
        return False

    async with FakeWorker(streams_on) as worker:
        program = Program(worker, familyInfo={"resume": True})
        async with program, Client(program.port) as client:
            request = call_bytes(1)
            client.writer.write(request[:20])
            program.process.terminate()
            async with asyncio.timeout(PATIENCE):
                while not await refused(program.port):
                    await asyncio.sleep(0.4)
            assert not worker.seen and program.process.returncode is None
            status, _, body, whole = await client.ask(request[20:])
            assert (status, whole) == (200, False) and body.startswith(EVENTS[0])
            assert await asyncio.wait_for(program.process.wait(), PATIENCE) == 0


@run
async def test_sigterm_turns_away_what_comes_too_late_to_be_answered_whole() -> None:
    """Where no client asks for the rest: taken 0.7 s after SIGTERM, a stream that the kill cuts is lost."""
    async with contextlib.AsyncExitStack() as stack:
        worker = await stack.enter_async_context(FakeWorker(streams_on))
        program = await stack.enter_async_context(Program(worker))
        early, late = [await stack.enter_async_context(Client(program.port)) for _ in range(2)]
        early.writer.write(call_bytes(1))
        await until(lambda: len(worker.seen) == 1)
        request = call_bytes(2)
        late.writer.write(request[:20])
        program.process.terminate()
        await until(lambda: program.log("phase", now="turning_away") is not None)
        status, fields, _, whole = await late.ask(request[20:])
        assert (status, whole, fields["connection"]) == (503, True, "close")
        assert float(fields["retry-after"]) > 0 and len(worker.seen) == 1
        assert await early.reader.readuntil(EVENTS[0]), "what was taken in time goes on"
