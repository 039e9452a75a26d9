"""Who is answered, with room for all and without: the decisions on a few simulated workers."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import pytest

from lockspoke.balancing import Balancer
from lockspoke.balancing.actions import Action, Fail, Reject, SendAttempt, SetTimer
from lockspoke.balancing.events import (
    AttemptEnded,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    FirstToken,
    Outcome,
    RequestArrived,
    TimerFired,
)
from lockspoke.balancing.settings import RequestClass
from tests.balancing.helpers import MS, SECOND, ready, settings

WORKERS, SLOTS, READ = 6, 8, 10_000.0  # a worker reads so many prompt tokens a second, one prompt at a time
DEADLINE = 4 * SECOND
ALL_NEW = 1 << 40  # sessions: so many that none comes twice


class Day:
    """Requests at a pace for a minute; one in ten has a long prompt. Each is answered or not."""

    def __init__(self, load: float, seed: int, sessions: int = ALL_NEW) -> None:
        kinds = (RequestClass(latency_objective=SECOND, latency_objective_per_token=30_000.0),)
        given = settings(classes=kinds, hedging_allowed=True, utilization_field=0)
        self.balancer, self.draw = Balancer(given, seed), random.Random(seed)
        self.now, self.queue = 1_000 * SECOND, list[tuple[int, int, Callable[[], None]]]()
        self.taken, self.read_until = [0] * WORKERS, [0] * WORKERS
        self.prompts, self.sessions = dict[int, float](), dict[int, int]()
        self.session_count = sessions
        self.cached = dict[tuple[int, int], float]()  # tokens, by worker, session
        self.deadlines = dict[int, int]()
        self.over, self.answered = set[int](), set[int]()
        self.attempts = dict[int, int]()
        self._tell(EndpointListUpdate(EndpointListKind.CACHED, ready(*range(WORKERS))))
        when, pace = self.now, load * WORKERS * min(READ / 1_665, SLOTS / 2.3)
        while (when := when + int(self.draw.expovariate(pace) * SECOND)) < self.now + 60 * SECOND:
            self._at(when, self._arrive)
        while self.queue:
            self.now, _, happens = heapq.heappop(self.queue)
            happens()

    def _at(self, when: int, happens: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, self.draw.getrandbits(60), happens))

    def _arrive(self) -> None:
        number = len(self.prompts)
        long = self.draw.random() < 0.1
        prompt = self.prompts[number] = self.draw.uniform(*((6_000, 12_000) if long else (200, 1_500)))
        session = self.sessions[number] = 1 + self.draw.randrange(self.session_count)
        self.deadlines[number], self.attempts[number] = self.now + DEADLINE, 0
        self._tell(RequestArrived(number, DEADLINE, session=session, prompt_tokens=prompt))

    def _tell(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, [event]):
            self._do(action)

    def _do(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self._at(self.now + action.delay, lambda: self._tell(TimerFired(action.token)))
        elif isinstance(action, Reject | Fail):
            self.over.add(action.request)
        elif isinstance(action, SendAttempt):
            self._send(action.request, action.replica)

    def _send(self, number: int, worker: int) -> None:
        attempt, sent = self.attempts[number], self.now
        self.attempts[number] += 1

        def end(outcome: Outcome) -> None:
            self.taken[worker] -= outcome is not Outcome.OVERLOADED
            closed, report = outcome is Outcome.OK or number in self.over, (self.taken[worker] / SLOTS,)
            self._tell(AttemptEnded(number, attempt, worker, outcome, self.now - sent, closed, 0, report))

        def first() -> None:
            if number in self.over or self.now > self.deadlines[number]:
                return end(Outcome.TIMEOUT)
            self.answered.add(number)
            self._tell(FirstToken(number, attempt, worker, self.now - sent))
            return self._at(self.now + int(self.draw.uniform(1, 3) * SECOND), lambda: end(Outcome.OK))

        if self.taken[worker] >= SLOTS:
            return self._at(self.now + 2 * MS, lambda: end(Outcome.OVERLOADED))
        self.taken[worker] += 1
        held = worker, self.sessions[number]
        reading = int(max(0.0, self.prompts[number] - self.cached.get(held, 0.0)) / READ * SECOND)
        self.cached[held] = self.prompts[number]
        self.read_until[worker] = max(self.now, self.read_until[worker]) + reading
        return self._at(self.read_until[worker] + 5 * MS, first)

    def share(self, begin: float, end: float) -> float:
        """Of the requests between two parts of them by the length of their prompts, the share answered."""
        order = sorted(self.prompts, key=self.prompts.__getitem__)
        some = order[int(begin * len(order)) : int(end * len(order))]
        return sum(number in self.answered for number in some) / len(some)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_with_room_for_all_no_session_is_refused_and_long_prompts_are_answered(seed: int) -> None:
    day = Day(load=0.5, seed=seed, sessions=40)
    assert day.share(0.0, 1.0) > 0.99
    assert day.share(0.9, 1.0) > 2 / 3 * day.share(0.0, 1.0)
    assert {day.sessions[number] for number in day.answered} == set(day.sessions.values())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_at_the_limit_the_longest_prompts_get_half_of_what_all_get(seed: int) -> None:
    day = Day(load=1.0, seed=seed)
    for begin, end in ((0.9, 1.0), (0.7, 0.9)):
        assert day.share(begin, end) > day.share(0.0, 1.0) / 2


def test_in_an_overload_that_lasts_the_longest_prompts_get_half_of_what_all_get() -> None:
    days = [Day(load=1.5, seed=seed) for seed in (1, 2, 3)]
    for begin, end in ((0.9, 1.0), (0.7, 0.9)):
        assert all(day.share(begin, end) > day.share(0.0, 1.0) / 2 for day in days)
