"""What operators' calls are answered, byte for byte as it was recorded."""

from __future__ import annotations

import asyncio

from .gateway import (
    ONE,
    PATIENCE,
    STREAM,
    TAIL,
    UP,
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


def operate(path: str, method: str = "POST") -> bytes:
    return f"{method} /control/{path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".encode()


async def operator_port(gateway: Gateway) -> int:
    await until(lambda: gateway.log("operators_listening"))
    return gateway.port_of("operators_listening")


OPERATOR = {"operator": "127.0.0.1:0"}


async def calls() -> dict[str, list[bytes]]:
    got: dict[str, list[bytes]] = {}
    async with RawReplica() as replica, Gateway(replica, config=OPERATOR) as gateway:
        port = await operator_port(gateway)
        await gateway.ready()
        uid = f"s-{replica.port}"
        for path, method in (
            ("ready", "GET"),
            ("ready?x=1", "GET"),
            ("ready", "POST"),
            ("nothing", "POST"),
            ("", "GET"),
            ("in-service", "GET"),
            ("out-of-service", "PUT"),
            ("replicas/s-none/offline", "POST"),
            ("replicas/s-none/online", "POST"),
            ("replicas/s-none/sideways", "POST"),
            ("replicas/" + "u" * 300 + "/offline", "POST"),
            ("n" * 300, "POST"),
            ("replicas/<uid>/offline", "GET"),
            ("replicas/<uid>/offline", "POST"),
            ("replicas/<uid>/offline", "POST"),
        ):
            raw = operate(path.replace("<uid>", uid), method)
            name = f"{method} {path[:40]}"
            got[name + (" again" if name in got else "")] = await exchange(port, raw)
        got["a call with no replica online"] = await exchange(gateway.port, call(1, deadline=300))
        for path in ("replicas/<uid>/online", "replicas/<uid>/online"):
            name = f"POST {path}"
            got[name + (" again" if name in got else "")] = await exchange(
                port, operate(path.replace("<uid>", uid))
            )
        got["a call with the replica online"] = await exchange(gateway.port, call(2))
        for name, raw in {
            "bad request line": b"nonsense\r\n\r\n",
            "bad field": b"GET /control/ready HTTP/1.1\r\nHost: a\r\nnocolon\r\n\r\n",
            "no host": b"GET /control/ready HTTP/1.1\r\n\r\n",
            "unknown version": b"GET /control/ready HTTP/2.0\r\nHost: a\r\n\r\n",
            "HTTP/1.0 that keeps": b"GET /control/ready HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
            "another path": UP,
            "a body too large": b"POST /control/ready HTTP/1.1\r\nHost: a\r\nContent-Length: 999999\r\n\r\n",
            "two calls at once": operate("ready", "GET") * 2,
        }.items():
            got[name] = await exchange(port, raw)
        got["POST out-of-service"] = await exchange(port, operate("out-of-service"))
        got["out of service: up"] = await exchange(gateway.port, UP)
        got["out of service: a call"] = await exchange(gateway.port, call(3))
        got["out of service: ready"] = await exchange(port, operate("ready", "GET"))
        got["POST in-service"] = await exchange(port, operate("in-service"))
        got["in service: up"] = await exchange(gateway.port, UP)
        return {case: [one.replace(uid.encode(), b"<uid>") for one in said] for case, said in got.items()}


def test_each_call_and_each_no() -> None:
    compare_bytes("operators", asyncio.run(calls()))


async def starting() -> dict[str, list[bytes]]:
    async with RawDiscovery() as silent, Gateway(discovery=silent, config=OPERATOR) as gateway:
        port = await operator_port(gateway)
        return {"starting: ready": await exchange(port, operate("ready", "GET"))}


async def stopping(word: str, resume: bool) -> dict[str, list[bytes]]:
    """Calls in a phase of the stop; `resume` is what leaves more time in that phase."""
    got: dict[str, list[bytes]] = {}
    parts = (STREAM + chunk(ONE), chunk(TAIL) + chunk(b""))
    settings = {"familyInfo": {"resume": resume}}
    async with (
        RawReplica(*parts) as replica,
        Gateway(replica, config=OPERATOR, settings=settings) as gateway,
        connected(gateway.port) as client,
    ):
        port = await operator_port(gateway)
        await gateway.ready()
        client.send(call(1))
        async with asyncio.timeout(PATIENCE):
            await client.reader.readuntil(ONE)
        gateway.process.terminate()
        await until(lambda: gateway.log("phase", now=word))
        for path, method in (("ready", "GET"), ("in-service", "POST"), ("out-of-service", "POST")):
            got[f"{word}: {path}"] = await exchange(port, operate(path, method))
        replica.go.set()
        assert (await client.rest()).endswith(b"0\r\n\r\n")
        assert await asyncio.wait_for(gateway.process.wait(), PATIENCE) == 0
    return got


async def phases() -> dict[str, list[bytes]]:
    first, second, third = await asyncio.gather(
        starting(), stopping("draining", True), stopping("turning_away", False)
    )
    return first | second | third


def test_calls_while_the_gateway_starts_and_stops() -> None:
    compare_bytes("operators_phases", asyncio.run(phases()))
