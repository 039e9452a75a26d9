"""Random simulations of the drain rule, with the real watch, core and transport and a simulated clock.

Discovery and the replicas are fakes, and a checker records each request that is sent.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from lockspoke.balancing.events import ReplicaState
from lockspoke.balancing.settings import RequestClass
from lockspoke.core.core import Core
from lockspoke.core.identifiers import Identifiers
from lockspoke.core.replica_set import EndpointListReplica, ReplicaListUpdate, ReplicaSet
from lockspoke.core.requests import ClientRequest
from lockspoke.units import SECOND
from lockspoke.wire.discovery.watch import DiscoveryWatch, max_wait_ms
from lockspoke.wire.replicas.transport import ReplicaTransport
from lockspoke.wire.tcp.dialing import Address
from tests.balancing.helpers import settings
from tests.clocked import Network, SimulatedClock, SimulatedTimeLoop
from tests.wire.drain_checker import DrainChecker
from tests.wire.drain_fakes import DISCOVERY_ADDRESSES, FakeDiscovery, FakeReplicas
from tests.wire.drain_schedule import DURATION, REPLICAS, draw_schedule

REQUEST_RATE = 12.0  # requests per second


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
    """One gateway that runs through the events of one schedule."""

    def __init__(self, loop: SimulatedTimeLoop, seed: int, gateways: int, faults_in_a_row: int) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.schedule = draw_schedule(self.random, faults_in_a_row)
        self.checker = DrainChecker(loop, self.schedule)
        network, clock = Network(), SimulatedClock(loop)
        network.on_write = self._written
        self.discovery = FakeDiscovery(self.random, self.checker, network)
        self.replicas = FakeReplicas(self.random, network)
        index = self.random.randrange(gateways)
        self.watch = DiscoveryWatch(DISCOVERY_ADDRESSES[0], max_wait_ms(index, gateways), network.dial)
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
        schedule, discovery = self.schedule, self.discovery
        events: list[tuple[float, Callable[[], Any]]] = []
        for at, fault in schedule.faults:
            events.append((at, partial(discovery.inject, fault)))
        for begin, end, outage in schedule.outages:
            events += [(begin, partial(discovery.begin_outage, outage)), (end, discovery.end_outage)]
        for at, uid, state in schedule.changes:
            events.append((at, partial(discovery.change, uid, state)))
        for at in schedule.endpoint_changes:
            events.append((at, partial(self.watch.change_endpoint, DISCOVERY_ADDRESSES[1])))
        for at, span in schedule.busy_periods:
            events.append((at, partial(self.loop.advance_time, span)))
        for begin, end, uid in schedule.bans:
            events += [(begin, partial(self._ban, uid, True)), (end, partial(self._ban, uid, False))]
        at = 0.0
        while (at := at + self.random.expovariate(REQUEST_RATE)) < DURATION:
            events.append((at, self._submit_request))
        return events

    def _start_core(self) -> None:
        known = tuple(
            EndpointListReplica(f"r{n}", ReplicaState.READY, (f"r{n}", 80), "z") for n in range(REPLICAS)
        )
        self.core.start()
        self.core.endpoint_list_changed(ReplicaListUpdate(1, True, known), cached=True)

    def _ban(self, uid: str, banned: bool) -> None:
        # False is returned for a removed replica that is no longer known.
        if self.core.set_banned(uid, banned):
            (self.checker.banned.add if banned else self.checker.banned.discard)(uid)

    def _submit_request(self) -> None:
        request = ClientRequest(DiscardingWriter(), 0, 3 * SECOND, "id", "POST", "/x", b"host: h\r\n", b"{}")
        request.session = self.random.getrandbits(32)
        request.background = self.random.random() < 0.1  # Like a line of a batch.
        self.core.submit(request)
