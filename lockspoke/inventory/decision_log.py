"""Logs the new problems of a snapshot and the reconciler's decisions, and retains the latest decisions."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import structlog

from .decisions import Action, Decision, ReconcileResult
from .model import Snapshot
from .problems import Problem

MAX_LOGGED_PER_KIND = 40  # Further problems and further decisions of a snapshot are only counted.
MAX_RECENT_DECISIONS = 100

_LEVELS = {
    Action.GUARD: logging.ERROR,
    Action.HOLD: logging.WARNING,
    Action.KEEP_OUT: logging.WARNING,
}

log = structlog.get_logger()


class DecisionLog:
    """Logs each problem once, when it appears, and the decisions."""

    def __init__(self, clock_ms: Callable[[], int]) -> None:
        self._clock_ms = clock_ms
        self._reported: set[Problem] = set()
        self._recent: list[dict[str, Any]] = []

    def report(
        self, snapshot: Snapshot, result: ReconcileResult, replica_count: int, duration_ms: float
    ) -> None:
        """Log the new problems and the decisions of a snapshot; logs nothing if nothing has changed."""
        appeared = [problem for problem in snapshot.problems if problem not in self._reported]
        current = set(snapshot.problems)
        resolved = len(self._reported - current)
        self._reported = current
        for problem in appeared[:MAX_LOGGED_PER_KIND]:
            _log_problem(problem)
        self.report_decisions(result)
        if appeared or resolved or result.decisions:
            log.info(
                "inventory_read",
                replicas=replica_count,
                problems=len(snapshot.problems),
                new_problems=len(appeared),
                resolved=resolved,
                decisions=len(result.decisions),
                fingerprint=snapshot.fingerprint,
                duration_ms=duration_ms,
            )

    def report_decisions(self, result: ReconcileResult) -> None:
        """Log decisions only."""
        for decision in result.decisions[:MAX_LOGGED_PER_KIND]:
            self._log_decision(decision)
        del self._recent[:-MAX_RECENT_DECISIONS]

    def recent(self, count: int) -> list[dict[str, Any]]:
        """The latest decisions as JSON objects, oldest first. May be called from any thread."""
        return self._recent[-count:]

    def _log_decision(self, decision: Decision) -> None:
        log.log(
            _LEVELS.get(decision.action, logging.INFO),
            "inventory_decision",
            action=decision.action.value,
            host=decision.host,
            reason=decision.reason,
        )
        self._recent.append({"at_ms": self._clock_ms()} | decision.as_json())


def _log_problem(problem: Problem) -> None:
    log.log(
        logging.ERROR if problem.is_error else logging.WARNING,
        "inventory_problem",
        file=problem.place.file,
        line=problem.place.line,
        column=problem.place.column,
        code=problem.code.id,
        problem=str(problem),
    )
