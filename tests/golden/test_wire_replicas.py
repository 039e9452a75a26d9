"""What the gateway sends to replicas, byte for byte as it was recorded."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from .gateway import Gateway, RawReplica, call, connected
from .transcripts import compare_bytes

DECLINED = b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
CALLS = {
    "a plain call": call(1),
    "without a body": call(2, body=b""),
    "with bytes of every kind": call(3, body=bytes(range(256))),
    "with every Req- field": call(
        4,
        Req_Key="k-1",
        Req_Owner="owner-1",
        Req_Retry="1",
        Req_Extra="prefix=p,prompt_len=9,prefix_len=3,max_out=7",
    ),
    "with fields of its connection": call(
        5,
        Connection="X-Mine, keep-alive",
        X_Mine="1",
        Keep_Alive="timeout=5",
        TE="trailers",
        Trailer="X-Sum",
        Upgrade="h2c",
        Proxy_Connection="keep-alive",
        X_Other="\xe9 value",
        Authorization="Bearer b",
    ),
    "with a field twice": call(6).replace(b"\r\nReq-Kind", b"\r\nX-Two: 1\r\nX-Two: 2\r\nReq-Kind"),
    "in chunks": call(7, body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    + b"3;x=y\r\n{  \r\n2\r\n }\r\n0\r\nX-Sum: 5\r\n\r\n",
    "in HTTP/1.0 without Host": call(8, version="1.0", Host=""),
    "of another kind": call(9, kind="bulk", deadline=9000),
    "with a deadline past the longest": call(10, deadline=999_999_999),
    "with Expect": call(11, Expect="100-continue"),
}


async def sent_to_replicas() -> dict[str, list[bytes]]:
    got: dict[str, list[bytes]] = {}
    async with RawReplica() as replica, Gateway(replica) as gateway:
        await gateway.ready()
        for case, raw in CALLS.items():
            async with connected(gateway.port) as client:
                client.send(raw)
                assert (await client.answer()).startswith(b"HTTP/1.1 "), case
            got[case] = replica.seen.copy()
            replica.seen.clear()
    return got


def test_requests_as_replicas_get_them() -> None:
    compare_bytes("to_replicas", asyncio.run(sent_to_replicas()))


async def attempts() -> dict[str, list[bytes]]:
    async with AsyncExitStack() as stack:
        replicas = [await stack.enter_async_context(RawReplica(DECLINED)) for _ in range(2)]
        gateway = await stack.enter_async_context(Gateway(*replicas))
        await gateway.ready()
        client = await stack.enter_async_context(connected(gateway.port))
        client.send(call(1, deadline=30_000, Req_Key="k-1"))
        assert b"overloaded" in await client.answer()
        seen = [one for replica in replicas for one in replica.seen]
    return {"three attempts, the last two as the first": seen}


def test_further_attempts_are_sent_as_the_first() -> None:
    compare_bytes("to_replicas_attempts", asyncio.run(attempts()))
