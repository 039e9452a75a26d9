"""Injects a step of the wall clock and disk errors during a part of each period."""

from __future__ import annotations

import errno
import os
import random
import time
from collections.abc import Callable
from typing import Any

from .network import system_error
from .settings import FaultSettings

DISK_ERRORS = (errno.EIO, errno.ENOSPC)
FAILING_SHARE = 0.25  # of the disk's period
NANOSECONDS_PER_SECOND = 1_000_000_000


def install_clock(settings: FaultSettings) -> None:
    """Step the wall clock at the configured time; the monotonic clock is not changed."""
    read_time, read_time_ns = time.time, time.time_ns
    step_at = time.monotonic() + settings.wall_step_at

    def current_step() -> float:
        return settings.wall_step if time.monotonic() >= step_at else 0.0

    time.time = lambda: read_time() + current_step()
    time.time_ns = lambda: read_time_ns() + int(current_step() * NANOSECONDS_PER_SECOND)


def install_disk(settings: FaultSettings) -> None:
    """Make writes, syncs, truncations and renames fail; a failed write may have written some of its bytes."""
    rng = random.Random(f"{settings.seed}:disk")
    began_at = time.monotonic()
    write = os.write

    def system_error_due() -> bool:
        phase = (time.monotonic() - began_at) % settings.disk_period / settings.disk_period
        fails_now = settings.disk_phase <= phase < settings.disk_phase + FAILING_SHARE
        return fails_now and rng.random() < settings.disk_share

    def write_or_fail(descriptor: int, data: Any) -> int:
        if descriptor <= 2 or not system_error_due():  # standard streams, such as the log, never fail
            return write(descriptor, data)
        if len(data) > 1:
            write(descriptor, memoryview(data)[: rng.randrange(len(data))])
        raise system_error(rng.choice(DISK_ERRORS))

    def failing(function: Callable[..., Any]) -> Callable[..., Any]:
        def run_or_fail(*arguments: Any, **named: Any) -> Any:
            if system_error_due():
                raise system_error(rng.choice(DISK_ERRORS))
            return function(*arguments, **named)

        return run_or_fail

    os.write = write_or_fail
    for name in ("fsync", "ftruncate", "replace", "rename"):
        setattr(os, name, failing(getattr(os, name)))
