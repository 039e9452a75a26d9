"""Tests of the graceful shutdown on SIGTERM."""

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
async def test_sigterm_serves_open_and_newly_arriving_requests() -> None:
    may_finish = asyncio.Event()

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD + chunk(EVENTS[0]))
        await may_finish.wait()
        writer.write(chunk(STREAM_TAIL) + chunk(b""))

    async with FakeReplica(script) as replica, Program(replica) as program, Client(program.port) as client:
        open_request = asyncio.ensure_future(client.request(request_bytes(1)))
        await until(lambda: len(replica.seen) == 1)
        program.process.terminate()
        await until(lambda: program.log("phase", now="draining") is not None)
        async with Client(program.port) as late:  # This client doesn't know of the shutdown yet.
            late_request = asyncio.ensure_future(late.request(request_bytes(2)))
            await until(lambda: len(replica.seen) == 2)
            may_finish.set()
            for response in (open_request, late_request):
                status, fields, body, complete = await response
                assert (status, body, complete) == (200, EVENTS[0] + STREAM_TAIL, True)
            assert fields["connection"] == "close"
        assert await program.process.wait() == 0


@run
async def test_sigterm_hands_off_streams_before_the_kill() -> None:
    """Clients resume streams here. An endless stream would otherwise be cut off by the kill."""
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
async def test_sigterm_hands_off_a_request_that_arrives_when_none_is_open() -> None:
    """The shutdown must not stop handing off when no request is open, or this request is lost."""

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
    """Clients don't resume streams here, so one accepted 0.7 s after SIGTERM would be lost in the kill."""
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
async def test_a_reload_during_shutdown_can_disable_resumption() -> None:
    """After the reload, requests that arrive too late to finish are rejected.

    Guards against deciding only once, at SIGTERM, whether to reject late requests. Such a request was then
    accepted, its stream was not handed off because its client would not resume it, and the kill cut it off.
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
async def test_a_reload_during_shutdown_can_enable_resumption() -> None:
    """After the reload, late requests are accepted, as those open before the kill are handed off."""
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
