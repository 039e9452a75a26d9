"""The shares of requests answered with and without enough capacity, in a simulation of a few replicas."""

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
from tests.balancing.helpers import MS, SECOND, ready_entries, settings

REPLICAS = 6
SLOTS_PER_REPLICA = 8
PROMPT_TOKENS_PER_SECOND = 10_000.0  # A replica reads one prompt after the other at this speed.
MEAN_PROMPT_TOKENS = 1_665
MEAN_SLOT_SECONDS = 2.3  # The time for which a request occupies a slot.
CLIENT_TIMEOUT = 4 * SECOND
ALL_SESSIONS_DISTINCT = 1 << 40  # With this many sessions, none occurs twice.


class OverloadSimulation:
    """Sends requests at a steady rate for a minute, one in ten of them with a long prompt."""

    def __init__(self, load: float, seed: int, sessions: int = ALL_SESSIONS_DISTINCT) -> None:
        classes = (RequestClass(latency_objective=SECOND, latency_objective_per_token=30_000.0),)
        balancer_settings = settings(classes=classes, hedging_allowed=True, utilization_field=0)
        self.balancer, self.random_source = Balancer(balancer_settings, seed), random.Random(seed)
        self.now, self.queue = 1_000 * SECOND, list[tuple[int, int, Callable[[], None]]]()
        self.slots_in_use, self.reading_until = [0] * REPLICAS, [0] * REPLICAS
        self.prompts, self.sessions = dict[int, float](), dict[int, int]()
        self.session_count = sessions
        self.cached = dict[tuple[int, int], float]()  # Prompt tokens by replica and session.
        self.deadlines = dict[int, int]()
        self.not_served, self.answered = set[int](), set[int]()
        self.attempts = dict[int, int]()
        self._deliver(EndpointListUpdate(EndpointListKind.CACHED, ready_entries(*range(REPLICAS))))
        capacity = min(PROMPT_TOKENS_PER_SECOND / MEAN_PROMPT_TOKENS, SLOTS_PER_REPLICA / MEAN_SLOT_SECONDS)
        when, request_rate = self.now, load * REPLICAS * capacity
        while (
            when := when + int(self.random_source.expovariate(request_rate) * SECOND)
        ) < self.now + 60 * SECOND:
            self._schedule(when, self._arrive)
        while self.queue:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()

    def _schedule(self, when: int, callback: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, self.random_source.getrandbits(60), callback))

    def _arrive(self) -> None:
        number = len(self.prompts)
        is_long = self.random_source.random() < 0.1
        shortest, longest = (6_000, 12_000) if is_long else (200, 1_500)
        prompt = self.prompts[number] = self.random_source.uniform(shortest, longest)
        session = self.sessions[number] = 1 + self.random_source.randrange(self.session_count)
        self.deadlines[number], self.attempts[number] = self.now + CLIENT_TIMEOUT, 0
        self._deliver(RequestArrived(number, CLIENT_TIMEOUT, session=session, prompt_tokens=prompt))

    def _deliver(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, [event]):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self._schedule(self.now + action.delay, lambda: self._deliver(TimerFired(action.token)))
        elif isinstance(action, Reject | Fail):
            self.not_served.add(action.request)
        elif isinstance(action, SendAttempt):
            self._send(action.request, action.replica)

    def _send(self, number: int, replica: int) -> None:
        attempt, sent_at = self.attempts[number], self.now
        self.attempts[number] += 1

        def end_attempt(outcome: Outcome) -> None:
            self.slots_in_use[replica] -= outcome is not Outcome.OVERLOADED
            answered = outcome is Outcome.OK or number in self.not_served
            load_report = (self.slots_in_use[replica] / SLOTS_PER_REPLICA,)
            elapsed = self.now - sent_at
            self._deliver(AttemptEnded(number, attempt, replica, outcome, elapsed, answered, 0, load_report))

        def begin_answer() -> None:
            if number in self.not_served or self.now > self.deadlines[number]:
                return end_attempt(Outcome.TIMEOUT)
            self.answered.add(number)
            self._deliver(FirstToken(number, attempt, replica, self.now - sent_at))
            answer_time = int(self.random_source.uniform(1, 3) * SECOND)
            return self._schedule(self.now + answer_time, lambda: end_attempt(Outcome.OK))

        if self.slots_in_use[replica] >= SLOTS_PER_REPLICA:
            return self._schedule(self.now + 2 * MS, lambda: end_attempt(Outcome.OVERLOADED))
        self.slots_in_use[replica] += 1
        cache_key = replica, self.sessions[number]
        uncached = max(0.0, self.prompts[number] - self.cached.get(cache_key, 0.0))
        reading_time = int(uncached / PROMPT_TOKENS_PER_SECOND * SECOND)
        self.cached[cache_key] = self.prompts[number]
        self.reading_until[replica] = max(self.now, self.reading_until[replica]) + reading_time
        return self._schedule(self.reading_until[replica] + 5 * MS, begin_answer)

    def share_answered(self, begin: float, end: float) -> float:
        """Return the share of answered requests, among those between two quantiles of the prompt length."""
        by_length = sorted(self.prompts, key=self.prompts.__getitem__)
        selected = by_length[int(begin * len(by_length)) : int(end * len(by_length))]
        return sum(number in self.answered for number in selected) / len(selected)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_half_load_answers_all_sessions_and_long_prompts(seed: int) -> None:
    simulation = OverloadSimulation(load=0.5, seed=seed, sessions=40)
    assert simulation.share_answered(0.0, 1.0) > 0.99
    assert simulation.share_answered(0.9, 1.0) > 2 / 3 * simulation.share_answered(0.0, 1.0)
    assert {simulation.sessions[number] for number in simulation.answered} == set(
        simulation.sessions.values()
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_full_load_answers_long_prompts_at_half_the_mean_share(seed: int) -> None:
    simulation = OverloadSimulation(load=1.0, seed=seed)
    for begin, end in ((0.9, 1.0), (0.7, 0.9)):
        assert simulation.share_answered(begin, end) > simulation.share_answered(0.0, 1.0) / 2


def test_lasting_overload_answers_long_prompts_at_half_the_mean_share() -> None:
    simulations = [OverloadSimulation(load=1.5, seed=seed) for seed in (1, 2, 3)]
    for begin, end in ((0.9, 1.0), (0.7, 0.9)):
        assert all(
            simulation.share_answered(begin, end) > simulation.share_answered(0.0, 1.0) / 2
            for simulation in simulations
        )
