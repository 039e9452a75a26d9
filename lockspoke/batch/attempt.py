"""One attempt of a line: how it ended, and the response writer that collects its stream."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from .chat_completion import ChatCompletionAssembler


class AttemptOutcome(Enum):
    """How an attempt ended."""

    SERVED = auto()
    REJECTED = auto()  # The request was shed; it may have run if a repetition is harmless.
    FAILED = auto()  # The request may have run.


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt."""

    outcome: AttemptOutcome
    retry_after: int = 0  # The Retry-After of a rejection in nanoseconds; 0 if it had none.
    body: dict[str, Any] = field(default_factory=dict)  # The response; empty unless the attempt was served.


FAILED_ATTEMPT = AttemptResult(AttemptOutcome.FAILED)
REJECTED_ATTEMPT = AttemptResult(AttemptOutcome.REJECTED)


class LineResponse:
    """The core's `ResponseWriter` for one attempt of a line."""

    def __init__(self, assembler: ChatCompletionAssembler) -> None:
        self._assembler = assembler
        self.result: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()

    def _set_result(self, result: AttemptResult) -> None:
        if not self.result.done():
            self.result.set_result(result)

    @property
    def has_unread_input(self) -> bool:
        """Always false: a line has no client connection."""
        return False

    def write(self, data: bytes) -> None:
        """Feed bytes of the stream to the assembler."""
        self._assembler.feed(data)

    def finish(self) -> None:
        """End the attempt when the stream ends; it has failed if the response is incomplete."""
        body = self._assembler.body()
        if body is None:
            self._set_result(FAILED_ATTEMPT)
        else:
            self._set_result(AttemptResult(AttemptOutcome.SERVED, body=body))

    def abort(self) -> None:
        """Fail the attempt because the stream was cut off; a partial response is discarded."""
        self._set_result(FAILED_ATTEMPT)

    def reject(self, retry_after: int) -> None:
        """End the attempt as rejected by load shedding; `retry_after` is in nanoseconds."""
        self._set_result(AttemptResult(AttemptOutcome.REJECTED, retry_after))

    def fail(self) -> None:
        """End the attempt as failed."""
        self._set_result(FAILED_ATTEMPT)
