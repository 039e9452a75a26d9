"""A simulated environment for one balancer, which checks the invariants of requests on every action."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from lockspoke.balancing.actions import Action, Fail, Reject, SendAttempt, SetTimer
from lockspoke.balancing.balancer import Balancer
from lockspoke.balancing.events import (
    AttemptEnded,
    EarlierRun,
    EndpointListEntry,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    FirstToken,
    Outcome,
    ReplicaState,
    RequestArrived,
    TimerFired,
)
from lockspoke.balancing.settings import BalancerSettings, DeduplicationScope, Idempotency, RequestClass

MS = 1_000_000
SECOND = 1_000 * MS
ANSWER_TOLERANCE = 20 * MS
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT)


def settings(**overrides: Any) -> BalancerSettings:
    defaults: dict[str, Any] = {
        "classes": (RequestClass(latency_objective=SECOND),),
        "max_attempts": 3,
        "hedging_allowed": False,
        "slow_start_initial_share": 0.2,
        "slow_start_duration": 10 * SECOND,
        "overload_multiple": 3.0,
        "overload_duration": 2 * SECOND,
    }
    return BalancerSettings(**(defaults | overrides))


def ready_entries(*numbers: int, **overrides: Any) -> tuple[EndpointListEntry, ...]:
    return tuple(EndpointListEntry(replica=number, **overrides) for number in numbers)


class SentAttempt(NamedTuple):
    """One attempt that the balancer sent."""

    replica: int
    sent_at: int


@dataclass
class ClientRequest:
    """One request as the client and the replicas see it."""

    arrived: RequestArrived
    request_class: RequestClass
    deadline: int
    attempts: list[SentAttempt] = field(default_factory=list)
    outcomes: dict[int, Outcome] = field(default_factory=dict)
    is_streaming: bool = False
    final_answer: str = ""  # The name of the action that answered it; empty while it has no final answer.


class BalancerHarness:
    """Passes events to one balancer, keeps the time and checks the invariants on every action.

    Each request gets exactly one final answer, in time. Its attempts go to ready replicas only, and there are
    no more than allowed. It runs no more often than its idempotency permits. If it may have run, it is
    rejected only if a retry is harmless.
    """

    def __init__(
        self,
        given_settings: BalancerSettings | None = None,
        replicas: Iterable[int] = (1, 2, 3),
        seed: int = 7,
    ) -> None:
        self.settings = given_settings or settings()
        self.balancer = Balancer(self.settings, seed)
        self.now = 1_000 * SECOND
        self.requests: dict[int, ClientRequest] = {}
        self.entries: dict[int, EndpointListEntry] = {}
        self.timers: list[tuple[int, int]] = []
        self.all_actions: list[Action] = []
        self.update_endpoint_list(EndpointListKind.CACHED, ready_entries(*replicas))

    def step(self, *events: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, list(events))
        for action in actions:
            self._check_action(action)
        self.all_actions.extend(actions)
        return actions

    def _check_action(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert action.delay >= 0
            self.timers.append((self.now + action.delay, action.token))
        if isinstance(action, Reject | Fail):
            tracked = self.requests[action.request]
            assert not tracked.final_answer, "a second final answer"
            assert self.now <= tracked.deadline + ANSWER_TOLERANCE, "answered late"
            if isinstance(action, Reject) and not self._may_reject(tracked):
                raise AssertionError("rejected though it may have run")
            tracked.final_answer = type(action).__name__
        if isinstance(action, SendAttempt):
            self._check_send(action)

    def _check_send(self, action: SendAttempt) -> None:
        tracked = self.requests[action.request]
        target = self.entries[action.replica]
        assert not tracked.final_answer and not tracked.is_streaming, "sent after its final answer"
        attempt_count = len(tracked.attempts) + len(tracked.arrived.earlier_runs)
        assert attempt_count < self.settings.max_attempts, "too many attempts"
        assert target.state is ReplicaState.READY, "sent to a replica that is not ready"
        in_progress = [n for n in range(len(tracked.attempts)) if n not in tracked.outcomes]
        assert self.settings.hedging_allowed or not in_progress, "two attempts in progress without hedging"
        runs = self._possible_runs(tracked)
        if tracked.request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            assert not runs, "a request that is not idempotent might run twice"
        if tracked.request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            for run in runs:
                in_scope = {
                    DeduplicationScope.ALL: True,
                    DeduplicationScope.ZONE: run.zone == target.zone,
                    DeduplicationScope.CELL: run.cell == target.cell,
                }
                assert in_scope[tracked.request_class.deduplication_scope], (
                    "sent outside its deduplication scope"
                )
            if runs:
                since_first = self.now - min(run.sent_at for run in runs)
                window = tracked.request_class.deduplication_window
                assert since_first < window, "sent after its deduplication window"
        tracked.attempts.append(SentAttempt(action.replica, self.now))

    def _may_reject(self, tracked: ClientRequest) -> bool:
        if tracked.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        return not self._possible_runs(tracked) or (
            tracked.request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            and tracked.request_class.deduplication_scope is DeduplicationScope.ALL
        )

    def _possible_runs(self, tracked: ClientRequest) -> list[EarlierRun]:
        """The attempts that may have run, with those under an earlier number."""
        runs = list(tracked.arrived.earlier_runs)
        for number, attempt in enumerate(tracked.attempts):
            if tracked.outcomes.get(number) not in NEVER_RAN:
                target = self.entries[attempt.replica]
                runs.append(EarlierRun(attempt.sent_at, target.zone, target.cell))
        return runs

    def update_endpoint_list(
        self, kind: EndpointListKind, entries: tuple[EndpointListEntry, ...]
    ) -> list[Action]:
        if kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            for number, old in self.entries.items():
                self.entries[number] = EndpointListEntry(number, ReplicaState.REMOVED, old.zone, old.cell)
        if kind is not EndpointListKind.FAILED:
            self.entries |= {entry.replica: entry for entry in entries}
        return self.step(EndpointListUpdate(kind, entries))

    def arrive(self, request: int, time_remaining: int = 5 * SECOND, **overrides: Any) -> list[Action]:
        event = RequestArrived(
            request=request, time_remaining=time_remaining, **({"prompt_tokens": 1000.0} | overrides)
        )
        request_class = self.settings.classes[event.request_class]
        self.requests[request] = ClientRequest(event, request_class, self.now + time_remaining)
        return self.step(event)

    def first_token(self, request: int, attempt: int = -1) -> list[Action]:
        tracked = self.requests[request]
        attempt %= len(tracked.attempts)
        replica, sent = tracked.attempts[attempt]
        tracked.is_streaming = True
        return self.step(FirstToken(request, attempt, replica, self.now - sent))

    def end_attempt(
        self,
        request: int,
        outcome: Outcome,
        attempt: int = -1,
        request_answered: bool | None = None,
        load_report: tuple[float, ...] = (),
    ) -> list[Action]:
        tracked = self.requests[request]
        attempt %= len(tracked.attempts)
        replica, sent = tracked.attempts[attempt]
        tracked.outcomes[attempt] = outcome
        request_answered = (
            (outcome is Outcome.OK or tracked.is_streaming or bool(tracked.final_answer))
            if request_answered is None
            else request_answered
        )
        if request_answered and not tracked.final_answer:
            tracked.final_answer = "outcome"
        elapsed = self.now - sent
        return self.step(
            AttemptEnded(request, attempt, replica, outcome, elapsed, request_answered, 0, load_report)
        )

    def attempts_in_progress(self) -> list[tuple[int, int]]:
        """Return the attempts without an outcome, as pairs of request number and attempt index."""
        return [
            (number, attempt)
            for number, request in self.requests.items()
            for attempt in range(len(request.attempts))
            if attempt not in request.outcomes
        ]

    def advance_time(self, duration: int) -> None:
        """Advance the clock; in the meantime, timers fire and attempts time out at their deadlines."""
        end_time = self.now + duration
        while True:
            due = [when for when, _ in self.timers]
            in_progress = [self.requests[number] for number, _ in self.attempts_in_progress()]
            due += [request.deadline for request in in_progress if not request.is_streaming]
            if not due or min(due) > end_time:
                break
            self.now = max(self.now, min(due))
            fired = [timer for timer in self.timers if timer[0] <= self.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            self.step(*(TimerFired(token) for _, token in fired))
            for request, attempt in self.attempts_in_progress():
                tracked = self.requests[request]
                if not tracked.is_streaming and tracked.deadline <= self.now:
                    self.end_attempt(request, Outcome.TIMEOUT, attempt)
            self.assert_none_overdue()
        self.now = end_time
        self.step()

    def assert_none_overdue(self) -> None:
        """Assert that no request is past its deadline without a final answer, unless it is streaming."""
        for number, tracked in self.requests.items():
            late = self.now > tracked.deadline + ANSWER_TOLERANCE
            assert tracked.final_answer or tracked.is_streaming or not late, (
                f"request {number} has no final answer"
            )

    def sent_to(self, actions: Iterable[Action]) -> list[int]:
        return [action.replica for action in actions if isinstance(action, SendAttempt)]
