"""The program in a process of its own, spoken to over sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from lockspoke.wire.http.messages import Request
from lockspoke.wire.http.parser import BODY_LIMIT, HEAD_LIMIT
from tests.standins import (
    EVENTS,
    ROOT,
    SECOND,
    STREAM_HEAD,
    STREAM_TAIL,
    WAIT_TIMEOUT,
    Client,
    FakeDiscovery,
    FakeReplica,
    Program,
    chunk,
    request_bytes,
    target,
    until,
)


def run(test: Callable[[], Awaitable[None]]) -> Callable[[], None]:
    def wrapped() -> None:
        asyncio.run(test())  # type: ignore[arg-type]

    wrapped.__name__ = test.__name__  # type: ignore[attr-defined]
    return wrapped


def says(text: bytes) -> Callable[[asyncio.StreamWriter], Awaitable[None]]:
    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(text)

    return script


@run
async def test_an_answer_passes_unchanged_and_so_does_the_request() -> None:
    async with FakeReplica() as worker, Program(worker) as program, Client(program.port) as client:
        assert (await client.request(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"))[0] == 200
        number = 0
        while len(worker.writers) == len(worker.seen):  # until a connection to the worker is used again
            number += 1
            status, _, body, whole = await client.request(request_bytes(number, body=b'{"a": [1]}'))
            assert (status, body, whole) == (200, b"".join([*EVENTS, STREAM_TAIL]), True)
        request = worker.seen[0]
        assert (request.head.method, request.head.target) == ("POST", "/v1/chat/completions?a=b")
        assert request.body == b'{"a": [1]}' and request.head.headers.get("req-id") == f"{1:016x}"
        assert 0 < int(request.head.headers.get("req-deadline-ms")) <= 4000
        assert await program.terminate() == 0


@run
async def test_events_pass_as_they_come_and_a_broken_stream_ends_without_the_last_chunk() -> None:
    go = asyncio.Event()

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD + chunk(EVENTS[0]))
        await go.wait()
        writer.write(chunk(EVENTS[1]))
        await writer.drain()
        writer.close()

    async with FakeReplica(script) as worker, Program(worker) as program, Client(program.port) as client:
        client.writer.write(request_bytes(1))
        async with asyncio.timeout(30):
            assert EVENTS[0] in await client.reader.readuntil(EVENTS[0])
        go.set()
        rest = await asyncio.wait_for(client.reader.read(), 30)
        assert EVENTS[1] in rest and b"0\r\n\r\n" not in rest


@run
async def test_what_a_worker_turns_away_goes_elsewhere_or_ends_as_an_overload_reply() -> None:
    full = says(b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
    async with FakeReplica(full) as one, FakeReplica(full) as two, Program(one, two) as program:
        async with Client(program.port) as client:
            status, fields, _, whole = await client.request(request_bytes(1, deadline=1000))
        # The module's advice on when to come back, in seconds; the answer itself is not held for it.
        assert float(fields["retry-after"]) > 0
        assert (status, whole) == (503, True) and len(one.seen) + len(two.seen) == 3


@run
async def test_outcomes_follow_the_table() -> None:
    """Each shape of answer, and what the totals say it was taken for."""
    shapes = {
        "error": b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",  # not said to be declined
        "full": b"HTTP/1.1 504 Over\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
        "reset": b"HTTP/1.1 200 OK\r\n",
        "timeout": b"",
    }
    for outcome, text in shapes.items():

        async def script(writer: asyncio.StreamWriter, text: bytes = text) -> None:
            writer.write(text)
            if text and b"\r\n\r\n" not in text:
                writer.close()

        async with FakeReplica(script) as worker, Program(worker) as program, Client(program.port) as client:
            status = (await client.request(request_bytes(1, deadline=400)))[0]
            assert status == (503 if outcome == "full" else 502)
            await program.terminate()
            assert program.log("totals")[f"outcome_{outcome}"] >= 1  # type: ignore[index]


SPOILT = [
    b"\xef\x81\x87noise",
    b"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Pad: p\r\n",  # a head that does not end, on a connection that stays open
    STREAM_HEAD + b"5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
    STREAM_HEAD + b"4\r\n" + EVENTS[0],
    STREAM_HEAD + b"b2d05e00\r\n" + EVENTS[0],
]


@run
async def test_an_answer_spoilt_before_its_first_event_is_a_failed_attempt_and_another_follows() -> None:
    for text in SPOILT:
        async with FakeReplica(says(text)) as bad, FakeReplica() as good, Program(bad, good) as program:
            async with Client(program.port) as client:
                number = 0
                while not bad.seen:  # whichever of the two comes first
                    number += 1
                    status, _, body, whole = await client.request(request_bytes(number))
                    assert (status, body, whole) == (200, b"".join([*EVENTS, STREAM_TAIL]), True), text
            await program.terminate()
            totals = program.log("totals")
            assert totals is not None and totals["outcome_error"] == totals["spoilt"] == len(bad.seen), text


@run
async def test_an_answer_spoilt_later_ends_the_connection_without_the_last_chunk() -> None:
    for later in (
        b"-1\r\n",
        b"4\r\n" + EVENTS[1],
        b"b2d05e00\r\nx",
        b"70\r\n" + EVENTS[1] + b"\r\n5d\r\ndata",
    ):

        async def script(writer: asyncio.StreamWriter, later: bytes = later) -> None:
            writer.write(STREAM_HEAD + chunk(EVENTS[0]))
            await asyncio.sleep(0.05)  # two reads, so that the first event is passed on
            writer.write(later)

        async with FakeReplica(script) as worker, Program(worker) as program, Client(program.port) as client:
            status, _, body, whole = await client.request(request_bytes(1))
            assert (status, whole) == (200, False) and body.startswith(EVENTS[0]), later


@run
async def test_a_second_answer_behind_the_first_is_never_the_next_calls() -> None:
    behind = STREAM_HEAD + chunk(b"data: another's\n\n") + chunk(b"")

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(
            STREAM_HEAD
            + b"".join(map(chunk, [*EVENTS, b": Srv-Load: util=\xff?\n\n", STREAM_TAIL]))
            + chunk(b"")
            + behind
        )

    async with FakeReplica(script) as worker, Program(worker) as program, Client(program.port) as client:
        for number in range(1, 4):
            status, _, body, whole = await client.request(request_bytes(number))
            assert (status, whole) == (200, True) and b"another" not in body and body.endswith(STREAM_TAIL)
        assert len(worker.writers) == 3


@run
async def test_a_worker_that_cannot_be_reached_has_not_run_anything() -> None:
    async with FakeReplica() as worker, FakeDiscovery() as discovery:
        discovery.change(worker)
        program = Program(worker, discovery=discovery)
        await worker.__aexit__()
        async with program, Client(program.port) as client:
            assert (await client.request(request_bytes(1, deadline=500)))[
                0
            ] == 503  # an overload reply: never ran
            await program.terminate()
            assert program.log("totals")["outcome_connect_failed"] >= 1  # type: ignore[index]


@run
async def test_a_client_that_closes_is_noticed_while_its_call_is_held() -> None:
    async with FakeReplica(says(b"")) as worker, Program(worker) as program:
        async with Client(program.port) as client:
            client.writer.write(request_bytes(1, deadline=3000))
            await until(lambda: bool(worker.seen))
        await program.terminate()
        assert program.log("totals")["left"] == 1  # type: ignore[index]


UP = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
BAD = {
    b"nonsense\r\n\r\n": 400,
    b"GET /up HTTP/1.1\r\n\r\n": 400,
    b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n": 404,
    b"PUT /up HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n": 405,
    b"GET /v1/chat/completions HTTP/1.1\r\nHost: a\r\n\r\n": 405,
    b"GET /up HTTP/1.1\r\nX: " + b"a" * HEAD_LIMIT: 431,
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % (BODY_LIMIT + 1): 413,
    request_bytes(1, kind="odd"): 400,
    request_bytes(1).replace(b"Req-Deadline-Ms: 4000", b"Req-Deadline-Ms: x"): 400,
    request_bytes(1).replace(b"Content-Length: 2", b"Content-Length: 2\r\nContent-Length: 3"): 400,
    request_bytes(1).replace(b"Content-Length: 2", b"Content-Length: 2\r\nTransfer-Encoding: chunked"): 400,
}


@run
async def test_bad_input_reaches_no_worker_and_harms_nobody() -> None:
    async with FakeReplica() as worker, Program(worker) as program:
        for raw, status in BAD.items():
            async with Client(program.port) as client:
                assert (await client.request(raw))[0] == status, raw[:60]
        assert not worker.seen
        async with Client(program.port) as client:
            # An answer to HEAD has no body: one would be read as the answer to what follows.
            client.writer.write(b"HEAD /up HTTP/1.1\r\nHost: a\r\n\r\n")
            assert b"405" in await client.reader.readuntil(b"\r\n\r\n")
            assert (await client.request(request_bytes(1)))[0] == 200


@run
async def test_discovery_is_watched_without_a_pause_and_survives_malformed_answers() -> None:
    async with FakeReplica() as old, FakeReplica() as new, FakeDiscovery() as discovery:
        discovery.targets = [{"uid": 5}]
        discovery.raw = b'{"rev": 2, "all": true, "targets": [{"uid": 5}]}'
        async with Program(old, discovery=discovery) as program, Client(program.port) as client:
            await until(lambda: program.log("discovery_failing") is not None)
            assert (await client.request(request_bytes(1)))[0] == 200  # the old list holds
            assert len(old.seen) == 1
            discovery.change(new)
            await until(lambda: program.log("registry_changed") is not None)
            await until(lambda: f"from={discovery.rev}&" in discovery.seen[-1].head.query)
            assert (await client.request(request_bytes(2)))[0] == 200
            assert len(new.seen) == 1 and len(old.seen) == 1


@run
async def test_lists_that_cannot_be_believed_leave_the_workers_in_force() -> None:
    """An empty list, or one that names a worker twice, would have ended all service at once."""
    for twice in (False, True):
        async with FakeReplica() as worker, FakeDiscovery() as discovery:
            discovery.change(worker)
            listed = [target(worker)] * 2 if twice else []
            discovery.raw = json.dumps({"rev": 9, "all": True, "targets": listed}).encode()
            async with Program(worker, discovery=discovery) as program, Client(program.port) as client:
                await until(lambda now=program: now.log("discovery_failing") is not None)
                assert (await client.request(request_bytes(1)))[0] == 200
                await until(lambda now=program: now.log("discovery_back") is not None)
                assert (await client.request(request_bytes(2)))[0] == 200


@run
async def test_a_drain_that_a_list_contradicts_and_an_empty_list_said_twice_are_obeyed() -> None:
    """What is told holds: the rule on drains knows no list that is written and does not count."""
    for twice in (False, True):
        async with FakeReplica() as worker, FakeDiscovery() as discovery:
            discovery.rev = 9
            discovery.targets = [target(worker), target(worker, "draining")] if twice else []
            async with Program(worker, discovery=discovery) as program, Client(program.port) as client:
                await until(lambda now=program: now.log("registry_changed") is not None)
                assert (await client.request(request_bytes(1, deadline=300)))[0] != 200
            assert not worker.seen


@run
async def test_where_lists_are_pushed_a_program_is_ready_once_discovery_has_answered() -> None:
    """What discovery has counts as told from the first moment, and the configured list may be older."""

    class Held(FakeDiscovery):
        def __init__(self) -> None:
            super().__init__()
            self.answers = asyncio.Event()

        async def answer(self, request: Any, writer: asyncio.StreamWriter) -> None:
            await self.answers.wait()
            await super().answer(request, writer)

    async with FakeReplica() as gone, FakeReplica() as worker, Held() as discovery:
        discovery.change(worker)
        pushed = Program(gone, discovery=discovery)
        pushed.settings["discovery"] = "automatic"
        async with pushed as program:
            await until(lambda: bool(discovery.seen))
            async with Client(program.port) as client:
                assert (await client.request(UP))[0] == 503
                discovery.answers.set()
                await until(lambda: program.log("phase", now="ready") is not None)
                assert (await client.request(UP))[0] == 200
                assert (await client.request(request_bytes(1)))[0] == 200
        assert not gone.seen and len(worker.seen) == 1


@run
async def test_sighup_moves_to_another_discovery_and_a_bad_file_changes_nothing() -> None:
    """The program used to end on it. The file's new word goes before the environment's old one."""
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
            for bad in ("{", '{"settings": {"profiles": 5}}', '{"limits": {"sockets": "x"}}'):
                program.raw_logs.clear()
                program.reload(bad)
                await until(lambda: "reload_refused" in "".join(program.raw_logs))
                assert len(program.raw_logs) == 1  # one line, whatever is wrong
            address = f"127.0.0.1:{second.port}"
            moved = {"discovery": address, "limits": {"memory_mb": 64, "sockets": 300}}
            program.reload(**moved)
            program.reload(**moved)  # twice at once
            await until(lambda: program.log("reloaded", discovery_moved=True) is not None)
            await until(lambda: any("from=" in request.head.query for request in second.seen))
            assert "from=" not in second.seen[0].head.query  # versions are each service's own
            assert (await client.request(request_bytes(2)))[0] == 200  # the connection has lived through it
            assert (len(old.seen), len(new.seen)) == (1, 1)
            program.reload(discovery=f"127.0.0.1:{first.port}")
            assert await program.terminate() == 0


WAITS = """
import os, sys
open(os.environ["GATE"]).close()  # until the test has sent its signal
sys.path.remove(os.path.dirname(__file__))
del sys.modules["ctypes"]
import ctypes
"""


async def opened(fifo: Path) -> Any:
    """The other end of a pipe, once the program reads it."""
    return await asyncio.wait_for(asyncio.to_thread(fifo.open, "w"), WAIT_TIMEOUT)


@run
async def test_sighup_while_the_program_is_loaded_does_not_end_it() -> None:
    with tempfile.TemporaryDirectory() as folder:
        gate = Path(folder, "gate")
        os.mkfifo(gate)
        Path(folder, "ctypes.py").write_text(
            WAITS
        )  # found before the library's, in the middle of the imports
        program = Program(env={"PYTHONPATH": folder, "GATE": str(gate)})
        starting = asyncio.ensure_future(program.__aenter__())
        try:
            end = await opened(gate)
            program.process.send_signal(signal.SIGHUP)
            end.close()
            await starting
            await until(lambda: program.log("reloaded") is not None)
        finally:
            await program.__aexit__()


@run
async def test_sighup_between_the_reading_of_the_file_and_the_loop_is_not_lost() -> None:
    """The program went on with the old file: discovery had moved, and each drain after that was missed."""
    async with FakeReplica() as worker, FakeDiscovery() as moved:
        moved.change(worker)
        program = Program(worker)
        program.fifo = True
        before = signal.signal(signal.SIGHUP, signal.SIG_IGN)  # as the platform's command starts it
        starting = asyncio.ensure_future(program.__aenter__())
        await until(lambda: hasattr(program, "process"))
        signal.signal(signal.SIGHUP, before)
        try:
            end = await opened(program.config)
            end.write(json.dumps(program.raw_config))
            newer = program.config.with_name("newer.json")
            newer.write_text(json.dumps(program.raw_config | {"discovery": f"127.0.0.1:{moved.port}"}))
            newer.replace(program.config)
            program.process.send_signal(signal.SIGHUP)
            end.close()  # only now the program has read the older one
            await starting
            await until(lambda: program.log("reloaded", discovery_moved=True) is not None)
        finally:
            await program.__aexit__()


@run
async def test_sigterm_answers_all_and_what_still_comes() -> None:
    go = asyncio.Event()

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD + chunk(EVENTS[0]))
        await go.wait()
        writer.write(chunk(STREAM_TAIL) + chunk(b""))

    async with FakeReplica(script) as worker, Program(worker) as program, Client(program.port) as client:
        held = asyncio.ensure_future(client.request(request_bytes(1)))
        await until(lambda: len(worker.seen) == 1)
        program.process.terminate()
        await until(lambda: program.log("phase", now="draining") is not None)
        async with Client(program.port) as late:  # the front has not noticed yet
            coming = asyncio.ensure_future(late.request(request_bytes(2)))
            await until(lambda: len(worker.seen) == 2)
            go.set()
            for answer in (held, coming):
                status, fields, body, whole = await answer
                assert (status, body, whole) == (200, EVENTS[0] + STREAM_TAIL, True)
            assert fields["connection"] == "close"
        assert await program.process.wait() == 0


async def streams_on(writer: asyncio.StreamWriter) -> None:
    """A worker's stream that goes on until its gateway closes."""
    writer.write(STREAM_HEAD)
    with contextlib.suppress(ConnectionError):
        while not writer.is_closing():
            writer.write(chunk(EVENTS[0]))
            await asyncio.sleep(0.1)


@run
async def test_sigterm_hands_over_what_would_be_open_when_the_kill_comes() -> None:
    """Where clients ask for the rest: a stream without an end would be lost with the program."""

    async with FakeReplica(streams_on) as worker:
        program = Program(worker, familyInfo={"resume": True})
        async with program, Client(program.port) as client:
            asked = asyncio.ensure_future(client.request(request_bytes(1)))
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

    async with FakeReplica(streams_on) as worker:
        program = Program(worker, familyInfo={"resume": True})
        async with program, Client(program.port) as client:
            request = request_bytes(1)
            client.writer.write(request[:20])
            program.process.terminate()
            async with asyncio.timeout(WAIT_TIMEOUT):
                while not await refused(program.port):
                    await asyncio.sleep(0.4)
            assert not worker.seen and program.process.returncode is None
            status, _, body, whole = await client.request(request[20:])
            assert (status, whole) == (200, False) and body.startswith(EVENTS[0])
            assert await asyncio.wait_for(program.process.wait(), WAIT_TIMEOUT) == 0


@run
async def test_sigterm_turns_away_what_comes_too_late_to_be_answered_whole() -> None:
    """Where no client asks for the rest: taken 0.7 s after SIGTERM, a stream that the kill cuts is lost."""
    async with contextlib.AsyncExitStack() as stack:
        worker = await stack.enter_async_context(FakeReplica(streams_on))
        program = await stack.enter_async_context(Program(worker))
        early, late = [await stack.enter_async_context(Client(program.port)) for _ in range(2)]
        early.writer.write(request_bytes(1))
        await until(lambda: len(worker.seen) == 1)
        request = request_bytes(2)
        late.writer.write(request[:20])
        program.process.terminate()
        await until(lambda: program.log("phase", now="turning_away") is not None)
        status, fields, _, whole = await late.request(request[20:])
        assert (status, whole, fields["connection"]) == (503, True, "close")
        assert float(fields["retry-after"]) > 0 and len(worker.seen) == 1
        assert await early.reader.readuntil(EVENTS[0]), "what was taken in time goes on"


@run
async def test_hundreds_of_silent_connections_do_not_crowd_out_those_that_ask() -> None:
    async with FakeReplica() as worker, Program(worker, sockets=120) as program:
        silent = [socket.create_connection(("127.0.0.1", program.port)) for _ in range(300)]
        for number in range(1, 6):
            async with Client(program.port) as client:
                assert (await client.request(request_bytes(number)))[0] == 200
        for one in silent:
            one.settimeout(6.0)  # owed within 3 s of connecting; the rest is for a busy machine
            with contextlib.suppress(ConnectionError):
                assert one.recv(1) == b""
            one.close()
        assert len([line for line in program.logs if line["event"] == "clients_at_limit"]) <= 2


class HangingUpDiscovery(FakeDiscovery):
    """While it is down it closes each connection with no answer."""

    down = False

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if self.down:
            writer.close()
            return
        await super().answer(request, writer)

    def go_down(self) -> None:
        self.down = True
        for writer in self.writers:
            writer.close()


@run
async def test_idle_clients_that_fill_the_descriptors_keep_neither_the_watch_nor_calls_from_theirs() -> None:
    async with FakeReplica() as old, FakeReplica() as new, HangingUpDiscovery() as discovery:
        discovery.change(old)
        async with Program(old, discovery=discovery, sockets=120) as program:
            await until(lambda: program.log("registry_changed") is not None)
            discovery.go_down()
            await until(lambda: program.log("discovery_failing") is not None)
            idle = [socket.create_connection(("127.0.0.1", program.port)) for _ in range(300)]
            discovery.down = False
            discovery.change(new)
            await until(lambda: program.log("discovery_back") is not None)
            async with Client(program.port) as client:
                assert (await client.request(request_bytes(1)))[0] == 200
            assert (len(old.seen), len(new.seen)) == (0, 1)
            for one in idle:
                one.close()


@run
async def test_of_twenty_programs_that_start_at_once_on_two_cores_all_are_ready_in_time() -> None:
    cores, loop = os.sched_getaffinity(0), asyncio.get_running_loop()

    async def ready(start: Awaitable[Program]) -> float:
        program = await start
        async with Client(program.port) as client:
            while (await client.request(UP))[0] != 200:
                await asyncio.sleep(0.01)
        return loop.time()

    async with contextlib.AsyncExitStack() as stack:
        worker = await stack.enter_async_context(FakeReplica())
        began = loop.time()
        os.sched_setaffinity(0, sorted(cores)[:2])  # the programs take it over
        try:
            starts = [ready(stack.enter_async_context(Program(worker))) for _ in range(20)]
            took = sorted(when - began for when in await asyncio.gather(*starts))
        finally:
            os.sched_setaffinity(0, cores)
    assert took[17] <= 10.0, "nine in ten"
    assert took[-1] <= 30.0


@run
async def test_a_client_that_reads_nothing_holds_up_its_worker_and_not_the_memory() -> None:
    sent = 0

    async def script(writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        writer.write(STREAM_HEAD)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            for _ in range(4000):
                writer.write(chunk(b"data: " + b"x" * 16000 + b"\n\n"))
                await asyncio.wait_for(writer.drain(), 1.0)
                sent += 1

    async with FakeReplica(script) as worker, Program(worker) as program:
        lazy = socket.create_connection(("127.0.0.1", program.port))
        lazy.sendall(request_bytes(1))
        await until(lambda: sent > 0)
        before = -1
        while before != sent:  # until the buffers of all parties are full
            before = sent
            await asyncio.sleep(0.3)
        assert sent < 2000
        status = (ROOT / "/proc" / str(program.process.pid) / "status").read_text()
        peak = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
        assert peak < 100_000
        lazy.close()
        assert await program.terminate() == 0


@run
async def test_clients_past_the_limit_get_the_place_of_an_idle_one_or_wait() -> None:
    go = asyncio.Event()

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD + chunk(EVENTS[0]))
        await go.wait()
        writer.write(chunk(STREAM_TAIL) + chunk(b""))

    async with contextlib.AsyncExitStack() as stack:
        worker = await stack.enter_async_context(FakeReplica(script))
        program = await stack.enter_async_context(Program(worker, sockets=70))  # room for 8 clients
        idle = [await stack.enter_async_context(Client(program.port)) for _ in range(7)]
        assert [(await one.request(UP))[0] for one in idle] == [200] * 7
        await asyncio.sleep(0.3)  # a connection that has come this moment does not count as idle
        asking = [await stack.enter_async_context(Client(program.port)) for _ in range(10)]
        answers = [asyncio.ensure_future(one.request(request_bytes(n))) for n, one in enumerate(asking)]
        await until(lambda: len(worker.seen) == 8)
        assert program.log("clients_at_limit") is not None
        go.set()  # the others have waited in the machine's queue for a place
        assert [(await answer)[0] for answer in answers] == [200] * 10


@run
async def test_idle_connections_to_workers_close_before_the_worker_would() -> None:
    async with FakeReplica() as worker, Program(worker, keepalive=SECOND) as program:
        async with Client(program.port) as client:
            assert (await client.request(request_bytes(1)))[0] == 200
            await until(lambda: worker.closed == 1)
            assert (await client.request(request_bytes(2)))[0] == 200
        assert len(worker.writers) == 2


@run
async def test_where_workers_keep_no_connection_each_call_has_one_of_its_own() -> None:
    """The program did not start: 0 was taken for a fault of the settings."""
    async with FakeReplica() as worker, Program(worker, keepalive=0) as program:
        async with Client(program.port) as client:
            for number in range(1, 4):
                assert (await client.request(request_bytes(number)))[0] == 200
                await until(lambda seen=number: worker.closed == seen)  # type: ignore[misc]
        assert len(worker.writers) == 3


@run
async def test_connections_are_kept_for_less_where_a_worker_closes_them_early() -> None:
    answered: set[asyncio.StreamWriter] = set()

    async def script(writer: asyncio.StreamWriter) -> None:
        if writer in answered:  # it has forgotten this one, and says so at the next request only
            return writer.transport.abort()
        answered.add(writer)
        writer.write(STREAM_HEAD + chunk(STREAM_TAIL) + chunk(b""))
        return None

    async with FakeReplica(script) as worker, Program(worker) as program, Client(program.port) as client:
        number = status = 0
        while len(worker.seen) == len(worker.writers):
            number += 1
            status = (await client.request(request_bytes(number)))[0]
        assert status == 502  # it may have run: nothing goes out a second time unasked
        for number in range(100, 103):
            assert (await client.request(request_bytes(number)))[0] == 200
            await until(lambda: worker.closed == len(worker.writers))  # idle for a quarter of a second


@pytest.mark.parametrize("raw", ["", "[]", '{"settings": {}}', '{"listen": "a"}'])
def test_a_bad_configuration_ends_with_one_plain_line(tmp_path: Any, raw: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(raw)
    done = subprocess.run(
        [sys.executable, "-B", "-m", "lockspoke"],
        cwd=ROOT,
        env={"NODE_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2 and done.stderr.startswith("lockspoke: ") and done.stderr.count("\n") == 1


def test_the_platforms_command_passes_over_sighup_from_the_first_moment() -> None:
    """Before the interpreter runs a line of ours, its default would end the program."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    shown = run.replace(".venv/bin/python -B -m lockspoke", "grep SigIgn /proc/self/status")
    assert shown != run
    mask = subprocess.run(
        ["/bin/sh", "-c", shown], capture_output=True, text=True, check=True
    ).stdout.split()[1]
    assert int(mask, 16) >> (signal.SIGHUP - 1) & 1
