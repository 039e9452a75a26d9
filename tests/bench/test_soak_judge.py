"""The judge of the soak finds a planted break of each rule, and none where the rule just holds."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from bench.soak.judge import SLACK, is_void, violations
from bench.soak.observations import (
    AttemptSeen,
    ClientRequestSeen,
    DrainNotified,
    GatewayExit,
    Observations,
    ReplyKind,
)

ID = "0000000000000001"


def seen_request(class_name: str = "chat") -> Observations:
    """One request that was sent at 10 s, began at replica 2 at 10.1 s and was served by 10.4 s."""
    request = ClientRequestSeen(ID, "g1.1", class_name, 3000, 10.0, 10.4, ReplyKind.SERVED)
    attempt = AttemptSeen(ID, 2, 0, 10.1, 2900, finished=True)
    return Observations(requests={ID: request}, attempts=[attempt])


def notify_drain(
    seen: Observations, before: float, replica: int = 2, incarnation: int = 0, gateway: str = "g1.1"
) -> None:
    seen.drains.append(DrainNotified(gateway, replica, incarnation, seen.attempts[0].began_at - before))


def second_attempt(seen: Observations, **fields: bool) -> None:
    seen.attempts.append(AttemptSeen(ID, 3, 0, 10.2, 2800, **fields))


def reply(seen: Observations, kind: ReplyKind | None, ended_at: float = 10.4) -> None:
    seen.requests[ID].reply = kind
    seen.requests[ID].ended_at = ended_at


def not_read(seen: Observations) -> None:
    reply(seen, ReplyKind.NOT_READ)
    seen.attempts.clear()


def replies_at_kill(seen: Observations, after_sigterm: float) -> None:
    reply(seen, ReplyKind.GATEWAY_KILLED)
    seen.requests[ID].sent_after_sigterm = after_sigterm


Plant = Callable[[Observations], None]
BROKEN: list[tuple[str, str, Plant]] = [
    ("drain", "chat", lambda seen: notify_drain(seen, 0.31)),
    ("lost", "chat", lambda seen: reply(seen, None)),
    ("lost", "chat", lambda seen: reply(seen, ReplyKind.UNANSWERED)),
    ("lost", "chat", lambda seen: reply(seen, ReplyKind.NOT_READ)),  # a replica has got it
    ("lost", "chat", lambda seen: reply(seen, ReplyKind.TRUNCATED)),
    ("lost", "chat", lambda seen: reply(seen, ReplyKind.REJECTED, 13.6)),
    ("lost", "chat", lambda seen: replies_at_kill(seen, 0.8)),
    ("duplicate", "once", second_attempt),
    ("deadline", "chat", lambda seen: setattr(seen.attempts[0], "deadline_ms", 3101)),
    ("disconnected client", "chat", lambda seen: setattr(seen.requests[ID], "disconnected_at", 9.94)),
    ("late events", "chat", lambda seen: setattr(seen.requests[ID], "longest_event_delay", 0.36)),
    ("exit", "chat", lambda seen: seen.exits.append(GatewayExit("g1.1", 1, killed=False, after=1.0))),
    ("actor", "chat", lambda seen: seen.actor_faults.append("TypeError()")),
    ("crash", "chat", lambda seen: seen.crashes.append("g1.1 ended with -11 by itself")),
]
KEPT: list[tuple[str, Plant]] = [
    ("chat", lambda seen: None),
    ("chat", lambda seen: notify_drain(seen, 0.29)),
    ("chat", lambda seen: notify_drain(seen, 5.0, replica=3)),
    ("chat", lambda seen: notify_drain(seen, 5.0, incarnation=1)),
    ("chat", lambda seen: notify_drain(seen, 5.0, gateway="g2.1")),
    ("chat", lambda seen: reply(seen, ReplyKind.REJECTED, 13.5)),
    ("chat", not_read),
    ("chat", lambda seen: replies_at_kill(seen, 0.7)),
    ("chat", second_attempt),
    ("once", lambda seen: second_attempt(seen, declined=True)),
    ("once", lambda seen: second_attempt(seen, complete=False)),
    ("chat", lambda seen: setattr(seen.attempts[0], "deadline_ms", 3049)),
    ("chat", lambda seen: setattr(seen.requests[ID], "disconnected_at", 9.96)),
    ("chat", lambda seen: setattr(seen.requests[ID], "longest_event_delay", 0.34)),
    ("chat", lambda seen: seen.exits.append(GatewayExit("g1.1", -9, killed=True, after=3.7))),
]


@pytest.mark.parametrize(("rule", "class_name", "plant"), BROKEN)
def test_a_planted_break_is_found(rule: str, class_name: str, plant: Plant) -> None:
    seen = seen_request(class_name)
    plant(seen)
    assert [violation.rule for violation in violations(seen)] == [rule]


@pytest.mark.parametrize(("class_name", "plant"), KEPT)
def test_what_a_rule_allows_is_no_break(class_name: str, plant: Plant) -> None:
    seen = seen_request(class_name)
    plant(seen)
    assert not violations(seen)


def test_a_run_in_which_the_bench_was_late_is_void() -> None:
    seen = seen_request()
    assert not is_void(seen)
    seen.own_delays += [0.001, SLACK + 0.01]
    assert is_void(seen)
