"""Checks the observations of a run against the rules of the platform.

The bounds come from the protocol page and the page of the standing test. `SLACK` is added to each bound
because the stand-ins may read the clock late; a run in which the bench's own event loop was later than that
is inconclusive.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from .observations import Observations, ObservedRequest, ReplyKind

SLACK = 0.05  # seconds added to each time limit
DRAIN_GRACE = 0.25  # seconds after the notification of a drain in which requests may still be sent
DISCONNECT_GRACE = 0.1  # seconds after a client's disconnection in which attempts may still begin
DEADLINE_SLACK_MS = 150  # by which a forwarded deadline may exceed the client's remaining time
MAX_EVENT_DELAY = 0.3  # seconds from a replica's write to the client's read
MAX_LATE_STREAMS = 0.05  # share of streams that may have an event later than MAX_EVENT_DELAY
# Seconds after SIGTERM: a request that was sent later and is unanswered at SIGKILL counts as lost.
LATE_AFTER_SIGTERM = 0.7
MAX_ERROR_DELAY = 3.0  # seconds until a client that breaks the protocol gets an error or a close
ANSWER_SLACK = 0.5  # seconds after its deadline within which a rejected or failed request is answered


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule."""

    rule: str
    text: str

    def __str__(self) -> str:
        """The rule and what was observed."""
        return f"{self.rule}: {self.text}"


def is_inconclusive(observations: Observations) -> bool:
    """Whether the bench's event loop was too late for its observations to be reliable."""
    return max(observations.loop_delays, default=0.0) > SLACK


def describe_lateness(observations: Observations) -> str:
    """How late the bench's event loop was, and how much of that a garbage collection may explain."""
    loop_delay_ms = 1000 * max(observations.loop_delays, default=0.0)
    collection_ms = 1000 * observations.longest_collection
    return f"own lateness {loop_delay_ms:.0f} ms, longest garbage collection {collection_ms:.0f} ms"


def violations(observations: Observations) -> list[Violation]:
    """All violations of all rules."""
    return [violation for check in CHECKS for violation in check(observations)]


def _stand_in_failures(observations: Observations) -> Iterator[Violation]:
    """No client or stand-in of the bench has failed."""
    for fault in observations.stand_in_errors:
        yield Violation("actor", f"the bench itself failed: {fault}")


def _drains(observations: Observations) -> Iterator[Violation]:
    """No attempt reaches an incarnation later than DRAIN_GRACE after its drain was notified."""
    notified: dict[tuple[str, int, int], float] = {}
    for drain in observations.drains:
        key = (drain.gateway, drain.replica, drain.replica_incarnation)
        notified[key] = min(drain.at, notified.get(key, drain.at))
    for attempt in observations.attempts:
        request = observations.requests.get(attempt.request_id)
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


def _answers(observations: Observations) -> Iterator[Violation]:
    """Every request that a gateway has read gets a complete answer in time."""
    forwarded = {attempt.request_id for attempt in observations.attempts}
    finished = {
        attempt.request_id
        for attempt in observations.attempts
        if attempt.finished and attempt.peer_port not in observations.broken_ports
    }
    for request in observations.requests.values():
        where = f"request {request.request_id} at {request.gateway}, sent at {request.sent_at:.3f} s"
        if request.reply is None:
            yield Violation("lost", f"{where} got no final answer")
        elif request.reply is ReplyKind.UNANSWERED:
            yield Violation("lost", f"{where}: its connection ended without an answer")
        elif request.reply is ReplyKind.NOT_READ and request.request_id in forwarded:
            yield Violation("lost", f"{where}: its connection was reset, and it was forwarded")
        elif request.reply is ReplyKind.GATEWAY_KILLED and _sent_late_in_shutdown(request):
            yield Violation(
                "lost",
                f"{where}: SIGKILL found it unanswered, {request.sent_after_sigterm:.3f} s after SIGTERM",
            )
        elif request.reply is ReplyKind.TRUNCATED and request.request_id in finished:
            yield Violation("lost", f"{where}: its stream was cut though its replica had finished it")
        elif _is_answered_late(request):
            late = request.ended_at - request.sent_at
            yield Violation(
                "lost", f"{where} was answered after {late:.3f} s, {request.deadline_ms} ms wanted"
            )


def _sent_late_in_shutdown(request: ObservedRequest) -> bool:
    """Whether a request was sent so long after SIGTERM that the gateway had to answer it before SIGKILL."""
    return request.sent_after_sigterm is not None and request.sent_after_sigterm > LATE_AFTER_SIGTERM + SLACK


def _is_answered_late(request: ObservedRequest) -> bool:
    """Whether a rejected or failed request got its answer too late."""
    if request.reply not in (ReplyKind.REJECTED, ReplyKind.FAILED):
        return False
    return request.ended_at - request.sent_at > request.deadline_ms / 1000 + ANSWER_SLACK + SLACK


def _foreign_responses(observations: Observations) -> Iterator[Violation]:
    """No client gets events of the response to another request."""
    for request in observations.requests.values():
        foreign = request.answered_ids - {request.request_id}
        if foreign:
            yield Violation(
                "lost",
                f"request {request.request_id} at {request.gateway}, sent at {request.sent_at:.3f} s, got "
                f"the response to {', '.join(sorted(foreign))}",
            )


def _duplicates(observations: Observations) -> Iterator[Violation]:
    """No request that must not be repeated may have run twice."""
    ran: dict[str, int] = defaultdict(int)
    for attempt in observations.attempts:
        request = observations.requests.get(attempt.request_id)
        never_ran = attempt.declined or not attempt.complete
        if request is None or request.class_name != "once" or never_ran:
            continue
        ran[attempt.request_id] += 1
        if ran[attempt.request_id] == 2:
            yield Violation(
                "duplicate", f"request {attempt.request_id} may have run twice, by {request.gateway}"
            )


def _deadlines(observations: Observations) -> Iterator[Violation]:
    """No forwarded deadline exceeds the time that its client has left by more than DEADLINE_SLACK_MS."""
    for attempt in observations.attempts:
        request = observations.requests.get(attempt.request_id)
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


def _disconnected_clients(observations: Observations) -> Iterator[Violation]:
    """No attempt begins later than DISCONNECT_GRACE after its client has disconnected."""
    for attempt in observations.attempts:
        request = observations.requests.get(attempt.request_id)
        if request is None or request.disconnected_at is None:
            continue
        late = attempt.began_at - request.disconnected_at
        if late > DISCONNECT_GRACE + SLACK:
            yield Violation(
                "disconnected client",
                f"request {attempt.request_id} by {request.gateway} began {late:.3f} s after its client left",
            )


def _late_events(observations: Observations) -> Iterator[Violation]:
    """At most MAX_LATE_STREAMS of the streams have an event later than MAX_EVENT_DELAY."""
    streams = [request for request in observations.requests.values() if request.reply is ReplyKind.SERVED]
    late = [one for one in streams if one.longest_event_delay > MAX_EVENT_DELAY + SLACK]
    if streams and len(late) > MAX_LATE_STREAMS * len(streams):
        worst = max(late, key=lambda one: one.longest_event_delay)
        yield Violation(
            "late events",
            f"{len(late)} of {len(streams)} streams, the worst {worst.request_id} at {worst.gateway} by "
            f"{worst.longest_event_delay:.3f} s, {MAX_EVENT_DELAY} s at most",
        )


def _unsound_requests(observations: Observations) -> Iterator[Violation]:
    """An unsound request reaches no replica, and gets an error or a close in time."""
    forwarded = {attempt.request_id for attempt in observations.attempts}
    for request in observations.unsound_requests:
        where = f"request {request.request_id} at {request.gateway}, {request.name}"
        if request.request_id in forwarded or b" 200 " in request.answer:
            yield Violation("lost", f"{where}: it is not sound and was served")
        elif request.gateway_ended:
            continue
        elif request.answered_after is None or request.answered_after > MAX_ERROR_DELAY + SLACK:
            yield Violation("lost", f"{where}: neither an error nor a close within {MAX_ERROR_DELAY} s")


def _exits(observations: Observations) -> Iterator[Violation]:
    """No gateway crashes or logs an error, and each one stops with exit code 0 after SIGTERM."""
    for crash in observations.crashes:
        yield Violation("crash", crash)
    for ended in observations.exits:
        if not ended.killed and ended.code != 0:
            yield Violation(
                "exit", f"{ended.gateway} ended with {ended.code}, {ended.after:.2f} s after SIGTERM"
            )


CHECKS = (
    _stand_in_failures,
    _drains,
    _answers,
    _foreign_responses,
    _duplicates,
    _deadlines,
    _disconnected_clients,
    _late_events,
    _unsound_requests,
    _exits,
)
