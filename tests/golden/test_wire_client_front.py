"""What the platform's front says to clients, byte for byte as it was recorded."""

from __future__ import annotations

import asyncio
from typing import Any

from .gateway import (
    LAST_UP,
    ONE,
    PATIENCE,
    STREAM,
    TAIL,
    TWO,
    UP,
    Connection,
    Gateway,
    RawDiscovery,
    RawReplica,
    call,
    chunk,
    connected,
    exchange,
    until,
)
from .transcripts import compare_bytes

HEAD_LIMIT = 16 * 1024
BODY_LIMIT = 256 * 1024
CALLS = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
FIELDS = b"Req-Id: 0000000000000001\r\nReq-Kind: docs\r\nReq-Deadline-Ms: 4000\r\n"


def without(name: str) -> bytes:
    """A call that lacks one field."""
    return b"\r\n".join(line for line in call().split(b"\r\n") if not line.startswith(name.encode()))


# By what is sent; none of it reaches a replica.
REJECTED = {
    "bad request line": b"nonsense\r\n\r\n",
    "request line of two words": b"GET /up\r\n\r\n",
    "bad method": b"G@T /up HTTP/1.1\r\nHost: a\r\n\r\n",
    "bad target": b"GET /u\x7fp HTTP/1.1\r\nHost: a\r\n\r\n",
    "bad version": b"GET /up HTTP/one\r\nHost: a\r\n\r\n",
    "unknown version": b"GET /up HTTP/2.0\r\nHost: a\r\n\r\n",
    "no host": b"GET /up HTTP/1.1\r\n\r\n",
    "two hosts": b"GET /up HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "field without colon": b"GET /up HTTP/1.1\r\nHost: a\r\nnocolon\r\n\r\n",
    "field name with a space": b"GET /up HTTP/1.1\r\nHost: a\r\nBad Name: x\r\n\r\n",
    "field value with a control": b"GET /up HTTP/1.1\r\nHost: a\r\nX: \x01\r\n\r\n",
    "folded field": b"GET /up HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\r\n",
    "head too large": b"GET /up HTTP/1.1\r\nHost: a\r\nX: " + b"a" * HEAD_LIMIT + b"\r\n\r\n",
    "body too large": CALLS + b"Content-Length: %d\r\n\r\n" % (BODY_LIMIT + 1),
    "body too large in a chunk": CALLS + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % (BODY_LIMIT + 1),
    "bad content length": CALLS + b"Content-Length: -1\r\n\r\n",
    "two content lengths": CALLS + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}",
    "length and chunks": CALLS + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
    "unknown coding": CALLS + b"Transfer-Encoding: gzip\r\n\r\n",
    "bad chunk size": CALLS + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    "chunk line too long": CALLS + b"Transfer-Encoding: chunked\r\n\r\n2;" + b"x" * 300,
    "chunk without its end": CALLS + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}xx",
    "trailer too large": CALLS
    + b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
    + b"".join(b"T%d: %b\r\n" % (n, b"x" * 200) for n in range(90)),
    "chunks in HTTP/1.0": b"POST /v1/chat/completions HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    "unknown path": b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n",
    "batch path": b"GET /v1/batches HTTP/1.1\r\nHost: a\r\n\r\n",
    "wrong method for /up": b"PUT /up HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
    "wrong method for calls": b"GET /v1/chat/completions HTTP/1.1\r\nHost: a\r\n\r\n",
    "no Req-Id": without("Req-Id"),
    "empty Req-Id": call().replace(b"Req-Id: 0000000000000001", b"Req-Id: "),
    "long Req-Id": call().replace(b"Req-Id: ", b"Req-Id: " + b"f" * 129),
    "no Req-Kind": without("Req-Kind"),
    "unknown Req-Kind": call(kind="odd"),
    "long Req-Kind": call(kind="d" * 129),
    "no Req-Deadline-Ms": without("Req-Deadline-Ms"),
    "bad Req-Deadline-Ms": call(deadline="x"),
    "negative Req-Deadline-Ms": call(deadline="-5"),
    "long Req-Deadline-Ms": call(deadline="1" * 10),
    "Req-Kind twice": call().replace(b"Req-Kind: docs", b"Req-Kind: docs\r\nReq-Kind: bulk"),
    "bad Req-Extra": call(Req_Extra="prompt_len=many"),
    "infinite Req-Extra": call(Req_Extra="max_out=inf"),
    "negative Req-Extra": call(Req_Extra="prefix_len=-1"),
    "long Req-Key": call(Req_Key="k" * 129),
    "long Req-Owner": call(Req_Owner="k" * 129),
}
ANSWERED = {
    "up": UP,
    "up with a query": b"GET /up?x=1 HTTP/1.1\r\nHost: a\r\n\r\n",
    "up with Connection: close": UP.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
    "up in HTTP/1.0": b"GET /up HTTP/1.0\r\n\r\n",
    "up in HTTP/1.0 that keeps": b"GET /up HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    "empty lines before": b"\r\n\r\n" + UP,
    "a call": call(2),
    "a call with Connection: close": call(3, Connection="close"),
    "a call in HTTP/1.0": call(4, version="1.0"),
    "a call in HTTP/1.0 that keeps": call(5, version="1.0", Connection="keep-alive"),
    "a call in chunks": call(6, body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    + b"2\r\n{}\r\n0\r\nTrailer: x\r\n\r\n",
    "a call without a body": call(7, body=b""),
    "a call with all fields": call(
        8, Req_Key="k", Req_Owner="o", Req_Retry="1", Req_Extra="prefix=p,prompt_len=9,prefix_len=3,max_out=7"
    ),
}


async def plain_exchanges() -> dict[str, list[bytes]]:
    got: dict[str, list[bytes]] = {}
    async with RawReplica() as replica, Gateway(replica) as gateway:
        await gateway.ready()
        for case, raw in REJECTED.items():
            got[case] = await exchange(gateway.port, raw)
        assert not replica.seen, "none of these goes on"
        for case, raw in ANSWERED.items():
            got[case] = await exchange(gateway.port, raw)
        head = b"HEAD /up HTTP/1.1\r\nHost: a\r\n\r\n"
        got["HEAD of /up"] = await exchange(gateway.port, head, no_body=True)
        async with connected(gateway.port) as client:  # a half request, then the end of the sending
            client.send(UP[:20])
            client.writer.write_eof()
            got["half a request, then the end"] = [await client.rest()]
        async with connected(gateway.port) as client:
            client.send(call(20, Expect="100-continue", body=b"{}")[:-2])
            got["100-continue"] = [await client.answer(no_body=True)]
            client.send(b"{}")
            got["100-continue"].append(await client.answer())
    return got


def test_each_rejected_and_each_answered_request() -> None:
    compare_bytes("client_front", asyncio.run(plain_exchanges()))


async def ahead(client: Connection, replica: RawReplica, raw: bytes, answers: int) -> list[bytes]:
    """Requests that are sent before the first has its answer; then the answers."""
    client.send(raw)
    async with asyncio.timeout(PATIENCE):
        first = await client.reader.readuntil(ONE + b"\r\n")
    replica.go.set()
    said = [first + await client.reader.readuntil(b"\r\n0\r\n\r\n")]
    return said + [await client.answer() for _ in range(answers)]


async def pipelined() -> dict[str, list[bytes]]:
    got: dict[str, list[bytes]] = {}
    parts = (STREAM + chunk(ONE), chunk(TWO) + chunk(TAIL) + chunk(b""))
    async with RawReplica(*parts) as replica, Gateway(replica) as gateway:
        await gateway.ready()
        close = UP.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        for case, raw, answers in (
            ("events apart", call(1), 0),
            ("a call and two more", call(2) + UP + b"GET /no HTTP/1.1\r\nHost: a\r\n\r\n", 2),
            ("the second closes", call(3) + close + UP, 1),
            ("three ahead", call(4) + UP * 3, 3),
            ("six ahead", call(5) + UP * 6, 4),
        ):
            replica.go.clear()
            async with connected(gateway.port) as client:
                got[case] = await ahead(client, replica, raw, answers)
                if case in ("the second closes", "six ahead"):
                    got[case].append(b"<closed>" + await client.rest())
                else:
                    client.send(UP)
                    got[case].append(b"<kept>" + await client.answer())
        replica.go.clear()
        async with connected(gateway.port) as one, connected(gateway.port) as two:
            one.send(call(7))
            async with asyncio.timeout(PATIENCE):
                await one.reader.readuntil(ONE)
            two.send(call(7))
            got["a Req-Id in use"] = [await two.answer()]
            replica.go.set()
            await one.reader.readuntil(b"\r\n0\r\n\r\n")
            two.send(call(7))
            got["a Req-Id in use"].append(await two.answer())
    return got


def test_requests_sent_ahead_and_ids_in_use() -> None:
    compare_bytes("client_front_pipelined", asyncio.run(pipelined()))


def plain(status: bytes, body: bytes = b"", fields: bytes = b"") -> bytes:
    return b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b" % (status, fields, len(body), body)


# By what a replica says: what a client gets.
REPLICA_SAYS: dict[str, tuple[bytes | None, ...]] = {
    "overloaded": (plain(b"503 Busy", fields=b"Srv-Declined: 1\r\n"),),
    "declined with 504": (plain(b"504 Over", fields=b"Srv-Declined: 1\r\n"),),
    "failed with 500": (plain(b"500 Broken", b"why"),),
    "503 that does not decline": (plain(b"503 Busy"),),
    "rejected with 400": (plain(b"400 Bad", b"why"),),
    "no stream but JSON": (plain(b"200 OK", b'{"a": 1}', b"Content-Type: application/json\r\n"),),
    "reset before the first byte": (None,),
    "noise": (b"noise\r\n\r\n",),
    "malformed before the first event": (STREAM + b"zz\r\n",),
    "an answer until the close": (b"HTTP/1.1 200 OK\r\n\r\n" + ONE, None),
    "broken after the first event": (STREAM + chunk(ONE), None),
    "malformed after the first event": (STREAM + chunk(ONE), b"zz\r\n"),
    "silent": (b"",),
    "silent after the first event": (STREAM + chunk(ONE),),
}

WHOLE_ANSWERS: dict[str, tuple[bytes, ...]] = {
    "an empty answer": (plain(b"200 OK"),),
    "a sized stream": (plain(b"200 OK", ONE + TWO + TAIL, b"Content-Type: text/event-stream\r\n"),),
    "a stream without the last event": (STREAM + chunk(ONE) + chunk(b""),),
    "load reports and usage": (STREAM + chunk(ONE) + chunk(b": Srv-Load: util=0.5\n\n" + TAIL) + chunk(b""),),
}


async def one_answer(gateway: Gateway, replica: RawReplica) -> list[bytes]:
    async with connected(gateway.port) as client:
        client.send(call(1, deadline=700))
        head = await asyncio.wait_for(client.reader.read(1), PATIENCE)
        if len(replica.parts) > 1:
            async with asyncio.timeout(PATIENCE):
                head += await client.reader.readuntil(ONE)
        replica.go.set()
        client.send(LAST_UP)  # a connection that is kept ends with this one's answer
        return [head + await client.rest()]


async def whole_answers(got: dict[str, list[bytes]]) -> None:
    """One gateway for all of them: none speaks against the replica."""
    async with RawReplica() as replica, Gateway(replica) as gateway:
        await gateway.ready()
        for case, parts in WHOLE_ANSWERS.items():
            replica.parts = parts
            got[case] = await one_answer(gateway, replica)


async def every_answer() -> dict[str, list[bytes]]:
    got: dict[str, list[bytes]] = {}
    places = asyncio.Semaphore(5)

    async def play(case: str, parts: tuple[bytes | None, ...]) -> None:
        async with places, RawReplica(*parts) as replica, Gateway(replica) as gateway:
            await gateway.ready()
            got[case] = await one_answer(gateway, replica)

    async with asyncio.TaskGroup() as group:
        group.create_task(slow_requests(got))
        group.create_task(whole_answers(got))
        group.create_task(nowhere(got))
        for case, parts in REPLICA_SAYS.items():
            group.create_task(play(case, parts))
    return dict(sorted(got.items()))


async def nowhere(got: dict[str, list[bytes]]) -> None:
    """A replica that is gone, and a deadline that is over at once."""
    async with RawReplica() as replica:
        gone = Gateway(replica)
    async with gone as gateway:
        got["replica gone"] = await exchange(gateway.port, call(1, deadline=400))
    async with RawReplica() as replica, Gateway(replica) as gateway:
        await gateway.ready()
        got["deadline of 0 ms"] = await exchange(gateway.port, call(1, deadline=0))


async def slow_requests(got: dict[str, list[bytes]]) -> None:
    """What ends only after some seconds."""
    async with (
        RawReplica() as replica,
        Gateway(replica) as gateway,
        connected(gateway.port) as half,
        connected(gateway.port) as ahead_of,
    ):
        await gateway.ready()
        half.send(UP[:20])
        ahead_of.send(call(6) + UP + b"nonsense\r\n\r\n" + UP)
        got["a bad one ahead"] = [b"<closed>" + await ahead_of.rest()]
        got["a request that takes too long"] = [b"<closed>" + await half.rest()]


def test_what_a_replica_says_and_what_a_client_gets() -> None:
    compare_bytes("client_front_replies", asyncio.run(every_answer()))


async def starting() -> dict[str, list[bytes]]:
    async with RawDiscovery() as silent, Gateway(discovery=silent) as gateway:
        return {
            "starting: up": await exchange(gateway.port, UP),
            "starting: a call": await exchange(gateway.port, call(1, deadline=300)),
        }


async def stopping(word: str, resume: bool) -> dict[str, list[bytes]]:
    """What comes in a phase of the stop; `resume` is what leaves more time in that phase."""
    got: dict[str, list[bytes]] = {}
    parts = (STREAM + chunk(ONE), chunk(TAIL) + chunk(b""))
    settings: dict[str, Any] = {"familyInfo": {"resume": resume}}
    async with (
        RawReplica(*parts) as replica,
        Gateway(replica, settings=settings) as gateway,
        connected(gateway.port) as first,
        connected(gateway.port) as up,
        connected(gateway.port) as later,
    ):
        await gateway.ready()
        got[f"{word}: ready before"] = await exchange(gateway.port, UP)
        up.send(UP[:20])
        later.send(call(2)[:20])
        first.send(call(1))  # its answer shows that the halves sent before it have come
        async with asyncio.timeout(PATIENCE):
            begun = await first.reader.readuntil(ONE)
        gateway.process.terminate()
        await until(lambda: gateway.log("phase", now=word))
        up.send(UP[20:])
        got[f"{word}: up"] = [b"<closed>" + await up.rest()]
        replica.go.set()
        later.send(call(2)[20:])
        got[f"{word}: a call"] = [b"<closed>" + await later.rest()]
        got[f"{word}: what was open"] = [b"<closed>" + begun + await first.rest()]
        assert await asyncio.wait_for(gateway.process.wait(), PATIENCE) == 0
    return got


async def phases() -> dict[str, list[bytes]]:
    first, second, third = await asyncio.gather(
        starting(), stopping("draining", True), stopping("turning_away", False)
    )
    return first | second | third


def test_each_phase() -> None:
    compare_bytes("client_front_phases", asyncio.run(phases()))
