"""A small stand-in for the world around one balancer: it checks the rules after every step."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from lockspoke.balancing.actions import Action, Fail, Reject, SendAttempt, SetTimer
from lockspoke.balancing.balancer import Balancer
from lockspoke.balancing.events import (
    AttemptEnded,
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
ANSWER_SLACK = 20 * MS
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT)


def settings(**changes: Any) -> BalancerSettings:
    base: dict[str, Any] = {
        "classes": (RequestClass(latency_objective=SECOND),),
        "max_attempts": 3,
        "hedging_allowed": False,
        "slow_start_initial_share": 0.2,
        "slow_start_duration": 10 * SECOND,
        "overload_multiple": 3.0,
        "overload_duration": 2 * SECOND,
    }
    return BalancerSettings(**(base | changes))


def ready(*numbers: int, **changes: Any) -> tuple[EndpointListEntry, ...]:
    return tuple(EndpointListEntry(replica=number, **changes) for number in numbers)


@dataclass
class Call:
    """One request as the world sees it."""

    arrived: RequestArrived
    kind: RequestClass
    deadline: int
    attempts: list[tuple[int, int]] = field(default_factory=list)  # (replica, when)
    outcomes: dict[int, Outcome] = field(default_factory=dict)
    streaming: bool = False
    final: str = ""


class World:
    """Feeds one balancer and asserts the four rules on every action it takes."""

    def __init__(
        self, given: BalancerSettings | None = None, replicas: Iterable[int] = (1, 2, 3), seed: int = 7
    ) -> None:
        self.settings = given or settings()
        self.balancer = Balancer(self.settings, seed)
        self.now = 1_000 * SECOND
        self.calls: dict[int, Call] = {}
        self.entries: dict[int, EndpointListEntry] = {}
        self.timers: list[tuple[int, int]] = []
        self.log: list[Action] = []
        self.update_endpoint_list(EndpointListKind.CACHED, ready(*replicas))

    def step(self, *events: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, list(events))
        for action in actions:
            self._check(action)
        self.log.extend(actions)
        return actions

    def _check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert action.delay >= 0
            self.timers.append((self.now + action.delay, action.token))
        if isinstance(action, Reject | Fail):
            call = self.calls[action.request]
            assert not call.final, "a second final answer"
            assert self.now <= call.deadline + ANSWER_SLACK, "answered late"
            if isinstance(action, Reject) and not self._refusable(call):
                raise AssertionError("refused though it may have run")
            call.final = type(action).__name__
        if isinstance(action, SendAttempt):
            self._check_send(action)

    def _check_send(self, action: SendAttempt) -> None:
        call = self.calls[action.request]
        entry = self.entries[action.replica]
        assert not call.final and not call.streaming, "sent after its end"
        assert len(call.attempts) < self.settings.max_attempts, "too many attempts"
        assert entry.state is ReplicaState.READY, "sent to a replica that drains or is gone"
        out = [n for n in range(len(call.attempts)) if n not in call.outcomes]
        assert self.settings.hedging_allowed or not out, "two attempts out together"
        ran = [n for n in range(len(call.attempts)) if call.outcomes.get(n) not in NEVER_RAN]
        if call.kind.idempotency is Idempotency.NOT_IDEMPOTENT:
            assert not ran, "an unsafe request might run twice"
        if call.kind.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            for n in ran:
                first = self.entries[call.attempts[n][0]]
                same = {
                    DeduplicationScope.ALL: True,
                    DeduplicationScope.ZONE: first.zone == entry.zone,
                    DeduplicationScope.CELL: first.cell == entry.cell,
                }
                assert same[call.kind.deduplication_scope], "sent outside its dedup group"
            assert not ran or self.now - call.attempts[ran[0]][1] < call.kind.deduplication_window, (
                "sent after the window"
            )
        call.attempts.append((action.replica, self.now))

    def _refusable(self, call: Call) -> bool:
        if call.kind.idempotency is Idempotency.IDEMPOTENT:
            return True
        ran = [n for n in range(len(call.attempts)) if call.outcomes.get(n) not in NEVER_RAN]
        return not ran or (
            call.kind.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            and call.kind.deduplication_scope is DeduplicationScope.ALL
        )

    # Events

    def update_endpoint_list(
        self, kind: EndpointListKind, entries: tuple[EndpointListEntry, ...]
    ) -> list[Action]:
        if kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            for number, old in self.entries.items():
                self.entries[number] = EndpointListEntry(number, ReplicaState.REMOVED, old.zone, old.cell)
        if kind is not EndpointListKind.FAILED:
            self.entries |= {entry.replica: entry for entry in entries}
        return self.step(EndpointListUpdate(kind, entries))

    def arrive(self, request: int, time_remaining: int = 5 * SECOND, **changes: Any) -> list[Action]:
        event = RequestArrived(
            request=request, time_remaining=time_remaining, **({"prompt_tokens": 1000.0} | changes)
        )
        kind = self.settings.classes[event.request_class]
        self.calls[request] = Call(event, kind, self.now + time_remaining)
        return self.step(event)

    def first_token(self, request: int, attempt: int = -1) -> list[Action]:
        call = self.calls[request]
        attempt %= len(call.attempts)
        replica, sent = call.attempts[attempt]
        call.streaming = True
        return self.step(FirstToken(request, attempt, replica, self.now - sent))

    def end(
        self,
        request: int,
        outcome: Outcome,
        attempt: int = -1,
        closed: bool | None = None,
        report: tuple[float, ...] = (),
    ) -> list[Action]:
        call = self.calls[request]
        attempt %= len(call.attempts)
        replica, sent = call.attempts[attempt]
        call.outcomes[attempt] = outcome
        closed = (outcome is Outcome.OK or call.streaming or bool(call.final)) if closed is None else closed
        if closed and not call.final:
            call.final = "outcome"
        elapsed = self.now - sent
        return self.step(AttemptEnded(request, attempt, replica, outcome, elapsed, closed, 0, report))

    def out(self) -> list[tuple[int, int]]:
        """The attempts whose outcome has not come: (request, attempt)."""
        return [(r, n) for r, c in self.calls.items() for n in range(len(c.attempts)) if n not in c.outcomes]

    def pass_time(self, span: int) -> None:
        """Let time go by; timers and the time-outs at the deadline come when they are due."""
        end = self.now + span
        while True:
            due = [when for when, _ in self.timers]
            due += [self.calls[r].deadline for r, _ in self.out() if not self.calls[r].streaming]
            if not due or min(due) > end:
                break
            self.now = max(self.now, min(due))
            fired = [timer for timer in self.timers if timer[0] <= self.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            self.step(*(TimerFired(token) for _, token in fired))
            for request, attempt in self.out():
                call = self.calls[request]
                if not call.streaming and call.deadline <= self.now:
                    self.end(request, Outcome.TIMEOUT, attempt)
            self.overdue()
        self.now = end
        self.step()

    def overdue(self) -> None:
        """Every request past its deadline has its answer, unless its stream runs."""
        for number, call in self.calls.items():
            late = self.now > call.deadline + ANSWER_SLACK
            assert call.final or call.streaming or not late, f"request {number} has no answer"

    def sent_to(self, actions: Iterable[Action]) -> list[int]:
        return [action.replica for action in actions if isinstance(action, SendAttempt)]
