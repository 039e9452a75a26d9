"""Random simulations of the drain rule: the real watch, core and transport, under a controlled clock.

Discovery and the replicas are fakes. The checker records independently when each change was made, when it was
written to the gateway, and how long discovery has been reachable since. A request that is sent to a replica
later than the grace period after the gateway was notified of its drain violates the rule.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass, field
from enum import Enum, auto
from functools import partial
from typing import Any

from lockspoke.balancing.events import ReplicaState
from lockspoke.balancing.settings import RequestClass
from lockspoke.core.core import Core
from lockspoke.core.identifiers import Identifiers
from lockspoke.core.replica_set import ListedReplica, ReplicaListUpdate, ReplicaSet
from lockspoke.core.requests import ClientRequest
from lockspoke.wire.discovery.connection import WATCH_GRACE
from lockspoke.wire.discovery.watch import DiscoveryWatch, hold_duration_ms
from lockspoke.wire.http.http1 import Request, RequestAssembler
from lockspoke.wire.replicas.transport import ReplicaTransport
from lockspoke.wire.tcp.dialing import Address
from tests.balancing.helpers import settings
from tests.clocked import ClockedLoop, ControlledClock, Network, Reachability
from tests.standins import EVENTS, STREAM_HEAD, STREAM_TAIL, chunk

SECOND = 1_000_000_000
DRAIN_GRACE = 0.25  # seconds after the gateway is notified of a change
MAX_PROPAGATION_TIME = 6.0  # seconds after discovery had a change and could be reached
DURATION = 45.0  # seconds
REPLICAS = 6
REQUEST_RATE = 12.0  # requests a second
DISCOVERY_ADDRESSES: tuple[Address, ...] = (("discovery-1", 80), ("discovery-2", 80))


class Fault(Enum):
    """A single fault of discovery: of the next request, or of all open connections."""

    SILENCED = auto()  # open connections get no more responses and stay open
    RESET = auto()  # open connections are closed
    UNAVAILABLE = auto()  # the next request gets a 503
    LOST = auto()  # the next request never gets a response
    TRUNCATED = auto()  # the next response ends in the middle
    SPLIT = auto()  # the second half of the next response is late
    BAD_ENTRY = auto()  # the next response has an entry that can't be decoded
    STALE = auto()  # the next response is the list as it was at the start
    LATE = auto()  # the next response comes just before its deadline, and the one after it is lost


class Outage(Enum):
    """Why discovery can't be reached for a while."""

    REFUSES = auto()
    CONNECT_HANGS = auto()
    SILENT = auto()
    UNAVAILABLE = auto()
    RESETS = auto()


@dataclass
class Schedule:
    """The events of one simulation; times in seconds from its start."""

    outages: list[tuple[float, float, Outage]] = field(default_factory=list)
    faults: list[tuple[float, Fault]] = field(default_factory=list)
    endpoint_changes: list[float] = field(default_factory=list)
    # When the event loop is busy, and for how long.
    busy_periods: list[tuple[float, float]] = field(default_factory=list)
    changes: list[tuple[float, str, str]] = field(default_factory=list)  # when, uid, state
    bans: list[tuple[float, float, str]] = field(default_factory=list)  # from when to when, uid


def draw_schedule(random_: random.Random, faults_in_a_row: int) -> Schedule:
    """Draw a schedule: periods with this many faults within the propagation time, each followed by quiet.

    The end of an outage counts as a fault. With a single fault, so does the start, since hundreds of gateways
    that start together are polling in turn.
    """
    day, now = Schedule(), random_.uniform(0.0, 4.0) + (MAX_PROPAGATION_TIME if faults_in_a_row == 1 else 0.0)
    while now < DURATION - 10:
        left = faults_in_a_row
        if random_.random() < 0.4:
            end = now + random_.uniform(0.5, 7.0)
            day.outages.append((now, end, random_.choice(list(Outage))))
            now, left = end, left - 1
        # A stale list that comes twice is applied, rightly: so no fault comes twice.
        for fault in random_.sample(list(Fault), left):
            now += random_.uniform(0.0, 2.0)
            day.faults.append((now, fault))
            if fault is Fault.LATE:
                break
        now += MAX_PROPAGATION_TIME + 2.5
    day.endpoint_changes = [random_.uniform(5, DURATION) for _ in range(random_.choice((0, 0, 1)))]
    day.busy_periods = [(random_.uniform(0, DURATION), random_.uniform(0.05, 0.3)) for _ in range(6)]
    times = [at for at, _ in day.faults] + [end for _, end, _ in day.outages] + day.endpoint_changes + [0.0]
    for uid in random_.sample(range(REPLICAS), REPLICAS - 2):
        # Drains come close to other events: before, during and soon after them.
        at = max(-3.0, random_.choice(times) + random_.uniform(-1.5, 2.5))
        day.changes.append((at, f"r{uid}", random_.choice(("draining", "removed"))))
        if random_.random() < 0.4:
            day.changes.append((at + random_.uniform(9.0, 15.0), f"r{uid}", "up"))
    day.changes.sort()
    for _ in range(random_.choice((0, 0, 1, 2))):
        at = max(0.5, random_.choice(times) + random_.uniform(-0.5, 2.0))
        day.bans.append((at, at + random_.uniform(0.5, 8.0), f"r{random_.randrange(REPLICAS)}"))
    return day


class DrainChecker:
    """Checks the drain rule, from its own records."""

    def __init__(self, loop: ClockedLoop, schedule: Schedule) -> None:
        self.loop = loop
        self.start = loop.time()
        self.schedule = schedule
        self.drained_at: dict[str, float] = {}  # by uid, of replicas that are draining or removed now
        self.written_at: dict[str, float] = {}  # by uid, when that was first written to the gateway
        self.banned: set[str] = set()
        self.requests = 0
        self.violations: list[str] = []

    def now(self) -> float:
        return self.loop.time() - self.start

    def far_from_faults(self) -> bool:
        """Whether no fault of the schedule is near."""
        day = self.schedule
        times = [at for at, _ in day.faults] + [at for begin, end, _ in day.outages for at in (begin, end)]
        return all(abs(at - self.now()) > MAX_PROPAGATION_TIME + 2 for at in times)

    def record_change(self, uid: str, state: str) -> None:
        self.written_at.pop(uid, None)
        if state == "up":
            self.drained_at.pop(uid, None)
        else:
            self.drained_at[uid] = self.now()

    def record_written(self, uids: set[str]) -> None:
        """A response with the drains of these replicas has been written completely."""
        for uid in uids & self.drained_at.keys():
            self.written_at.setdefault(uid, self.now())

    def notified_at(self, uid: str) -> float:
        """When the gateway counts as notified of the current drain."""
        reached = max(self.drained_at[uid], 0.0)
        for begin, end, _ in self.schedule.outages:
            if begin < reached + MAX_PROPAGATION_TIME and end > reached:
                reached = end
        return min(reached + MAX_PROPAGATION_TIME, self.written_at.get(uid, float("inf")))

    def record_request(self, uid: str) -> None:
        self.requests += 1
        if uid in self.banned:
            self.violations.append(f"{uid} sent to at {self.now():.3f}: an operator has taken it out of use")
        if uid in self.drained_at and self.now() > (notified := self.notified_at(uid)) + DRAIN_GRACE:
            drained, written = self.drained_at[uid], self.written_at.get(uid)
            self.violations.append(
                f"{uid} sent to at {self.now():.3f}: {drained=:.3f} {written=} {notified=:.3f}"
            )


class FakeConnections:
    """The connections that a fake server has accepted, with a task for each."""

    def __init__(self) -> None:
        self.open: dict[socket.socket, asyncio.Task[None]] = {}

    def serve(self, sock: socket.socket, handler: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(handler)
        self.open[sock] = task
        task.add_done_callback(lambda _: self.open.pop(sock, None))

    def silence(self) -> None:
        """Write no more responses; the connections stay open."""
        for task in self.open.values():
            task.cancel()

    def reset(self) -> None:
        for sock, task in list(self.open.items()):
            task.cancel()
            sock.close()


async def read_requests(sock: socket.socket) -> AsyncIterator[Request]:
    """The requests that arrive on a connection."""
    loop, assembler = asyncio.get_running_loop(), RequestAssembler()
    with contextlib.suppress(OSError):
        while data := await loop.sock_recv(sock, 65536):
            for request in assembler.feed(data):
                yield request


class FakeDiscovery:
    """Discovery, at all of its addresses."""

    def __init__(self, random_: random.Random, checker: DrainChecker, network: Network) -> None:
        self.random = random_
        self.checker = checker
        self.network = network
        self.connections = FakeConnections()
        self.silenced: list[socket.socket] = []  # referenced, so that they stay open
        self.version = 1
        self.states = {f"r{n}": "up" for n in range(REPLICAS)}
        self.history: list[tuple[int, str]] = []  # version and uid of each change
        self.changed = asyncio.Event()
        self.fault: Fault | None = None  # of the next request
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
            await asyncio.sleep(WATCH_GRACE - 0.1)
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
            loop.call_soon(loop.pass_time, 0.3)
        elif drains and random_value < 0.5:
            # The loop is busy while the drain is unread; requests that arrive meanwhile are read with it.
            loop.call_soon(loop.pass_time, self.random.uniform(0.2, 0.5))
        elif drains and random_value < 0.8 and self.checker.far_from_faults():
            # Discovery moves while the drain is unread; its new address does not respond at first.
            self.fault = Fault.LOST
            loop.call_soon(self.on_drain_written)


class FakeReplicas:
    """All replicas: they respond, reject, reset or hang."""

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


class DiscardingWriter:
    """A client that discards its response."""

    has_unread_input = False

    def write(self, data: bytes) -> None:
        return None

    def finish(self) -> None: ...

    def abort(self) -> None: ...

    def reject(self, retry_after: int) -> None: ...

    def fail(self) -> None: ...


class DrainSimulation:
    """One gateway, with the events of one schedule."""

    def __init__(self, loop: ClockedLoop, seed: int, gateways: int, faults_in_a_row: int) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.schedule = draw_schedule(self.random, faults_in_a_row)
        self.checker = DrainChecker(loop, self.schedule)
        network, clock = Network(), ControlledClock(loop)
        network.on_write = self._written
        self.discovery = FakeDiscovery(self.random, self.checker, network)
        self.replicas = FakeReplicas(self.random, network)
        index = self.random.randrange(gateways)
        self.watch = DiscoveryWatch(DISCOVERY_ADDRESSES[0], hold_duration_ms(index, gateways), network.dial)
        self.discovery.on_drain_written = partial(self.watch.change_endpoint, DISCOVERY_ADDRESSES[1])
        self.transport = ReplicaTransport((), SECOND, 10 * SECOND, 64, clock.now, network.dial)
        balancer_settings = settings(
            classes=(RequestClass(),),
            polls_endpoint_list=self.random.random() < 0.8,
            poll_interval=10 * SECOND,
            gateway_count=gateways,
            gateway_index=index,
            hedging_allowed=True,
        )
        self.core = Core(
            balancer_settings, seed, ReplicaSet(Identifiers(), ["z"]), clock, self.transport, self.watch
        )
        self.watch.attach(self.core)

    def _written(self, endpoint: Address, data: bytes) -> None:
        if endpoint not in DISCOVERY_ADDRESSES:
            self.checker.record_request(endpoint[0])

    async def run(self) -> DrainChecker:
        for at, event in self._events():
            if at <= 0.0:
                event()
            else:
                self.loop.call_later(at, event)
        self._start_core()
        await asyncio.sleep(DURATION + 5)
        self.watch.close()
        self.transport.close()
        return self.checker

    def _events(self) -> list[tuple[float, Callable[[], Any]]]:
        day, discovery = self.schedule, self.discovery
        events: list[tuple[float, Callable[[], Any]]] = []
        for at, fault in day.faults:
            events.append((at, partial(discovery.inject, fault)))
        for begin, end, outage in day.outages:
            events += [(begin, partial(discovery.begin_outage, outage)), (end, discovery.end_outage)]
        for at, uid, state in day.changes:
            events.append((at, partial(discovery.change, uid, state)))
        for at in day.endpoint_changes:
            events.append((at, partial(self.watch.change_endpoint, DISCOVERY_ADDRESSES[1])))
        for at, span in day.busy_periods:
            events.append((at, partial(self.loop.pass_time, span)))
        for begin, end, uid in day.bans:
            events += [(begin, partial(self._ban, uid, True)), (end, partial(self._ban, uid, False))]
        at = 0.0
        while (at := at + self.random.expovariate(REQUEST_RATE)) < DURATION:
            events.append((at, self._submit_request))
        return events

    def _start_core(self) -> None:
        known = tuple(ListedReplica(f"r{n}", ReplicaState.READY, (f"r{n}", 80), "z") for n in range(REPLICAS))
        self.core.start()
        self.core.endpoint_list_changed(ReplicaListUpdate(1, True, known), cached=True)

    def _ban(self, uid: str, banned: bool) -> None:
        if self.core.set_banned(uid, banned):  # a removed replica may be unknown and can't be banned
            (self.checker.banned.add if banned else self.checker.banned.discard)(uid)

    def _submit_request(self) -> None:
        request = ClientRequest(DiscardingWriter(), 0, 3 * SECOND, "id", "POST", "/x", {"host": "h"}, b"{}")
        request.session = self.random.getrandbits(32)
        request.background = self.random.random() < 0.1  # as a line of a batch
        self.core.submit(request)
