"""Fake discovery and fake replicas for simulations of the drain rule."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from lockspoke.wire.discovery.connection import WATCH_GRACE_SECONDS
from lockspoke.wire.http.messages import Request
from lockspoke.wire.http.request_assembler import RequestAssembler
from lockspoke.wire.tcp.dialing import Address
from tests.clocked import Network, Reachability
from tests.standins import EVENTS, STREAM_HEAD, STREAM_TAIL, chunk
from tests.wire.drain_checker import DrainChecker
from tests.wire.drain_schedule import REPLICAS, Fault, Outage

DISCOVERY_ADDRESSES: tuple[Address, ...] = (("discovery-1", 80), ("discovery-2", 80))


class FakeConnections:
    """The connections that a fake server has accepted, and the task that serves each."""

    def __init__(self) -> None:
        self.open: dict[socket.socket, asyncio.Task[None]] = {}

    def serve(self, sock: socket.socket, handler: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(handler)
        self.open[sock] = task
        task.add_done_callback(lambda _: self.open.pop(sock, None))

    def silence(self) -> None:
        """Stop responding; the connections stay open."""
        for task in self.open.values():
            task.cancel()

    def reset(self) -> None:
        for sock, task in list(self.open.items()):
            task.cancel()
            sock.close()


async def read_requests(sock: socket.socket) -> AsyncIterator[Request]:
    """Yield the requests that arrive on a connection."""
    loop, assembler = asyncio.get_running_loop(), RequestAssembler()
    with contextlib.suppress(OSError):
        while data := await loop.sock_recv(sock, 65536):
            for request in assembler.feed(data):
                yield request


class FakeDiscovery:
    """Discovery, which serves the same state at all of its addresses."""

    def __init__(self, random_: random.Random, checker: DrainChecker, network: Network) -> None:
        self.random = random_
        self.checker = checker
        self.network = network
        self.connections = FakeConnections()
        self.silenced: list[socket.socket] = []  # Kept here, since sockets without a reference are closed.
        self.version = 1
        self.states = {f"r{n}": "up" for n in range(REPLICAS)}
        self.history: list[tuple[int, str]] = []  # The version and uid of each change.
        self.changed = asyncio.Event()
        self.fault: Fault | None = None  # It is injected into the next request.
        self.on_drain_written: Callable[[], None] = lambda: None
        self.current_outage: Outage | None = None
        for address in DISCOVERY_ADDRESSES:
            network.services[address] = self.accept

    def accept(self, sock: socket.socket) -> None:
        self.connections.serve(sock, self.serve(sock))

    def change(self, uid: str, state: str) -> None:
        self.checker.record_change(uid, state)
        self.states[uid] = state
        self.version += 1
        self.history.append((self.version, uid))
        self.changed.set()
        self.changed = asyncio.Event()

    def begin_outage(self, outage: Outage) -> None:
        self.current_outage = outage
        reachability = {Outage.REFUSES: Reachability.REFUSES, Outage.CONNECT_HANGS: Reachability.HANGS}
        for address in DISCOVERY_ADDRESSES:
            self.network.reachability[address] = reachability.get(outage, Reachability.REACHABLE)
        if outage in (Outage.CONNECT_HANGS, Outage.SILENT):
            self.silenced += self.connections.open
            self.connections.silence()
        else:
            self.connections.reset()

    def end_outage(self) -> None:
        self.current_outage = None
        self.network.reachability.clear()

    def inject(self, fault: Fault) -> None:
        if fault is Fault.SILENCED:
            self.silenced += self.connections.open
            self.connections.silence()
        elif fault is Fault.RESET:
            self.connections.reset()
        else:
            self.fault = fault

    async def serve(self, sock: socket.socket) -> None:
        async for request in read_requests(sock):
            if self.current_outage is Outage.SILENT:
                await asyncio.Event().wait()
            if self.current_outage is Outage.RESETS:
                sock.close()
                return
            if self.current_outage is Outage.UNAVAILABLE:
                sock.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                continue
            with contextlib.suppress(OSError):
                await self.respond(sock, request)

    async def respond(self, sock: socket.socket, request: Request) -> None:
        fault, self.fault = self.fault, None
        query = dict(part.split("=") for part in request.head.query.split("&") if part)
        since, hold = int(query.get("from", -1)), int(query.get("hold_ms", 0)) / 1000
        if fault is Fault.UNAVAILABLE:
            sock.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return
        if fault is Fault.LOST:
            await asyncio.Event().wait()
        if since == self.version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), hold)
        if fault is Fault.STALE:
            named = dict.fromkeys(self.states, "up")
            await self.write_response(sock, fault, self.encode_list(1, True, named), set())
            return
        if fault is Fault.LATE:
            await asyncio.sleep(WATCH_GRACE_SECONDS - 0.1)
        complete = since < 0
        uids = self.states.keys() if complete else {uid for version, uid in self.history if version > since}
        named = {uid: self.states[uid] for uid in uids}
        drains = {uid for uid, state in self.states.items() if state != "up" and (complete or uid in uids)}
        await self.write_response(sock, fault, self.encode_list(self.version, complete, named, fault), drains)

    @staticmethod
    def encode_list(version: int, complete: bool, named: dict[str, str], fault: Fault | None = None) -> bytes:
        targets: list[Any] = [
            {"uid": uid, "endpoint": f"{uid}:80", "az": "z", "state": state, "boot_ms": 0}
            for uid, state in named.items()
            if not (complete and state == "removed")
        ]
        if fault is Fault.BAD_ENTRY:
            targets.insert(0, {"uid": "r0", "state": "up", "endpoint": 7})
        body = json.dumps({"rev": version, "all": complete, "targets": targets}).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    async def write_response(
        self, sock: socket.socket, fault: Fault | None, data: bytes, drains: set[str]
    ) -> None:
        if fault in (Fault.TRUNCATED, Fault.SPLIT):
            half = len(data) // 2
            sock.send(data[:half])
            if fault is Fault.TRUNCATED:
                await asyncio.Event().wait()
            await asyncio.sleep(0.8)
            data = data[half:]
        sock.send(data)
        self.checker.record_written(drains)
        loop, random_value = self.checker.loop, self.random.random()
        if fault is Fault.LATE:
            self.fault = Fault.LOST
            loop.call_soon(loop.advance_time, 0.3)
        elif drains and random_value < 0.5:
            # The loop is busy while the drain is unread; requests that arrive in that time are read with it.
            loop.call_soon(loop.advance_time, self.random.uniform(0.2, 0.5))
        elif drains and random_value < 0.8 and self.checker.far_from_faults():
            # Discovery moves to another address while the drain is unread, and does not respond at first.
            self.fault = Fault.LOST
            loop.call_soon(self.on_drain_written)


class FakeReplicas:
    """All replicas: at random they respond, reject a request, reset a connection or do not respond."""

    def __init__(self, random_: random.Random, network: Network) -> None:
        self.random = random_
        self.connections = FakeConnections()
        for n in range(REPLICAS):
            network.services[f"r{n}", 80] = self.accept

    def accept(self, sock: socket.socket) -> None:
        self.connections.serve(sock, self.serve(sock))

    async def serve(self, sock: socket.socket) -> None:
        async for _ in read_requests(sock):
            await asyncio.sleep(self.random.uniform(0.01, 0.4))
            with contextlib.suppress(OSError):
                random_value = self.random.random()
                if random_value < 0.05:
                    sock.close()
                    return
                if random_value < 0.1:
                    sock.send(b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
                elif random_value > 0.03:
                    sock.send(STREAM_HEAD + b"".join(map(chunk, [*EVENTS, STREAM_TAIL])) + chunk(b""))
