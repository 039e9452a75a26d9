"""Input lines, and a batch runner on a core whose attempts are answered by the test."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from lockspoke.balancing.events import Outcome
from lockspoke.batch.lines import BatchLines
from lockspoke.batch.messages import ApiRequest, RequestBody
from lockspoke.batch.records import Batch
from lockspoke.batch.runner import BatchRunner
from lockspoke.batch.store import BatchStore
from lockspoke.boot_time import BootTime
from lockspoke.core.requests import Attempt, AttemptStage
from lockspoke.units import SECOND
from lockspoke.wire.http.encoding import encode_request
from lockspoke.wire.http.messages import MessagePart, RequestHead
from lockspoke.wire.http.request_parser import RequestParser
from tests.core.harness import CoreHarness
from tests.standins import EVENTS, STREAM_TAIL, until

ENDPOINT = "/v1/chat/completions"
RESPONSE = b"".join(EVENTS) + STREAM_TAIL
MAX_REQUEST_SIZE = 64 * 1024  # bytes
TIMEOUT = 30  # the maximum duration of a scenario in seconds
LINE: dict[str, Any] = {
    "custom_id": "a",
    "method": "POST",
    "url": ENDPOINT,
    "body": {"model": "m", "messages": [{"role": "user", "content": "hello"}]},
}


def lines(count: int, **members: Any) -> list[dict[str, Any]]:
    """Input lines with the IDs c0, c1, ..."""
    return [LINE | {"custom_id": f"c{n}"} | members for n in range(count)]


def api_request(method: str, path: str, object_id: str, body: bytes = b"") -> ApiRequest:
    """A request as handlers of the batch API receive it."""
    raw = encode_request(method, path, {"Host": "a"}, body)
    head, *pieces = RequestParser(MAX_REQUEST_SIZE).feed(raw)
    assert isinstance(head, RequestHead)
    rest = iter(pieces)

    async def next_piece() -> MessagePart:
        return next(rest)

    return ApiRequest(head, RequestBody(next_piece), object_id)


class Harness:
    """A store, a runner, and a core whose attempts the test ends."""

    def __init__(
        self, folder: Path, concurrency: int = 2, max_attempts: int = 2, **core_settings: Any
    ) -> None:
        self.core_harness = CoreHarness(**core_settings)
        self.clock = 1_000_000.0
        self.boot_id = "boot-1"
        self.boot_time_offset = 0  # nanoseconds by which the core's clock is behind the time since the boot
        self.store = BatchStore(folder, self.now)
        batch_lines = BatchLines(self.store, "bulk", 0, 12 * SECOND, 100)
        self.runner = BatchRunner(
            self.store,
            self.core_harness.core,
            batch_lines,
            concurrency,
            max_attempts,
            self.now,
            self.boot_time,
        )

    def now(self) -> float:
        return self.clock

    def boot_time(self) -> BootTime:
        return BootTime(self.boot_id, self.core_harness.time + self.boot_time_offset)

    async def create_batch(self, *input_lines: dict[str, Any] | bytes, window: int = 60) -> Batch:
        """Store an input file, and create and start a batch for it."""
        path, file = self.store.open_scratch()
        with file:
            for line in input_lines:
                file.write((line if isinstance(line, bytes) else json.dumps(line).encode()) + b"\n")
        input_file = await self.store.add_file(path, "in.jsonl", "batch", "sha")
        batch = await self.store.add_batch(
            "",
            "",
            input_file_id=input_file.id,
            endpoint=ENDPOINT,
            completion_window="60s",
            expires_at=int(self.clock) + window,
            metadata={},
        )
        self.runner.start_batch(batch)
        return batch

    def in_flight(self) -> list[Attempt]:
        """Attempts that have been sent and have not ended."""
        return [
            attempt
            for attempt in self.core_harness.started
            if attempt.outcome is None and attempt.stage is not AttemptStage.CONNECTING
        ]

    def serve(self, attempt: Attempt) -> None:
        """Answer an attempt with a complete response."""
        attempt.stream_received(RESPONSE)
        attempt.end(Outcome.OK)

    def reject(self, attempt: Attempt, retry_after: int) -> None:
        """Reject a request as the core does when it sheds load; `retry_after` is in nanoseconds."""
        attempt.outcome = Outcome.OVERLOADED
        attempt.request.answered = True
        attempt.request.response.reject(retry_after)

    async def reject_in_flight(self, retry_after: int) -> None:
        """Reject the only attempt in flight, and wait until its line has released its slot."""
        (attempt,) = self.in_flight()
        self.core_harness.core.transport.cancel(attempt)
        self.reject(attempt, retry_after)
        await until(lambda: not self.runner.slots.in_flight)

    def results(self, batch: Batch) -> dict[str, str]:
        """The entries of both result files by `custom_id`: an error code or "served"."""
        rows = []
        for file_id in (batch.output_file_id, batch.error_file_id):
            if file_id:
                rows += [json.loads(line) for line in self.store.path(file_id).read_bytes().splitlines()]
        found = {row["custom_id"]: row["error"]["code"] if row["error"] else "served" for row in rows}
        assert len(found) == len(rows), "a line has two results"
        return found

    def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        """Run a scenario while the runner is running, then stop the runner and close the store."""

        async def run() -> None:
            self.runner.start()
            async with asyncio.timeout(TIMEOUT):
                await scenario()
            await self.runner.stop()
            self.store.close()

        asyncio.run(run())
