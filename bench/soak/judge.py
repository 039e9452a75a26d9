"""The rules of the platform, held against what was seen on the wire.

Every bound is a page's: the protocol page and the page of the standing test. `SLACK` is added to each for the
stand-ins' own reading of the clock; a run in which the bench's own loop was later than that is void.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from .observations import ClientRequestSeen, Observations, ReplyKind

SLACK = 0.05  # seconds; "each time limit being 50 ms longer"
DRAIN_GRACE = 0.25  # seconds after a drain is notified
DISCONNECT_GRACE = 0.1  # seconds after a client's close
DEADLINE_SLACK_MS = 150
MAX_EVENT_DELAY = 0.3  # seconds from a replica's write to the client's read
MAX_LATE_STREAMS = 0.05  # share of streams with an event later than that
# Seconds after SIGTERM: a request that came later and that SIGKILL finds unanswered is lost.
LATE_AFTER_SIGTERM = 0.7
ANSWER_SLACK = 0.5  # seconds after its deadline within which a request without a stream gets its answer


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule."""

    rule: str
    text: str

    def __str__(self) -> str:
        """The rule and what was seen."""
        return f"{self.rule}: {self.text}"


def is_void(seen: Observations) -> bool:
    """Whether the bench itself was too late for its observations to count."""
    return max(seen.own_delays, default=0.0) > SLACK


def violations(seen: Observations) -> list[Violation]:
    """All broken rules."""
    return [violation for check in CHECKS for violation in check(seen)]


def _actors(seen: Observations) -> Iterator[Violation]:
    for fault in seen.actor_faults:
        yield Violation("actor", f"the bench itself failed: {fault}")


def _drains(seen: Observations) -> Iterator[Violation]:
    notified: dict[tuple[str, int, int], float] = {}
    for drain in seen.drains:
        key = (drain.gateway, drain.replica, drain.replica_incarnation)
        notified[key] = min(drain.at, notified.get(key, drain.at))
    for attempt in seen.attempts:
        request = seen.requests.get(attempt.request_id)
        if request is None:
            continue
        at = notified.get((request.gateway, attempt.replica, attempt.replica_incarnation))
        if at is not None and attempt.began_at > at + DRAIN_GRACE + SLACK:
            late = attempt.began_at - at
            yield Violation(
                "drain",
                f"request {attempt.request_id} by {request.gateway} reached replica {attempt.replica} at "
                f"{attempt.began_at:.3f} s, {late:.3f} s after its drain was notified",
            )


def _answers(seen: Observations) -> Iterator[Violation]:
    forwarded = {attempt.request_id for attempt in seen.attempts}
    finished = {
        attempt.request_id
        for attempt in seen.attempts
        if attempt.finished and attempt.peer_port not in seen.broken_ports
    }
    for request in seen.requests.values():
        where = f"request {request.request_id} at {request.gateway}, sent at {request.sent_at:.3f} s"
        if request.reply is None:
            yield Violation("lost", f"{where} got no final answer")
        elif request.reply is ReplyKind.UNANSWERED:
            yield Violation("lost", f"{where}: its connection ended without an answer")
        elif request.reply is ReplyKind.NOT_READ and request.request_id in forwarded:
            yield Violation("lost", f"{where}: its connection was reset, and it was forwarded")
        elif request.reply is ReplyKind.GATEWAY_KILLED and _came_late(request):
            yield Violation(
                "lost",
                f"{where}: SIGKILL found it unanswered, {request.sent_after_sigterm:.3f} s after SIGTERM",
            )
        elif request.reply is ReplyKind.TRUNCATED and request.request_id in finished:
            yield Violation("lost", f"{where}: its stream was cut though its replica had finished it")
        elif _is_late(request):
            late = request.ended_at - request.sent_at
            yield Violation(
                "lost", f"{where} was answered after {late:.3f} s, {request.deadline_ms} ms wanted"
            )


def _came_late(request: ClientRequestSeen) -> bool:
    return request.sent_after_sigterm is not None and request.sent_after_sigterm > LATE_AFTER_SIGTERM + SLACK


def _is_late(request: ClientRequestSeen) -> bool:
    """Whether a request that did not stream got its answer too late."""
    if request.reply not in (ReplyKind.REJECTED, ReplyKind.FAILED):
        return False
    return request.ended_at - request.sent_at > request.deadline_ms / 1000 + ANSWER_SLACK + SLACK


def _forbidden_repeats(seen: Observations) -> Iterator[Violation]:
    ran: dict[str, int] = defaultdict(int)
    for attempt in seen.attempts:
        request = seen.requests.get(attempt.request_id)
        never_ran = attempt.declined or not attempt.complete
        if request is None or request.class_name != "once" or never_ran:
            continue
        ran[attempt.request_id] += 1
        if ran[attempt.request_id] == 2:
            yield Violation(
                "duplicate", f"request {attempt.request_id} may have run twice, by {request.gateway}"
            )


def _deadlines(seen: Observations) -> Iterator[Violation]:
    for attempt in seen.attempts:
        request = seen.requests.get(attempt.request_id)
        if request is None or not request.sent_at:
            continue
        remaining_ms = request.deadline_ms - 1000 * (attempt.began_at - request.sent_at)
        if attempt.deadline_ms > max(remaining_ms, 0) + DEADLINE_SLACK_MS + 1000 * SLACK:
            yield Violation(
                "deadline",
                f"request {attempt.request_id}: {attempt.deadline_ms} ms passed on by {request.gateway}, "
                f"{remaining_ms:.0f} ms left to the client, {DEADLINE_SLACK_MS} ms of slack; sent at "
                f"{request.sent_at:.3f} s, read by replica {attempt.replica} at {attempt.began_at:.3f} s",
            )


def _disconnected_clients(seen: Observations) -> Iterator[Violation]:
    for attempt in seen.attempts:
        request = seen.requests.get(attempt.request_id)
        if request is None or request.disconnected_at is None:
            continue
        late = attempt.began_at - request.disconnected_at
        if late > DISCONNECT_GRACE + SLACK:
            yield Violation(
                "disconnected client",
                f"request {attempt.request_id} by {request.gateway} began {late:.3f} s after its client left",
            )


def _late_events(seen: Observations) -> Iterator[Violation]:
    streams = [request for request in seen.requests.values() if request.reply is ReplyKind.SERVED]
    late = [one for one in streams if one.longest_event_delay > MAX_EVENT_DELAY + SLACK]
    if streams and len(late) > MAX_LATE_STREAMS * len(streams):
        worst = max(late, key=lambda one: one.longest_event_delay)
        yield Violation(
            "late events",
            f"{len(late)} of {len(streams)} streams, the worst {worst.request_id} at {worst.gateway} by "
            f"{worst.longest_event_delay:.3f} s, {MAX_EVENT_DELAY} s at most",
        )


def _exits(seen: Observations) -> Iterator[Violation]:
    for crash in seen.crashes:
        yield Violation("crash", crash)
    for ended in seen.exits:
        if not ended.killed and ended.code != 0:
            yield Violation(
                "exit", f"{ended.gateway} ended with {ended.code}, {ended.after:.2f} s after SIGTERM"
            )


CHECKS = (
    _actors,
    _drains,
    _answers,
    _forbidden_repeats,
    _deadlines,
    _disconnected_clients,
    _late_events,
    _exits,
)
