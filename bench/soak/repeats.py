"""Replicas that send a response once more, a while after its end."""

from __future__ import annotations

import asyncio
import random

REPEAT_SHARE = 0.5  # share of the complete responses that are sent twice
MAX_REPEAT_DELAY = 1.0  # seconds from the end of a response to its repetition


class ResponseRepeater:
    """Repeats some responses of one replica, while it may be running other requests."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    def response_ended(self, writer: asyncio.StreamWriter, response: bytes) -> None:
        """Draw whether and when a response is repeated; called at its end."""
        if self._rng.random() >= REPEAT_SHARE:
            return
        delay = self._rng.uniform(0.0, MAX_REPEAT_DELAY)
        task = asyncio.ensure_future(self._repeat(writer, response, delay))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _repeat(self, writer: asyncio.StreamWriter, response: bytes, delay: float) -> None:
        await asyncio.sleep(delay)
        if not writer.is_closing():
            writer.write(response)
