"""What the gateway asks of discovery, and after which answers, byte for byte as it was recorded."""

from __future__ import annotations

import asyncio
from typing import Any

from .gateway import Gateway, RawDiscovery, RawReplica, listed, target, until
from .transcripts import compare_bytes

ROW = {"uid": "s-1", "endpoint": "127.0.0.1:9", "az": "lis-1", "state": "up", "boot_ms": 0}
OTHER = ROW | {"uid": "s-2"}
# By case: the answers in turn. The request that follows the last answer is recorded too.
PLAYS: dict[str, tuple[bytes | None, ...]] = {
    "first ask, watches, an answer that closes, a version that goes back": (
        listed(5, ROW),
        listed(5, whole=False),
        listed(6, OTHER, whole=False),
        listed(7, ROW).replace(b"Content-Length", b"Connection: close\r\nContent-Length"),
        listed(3, ROW),
        listed(4, ROW),
    ),
    "an empty list, said twice": (listed(5, ROW), listed(6), listed(6)),
    "a list with a bad entry": (listed(5, ROW), listed(6, {"uid": 5}), listed(7, ROW)),
    "a list that is no JSON": (listed(5, ROW), b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{"),
    "a status that brings no list": (listed(5, ROW), b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
    "a first ask that ends, then a watch that does": (None, listed(5, ROW), None, listed(5, ROW)),
    "noise": (b"noise\r\n\r\n", listed(5, ROW)),
}


async def asked(answers: tuple[bytes | None, ...], settings: dict[str, Any]) -> list[bytes]:
    async with (
        RawReplica() as replica,
        RawDiscovery(*answers) as discovery,
        Gateway(replica, discovery=discovery, settings=settings) as gateway,
    ):
        await until(lambda: len(discovery.seen) > len(answers))
        seen = discovery.seen[: len(answers) + 1]
        assert gateway.process.returncode is None
        return [one.replace(b"127.0.0.1:%d" % discovery.port, b"<discovery>") for one in seen]


async def all_asked() -> dict[str, list[bytes]]:
    got: dict[str, list[bytes]] = {}
    places = asyncio.Semaphore(5)

    async def play(case: str, answers: tuple[bytes | None, ...], settings: dict[str, Any]) -> None:
        async with places:
            got[case] = await asked(answers, settings)

    async with asyncio.TaskGroup() as group:
        for case, answers in PLAYS.items():
            group.create_task(play(f"subscribe: {case}", answers, {"discovery": "subscribe"}))
        for case, settings in (
            ("automatic", {"discovery": "automatic"}),
            ("no word, the third of forty gateways", {"discovery": None, "peersTotal": 40, "index": 2}),
            ("subscribe, the third of forty gateways", {"peersTotal": 40, "index": 2}),
        ):
            group.create_task(play(f"{case}: first ask, then a watch", (listed(5, ROW),), settings))
    return dict(sorted(got.items()))


def test_requests_as_discovery_gets_them() -> None:
    compare_bytes("to_discovery", asyncio.run(all_asked()))


async def moved() -> dict[str, list[bytes]]:
    """A reload that changes nothing, ones that are refused, and one that names another discovery."""
    async with (
        RawReplica() as replica,
        RawDiscovery(listed(5, target(replica))) as first,
        RawDiscovery(listed(2, target(replica)), listed(3, target(replica), whole=False)) as second,
        Gateway(replica, discovery=first) as gateway,
    ):
        await until(lambda: len(first.seen) == 2)
        gateway.reload()
        await until(lambda: gateway.log("reloaded", discovery_moved=False))
        gateway.reload("{")
        await until(lambda: gateway.log("reload_refused"))
        got = {"first discovery": first.seen[:2]}
        assert not second.seen, "refused files move nothing"
        gateway.reload(discovery=f"127.0.0.1:{second.port}")
        await until(lambda: gateway.log("reloaded", discovery_moved=True))
        before = len(first.seen)
        await until(lambda: len(second.seen) >= 3)
        assert len(first.seen) == before, "the former one is asked nothing more"
        got["second discovery"] = second.seen[:3]
        ports = {first.port: "first", second.port: "second"}
    return {case: [_named(one, ports) for one in seen] for case, seen in got.items()}


def _named(request: bytes, ports: dict[int, str]) -> bytes:
    for port, name in ports.items():
        request = request.replace(b"127.0.0.1:%d" % port, b"<%b discovery>" % name.encode())
    return request


def test_what_is_asked_of_another_discovery_after_a_reload() -> None:
    compare_bytes("to_discovery_moved", asyncio.run(moved()))
