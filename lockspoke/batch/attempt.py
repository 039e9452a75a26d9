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
    REJECTED = auto()  # by load shedding: the request has not run
    FAILED = auto()  # the request may have run


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt."""

    outcome: AttemptOutcome
    retry_after: int = 0  # nanoseconds that a rejection named as Retry-After; 0 if it named none
    body: dict[str, Any] = field(default_factory=dict)  # the response, if it was served


FAILED_ATTEMPT = AttemptResult(AttemptOutcome.FAILED)


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
        """Always false: no client connection belongs to a line."""
        return False

    def write(self, data: bytes) -> None:
        """Collect bytes of the stream."""
        self._assembler.feed(data)

    def finish(self) -> None:
        """The stream is complete; the attempt has failed if it holds no complete response."""
        body = self._assembler.body()
        if body is None:
            self._set_result(FAILED_ATTEMPT)
        else:
            self._set_result(AttemptResult(AttemptOutcome.SERVED, body=body))

    def abort(self) -> None:
        """The stream broke: a part of a response is of no use."""
        self._set_result(FAILED_ATTEMPT)

    def reject(self, retry_after: int) -> None:
        """The request was shed; `retry_after` is in nanoseconds."""
        self._set_result(AttemptResult(AttemptOutcome.REJECTED, retry_after))

    def fail(self) -> None:
        """The request failed."""
        self._set_result(FAILED_ATTEMPT)
