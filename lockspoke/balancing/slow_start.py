"""The slow start of one replica: the time from its process start until it reaches full capacity.

Times and durations are integer nanoseconds.
"""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

from .settings import BalancerSettings


class SentWork(NamedTuple):
    """Work that was sent to a replica during its slow start."""

    sent_at: int
    tokens: float


class SlowStart:
    """A replica's progress through slow start, and the work sent to it recently."""

    __slots__ = ("_window", "_window_draw", "ends_at", "sends", "started_at")

    def __init__(self) -> None:
        self.started_at = 0  # 0 means long ago.
        self.ends_at = 0
        self.sends: deque[SentWork] = deque()
        self._window = -1  # The budget window to which `_window_draw` belongs.
        self._window_draw = 0.0

    def begin(self, started_at: int, duration: int) -> None:
        """Begin a slow start, as the replica's process was restarted. Work sent before still counts."""
        self.started_at = started_at
        self.ends_at = started_at + duration

    def in_progress(self, now: int) -> bool:
        """Whether the replica may still be below its full capacity."""
        return now < self.ends_at

    def capacity_share(self, now: int, settings: BalancerSettings) -> float:
        """Return the minimum share of its full capacity that the replica has at `now`."""
        if now >= self.ends_at:
            return 1.0
        # The replica's clock may be ahead of the gateway's, and a duration of 0 disables slow start.
        age = max(0, now - self.started_at) / max(1, settings.slow_start_duration)
        return settings.slow_start_initial_share + (1.0 - settings.slow_start_initial_share) * age

    def record_send(self, now: int, tokens: float) -> None:
        """Count work sent at `now` against the budget."""
        self.sends.append(SentWork(now, tokens))

    def drop_sends_before(self, oldest: int) -> None:
        """Drop the records of work that was sent at `oldest` or before."""
        while self.sends and self.sends[0].sent_at <= oldest:
            self.sends.popleft()

    def tokens_sent(self) -> float:
        """Return the recorded work in tokens."""
        return sum(sent.tokens for sent in self.sends)

    def draw_for_window(self, window: int, rng: random.Random) -> float:
        """Return a random number from 0 to 1 that stays the same within a budget window."""
        if window != self._window:
            self._window = window
            self._window_draw = rng.random()
        return self._window_draw
