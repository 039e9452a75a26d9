"""Tests of requests and responses that pass through the program in its own process."""

from __future__ import annotations

import asyncio

from lockspoke.wire.http.parser import BODY_LIMIT_BYTES, HEAD_LIMIT_BYTES
from tests.standins import (
    EVENTS,
    STREAM_HEAD,
    STREAM_TAIL,
    Client,
    FakeDiscovery,
    FakeReplica,
    Program,
    chunk,
    request_bytes,
    until,
)

from .support import responds_with, run


@run
async def test_request_and_response_pass_unchanged() -> None:
    async with FakeReplica() as replica, Program(replica) as program, Client(program.port) as client:
        assert (await client.request(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"))[0] == 200
        for number in range(1, 21):
            status, _, body, complete = await client.request(request_bytes(number, body=b'{"a": [1]}'))
            assert (status, body, complete) == (200, b"".join([*EVENTS, STREAM_TAIL]), True)
        assert len(replica.writers) == len(replica.seen) == 20, "no connection carries a second request"
        request = replica.seen[0]
        assert (request.head.method, request.head.target) == ("POST", "/v1/chat/completions?a=b")
        assert request.body == b'{"a": [1]}' and request.head.headers.get("req-id") == f"{1:016x}"
        assert 0 < int(request.head.headers.get("req-deadline-ms")) <= 4000
        assert await program.terminate() == 0


@run
async def test_events_are_forwarded_at_once_and_a_broken_stream_has_no_last_chunk() -> None:
    may_continue = asyncio.Event()

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD + chunk(EVENTS[0]))
        await may_continue.wait()
        writer.write(chunk(EVENTS[1]))
        await writer.drain()
        writer.close()

    async with FakeReplica(script) as replica, Program(replica) as program, Client(program.port) as client:
        client.writer.write(request_bytes(1))
        async with asyncio.timeout(30):
            assert EVENTS[0] in await client.reader.readuntil(EVENTS[0])
        may_continue.set()
        rest = await asyncio.wait_for(client.reader.read(), 30)
        assert EVENTS[1] in rest and b"0\r\n\r\n" not in rest


@run
async def test_a_rejected_request_is_retried_or_gets_an_overload_reply() -> None:
    full = responds_with(b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
    async with FakeReplica(full) as one, FakeReplica(full) as two, Program(one, two) as program:
        async with Client(program.port) as client:
            status, fields, _, complete = await client.request(request_bytes(1, deadline=1000))
        # The delay in seconds that the balancer advises before a retry. The response is not delayed.
        assert float(fields["retry-after"]) > 0
        assert (status, complete) == (503, True) and len(one.seen) + len(two.seen) == 3


@run
async def test_each_kind_of_response_counts_as_its_outcome() -> None:
    """The totals count each kind of response under the outcome that it has for the balancer."""
    shapes = {
        "error": b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",  # no header says that it was declined
        "overloaded": b"HTTP/1.1 504 Over\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
        "reset": b"HTTP/1.1 200 OK\r\n",
        "timeout": b"",
    }
    for outcome, text in shapes.items():

        async def script(writer: asyncio.StreamWriter, text: bytes = text) -> None:
            writer.write(text)
            if text and b"\r\n\r\n" not in text:
                writer.close()

        async with (
            FakeReplica(script) as replica,
            Program(replica) as program,
            Client(program.port) as client,
        ):
            status = (await client.request(request_bytes(1, deadline=400)))[0]
            assert status == (503 if outcome == "overloaded" else 502)
            await program.terminate()
            assert program.log("totals")[f"outcome_{outcome}"] >= 1  # type: ignore[index]  # logged as the program ends


MALFORMED = [
    b"\xef\x81\x87noise",
    b"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Pad: p\r\n",  # an incomplete head, on a connection that stays open
    STREAM_HEAD + b"5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
    STREAM_HEAD + b"4\r\n" + EVENTS[0],
    STREAM_HEAD + b"b2d05e00\r\n" + EVENTS[0],
]


@run
async def test_a_response_malformed_before_its_first_event_is_retried() -> None:
    """It counts as a failed attempt."""
    for text in MALFORMED:
        async with (
            FakeReplica(responds_with(text)) as bad,
            FakeReplica() as good,
            Program(bad, good) as program,
        ):
            async with Client(program.port) as client:
                number = 0
                while not bad.seen:  # the first request may go to either replica
                    number += 1
                    status, _, body, complete = await client.request(request_bytes(number))
                    assert (status, body, complete) == (200, b"".join([*EVENTS, STREAM_TAIL]), True), text
            await program.terminate()
            totals = program.log("totals")
            assert totals is not None and totals["outcome_error"] == totals["malformed_responses"] == len(
                bad.seen
            ), text


@run
async def test_a_response_malformed_after_its_first_event_ends_without_the_last_chunk() -> None:
    for later in (
        b"-1\r\n",
        b"4\r\n" + EVENTS[1],
        b"b2d05e00\r\nx",
        b"70\r\n" + EVENTS[1] + b"\r\n5d\r\ndata",
    ):

        async def script(writer: asyncio.StreamWriter, later: bytes = later) -> None:
            writer.write(STREAM_HEAD + chunk(EVENTS[0]))
            await asyncio.sleep(0.05)  # two reads, so that the first event is forwarded
            writer.write(later)

        async with (
            FakeReplica(script) as replica,
            Program(replica) as program,
            Client(program.port) as client,
        ):
            status, _, body, complete = await client.request(request_bytes(1))
            assert (status, complete) == (200, False) and body.startswith(EVENTS[0]), later


@run
async def test_bytes_after_a_response_are_not_read_as_the_next_response() -> None:
    behind = STREAM_HEAD + chunk(b"data: another's\n\n") + chunk(b"")

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(
            STREAM_HEAD
            + b"".join(map(chunk, [*EVENTS, b": Srv-Load: util=\xff?\n\n", STREAM_TAIL]))
            + chunk(b"")
            + behind
        )

    async with FakeReplica(script) as replica, Program(replica) as program, Client(program.port) as client:
        for number in range(1, 4):
            status, _, body, complete = await client.request(request_bytes(number))
            assert (status, complete) == (200, True) and b"another" not in body and body.endswith(STREAM_TAIL)
        assert len(replica.writers) == 3


@run
async def test_a_request_to_an_unreachable_replica_gets_an_overload_reply() -> None:
    async with FakeReplica() as replica, FakeDiscovery() as discovery:
        discovery.change(replica)
        program = Program(replica, discovery=discovery)
        await replica.__aexit__()
        async with program, Client(program.port) as client:
            assert (await client.request(request_bytes(1, deadline=500)))[
                0
            ] == 503  # an overload reply, as the request never ran
            await program.terminate()
            assert program.log("totals")["outcome_connect_failed"] >= 1  # type: ignore[index]  # logged as the program ends


@run
async def test_a_client_disconnect_is_detected_while_its_request_waits() -> None:
    async with FakeReplica(responds_with(b"")) as replica, Program(replica) as program:
        async with Client(program.port) as client:
            client.writer.write(request_bytes(1, deadline=3000))
            await until(lambda: bool(replica.seen))
        await program.terminate()
        assert program.log("totals")["client_disconnected"] == 1  # type: ignore[index]  # logged as the program ends


INVALID_REQUESTS = {
    b"nonsense\r\n\r\n": 400,
    b"GET /up HTTP/1.1\r\n\r\n": 400,
    b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n": 404,
    b"PUT /up HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n": 405,
    b"GET /v1/chat/completions HTTP/1.1\r\nHost: a\r\n\r\n": 405,
    b"GET /up HTTP/1.1\r\nX: " + b"a" * HEAD_LIMIT_BYTES: 431,
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    % (BODY_LIMIT_BYTES + 1): 413,
    request_bytes(1, kind="odd"): 400,
    request_bytes(1).replace(b"Req-Deadline-Ms: 4000", b"Req-Deadline-Ms: x"): 400,
    request_bytes(1).replace(b"Content-Length: 2", b"Content-Length: 2\r\nContent-Length: 3"): 400,
    request_bytes(1).replace(b"Content-Length: 2", b"Content-Length: 2\r\nTransfer-Encoding: chunked"): 400,
}


@run
async def test_invalid_requests_reach_no_replica_and_affect_no_other_request() -> None:
    async with FakeReplica() as replica, Program(replica) as program:
        for raw, status in INVALID_REQUESTS.items():
            async with Client(program.port) as client:
                assert (await client.request(raw))[0] == status, raw[:60]
        assert not replica.seen
        async with Client(program.port) as client:
            # A response to HEAD must have no body, which would be read as the next response.
            client.writer.write(b"HEAD /up HTTP/1.1\r\nHost: a\r\n\r\n")
            assert b"405" in await client.reader.readuntil(b"\r\n\r\n")
            assert (await client.request(request_bytes(1)))[0] == 200
