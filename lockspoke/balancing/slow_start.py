"""The slow start of one replica: from its process's start until it has its full capacity.

Times and durations are integer nanoseconds.
"""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

from .settings import BalancerSettings


class SentWork(NamedTuple):
    """Work that was sent to a replica in its slow start."""

    sent_at: int
    tokens: float


class SlowStart:
    """A replica's progress through slow start, and the work sent to it in the latest budget window."""

    __slots__ = ("_window", "_window_draw", "ends_at", "sends", "started_at")

    def __init__(self) -> None:
        self.started_at = 0  # 0: long ago
        self.ends_at = 0
        self.sends: deque[SentWork] = deque()
        self._window = -1  # the budget window that the random draw was made for
        self._window_draw = 0.0

    def begin(self, started_at: int, duration: int) -> None:
        """Start anew: the replica's process was restarted. Work already sent still counts."""
        self.started_at = started_at
        self.ends_at = started_at + duration

    def in_progress(self, now: int) -> bool:
        """Whether the replica may still be below its full capacity."""
        return now < self.ends_at

    def capacity_share(self, now: int, settings: BalancerSettings) -> float:
        """Return the share of its full capacity that the replica has at least."""
        if now >= self.ends_at:
            return 1.0
        # The replica's clock may be ahead of the gateway's, and slow start may be disabled (a duration of 0).
        age = max(0, now - self.started_at) / max(1, settings.slow_start_duration)
        return settings.slow_start_initial_share + (1.0 - settings.slow_start_initial_share) * age

    def record_send(self, now: int, tokens: float) -> None:
        """Count work sent now against the budget."""
        self.sends.append(SentWork(now, tokens))

    def drop_sends_before(self, oldest: int) -> None:
        """Forget work that was sent at `oldest` or before."""
        while self.sends and self.sends[0].sent_at <= oldest:
            self.sends.popleft()

    def tokens_sent(self) -> float:
        """Return the work in the budget window, in tokens."""
        return sum(sent.tokens for sent in self.sends)

    def draw_for_window(self, window: int, source: random.Random) -> float:
        """Return a random number from 0 to 1 that stays the same within a budget window."""
        if window != self._window:
            self._window = window
            self._window_draw = source.random()
        return self._window_draw
