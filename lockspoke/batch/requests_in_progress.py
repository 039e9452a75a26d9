"""The requests that the batch front is answering, which end with 503 when a stop's time is up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from .errors import ApiError
from .messages import Response

STOPPING_STATUS = 503


class StoppingError(ApiError):
    """A request came to no end before the gateway stopped; nothing was stored."""

    def __init__(self) -> None:
        """Say that the request may be sent again."""
        super().__init__(STOPPING_STATUS, "The gateway is stopping; send the request again.", code="stopping")


class RequestsInProgress:
    """Runs the handlers of requests, until they are ended for a stop."""

    def __init__(self, is_writing: Callable[[asyncio.Task[Any]], bool]) -> None:
        """Begin without requests.

        Args:
            is_writing: Whether a task's change is being written to the store, so that it may hold.
        """
        self._is_writing = is_writing
        self._has_ended = False
        self._tasks: set[asyncio.Task[Response]] = set()

    async def run(self, handler: Coroutine[Any, Any, Response]) -> Response:
        """Run the handler of a request and return its response.

        Raises:
            StoppingError: The requests were ended before it was done.
        """
        if self._has_ended:
            handler.close()
            raise StoppingError
        task = asyncio.ensure_future(handler)
        self._tasks.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            if self._has_ended and task.cancelled():
                raise StoppingError from None
            raise
        finally:
            self._tasks.discard(task)

    def end(self) -> None:
        """End all requests now and later ones at once, but for those whose change may be on the disk."""
        self._has_ended = True
        for task in self._tasks:
            if not self._is_writing(task):
                task.cancel()
