"""Statistics in which recent observations weigh most: a decaying sum, recent keys, shares by prompt length.

Times and half-lives are integer nanoseconds.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque

from lockspoke.units import SECOND

MAX_AGE_IN_HALF_LIVES = 300  # weights double each half-life; past this many they are rebased to one
NEGLIGIBLE_COUNT = 1e-9  # of a request: bands below that are dropped when weights are rebased
ALL_LENGTHS = -1  # the band that counts every request


class DecayingSum:
    """A sum that halves with each half-life."""

    __slots__ = ("_sum", "_updated_at", "half_life")

    def __init__(self, half_life: int) -> None:
        self.half_life = half_life
        self._sum = 0.0
        self._updated_at = 0

    def add(self, now: int, amount: float) -> None:
        """Add an amount observed at `now`."""
        self._sum = self.value(now) + amount
        self._updated_at = now

    def value(self, now: int) -> float:
        """Return what remains of the sum at `now`."""
        return self._sum * float(0.5 ** ((now - self._updated_at) / self.half_life))

    def rate(self, now: int) -> float:
        """Return the amount per second, exact for a steady rate that has lasted many half-lives."""
        return self.value(now) * math.log(2) * SECOND / self.half_life


class RecentKeys:
    """The keys of the latest requests and how often each of them occurs."""

    __slots__ = ("_counts", "_latest")

    def __init__(self, capacity: int) -> None:
        self._latest: deque[int] = deque(maxlen=capacity)
        self._counts: Counter[int] = Counter()

    def __len__(self) -> int:
        """Return the number of requests counted."""
        return len(self._latest)

    def add(self, key: int) -> None:
        """Count one more request; at capacity the oldest is dropped."""
        if len(self._latest) == self._latest.maxlen:
            oldest = self._latest[0]
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]
        self._latest.append(key)
        self._counts[key] += 1

    def share(self, key: int, at_least: int) -> float:
        """Return the key's share of the latest requests, of `at_least` requests where fewer are known."""
        return self._counts[key] / max(at_least, len(self._latest))


class PromptBands:
    """The share of requests that were sent to a replica, by band of prompt length.

    Each band is twice as wide as the one below it. Instead of decaying old counts, new ones get a weight
    that doubles with each half-life: a share then takes one division.
    """

    __slots__ = ("_ended", "_epoch", "_sent", "half_life")

    def __init__(self, half_life: int) -> None:
        self.half_life = half_life
        self._epoch: int | None = None  # when the weight is one
        self._sent = defaultdict[int, float](float)
        self._ended = defaultdict[int, float](float)

    def record(self, now: int, prompt_tokens: float, *, sent: bool) -> None:
        """Count a request that was first sent to a replica, or was answered without that."""
        if self._epoch is None:
            self._epoch = now
        age = (now - self._epoch) / self.half_life
        if age > MAX_AGE_IN_HALF_LIVES:
            self._rebase(0.5**age)
            self._epoch, age = now, 0.0
        weight = 2.0**age
        for band in (_band(prompt_tokens), ALL_LENGTHS):
            self._sent[band] += weight * sent
            self._ended[band] += weight

    def _rebase(self, factor: float) -> None:
        """Scale all counts so that the present weight is one; drop bands with negligible counts."""
        remaining = [band for band, count in self._ended.items() if count * factor > NEGLIGIBLE_COUNT]
        self._sent = defaultdict(float, {band: self._sent[band] * factor for band in remaining})
        self._ended = defaultdict(float, {band: self._ended[band] * factor for band in remaining})

    def share_sent(self, prompt_tokens: float | None = None) -> float:
        """Return the share sent in the band of this length, by default of all; 1 where none is known."""
        band = ALL_LENGTHS if prompt_tokens is None else _band(prompt_tokens)
        return self._sent[band] / self._ended[band] if band in self._ended else 1.0


def _band(prompt_tokens: float) -> int:
    return int(prompt_tokens).bit_length()
