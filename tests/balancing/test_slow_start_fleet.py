"""The work that all gateways together send to a replica in slow start, in a simulated fleet.

A replica in slow start is overloaded if it gets more than N + 2 * sqrt(N) + 2 requests of mean work within
the overload duration, where N is the number that the settings allow at its age. The gateways are at fault if
more than two thirds of the work came from gateways that had been notified of the replica's start. Gateways
do not communicate, so only the sum of their work can be checked. For N below 30, operators allow a margin of
3 * sqrt(N) + 3; these tests apply the smaller margin to every N.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import pytest

from lockspoke.balancing import Balancer
from lockspoke.balancing.actions import Action, SendAttempt
from lockspoke.balancing.events import (
    AttemptEnded,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    FirstToken,
    Outcome,
    RequestArrived,
)
from lockspoke.balancing.tracked import ANSWER_TOKENS
from tests.balancing.helpers import MS, SECOND, ready_entries, settings

REPLICAS = range(1, 21)
REQUEST_RATE = 60.0  # Requests per second at all gateways together.
REPLICA_START = 20 * SECOND  # Relative to `START`.
DURATION = 36 * SECOND
START = 1_000 * SECOND
MEAN_PROMPT_TOKENS = 3_000.0


@dataclass(frozen=True)
class SlowStartSend:
    """One request sent to a replica in slow start."""

    sent_at: int
    work: float  # In multiples of the mean request.
    gateway_notified: bool  # Whether the gateway knew of the replica's start.


@dataclass(frozen=True)
class FleetScenario:
    """A fleet, its traffic and its events."""

    gateway_count: int
    starting_replicas: tuple[int, ...] = (7,)
    uneven_traffic: bool = False  # Some gateways get far more requests than others.
    heavy_tailed_prompts: bool = False  # A few prompts hold most of the tokens.
    notified_within: int = 0  # The endpoint list reaches all gateways within this time.
    restarted_share: float = 0.0  # The share of gateways that restart when they are notified.


class FleetSimulation:
    """Runs a scenario and records the work that was sent to each replica in slow start."""

    def __init__(self, scenario: FleetScenario, seed: int) -> None:
        self.scenario, self.random_source = scenario, random.Random(seed)
        self.settings = settings(
            slow_start_initial_share=0.13,
            slow_start_duration=24 * SECOND,
            overload_duration=1_500 * MS,
            gateway_count=scenario.gateway_count,
        )
        self.gateways = [self._start_gateway(index, seed) for index in range(scenario.gateway_count)]
        self.now, self.last_request, self.queue = START, 0, list[tuple[int, int, Callable[[], None]]]()
        self.sent: dict[int, list[SlowStartSend]] = {number: [] for number in scenario.starting_replicas}
        self.notified = set[int]()
        weights = [
            self.random_source.paretovariate(0.8) if scenario.uneven_traffic else 1.0 for _ in self.gateways
        ]
        when = START
        while (when := when + int(self.random_source.expovariate(REQUEST_RATE) * SECOND)) < START + DURATION:
            gateway = self.random_source.choices(range(scenario.gateway_count), weights)[0]
            self._schedule(when, lambda gateway=gateway: self._arrive(gateway))  # type: ignore[misc]
        for index in range(scenario.gateway_count):
            delay = int(self.random_source.random() * scenario.notified_within)
            self._schedule(START + REPLICA_START + delay, self._notification(index, seed))
        while self.queue:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()

    def _schedule(self, when: int, callback: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, self.random_source.getrandbits(60), callback))

    def _start_gateway(self, index: int, seed: int) -> Balancer:
        gateway = Balancer(replace(self.settings, gateway_index=index), seed * 10_007 + index)
        gateway.handle(START, [EndpointListUpdate(EndpointListKind.CACHED, ready_entries(*REPLICAS))])
        return gateway

    def _notification(self, index: int, seed: int) -> Callable[[], None]:
        def notify() -> None:
            if self.random_source.random() < self.scenario.restarted_share:
                self.gateways[index] = self._start_gateway(index, seed + 1)
            self.notified.add(index)
            started = ready_entries(*self.scenario.starting_replicas, started_at=START + REPLICA_START)
            self._deliver(index, EndpointListUpdate(EndpointListKind.DELTA, started))

        return notify

    def _arrive(self, gateway: int) -> None:
        self.last_request += 1
        sigma = 1.3 if self.scenario.heavy_tailed_prompts else 0.2
        prompt = MEAN_PROMPT_TOKENS * self.random_source.lognormvariate(-sigma * sigma / 2, sigma)
        self._deliver(gateway, RequestArrived(self.last_request, 10 * SECOND, prompt_tokens=prompt), prompt)

    def _deliver(self, gateway: int, event: Event, prompt: float = 0.0) -> None:
        for action in self.gateways[gateway].handle(self.now, [event]):
            self._carry_out(gateway, action, prompt)

    def _carry_out(self, gateway: int, action: Action, prompt: float) -> None:
        if not isinstance(action, SendAttempt):
            return
        request, replica, sent_at, balancer = action.request, action.replica, self.now, self.gateways[gateway]
        if replica in self.sent and self.now >= START + REPLICA_START:
            work = (prompt + ANSWER_TOKENS) / (MEAN_PROMPT_TOKENS + ANSWER_TOKENS)
            self.sent[replica].append(SlowStartSend(self.now, work, gateway in self.notified))

        def deliver_unless_restarted(event: Event) -> None:
            if self.gateways[gateway] is balancer:  # Otherwise the gateway was restarted in the meantime.
                self._deliver(gateway, event)

        first_token = FirstToken(request, 0, replica, 100 * MS)
        ended = AttemptEnded(request, 0, replica, Outcome.OK, SECOND, request_answered=True)
        self._schedule(sent_at + 100 * MS, lambda: deliver_unless_restarted(first_token))
        self._schedule(sent_at + SECOND, lambda: deliver_unless_restarted(ended))

    def overloads(self) -> list[float]:
        """Return the work in each window that overloaded a replica, relative to the work allowed there."""
        overloads = []
        for sends in self.sent.values():
            for first in sends:
                end = first.sent_at + self.settings.overload_duration
                window = [send for send in sends if first.sent_at <= send.sent_at < end]
                work = sum(send.work for send in window)
                notified_work = sum(send.work for send in window if send.gateway_notified)
                allowed = self._allowed_work(first.sent_at)
                if notified_work > work * 2 / 3 and work > allowed:
                    overloads.append(work / allowed)
        return overloads

    def _allowed_work(self, when: int) -> float:
        capacity_share = 0.13 + 0.87 * (when - START - REPLICA_START) / self.settings.slow_start_duration
        requests_per_replica = REQUEST_RATE / len(REPLICAS) * self.settings.overload_duration / SECOND
        allowed = self.settings.overload_multiple * capacity_share * requests_per_replica
        return allowed + 2 * math.sqrt(allowed) + 2


GATEWAY_COUNTS = [1, 2, 5, 25, 200, 1024]


@pytest.mark.parametrize("gateway_count", GATEWAY_COUNTS)
@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"uneven_traffic": True},
        {"heavy_tailed_prompts": True},
        {"notified_within": 3 * SECOND},
        {"restarted_share": 0.5},
        {
            "uneven_traffic": True,
            "heavy_tailed_prompts": True,
            "notified_within": 3 * SECOND,
            "restarted_share": 1.0,
        },
        {"starting_replicas": tuple(REPLICAS[:12])},
        {"starting_replicas": tuple(REPLICAS), "restarted_share": 0.7},
    ],
    ids=lambda changes: "-".join(changes) or "even",
)
def test_fleet_overloads_no_replica_in_slow_start(gateway_count: int, changes: dict[str, object]) -> None:
    simulation = FleetSimulation(FleetScenario(gateway_count=gateway_count, **changes), seed=gateway_count)  # type: ignore[arg-type]
    assert simulation.overloads() == []
    assert any(simulation.sent.values()), "replicas in slow start get some of the work"
