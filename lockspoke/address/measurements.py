"""Measures the metrics of this instance's health."""

from __future__ import annotations

import os
import resource
from collections import deque
from dataclasses import dataclass
from pathlib import Path

from lockspoke.core.core import Core
from lockspoke.core.totals import RequestOutcome
from lockspoke.lifecycle.config import GatewayConfig
from lockspoke.units import MEBIBYTE

from .health import HealthMetrics

RESOURCE_INTERVAL_SECONDS = 1.0  # Descriptors and memory cost more to read than the other metrics.
FAILURE_WINDOW_SECONDS = 5.0  # Failed requests are counted over this time.
LAG_DECAY = 0.7  # The previous loop lag is multiplied by this at each measurement.
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class _RequestSample:
    """The request counts since the start of the program, read at the event loop's time `at`."""

    at: float
    finished: int
    failed: int


class HealthMeter:
    """Collects the metrics; times are in seconds on the clock of the event loop."""

    def __init__(self, gateway: GatewayConfig) -> None:
        self.gateway = gateway
        self._samples: deque[_RequestSample] = deque()
        self._loop_lag = 0.0
        self._descriptor_share = self._memory_share = 0.0
        self._resources_read_at = float("-inf")

    def record_lag(self, lag: float) -> None:
        """Record by how many seconds a timer has fired late; earlier lag decays."""
        self._loop_lag = max(lag, self._loop_lag * LAG_DECAY)

    def read(self, core: Core, now: float) -> HealthMetrics:
        """The current metrics."""
        self._add_sample(core, now)
        oldest, latest = self._samples[0], self._samples[-1]
        requests = latest.finished - oldest.finished
        failure_share = (latest.failed - oldest.failed) / requests if requests else 0.0
        if now - self._resources_read_at >= RESOURCE_INTERVAL_SECONDS:
            self._resources_read_at = now
            self._descriptor_share = descriptor_share(self.gateway)
            self._memory_share = memory_share(self.gateway)
        return HealthMetrics(
            core.replica_set.ready_count,
            self._loop_lag,
            failure_share,
            requests,
            self._descriptor_share,
            self._memory_share,
        )

    def _add_sample(self, core: Core, now: float) -> None:
        outcomes = core.totals.request_outcomes
        failed = outcomes[RequestOutcome.FAILED] + outcomes[RequestOutcome.REJECTED]
        self._samples.append(_RequestSample(now, outcomes[RequestOutcome.SERVED] + failed, failed))
        while self._samples[0].at < now - FAILURE_WINDOW_SECONDS:
            self._samples.popleft()


def descriptor_share(gateway: GatewayConfig) -> float:
    """The share of file descriptors in use by the process; 0 if the system does not report it."""
    try:
        used = len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0.0
    return used / min(gateway.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def memory_share(gateway: GatewayConfig) -> float:
    """The share of its memory in use by the process; 0 if the system does not report it."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0.0
    return pages * PAGE_BYTES / (gateway.memory_mb * MEBIBYTE)
