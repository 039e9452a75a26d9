"""The attempts of one line that may have run: stored for later processes, and passed to the core."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from functools import partial

from lockspoke.balancing.repeat_rules import restricts_repeats
from lockspoke.boot_time import BootTime
from lockspoke.core.core import Core
from lockspoke.core.replica_set import ReplicaLocation
from lockspoke.core.requests import ClientRequest, PossibleRun

from .records import Batch, LineRun
from .store import BatchStore
from .tasks import retry_until_stored

# When an attempt was sent, by the core's clock, if nothing tells how long ago: before every time window.
LONG_AGO = -(1 << 62)


class LineRuns:
    """Collects the attempts of a line that may have run, across its requests and across processes.

    A line of a class that may run any number of times has none.
    """

    def __init__(
        self, store: BatchStore, core: Core, batch: Batch, line: int, boot_time: Callable[[], BootTime]
    ) -> None:
        """Start with the attempts that the store knows of.

        Args:
            store: Keeps the attempts for later processes.
            core: Its clock gives the times of the attempts.
            batch: The batch of the line.
            line: The number of the line.
            boot_time: Reads the clock that processes share.
        """
        self._store = store
        self._core = core
        self._batch = batch
        self._line = line
        self._boot_time = boot_time
        stored = batch.runs.get(line, ())
        self.possible_runs = tuple(self._from_stored(run) for run in stored)
        self._request_id = stored[-1].request_id if stored else ""

    def next_request_id(self) -> str:
        """The ID of the line's next request; replicas recognize a repetition by its ID."""
        return self._request_id if self.possible_runs else secrets.token_hex(8)

    async def add(self, request: ClientRequest) -> None:
        """Add the attempts of a request that has been answered; returns once they are stored."""
        if not restricts_repeats(request.class_settings):
            return
        new_runs = request.possible_runs[len(self.possible_runs) :]
        self.possible_runs = request.possible_runs
        self._request_id = request.request_id
        for run in new_runs:
            write = partial(self._store.add_run, self._batch, self._line, self._to_stored(run))
            await retry_until_stored(write)

    def _to_stored(self, run: PossibleRun) -> LineRun:
        now = self._boot_time()
        elapsed = self._core.clock.now() - run.sent_at
        sent_at = BootTime(now.boot_id, now.nanoseconds - elapsed)
        return LineRun(self._request_id, sent_at, run.location.zone, run.location.cell)

    def _from_stored(self, run: LineRun) -> PossibleRun:
        elapsed = self._boot_time().elapsed_since(run.sent_at)
        sent_at = LONG_AGO if elapsed is None else self._core.clock.now() - elapsed
        return PossibleRun(sent_at, ReplicaLocation(run.zone, run.cell))
