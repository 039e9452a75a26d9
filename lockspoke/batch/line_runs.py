"""The attempts of one line that may have run: stored for later processes, and passed to the core."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from functools import partial

from lockspoke.boot_time import BootTime
from lockspoke.core.core import Core
from lockspoke.core.replica import ReplicaLocation
from lockspoke.core.requests import Attempt, ClientRequest, PossibleRun, SendNotRecordedError, SendRecorder

from .journal import StoreError
from .records import Batch, LineRun
from .store import BatchStore
from .tasks import retry_until_stored

# When an attempt was sent, by the core's clock, if nothing tells how long ago: before every time window.
LONG_AGO = -(1 << 62)


class LineRuns:
    """Collects the attempts of a line that may have run, across its requests and across processes.

    It is the `SendRecorder` of the line's requests: each attempt is stored before its first byte is sent.
    While the class may run any number of times, this holds only for batches that another one has begun.
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
        stored = batch.runs.get(line, {})
        self.possible_runs = tuple(_possible_run(run, core, boot_time()) for run in stored.values())
        # By the ID of the attempts that may have run, replicas recognize a repetition.
        self._request_id = next((run.request_id for run in stored.values()), "")
        self._next_number = max(stored, default=-1) + 1
        self._numbers: dict[Attempt, int] = {}  # Of the attempts of the current request.
        self._pending_writes: list[asyncio.Task[None]] = []

    def next_request_id(self, request_class: int) -> str:
        """The ID of the line's next request; replicas recognize a repetition by its ID."""
        if self.possible_runs and self._core.restricts_repeats(request_class):
            return self._request_id
        return secrets.token_hex(8)

    def recorder(self, request_class: int) -> SendRecorder | None:
        """The recorder of the line's next request; None if its attempts are not recorded."""
        is_recorded = self._batch.attempts_recorded or self._core.restricts_repeats(request_class)
        return self if is_recorded else None

    async def record_send(self, attempt: Attempt) -> None:
        """Store an attempt that is about to be sent.

        Raises:
            SendNotRecordedError: The store could not be written.
        """
        number = self._numbers[attempt] = self._next_number
        self._next_number += 1
        zone, cell = attempt.location
        run = LineRun(attempt.request.request_id, self._boot_time(), zone, cell)
        try:
            await self._store.add_run(self._batch, self._line, number, run)
        except StoreError as error:
            raise SendNotRecordedError(str(error)) from error

    def record_never_ran(self, attempt: Attempt) -> None:
        """Store that an attempt has not run, at once: the request may go on for long."""
        write = partial(self._store.drop_run, self._batch, self._line, self._numbers.pop(attempt))
        self._pending_writes.append(asyncio.ensure_future(retry_until_stored(write)))

    async def add(self, request: ClientRequest) -> None:
        """Add the attempts of a request that has been answered; returns once all records are written."""
        self.possible_runs = request.possible_runs
        self._request_id = request.request_id
        writes, self._pending_writes = self._pending_writes, []
        await asyncio.gather(*writes)


def _possible_run(run: LineRun, core: Core, now: BootTime) -> PossibleRun:
    elapsed = now.elapsed_since(run.sent_at)
    sent_at = LONG_AGO if elapsed is None else core.clock.now() - elapsed
    return PossibleRun(sent_at, ReplicaLocation(run.zone, run.cell))
