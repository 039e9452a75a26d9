"""Random days for the rule on drains: the real watch, core and connections, under a controlled clock.

Discovery and the replicas are stand-ins, and the judge keeps its own account: when each change was made, when
it was written to the gateway, and how long discovery has been within reach since. A send to a replica later
than the grace after its drain counts as told breaks the rule.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
from collections.abc import Callable, Coroutine
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
from lockspoke.wire.http.messages import Request
from lockspoke.wire.http.request_assembler import RequestAssembler
from lockspoke.wire.replicas.transport import ReplicaTransport
from lockspoke.wire.tcp.dialing import Address
from tests.balancing.helpers import settings
from tests.clocked import ClockedLoop, ControlledClock, Network, Reachability
from tests.standins import EVENTS, STREAM_HEAD, STREAM_TAIL, chunk

SECOND = 1_000_000_000
DRAIN_GRACE = 0.25  # seconds after a change is told
MAX_PROPAGATION_TIME = 6.0  # seconds after discovery had a change and could be reached
DURATION = 45.0  # seconds
REPLICAS = 6
REQUEST_RATE = 12.0  # requests a second
DISCOVERY_ADDRESSES: tuple[Address, ...] = (("discovery-1", 80), ("discovery-2", 80))


class Fault(Enum):
    """What may befall discovery once: the next request, or all that are open."""

    SILENCED = auto()  # what is open falls silent, and stays open
    RESET = auto()  # what is open is closed
    UNAVAILABLE = auto()  # the next request gets a 503
    LOST = auto()  # the next request never gets an answer
    TRUNCATED = auto()  # the next answer stops in its middle
    SPLIT = auto()  # the next answer's second half comes late
    BAD_ENTRY = auto()  # the next answer holds an entry that can't be read
    STALE = auto()  # the next answer is the list as it was at the beginning
    LATE = auto()  # the next answer comes just before its time is over, and the one after it is lost


class Outage(Enum):
    """Why discovery can't be reached for a while."""

    REFUSES = auto()
    CONNECT_HANGS = auto()
    SILENT = auto()
    UNAVAILABLE = auto()
    RESETS = auto()


@dataclass
class Schedule:
    """What happens on one day; times in seconds from its start."""

    outages: list[tuple[float, float, Outage]] = field(default_factory=list)
    faults: list[tuple[float, Fault]] = field(default_factory=list)
    endpoint_changes: list[float] = field(default_factory=list)
    busy_periods: list[tuple[float, float]] = field(
        default_factory=list
    )  # the loop is busy: when, for how long
    changes: list[tuple[float, str, str]] = field(default_factory=list)  # when, uid, state
    bans: list[tuple[float, float, str]] = field(default_factory=list)  # from when to when, uid


def draw_schedule(random_: random.Random, faults_in_a_row: int) -> Schedule:
    """A day's schedule: so many faults within the latest time, the end of an outage being one, then quiet.

    With one, the start counts as it: hundreds of gateways that start ask in turn.
    """
    day, now = Schedule(), random_.uniform(0.0, 4.0) + (MAX_PROPAGATION_TIME if faults_in_a_row == 1 else 0.0)
    while now < DURATION - 10:
        left = faults_in_a_row
        if random_.random() < 0.4:
            end = now + random_.uniform(0.5, 7.0)
            day.outages.append((now, end, random_.choice(list(Outage))))
            now, left = end, left - 1
        # A list that is said twice is the service's own word, however old: so no fault comes twice.
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
        # Drains come close to what else happens: before it, in it, and soon after.
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
    """The rule, by its own account."""

    def __init__(self, loop: ClockedLoop, schedule: Schedule) -> None:
        self.loop = loop
        self.start = loop.time()
        self.schedule = schedule
        self.drained_at: dict[
            str, float
        ] = {}  # by uid, when the drain in force was made; as far as it is no more
        self.written_at: dict[str, float] = {}  # and when it was written to the gateway first
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
        """An answer that holds the drains of these replicas has been written whole."""
        for uid in uids & self.drained_at.keys():
            self.written_at.setdefault(uid, self.now())

    def notified_at(self, uid: str) -> float:
        """When the drain in force counts as told."""
        reached = max(self.drained_at[uid], 0.0)
        for begin, end, _ in self.schedule.outages:
            if begin < reached + MAX_PROPAGATION_TIME and end > reached:
                reached = end
        return min(reached + MAX_PROPAGATION_TIME, self.written_at.get(uid, float("inf")))

    def record_request(self, uid: str) -> None:
        self.requests += 1
        if uid in self.banned:
            self.violations.append(f"{uid} sent to at {self.now():.3f}: an operator has taken it out of use")
        if uid in self.drained_at and self.now() > (told := self.notified_at(uid)) + DRAIN_GRACE:
            made, written = self.drained_at[uid], self.written_at.get(uid)
            self.violations.append(
                f"{uid} sent to at {self.now():.3f}: {made=:.3f} {written=} told={told:.3f}"
            )


class FakeConnections:
    """The connections that a stand-in has taken, and a task for each."""

    def __init__(self) -> None:
        self.open: dict[socket.socket, asyncio.Task[None]] = {}

    def serve(self, sock: socket.socket, served: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(served)
        self.open[sock] = task
        task.add_done_callback(lambda _: self.open.pop(sock, None))

    def silence(self) -> None:
        """Nothing more is written; the connections stay open."""
        for task in self.open.values():
            task.cancel()

    def reset(self) -> None:
        for sock, task in list(self.open.items()):
            task.cancel()
            sock.close()


async def read_requests(sock: socket.socket) -> Any:
    """The requests that come on a connection, one by one."""
    loop, gatherer = asyncio.get_running_loop(), RequestAssembler()
    with contextlib.suppress(OSError):
        while data := await loop.sock_recv(sock, 65536):
            for request in gatherer.feed(data):
                yield request


class FakeDiscovery:
    """Discovery at any of its addresses."""

    def __init__(self, random_: random.Random, judge: DrainChecker, network: Network) -> None:
        self.random = random_
        self.checker = judge
        self.network = network
        self.connections = FakeConnections()
        self.silenced: list[socket.socket] = []  # kept, so that they stay open
        self.version = 1
        self.states = {f"r{n}": "up" for n in range(REPLICAS)}
        self.history: list[tuple[int, str]] = []  # version and uid of each change
        self.changed = asyncio.Event()
        self.fault: Fault | None = None  # of the next request
        self.on_drain_written: Callable[[], None] = lambda: None
        self.current_outage: Outage | None = None
        for home in DISCOVERY_ADDRESSES:
            network.services[home] = self.accept

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
        reach = {Outage.REFUSES: Reachability.REFUSES, Outage.CONNECT_HANGS: Reachability.HANGS}
        for home in DISCOVERY_ADDRESSES:
            self.network.reachability[home] = reach.get(outage, Reachability.REACHABLE)
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
        asked = dict(part.split("=") for part in request.head.query.split("&") if part)
        since, hold = int(asked.get("from", -1)), int(asked.get("hold_ms", 0)) / 1000
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
        whole = since < 0
        uids = self.states.keys() if whole else {uid for version, uid in self.history if version > since}
        named = {uid: self.states[uid] for uid in uids}
        drains = {uid for uid, state in self.states.items() if state != "up" and (whole or uid in uids)}
        await self.write_response(sock, fault, self.encode_list(self.version, whole, named, fault), drains)

    @staticmethod
    def encode_list(version: int, whole: bool, named: dict[str, str], fault: Fault | None = None) -> bytes:
        targets: list[Any] = [
            {"uid": uid, "endpoint": f"{uid}:80", "az": "z", "state": state, "boot_ms": 0}
            for uid, state in named.items()
            if not (whole and state == "removed")
        ]
        if fault is Fault.BAD_ENTRY:
            targets.insert(0, {"uid": "r0", "state": "up", "endpoint": 7})
        body = json.dumps({"rev": version, "all": whole, "targets": targets}).encode()
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
        loop, luck = self.checker.loop, self.random.random()
        if fault is Fault.LATE:
            self.fault = Fault.LOST
            loop.call_soon(loop.pass_time, 0.3)
        elif drains and luck < 0.5:
            # The loop is held with the drain unread, and requests that came meanwhile are ready with it.
            loop.call_soon(loop.pass_time, self.random.uniform(0.2, 0.5))
        elif drains and luck < 0.8 and self.checker.far_from_faults():
            # Discovery moves with the drain unread, and its new address does not answer at first.
            self.fault = Fault.LOST
            loop.call_soon(self.on_drain_written)


class FakeReplicas:
    """All replicas: they answer, turn away, break off or hang."""

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
                luck = self.random.random()
                if luck < 0.05:
                    sock.close()
                    return
                if luck < 0.1:
                    sock.send(b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
                elif luck > 0.03:
                    sock.send(STREAM_HEAD + b"".join(map(chunk, [*EVENTS, STREAM_TAIL])) + chunk(b""))


class DiscardingWriter:
    """A client that takes whatever comes."""

    has_unread_input = False

    def write(self, data: bytes) -> None:
        return None

    def finish(self) -> None: ...

    def abort(self) -> None: ...

    def reject(self, retry_after: int) -> None: ...

    def fail(self) -> None: ...


class DrainSimulation:
    """One gateway's day."""

    def __init__(self, loop: ClockedLoop, seed: int, gateways: int, faults_in_a_row: int) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.schedule = draw_schedule(self.random, faults_in_a_row)
        self.checker = DrainChecker(loop, self.schedule)
        network, timers = Network(), ControlledClock(loop)
        network.on_write = self._written
        self.discovery = FakeDiscovery(self.random, self.checker, network)
        self.replicas = FakeReplicas(self.random, network)
        index = self.random.randrange(gateways)
        self.watch = DiscoveryWatch(DISCOVERY_ADDRESSES[0], hold_duration_ms(index, gateways), network.dial)
        self.discovery.on_drain_written = partial(self.watch.change_endpoint, DISCOVERY_ADDRESSES[1])
        workers = ReplicaTransport((), SECOND, 10 * SECOND, 64, timers.now, network.dial)
        told = settings(
            classes=(RequestClass(),),
            polls_endpoint_list=self.random.random() < 0.8,
            poll_interval=10 * SECOND,
            gateway_count=gateways,
            gateway_index=index,
            hedging_allowed=True,
        )
        self.core = Core(told, seed, ReplicaSet(Identifiers(), ["z"]), timers, workers, self.watch)
        self.watch.attach(self.core)
        self.transport = workers

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
        if self.core.set_banned(uid, banned):  # a replica that is gone and forgotten can't be banned
            (self.checker.banned.add if banned else self.checker.banned.discard)(uid)

    def _submit_request(self) -> None:
        request = ClientRequest(DiscardingWriter(), 0, 3 * SECOND, "id", "POST", "/x", {"host": "h"}, b"{}")
        request.session = self.random.getrandbits(32)
        request.background = self.random.random() < 0.1  # a line of a batch
        self.core.submit(request)
