"""The rules on repeating a request: whether, where and until when it may be sent again, or rejected.

A request that may have run on a replica must not run a second time unless its class is idempotent, or the
replica that gets the repetition recognizes and discards it.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import Protocol

from .settings import DeduplicationScope, Idempotency, RequestClass


class PossibleRun(Protocol):
    """An attempt that may have run, including one in progress."""

    @property
    def sent_at(self) -> int:
        """When it was sent, in nanoseconds."""

    @property
    def zone(self) -> int:
        """The zone of its replica."""

    @property
    def cell(self) -> int:
        """The cell of its replica."""


def restricts_repeats(request_class: RequestClass) -> bool:
    """Whether the attempts of a request that may have run matter for the next one."""
    return request_class.idempotency is not Idempotency.IDEMPOTENT


def may_be_repeated(now: int, request_class: RequestClass, runs: Collection[PossibleRun]) -> bool:
    """Whether a request may be sent again at `now` to a replica that `may_get_repetition`."""
    if not runs or not restricts_repeats(request_class):
        return True
    if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
        return False
    return _window_end(request_class, runs) > now


def may_get_repetition(
    request_class: RequestClass, zone: int, cell: int, runs: Collection[PossibleRun]
) -> bool:
    """Whether a replica in this zone and cell recognizes a repetition of each of these runs.

    It is true for a class without an idempotency key, whose repetitions `may_be_repeated` decides on alone.
    """
    if request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
        return True
    if request_class.deduplication_scope is DeduplicationScope.ZONE:
        return all(run.zone == zone for run in runs)
    if request_class.deduplication_scope is DeduplicationScope.CELL:
        return all(run.cell == cell for run in runs)
    return True


def time_to_start_repetition(now: int, request_class: RequestClass, runs: Sequence[PossibleRun]) -> int:
    """Return for how many nanoseconds an attempt may still be started; 0 means no limit."""
    if not runs or request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
        return 0
    return _window_end(request_class, runs) - now


def may_be_rejected(request_class: RequestClass, may_have_run: bool) -> bool:
    """Whether a request may get an overload reply, because a retry by its client is harmless."""
    if not may_have_run or not restricts_repeats(request_class):
        return True
    return (
        request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        and request_class.deduplication_scope is DeduplicationScope.ALL
    )


def _window_end(request_class: RequestClass, runs: Collection[PossibleRun]) -> int:
    """Return when replicas forget the idempotency key: its time counts from the first run."""
    return min(run.sent_at for run in runs) + request_class.deduplication_window
