"""Graceful shutdown on SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib

from tests.standins import (
    EVENTS,
    STREAM_HEAD,
    STREAM_TAIL,
    WAIT_TIMEOUT,
    Client,
    FakeReplica,
    Program,
    chunk,
    request_bytes,
    until,
)

from .support import run, stream_endlessly


@run
async def test_sigterm_serves_open_requests_and_those_that_still_arrive() -> None:
    go = asyncio.Event()

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD + chunk(EVENTS[0]))
        await go.wait()
        writer.write(chunk(STREAM_TAIL) + chunk(b""))

    async with FakeReplica(script) as replica, Program(replica) as program, Client(program.port) as client:
        open_request = asyncio.ensure_future(client.request(request_bytes(1)))
        await until(lambda: len(replica.seen) == 1)
        program.process.terminate()
        await until(lambda: program.log("phase", now="draining") is not None)
        async with Client(program.port) as late:  # a client that doesn't know of the shutdown yet
            late_request = asyncio.ensure_future(late.request(request_bytes(2)))
            await until(lambda: len(replica.seen) == 2)
            go.set()
            for response in (open_request, late_request):
                status, fields, body, complete = await response
                assert (status, body, complete) == (200, EVENTS[0] + STREAM_TAIL, True)
            assert fields["connection"] == "close"
        assert await program.process.wait() == 0


@run
async def test_sigterm_hands_off_streams_that_would_be_open_at_the_kill() -> None:
    """Where clients resume streams; a stream without an end would be lost with the program."""
    async with FakeReplica(stream_endlessly) as replica:
        program = Program(replica, familyInfo={"resume": True})
        async with program, Client(program.port) as client:
            response = asyncio.ensure_future(client.request(request_bytes(1)))
            await until(lambda: len(replica.seen) == 1)
            assert await program.terminate() == 0
            status, _, body, complete = await response
            assert (status, complete) == (200, False) and body.startswith(EVENTS[0])
            await until(lambda: program.log("totals", handed_off=1) is not None)


@run
async def test_sigterm_hands_off_a_request_that_arrives_after_all_others_finished() -> None:
    """It must not be lost in the kill because nothing was open before it arrived."""

    async def refused(port: int) -> bool:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except ConnectionError:
            return True
        writer.close()
        return False

    async with FakeReplica(stream_endlessly) as replica:
        program = Program(replica, familyInfo={"resume": True})
        async with program, Client(program.port) as client:
            request = request_bytes(1)
            client.writer.write(request[:20])
            program.process.terminate()
            async with asyncio.timeout(WAIT_TIMEOUT):
                while not await refused(program.port):
                    await asyncio.sleep(0.4)
            assert not replica.seen and program.process.returncode is None
            status, _, body, complete = await client.request(request[20:])
            assert (status, complete) == (200, False) and body.startswith(EVENTS[0])
            assert await asyncio.wait_for(program.process.wait(), WAIT_TIMEOUT) == 0


@run
async def test_sigterm_rejects_requests_that_arrive_too_late_to_finish() -> None:
    """Where clients don't resume streams: one accepted 0.7 s after SIGTERM is lost if the kill cuts it."""
    async with contextlib.AsyncExitStack() as stack:
        replica = await stack.enter_async_context(FakeReplica(stream_endlessly))
        program = await stack.enter_async_context(Program(replica))
        early, late = [await stack.enter_async_context(Client(program.port)) for _ in range(2)]
        early.writer.write(request_bytes(1))
        await until(lambda: len(replica.seen) == 1)
        request = request_bytes(2)
        late.writer.write(request[:20])
        program.process.terminate()
        await until(lambda: program.log("phase", now="turning_away") is not None)
        status, fields, _, complete = await late.request(request[20:])
        assert (status, complete, fields["connection"]) == (503, True, "close")
        assert float(fields["retry-after"]) > 0 and len(replica.seen) == 1
        assert await early.reader.readuntil(EVENTS[0]), "a request accepted in time continues"


@run
async def test_a_reload_during_the_shutdown_that_ends_the_resumption_of_streams_is_obeyed() -> None:
    """From then on a request that comes too late to finish is rejected, as if it had been so at SIGTERM.

    What happened: such a request was accepted, its stream was not handed off, as its client would not resume
    it, and the kill cut it. Why: whether to reject late requests was decided once, at SIGTERM.
    """
    async with contextlib.AsyncExitStack() as stack:
        replica = await stack.enter_async_context(FakeReplica(stream_endlessly))
        program = await stack.enter_async_context(Program(replica, familyInfo={"resume": True}))
        early, late = [await stack.enter_async_context(Client(program.port)) for _ in range(2)]
        early.writer.write(request_bytes(1))
        await until(lambda: len(replica.seen) == 1)
        request = request_bytes(2)
        late.writer.write(request[:20])
        program.process.terminate()
        await until(lambda: program.log("phase", now="draining") is not None)
        program.reload(settings=program.raw_config["settings"] | {"familyInfo": {"resume": False}})
        await until(lambda: program.log("reloaded") is not None)
        await asyncio.sleep(1.0)
        status, fields, _, complete = await late.request(request[20:])
        assert (status, complete, fields["connection"]) == (503, True, "close")
        assert len(replica.seen) == 1


@run
async def test_a_reload_during_the_shutdown_that_begins_the_resumption_of_streams_is_obeyed() -> None:
    """From then on late requests are accepted: what is open before the kill is handed off."""
    async with contextlib.AsyncExitStack() as stack:
        replica = await stack.enter_async_context(FakeReplica(stream_endlessly))
        program = await stack.enter_async_context(Program(replica, familyInfo={"resume": False}))
        early, late = [await stack.enter_async_context(Client(program.port)) for _ in range(2)]
        early.writer.write(request_bytes(1))
        await until(lambda: len(replica.seen) == 1)
        request = request_bytes(2)
        late.writer.write(request[:20])
        program.process.terminate()
        await until(lambda: program.log("phase", now="draining") is not None)
        program.reload(settings=program.raw_config["settings"] | {"familyInfo": {"resume": True}})
        await until(lambda: program.log("reloaded") is not None)
        await asyncio.sleep(1.0)
        status, _, body, complete = await late.request(request[20:])
        assert (status, complete) == (200, False) and body.startswith(EVENTS[0])
        assert await asyncio.wait_for(program.process.wait(), WAIT_TIMEOUT) == 0
