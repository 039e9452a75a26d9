"""A wall clock that is set while the process runs, and a disk that fails for a while."""

from __future__ import annotations

import errno
import os
import random
import time
from collections.abc import Callable
from typing import Any

from .network import fail
from .settings import FaultSettings

DISK_ERRORS = (errno.EIO, errno.ENOSPC)
FAILING_PART = 0.25  # of the disk's period
NANOSECONDS = 1_000_000_000


def install_clock(settings: FaultSettings) -> None:
    """Set the wall clock at its time; the monotonic one runs on."""
    read_time, read_time_ns = time.time, time.time_ns
    step_at = time.monotonic() + settings.wall_step_at

    def step() -> float:
        return settings.wall_step if time.monotonic() >= step_at else 0.0

    time.time = lambda: read_time() + step()
    time.time_ns = lambda: read_time_ns() + int(step() * NANOSECONDS)


def install_disk(settings: FaultSettings) -> None:
    """Let writes, syncs, truncations and renames fail; a write may be left half done."""
    draws = random.Random(f"{settings.seed}:disk")
    began_at = time.monotonic()
    write = os.write

    def fails() -> bool:
        phase = (time.monotonic() - began_at) % settings.disk_period / settings.disk_period
        fails_now = settings.disk_phase <= phase < settings.disk_phase + FAILING_PART
        return fails_now and draws.random() < settings.disk_share

    def write_or_fail(descriptor: int, data: Any) -> int:
        if descriptor <= 2 or not fails():  # the log is no file of the store
            return write(descriptor, data)
        if len(data) > 1:
            write(descriptor, memoryview(data)[: draws.randrange(len(data))])
        raise fail(draws.choice(DISK_ERRORS))

    def failing(call: Callable[..., Any]) -> Callable[..., Any]:
        def call_or_fail(*arguments: Any, **named: Any) -> Any:
            if fails():
                raise fail(draws.choice(DISK_ERRORS))
            return call(*arguments, **named)

        return call_or_fail

    os.write = write_or_fail
    for name in ("fsync", "ftruncate", "replace", "rename"):
        setattr(os, name, failing(getattr(os, name)))
