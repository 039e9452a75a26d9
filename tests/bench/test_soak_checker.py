"""The soak checker finds a violation of each rule, and none in observations just within its bound."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from bench.soak.checker import SLACK, is_inconclusive, violations
from bench.soak.observations import (
    DrainNotified,
    GatewayExit,
    Observations,
    ObservedAttempt,
    ObservedRequest,
    ReplyKind,
    UnsoundRequest,
)

ID = "0000000000000001"


def one_served_request(class_name: str = "chat") -> Observations:
    """One request that was sent at 10 s, began at replica 2 at 10.1 s and was served by 10.4 s."""
    request = ObservedRequest(ID, "g1.1", class_name, 3000, 10.0, 10.4, ReplyKind.SERVED)
    attempt = ObservedAttempt(ID, 2, 0, 10.1, 2900, finished=True)
    return Observations(requests={ID: request}, attempts=[attempt])


def notify_drain(
    seen: Observations, before: float, replica: int = 2, incarnation: int = 0, gateway: str = "g1.1"
) -> None:
    seen.drains.append(DrainNotified(gateway, replica, incarnation, seen.attempts[0].began_at - before))


def add_second_attempt(seen: Observations, **fields: bool) -> None:
    seen.attempts.append(ObservedAttempt(ID, 3, 0, 10.2, 2800, **fields))


def set_reply(seen: Observations, kind: ReplyKind | None, ended_at: float = 10.4) -> None:
    seen.requests[ID].reply = kind
    seen.requests[ID].ended_at = ended_at


def reply_not_read(seen: Observations) -> None:
    set_reply(seen, ReplyKind.NOT_READ)
    seen.attempts.clear()


def set_killed_reply(seen: Observations, after_sigterm: float) -> None:
    set_reply(seen, ReplyKind.GATEWAY_KILLED)
    seen.requests[ID].sent_after_sigterm = after_sigterm


def add_unsound(seen: Observations, answer: bytes, after: float | None, request_id: str = "unsound") -> None:
    seen.unsound_requests.append(UnsoundRequest(request_id, "g1.1", "empty body", answer, after))


Mutation = Callable[[Observations], None]
VIOLATIONS: list[tuple[str, str, Mutation]] = [
    ("drain", "chat", lambda seen: notify_drain(seen, 0.31)),
    ("lost", "chat", lambda seen: set_reply(seen, None)),
    ("lost", "chat", lambda seen: add_unsound(seen, b"HTTP/1.1 200 OK\r\n", 0.1)),
    (
        "lost",
        "chat",
        lambda seen: add_unsound(seen, b"HTTP/1.1 400 Bad Request\r\n", 0.1, ID),
    ),  # it was sent on
    ("lost", "chat", lambda seen: add_unsound(seen, b"HTTP/1.1 400 Bad Request\r\n", 3.1)),
    ("lost", "chat", lambda seen: add_unsound(seen, b"", None)),
    ("lost", "chat", lambda seen: set_reply(seen, ReplyKind.UNANSWERED)),
    ("lost", "chat", lambda seen: set_reply(seen, ReplyKind.NOT_READ)),  # a replica has received the request
    ("lost", "chat", lambda seen: set_reply(seen, ReplyKind.TRUNCATED)),
    ("lost", "chat", lambda seen: set_reply(seen, ReplyKind.REJECTED, 13.6)),
    ("lost", "chat", lambda seen: set_killed_reply(seen, 0.8)),
    ("lost", "chat", lambda seen: seen.requests[ID].answered_ids.update((ID, "0000000000000002"))),
    ("duplicate", "once", add_second_attempt),
    ("deadline", "chat", lambda seen: setattr(seen.attempts[0], "deadline_ms", 3101)),
    ("disconnected client", "chat", lambda seen: setattr(seen.requests[ID], "disconnected_at", 9.94)),
    ("late events", "chat", lambda seen: setattr(seen.requests[ID], "longest_event_delay", 0.36)),
    ("exit", "chat", lambda seen: seen.exits.append(GatewayExit("g1.1", 1, killed=False, after=1.0))),
    ("actor", "chat", lambda seen: seen.stand_in_errors.append("TypeError()")),
    ("crash", "chat", lambda seen: seen.crashes.append("g1.1 ended with -11 by itself")),
]
NO_VIOLATIONS: list[tuple[str, Mutation]] = [
    ("chat", lambda seen: None),
    ("chat", lambda seen: notify_drain(seen, 0.29)),
    ("chat", lambda seen: notify_drain(seen, 5.0, replica=3)),
    ("chat", lambda seen: notify_drain(seen, 5.0, incarnation=1)),
    ("chat", lambda seen: notify_drain(seen, 5.0, gateway="g2.1")),
    ("chat", lambda seen: set_reply(seen, ReplyKind.REJECTED, 13.5)),
    ("chat", reply_not_read),
    ("chat", lambda seen: add_unsound(seen, b"HTTP/1.1 400 Bad Request\r\n", 3.0)),
    ("chat", lambda seen: add_unsound(seen, b"", 3.0)),
    ("chat", lambda seen: set_killed_reply(seen, 0.7)),
    ("chat", lambda seen: seen.requests[ID].answered_ids.add(ID)),
    ("chat", add_second_attempt),
    ("once", lambda seen: add_second_attempt(seen, declined=True)),
    ("once", lambda seen: add_second_attempt(seen, complete=False)),
    ("chat", lambda seen: setattr(seen.attempts[0], "deadline_ms", 3049)),
    ("chat", lambda seen: setattr(seen.requests[ID], "disconnected_at", 9.96)),
    ("chat", lambda seen: setattr(seen.requests[ID], "longest_event_delay", 0.34)),
    ("chat", lambda seen: seen.exits.append(GatewayExit("g1.1", -9, killed=True, after=3.7))),
]


@pytest.mark.parametrize(("rule", "class_name", "mutate"), VIOLATIONS)
def test_violation_is_found(rule: str, class_name: str, mutate: Mutation) -> None:
    seen = one_served_request(class_name)
    mutate(seen)
    assert [violation.rule for violation in violations(seen)] == [rule]


@pytest.mark.parametrize(("class_name", "mutate"), NO_VIOLATIONS)
def test_allowed_observation_is_no_violation(class_name: str, mutate: Mutation) -> None:
    seen = one_served_request(class_name)
    mutate(seen)
    assert not violations(seen)


def test_run_with_late_bench_is_inconclusive() -> None:
    seen = one_served_request()
    assert not is_inconclusive(seen)
    seen.loop_delays += [0.001, SLACK + 0.01]
    assert is_inconclusive(seen)
