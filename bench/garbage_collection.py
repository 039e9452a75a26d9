"""Keeps the garbage collector's pauses short while a bench measures delays, and measures them."""

from __future__ import annotations

import gc
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field


@dataclass(slots=True)
class CollectionPauses:
    """The pauses of this process's garbage collections, in seconds."""

    longest: float = 0.0
    _started_at: float = field(default=0.0, repr=False)

    def on_collection(self, phase: str, _info: dict[str, int]) -> None:
        """Measure a collection; for `gc.callbacks`."""
        if phase == "start":
            self._started_at = time.perf_counter()
        else:
            self.longest = max(self.longest, time.perf_counter() - self._started_at)


@contextmanager
def short_collections() -> Iterator[CollectionPauses]:
    """Leave the objects that exist so far out of garbage collections, and measure the pauses.

    A full collection stops the event loop for as long as it takes to visit all objects, in a process that has
    run many tests for longer than a bench may be late.
    """
    gc.collect()
    gc.freeze()
    pauses = CollectionPauses()
    gc.callbacks.append(pauses.on_collection)
    try:
        yield pauses
    finally:
        gc.callbacks.remove(pauses.on_collection)
        gc.unfreeze()
