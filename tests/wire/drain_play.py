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
from lockspoke.wire.discovery.connection import GRACE as WATCH_GRACE
from lockspoke.wire.discovery.watch import DiscoveryWatch, hold_duration_ms
from lockspoke.wire.http.messages import Request
from lockspoke.wire.http.request_assembler import RequestAssembler
from lockspoke.wire.replicas.transport import ReplicaTransport
from lockspoke.wire.tcp.dialing import Address
from tests.balancing.helpers import settings
from tests.clocked import ClockedLoop, ControlledClock, Network, Reachability
from tests.standins import EVENTS, STREAM_HEAD, STREAM_TAIL, chunk

SECOND = 1_000_000_000
GRACE = 0.25  # seconds after a change is told
LATEST = 6.0  # seconds after discovery had a change and could be reached
DAY = 45.0  # seconds
REPLICAS = 6
PACE = 12.0  # requests a second
HOMES: tuple[Address, ...] = (("discovery-1", 80), ("discovery-2", 80))


class Fault(Enum):
    """What may befall discovery once: the next request, or all that are open."""

    MUTE = auto()  # what is open falls silent, and stays open
    RESET = auto()  # what is open is closed
    UNAVAILABLE = auto()  # the next request gets a 503
    LOST = auto()  # the next request never gets an answer
    HALF = auto()  # the next answer stops in its middle
    IN_PIECES = auto()  # the next answer's second half comes late
    BAD_ENTRY = auto()  # the next answer holds an entry that can't be read
    OLD = auto()  # the next answer is the list as it was at the beginning
    LATE = auto()  # the next answer comes just before its time is over, and the one after it is lost


class Outage(Enum):
    """Why discovery can't be reached for a while."""

    REFUSES = auto()
    NEVER_COMES_UP = auto()
    SILENT = auto()
    UNAVAILABLE = auto()
    RESETS = auto()


@dataclass
class Schedule:
    """What happens on one day; times in seconds from its start."""

    outages: list[tuple[float, float, Outage]] = field(default_factory=list)
    faults: list[tuple[float, Fault]] = field(default_factory=list)
    moves: list[float] = field(default_factory=list)
    holds: list[tuple[float, float]] = field(default_factory=list)  # the loop is busy: when, for how long
    changes: list[tuple[float, str, str]] = field(default_factory=list)  # when, uid, state
    bans: list[tuple[float, float, str]] = field(default_factory=list)  # from when to when, uid


def draw(random_: random.Random, faults_in_a_row: int) -> Schedule:
    """A day's schedule: so many faults within the latest time, the end of an outage being one, then quiet.

    With one, the start counts as it: hundreds of gateways that start ask in turn.
    """
    day, now = Schedule(), random_.uniform(0.0, 4.0) + (LATEST if faults_in_a_row == 1 else 0.0)
    while now < DAY - 10:
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
        now += LATEST + 2.5
    day.moves = [random_.uniform(5, DAY) for _ in range(random_.choice((0, 0, 1)))]
    day.holds = [(random_.uniform(0, DAY), random_.uniform(0.05, 0.3)) for _ in range(6)]
    times = [at for at, _ in day.faults] + [end for _, end, _ in day.outages] + day.moves + [0.0]
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


class Judge:
    """The rule, by its own account."""

    def __init__(self, loop: ClockedLoop, schedule: Schedule) -> None:
        self.loop = loop
        self.start = loop.time()
        self.schedule = schedule
        self.made: dict[str, float] = {}  # by uid, when the drain in force was made; as far as it is no more
        self.written: dict[str, float] = {}  # and when it was written to the gateway first
        self.banned: set[str] = set()
        self.sends = 0
        self.broken: list[str] = []

    def now(self) -> float:
        return self.loop.time() - self.start

    def quiet(self) -> bool:
        """Whether no fault of the schedule is near."""
        day = self.schedule
        times = [at for at, _ in day.faults] + [at for begin, end, _ in day.outages for at in (begin, end)]
        return all(abs(at - self.now()) > LATEST + 2 for at in times)

    def change(self, uid: str, state: str) -> None:
        self.written.pop(uid, None)
        if state == "up":
            self.made.pop(uid, None)
        else:
            self.made[uid] = self.now()

    def wrote(self, uids: set[str]) -> None:
        """An answer that holds the drains of these replicas has been written whole."""
        for uid in uids & self.made.keys():
            self.written.setdefault(uid, self.now())

    def told_at(self, uid: str) -> float:
        """When the drain in force counts as told."""
        reached = max(self.made[uid], 0.0)
        for begin, end, _ in self.schedule.outages:
            if begin < reached + LATEST and end > reached:
                reached = end
        return min(reached + LATEST, self.written.get(uid, float("inf")))

    def sent(self, uid: str) -> None:
        self.sends += 1
        if uid in self.banned:
            self.broken.append(f"{uid} sent to at {self.now():.3f}: an operator has taken it out of use")
        if uid in self.made and self.now() > (told := self.told_at(uid)) + GRACE:
            made, written = self.made[uid], self.written.get(uid)
            self.broken.append(f"{uid} sent to at {self.now():.3f}: {made=:.3f} {written=} told={told:.3f}")


class Connections:
    """The connections that a stand-in has taken, and a task for each."""

    def __init__(self) -> None:
        self.open: dict[socket.socket, asyncio.Task[None]] = {}

    def serve(self, sock: socket.socket, served: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(served)
        self.open[sock] = task
        task.add_done_callback(lambda _: self.open.pop(sock, None))

    def mute(self) -> None:
        """Nothing more is written; the connections stay open."""
        for task in self.open.values():
            task.cancel()

    def reset(self) -> None:
        for sock, task in list(self.open.items()):
            task.cancel()
            sock.close()


async def requests(sock: socket.socket) -> Any:
    """The requests that come on a connection, one by one."""
    loop, gatherer = asyncio.get_running_loop(), RequestAssembler()
    with contextlib.suppress(OSError):
        while data := await loop.sock_recv(sock, 65536):
            for request in gatherer.feed(data):
                yield request


class Discovery:
    """Discovery at any of its addresses."""

    def __init__(self, random_: random.Random, judge: Judge, network: Network) -> None:
        self.random = random_
        self.judge = judge
        self.network = network
        self.connections = Connections()
        self.muted: list[socket.socket] = []  # kept, so that they stay open
        self.version = 1
        self.states = {f"r{n}": "up" for n in range(REPLICAS)}
        self.history: list[tuple[int, str]] = []  # version and uid of each change
        self.changed = asyncio.Event()
        self.fault: Fault | None = None  # of the next request
        self.on_move: Callable[[], None] = lambda: None
        self.outage: Outage | None = None
        for home in HOMES:
            network.services[home] = self.take

    def take(self, sock: socket.socket) -> None:
        self.connections.serve(sock, self.serve(sock))

    def change(self, uid: str, state: str) -> None:
        self.judge.change(uid, state)
        self.states[uid] = state
        self.version += 1
        self.history.append((self.version, uid))
        self.changed.set()
        self.changed = asyncio.Event()

    def begin(self, outage: Outage) -> None:
        self.outage = outage
        reach = {Outage.REFUSES: Reachability.REFUSES, Outage.NEVER_COMES_UP: Reachability.NEVER_COMES_UP}
        for home in HOMES:
            self.network.reachability[home] = reach.get(outage, Reachability.UP)
        if outage in (Outage.NEVER_COMES_UP, Outage.SILENT):
            self.muted += self.connections.open
            self.connections.mute()
        else:
            self.connections.reset()

    def end(self) -> None:
        self.outage = None
        self.network.reachability.clear()

    def befall(self, fault: Fault) -> None:
        if fault is Fault.MUTE:
            self.muted += self.connections.open
            self.connections.mute()
        elif fault is Fault.RESET:
            self.connections.reset()
        else:
            self.fault = fault

    async def serve(self, sock: socket.socket) -> None:
        async for request in requests(sock):
            if self.outage is Outage.SILENT:
                await asyncio.Event().wait()
            if self.outage is Outage.RESETS:
                sock.close()
                return
            if self.outage is Outage.UNAVAILABLE:
                sock.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                continue
            with contextlib.suppress(OSError):
                await self.answer(sock, request)

    async def answer(self, sock: socket.socket, request: Request) -> None:
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
        if fault is Fault.OLD:
            named = dict.fromkeys(self.states, "up")
            await self.write(sock, fault, self.listed(1, True, named), set())
            return
        if fault is Fault.LATE:
            await asyncio.sleep(WATCH_GRACE - 0.1)
        whole = since < 0
        uids = self.states.keys() if whole else {uid for version, uid in self.history if version > since}
        named = {uid: self.states[uid] for uid in uids}
        drains = {uid for uid, state in self.states.items() if state != "up" and (whole or uid in uids)}
        await self.write(sock, fault, self.listed(self.version, whole, named, fault), drains)

    @staticmethod
    def listed(version: int, whole: bool, named: dict[str, str], fault: Fault | None = None) -> bytes:
        targets: list[Any] = [
            {"uid": uid, "endpoint": f"{uid}:80", "az": "z", "state": state, "boot_ms": 0}
            for uid, state in named.items()
            if not (whole and state == "removed")
        ]
        if fault is Fault.BAD_ENTRY:
            targets.insert(0, {"uid": "r0", "state": "up", "endpoint": 7})
        body = json.dumps({"rev": version, "all": whole, "targets": targets}).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    async def write(self, sock: socket.socket, fault: Fault | None, data: bytes, drains: set[str]) -> None:
        if fault in (Fault.HALF, Fault.IN_PIECES):
            half = len(data) // 2
            sock.send(data[:half])
            if fault is Fault.HALF:
                await asyncio.Event().wait()
            await asyncio.sleep(0.8)
            data = data[half:]
        sock.send(data)
        self.judge.wrote(drains)
        loop, luck = self.judge.loop, self.random.random()
        if fault is Fault.LATE:
            self.fault = Fault.LOST
            loop.call_soon(loop.pass_time, 0.3)
        elif drains and luck < 0.5:
            # The loop is held with the drain unread, and requests that came meanwhile are ready with it.
            loop.call_soon(loop.pass_time, self.random.uniform(0.2, 0.5))
        elif drains and luck < 0.8 and self.judge.quiet():
            # Discovery moves with the drain unread, and its new address does not answer at first.
            self.fault = Fault.LOST
            loop.call_soon(self.on_move)


class Replicas:
    """All replicas: they answer, turn away, break off or hang."""

    def __init__(self, random_: random.Random, network: Network) -> None:
        self.random = random_
        self.connections = Connections()
        for n in range(REPLICAS):
            network.services[f"r{n}", 80] = self.take

    def take(self, sock: socket.socket) -> None:
        self.connections.serve(sock, self.serve(sock))

    async def serve(self, sock: socket.socket) -> None:
        async for _ in requests(sock):
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


class Answer:
    """A client that takes whatever comes."""

    has_unread_input = False

    def write(self, data: bytes) -> None:
        return None

    def finish(self) -> None: ...

    def abort(self) -> None: ...

    def reject(self, retry_after: int) -> None: ...

    def fail(self) -> None: ...


class Play:
    """One gateway's day."""

    def __init__(self, loop: ClockedLoop, seed: int, gateways: int, faults_in_a_row: int) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.schedule = draw(self.random, faults_in_a_row)
        self.judge = Judge(loop, self.schedule)
        network, timers = Network(), ControlledClock(loop)
        network.on_write = self._written
        self.discovery = Discovery(self.random, self.judge, network)
        self.replicas = Replicas(self.random, network)
        index = self.random.randrange(gateways)
        self.watch = DiscoveryWatch(HOMES[0], hold_duration_ms(index, gateways), network.dial)
        self.discovery.on_move = partial(self.watch.move, HOMES[1])
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
        self.watch.core = self.core
        self.workers = workers

    def _written(self, endpoint: Address, data: bytes) -> None:
        if endpoint not in HOMES:
            self.judge.sent(endpoint[0])

    async def run(self) -> Judge:
        for at, event in self._events():
            if at <= 0.0:
                event()
            else:
                self.loop.call_later(at, event)
        self._start()
        await asyncio.sleep(DAY + 5)
        self.watch.close()
        self.workers.close()
        return self.judge

    def _events(self) -> list[tuple[float, Callable[[], Any]]]:
        day, discovery = self.schedule, self.discovery
        events: list[tuple[float, Callable[[], Any]]] = []
        for at, fault in day.faults:
            events.append((at, partial(discovery.befall, fault)))
        for begin, end, outage in day.outages:
            events += [(begin, partial(discovery.begin, outage)), (end, discovery.end)]
        for at, uid, state in day.changes:
            events.append((at, partial(discovery.change, uid, state)))
        for at in day.moves:
            events.append((at, partial(self.watch.move, HOMES[1])))
        for at, span in day.holds:
            events.append((at, partial(self.loop.pass_time, span)))
        for begin, end, uid in day.bans:
            events += [(begin, partial(self._ban, uid, True)), (end, partial(self._ban, uid, False))]
        at = 0.0
        while (at := at + self.random.expovariate(PACE)) < DAY:
            events.append((at, self._ask))
        return events

    def _start(self) -> None:
        known = tuple(ListedReplica(f"r{n}", ReplicaState.READY, (f"r{n}", 80), "z") for n in range(REPLICAS))
        self.core.start()
        self.core.endpoint_list_changed(ReplicaListUpdate(1, True, known), cached=True)

    def _ban(self, uid: str, banned: bool) -> None:
        if self.core.set_banned(uid, banned):  # a replica that is gone and forgotten can't be banned
            (self.judge.banned.add if banned else self.judge.banned.discard)(uid)

    def _ask(self) -> None:
        request = ClientRequest(Answer(), 0, 3 * SECOND, "id", "POST", "/x", {"host": "h"}, b"{}")
        request.session = self.random.getrandbits(32)
        request.background = self.random.random() < 0.1  # a line of a batch
        self.core.submit(request)
