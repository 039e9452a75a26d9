"""What a run has observed of operators' calls, and the checks of it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import pairwise

GATEWAY = ""  # The subject of calls that take the gateway itself out of service and back.
# Seconds after a yes: the platform's grace, 50 ms for sockets, and 150 ms for which a process may be held up.
GRACE = 0.25 + 0.05 + 0.15
CALL_TIMEOUT = 1.0  # seconds for which an operator waits
CALL_SLACK = 0.2  # seconds by which a process that is held up, and the bench itself, may be late
YES, IN_VAIN = 200, (404, 409)  # statuses of calls that have taken effect, and of calls that have not


@dataclass(frozen=True, slots=True)
class Call:
    """An operator's call; the next one about the same subject is made once this one has ended."""

    takes_out: bool  # offline or out of service, and not back
    started_at: float
    ended_at: float
    status: int  # 0 if the connection ended without a response

    def possible_results(self, before: set[bool]) -> set[bool]:
        """Whether the subject may be out after the call; after a call without a yes nobody knows."""
        if self.status == YES:
            return {self.takes_out}
        return before if self.status in IN_VAIN else before | {self.takes_out}


@dataclass(slots=True)
class Observations:
    """The input of the checks. Times are those of the monotonic clock."""

    calls: dict[str, list[Call]] = field(default_factory=dict)  # by subject
    requests: dict[str, list[float]] = field(default_factory=dict)  # when replicas got them, by uid
    out_at_end: dict[str, bool] = field(default_factory=dict)  # by subject, at the process that is left
    faults: list[str] = field(default_factory=list)  # exceptions and crashes


def violations(observations: Observations) -> list[str]:
    """What was observed that must not be."""
    checks = (_lost_calls, _late_requests, _late_answers)
    return [*observations.faults, *(text for check in checks for text in check(observations))]


def _lost_calls(observations: Observations) -> Iterator[str]:
    """Each call that was answered with yes holds at the process that is left."""
    for subject, calls in observations.calls.items():
        possible = {False}
        for call in calls:
            possible = call.possible_results(possible)
        is_out = observations.out_at_end[subject]
        if is_out not in possible:
            yield f"{subject or 'the gateway'} is {'out' if is_out else 'in'} at the end; {calls[-2:]}"


def _late_requests(observations: Observations) -> Iterator[str]:
    """A replica that is offline gets no request later than the grace, until the next call about it."""
    for uid, times in observations.requests.items():
        calls = observations.calls.get(uid, [])
        ends = [later.started_at for _, later in pairwise(calls)] + [float("inf")]
        for call, end in zip(calls, ends, strict=False):
            if call.status == YES and call.takes_out:
                late = [at - call.ended_at for at in times if call.ended_at + GRACE < at < end]
                if late:
                    yield f"{uid} got {len(late)} requests while offline, {max(late):.2f} s after the yes"


def _late_answers(observations: Observations) -> Iterator[str]:
    """Each call is answered in time."""
    for subject, calls in observations.calls.items():
        for call in calls:
            took = call.ended_at - call.started_at
            if call.status and took > CALL_TIMEOUT + CALL_SLACK:
                yield f"a call about {subject or 'the gateway'} was answered after {took:.2f} s"
