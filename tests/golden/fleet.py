"""A seeded, simulated fleet: clients and replicas that react to the actions of one instance.

Events and actions are rows (see `decision_codec.py`): it does not depend on the types of the balancer.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

Row = list[Any]

MS = 1_000_000
SECOND = 1_000 * MS
OK, ERROR, OVERLOADED, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NEVER_SENT, INVALID_REQUEST = range(9)
DELTA, FULL, CACHED, FAILED = range(4)
REMOVED, READY, DRAINING = range(3)
FAULTS = ("unreachable", "resetting", "failing", "slow", "rejects slowly", "finds requests invalid")


@dataclass(frozen=True)
class Traffic:
    """The properties of a fleet and its clients."""

    classes: int = 1
    tenants: int = 0
    zones: int = 1
    replicas: int = 6
    slots: int = 8  # of each replica
    rate: float = 30.0  # requests per second; three times as many in the middle third
    duration: int = 12 * SECOND
    report_size: int = 0  # numbers in a load report; the last is the utilization
    polls_endpoint_list: bool = False
    full_interface: bool = False  # also events that the simulator's protocol cannot carry
    crashes: bool = False  # events that make the balancer raise an exception
    without_faults: bool = False


@dataclass
class Replica:
    number: int
    zone: int
    cell: int
    machine_kind: int
    weight: float
    state: int = READY
    started_at: int = 0
    fault: str = ""
    in_flight: int = 0
    cached: set[int] = field(default_factory=set)

    def entry(self) -> Row:
        place = (self.number, self.state, self.zone, self.cell)
        return [*place, self.weight, self.started_at, self.machine_kind]


@dataclass
class Request:
    arrived: Row
    deadline: int
    attempts: int = 0
    is_answered: bool = False  # the client has its final answer or has disconnected


class Fleet:
    """Produces the events of one instance and reacts to its actions."""

    def __init__(self, traffic: Traffic, seed: int, start: int) -> None:
        self.traffic = traffic
        self.random = random.Random(seed)
        self.start = start
        self.end = start + traffic.duration
        self.queue: list[tuple[int, int, Callable[[int], list[Row]]]] = []
        self.serial = 0
        self.requests: dict[int, Request] = {}
        self.next_request = self.random.randrange(1, 1 << 30)
        self.replicas: dict[int, Replica] = {}
        self.watching = not traffic.polls_endpoint_list
        for _ in range(traffic.replicas):
            self._add_replica(0)
        self._schedule(start, lambda now: [self._list(CACHED if traffic.polls_endpoint_list else FULL)])
        self._schedule(start + MS, self._arrive)
        self._schedule(start + 500 * MS, self._change_fleet)

    # Time

    def next_time(self) -> int | None:
        return self.queue[0][0] if self.queue else None

    def due(self, now: int) -> list[Row]:
        rows: list[Row] = []
        while self.queue and self.queue[0][0] <= now:
            when, _, callback = heapq.heappop(self.queue)
            rows += callback(when)
        return rows

    def _schedule(self, when: int, callback: Callable[[int], list[Row]]) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (when, self.serial, callback))

    # Clients

    def _arrive(self, now: int) -> list[Row]:
        if now >= self.end:
            return []
        third = 3 * (now - self.start) // self.traffic.duration
        rate = self.traffic.rate * (3.0 if third == 1 else 1.0)
        self._schedule(now + int(self.random.expovariate(rate) * SECOND) + 1, self._arrive)
        return self._request_row(now, retry=False)

    def _request_row(self, now: int, retry: bool) -> list[Row]:
        draw, traffic = self.random, self.traffic
        number, self.next_request = self.next_request, self.next_request + 1
        time_remaining = draw.choice((300 * MS, 2 * SECOND, 5 * SECOND, 5 * SECOND))
        session = draw.choice((0, draw.randrange(1, 40), draw.randrange(1, 1 << 63)))
        prefix = draw.choice((0, 1_000_003 * draw.randrange(1, 6)))
        prompt = float(int(draw.lognormvariate(6.5, 1.2)))
        prefix_tokens = float(int(prompt * draw.random())) if prefix else 0.0
        request_class, tenant = draw.randrange(traffic.classes), draw.randrange(max(1, traffic.tenants))
        cost_hint = draw.choice((0, 5 * MS))
        max_tokens = float(draw.randrange(16, 400))
        row = [
            "arrived",
            number,
            time_remaining,
            request_class,
            tenant,
            session,
            prefix,
            prompt,
            prefix_tokens,
            max_tokens,
        ]
        row += [cost_hint, retry]
        self.requests[number] = Request(row, now + time_remaining)
        if draw.random() < 0.05:
            self._schedule(now + draw.randrange(1, 3 * SECOND), lambda when: self._disconnect_client(number))
        return [row]

    def _disconnect_client(self, number: int) -> list[Row]:
        if self.requests[number].is_answered:
            return []
        self.requests[number].is_answered = True
        return [["client_left", number]]

    # Actions

    def apply(self, now: int, actions: list[Row]) -> None:
        for row in actions:
            match row:
                case ["send", number, replica, *_]:
                    self._send(now, number, replica)
                case ["reject", number, retry_after]:
                    self.requests[number].is_answered = True
                    if now < self.end and self.random.random() < 0.4:
                        self._schedule(now + retry_after, lambda when: self._request_row(when, retry=True))
                case ["fail", number]:
                    self.requests[number].is_answered = True
                case ["timer", delay, token]:
                    self._schedule(now + delay, partial(self._timer, token))
                case ["watch", enable]:
                    if enable:
                        self._schedule(now + self.random.randrange(5 * MS, 80 * MS), self._watch_answer)

    @staticmethod
    def _timer(token: int, when: int) -> list[Row]:
        return [["timer", token]]

    def _send(self, now: int, number: int, replica_number: int) -> None:
        draw, request, replica = self.random, self.requests[number], self.replicas[replica_number]
        attempt, request.attempts = request.attempts, request.attempts + 1
        replica.in_flight += 1

        def ends(outcome: int, delay: int, streaming: bool = False) -> None:
            def occur(when: int) -> list[Row]:
                return self._ended(request, attempt, replica, outcome, when - now, streaming)

            self._schedule(now + delay, occur)

        chance = draw.random()
        if request.is_answered:
            ends(NEVER_SENT, 0)
        elif (failed := self._outcome_of_fault(replica, chance)) is not None:
            ends(*failed)
        elif replica.in_flight > self.traffic.slots:
            ends(OVERLOADED, draw.randrange(MS, 5 * MS))
        elif self.traffic.full_interface and (number % 23 == 0 or replica.fault == "finds requests invalid"):
            ends(INVALID_REQUEST, draw.randrange(2 * MS, 30 * MS))
        elif chance < 0.01:
            ends(CANCELLED, draw.randrange(MS, 100 * MS))
        elif chance < 0.02:
            ends(NEVER_SENT, draw.randrange(0, 5 * MS))
        else:
            self._serve(now, request, attempt, replica, ends)

    def _outcome_of_fault(self, replica: Replica, chance: float) -> tuple[int, int] | None:
        """Return the outcome that a replica's fault leads to, and after how many nanoseconds."""
        draw = self.random
        if replica.state == REMOVED or replica.fault == "unreachable":
            return CONNECT_FAILED, draw.choice((MS, 400 * MS))
        if replica.fault == "resetting":
            return RESET, draw.randrange(5 * MS, 200 * MS)
        if replica.fault == "failing" and chance < 0.8:
            return ERROR, draw.randrange(5 * MS, 50 * MS)
        if replica.fault == "rejects slowly":
            return OVERLOADED, draw.randrange(120 * MS, 600 * MS)
        return None

    def _serve(
        self, now: int, request: Request, attempt: int, replica: Replica, ends: Callable[..., None]
    ) -> None:
        draw, row = self.random, request.arrived
        session, prefix, prompt, prefix_tokens, max_tokens = row[5:10]
        uncached = prompt if session not in replica.cached else 0.1 * prompt
        uncached -= prefix_tokens if prefix in replica.cached and uncached > prefix_tokens else 0.0
        replica.cached |= {session, prefix}
        slowness = (1.0 + 3.0 * replica.in_flight / self.traffic.slots) / replica.weight
        slowness *= 12.0 if replica.fault == "slow" else 1.0
        first_token_after = int((10 * MS + uncached * 40_000) * slowness * draw.uniform(0.7, 1.5))
        end_after = first_token_after + int(max_tokens * draw.random() * 2 * MS * slowness)
        if now + first_token_after >= request.deadline:
            ends(TIMEOUT, max(0, request.deadline - now))
            return
        if draw.random() < 0.1:  # a short answer: its first token is not reported
            ends(OK, first_token_after)
            return

        def first_token(when: int) -> list[Row]:
            rows = [["first_token", row[1], attempt, replica.number, when - now]]
            return rows * 2 if draw.random() < 0.01 else rows

        self._schedule(now + first_token_after, first_token)
        outcome = draw.choice((ERROR, RESET, CANCELLED)) if draw.random() < 0.03 else OK
        ends(outcome, end_after, streaming=True)

    def _ended(
        self, request: Request, attempt: int, replica: Replica, outcome: int, elapsed: int, streaming: bool
    ) -> list[Row]:
        draw, prompt = self.random, request.arrived[7]
        request.is_answered = request.is_answered or streaming or outcome == OK
        utilization = min(1.0, replica.in_flight / self.traffic.slots)
        replica.in_flight -= 1
        load_report: list[float] = []
        if self.traffic.report_size and outcome in (OK, OVERLOADED, ERROR) and draw.random() < 0.8:
            load_report = [float(draw.randrange(9)) for _ in range(self.traffic.report_size - 1)] + [
                utilization
            ]
        if load_report and self.traffic.crashes and draw.random() < 0.01:
            load_report.pop()
        cached = int(prompt * draw.random()) if outcome == OK and draw.random() < 0.5 else 0
        reused = self.traffic.full_interface and outcome in (OK, RESET, ERROR) and draw.random() < 0.6
        number = request.arrived[1]
        ended = [
            "ended",
            number,
            attempt,
            replica.number,
            outcome,
            elapsed,
            request.is_answered,
            cached,
            load_report,
        ]
        rows = [[*ended, reused]]
        return rows * 2 if draw.random() < 0.01 else rows

    # The endpoint list and the faults

    def _add_replica(self, started_at: int) -> Replica:
        draw, number = self.random, 100 + 7 * len(self.replicas)
        zone, cell = draw.randrange(self.traffic.zones), draw.randrange(3)
        weight = draw.choice((0.5, 1.0, 1.0, 2.0))
        replica = Replica(number, zone, cell, draw.randrange(2), weight, started_at=started_at)
        self.replicas[number] = replica
        return replica

    def _list(self, kind: int, entries: list[Row] | None = None, completes_poll: bool = True) -> Row:
        if entries is None:
            entries = [replica.entry() for replica in self.replicas.values() if replica.state != REMOVED]
        return ["list", kind, entries, completes_poll]

    def _watch_answer(self, now: int) -> list[Row]:
        chance = self.random.random()
        if chance < 0.1:
            return []
        if chance < 0.4:
            return [self._list(FAILED, [])]
        self.watching = True
        return [self._list(FULL)]

    def _list_change(self, replica: Replica) -> list[Row]:
        return [self._list(DELTA, [replica.entry()])] if self.watching else []

    def _change_fleet(self, now: int) -> list[Row]:
        if now >= self.end:
            return []
        draw = self.random
        self._schedule(now + draw.randrange(100 * MS, 700 * MS), self._change_fleet)
        replica = draw.choice(list(self.replicas.values()))
        changes = [
            self._drain,
            self._restart,
            self._remove,
            self._start_replica,
            self._change_weight,
            self._send_list,
            self._send_list,
        ]
        changes += [self._unmatched_event, self._unmatched_event] + [self._fault] * (
            0 if self.traffic.without_faults else 6
        )
        return draw.choice(changes)(now, replica)

    def _fault(self, now: int, replica: Replica) -> list[Row]:
        replica.fault = self.random.choice(FAULTS)

        def recovers(when: int) -> list[Row]:
            replica.fault = ""
            return []

        self._schedule(now + self.random.randrange(SECOND, 6 * SECOND), recovers)
        return []

    def _drain(self, now: int, replica: Replica) -> list[Row]:
        replica.state = DRAINING
        self._schedule(now + SECOND, lambda when: self._restart(when, replica))
        return self._list_change(replica)

    def _restart(self, now: int, replica: Replica) -> list[Row]:
        replica.state, replica.started_at, replica.cached = READY, now, set()
        return self._list_change(replica)

    def _remove(self, now: int, replica: Replica) -> list[Row]:
        if sum(one.state == READY for one in self.replicas.values()) > 2:
            replica.state = REMOVED
            self._schedule(now + 3 * SECOND, lambda when: self._restart(when, replica))
        return self._list_change(replica)

    def _start_replica(self, now: int, replica: Replica) -> list[Row]:
        return self._list_change(self._add_replica(now) if len(self.replicas) < 40 else replica)

    def _change_weight(self, now: int, replica: Replica) -> list[Row]:
        replica.weight = self.random.choice((0.25, 0.5, 1.0, 2.0))
        return self._list_change(replica)

    def _send_list(self, now: int, replica: Replica) -> list[Row]:
        if self.traffic.full_interface and self.random.random() < 0.5:
            return [self._list(DELTA, [replica.entry()], completes_poll=False)]
        kind = self.random.choice((FULL, CACHED, FAILED))
        if kind == FAILED:
            self.watching = not self.traffic.polls_endpoint_list
        return [self._list(kind, [] if kind == FAILED else None)]

    def _unmatched_event(self, now: int, replica: Replica) -> list[Row]:
        """Return an event of a request, attempt or timer that does not exist."""
        draw = self.random
        known = draw.choice(list(self.requests)) if self.requests else 5
        unmatched: list[Row] = [
            ["ended", 4_000_000_000, 0, replica.number, draw.randrange(8), MS, True, 0, [], False],
            ["ended", known, 60, replica.number, OK, MS, True, 0, [], False],
            ["first_token", known, 60, replica.number, MS],
            ["first_token", 4_000_000_000, 0, replica.number, MS],
            ["client_left", 4_000_000_000],
            ["timer", draw.randrange(1 << 31)],
        ]
        if self.traffic.crashes:
            arrived = ["arrived", 4_000_000_001, SECOND, 999, 0, 0, 0, 10.0, 0.0, 10.0, 0, False]
            unmatched += [arrived, arrived]
        return [draw.choice(unmatched)]
