"""Statistics that favour recent observations: a decaying sum, recent keys, shares by prompt length.

Times and half-lives are integer nanoseconds.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque

from lockspoke.units import SECOND

# The weight of new requests doubles with each half-life; after this many half-lives it is reset to one.
MAX_AGE_IN_HALF_LIVES = 300
NEGLIGIBLE_COUNT = 1e-9  # When weights are reset, bands with fewer requests than this are dropped.
ALL_LENGTHS = -1  # The band in which every request is counted.


class DecayingSum:
    """A sum that decays by half within each half-life."""

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
        """Return the decayed sum at `now`."""
        return self._sum * float(0.5 ** ((now - self._updated_at) / self.half_life))

    def rate(self, now: int) -> float:
        """Return the amount per second; it is exact once a steady rate has lasted for many half-lives."""
        return self.value(now) * math.log(2) * SECOND / self.half_life


class RecentKeys:
    """The keys of the latest requests, and how often each of them occurs."""

    __slots__ = ("_counts", "_latest")

    def __init__(self, capacity: int) -> None:
        self._latest: deque[int] = deque(maxlen=capacity)
        self._counts: Counter[int] = Counter()

    def __len__(self) -> int:
        """Return the number of requests counted."""
        return len(self._latest)

    def add(self, key: int) -> None:
        """Add the key of a request; at capacity the oldest key is dropped."""
        if len(self._latest) == self._latest.maxlen:
            oldest = self._latest[0]
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]
        self._latest.append(key)
        self._counts[key] += 1

    def share(self, key: int, min_requests: int) -> float:
        """Return the key's share of the latest requests; fewer than `min_requests` count as that many."""
        return self._counts[key] / max(min_requests, len(self._latest))


class PromptBands:
    """The share of requests that were sent to a replica, by band of prompt length.

    Each band is twice as wide as the one below it. Old counts are not decayed; instead, the weight of new
    ones doubles with each half-life, so that computing a share takes a single division.
    """

    __slots__ = ("_epoch", "_sent", "_total", "half_life")

    def __init__(self, half_life: int) -> None:
        self.half_life = half_life
        self._epoch: int | None = None  # The time at which the weight is one.
        self._sent = defaultdict[int, float](float)
        self._total = defaultdict[int, float](float)

    def record(self, now: int, prompt_tokens: float, *, sent: bool) -> None:
        """Count a request when its first attempt is sent, or when it is answered without any attempt."""
        if self._epoch is None:
            self._epoch = now
        age = (now - self._epoch) / self.half_life
        if age > MAX_AGE_IN_HALF_LIVES:
            self._rebase(0.5**age)
            self._epoch, age = now, 0.0
        weight = 2.0**age
        for band in (_band(prompt_tokens), ALL_LENGTHS):
            self._sent[band] += weight * sent
            self._total[band] += weight

    def _rebase(self, factor: float) -> None:
        """Scale all counts so that the current weight is one; drop bands with negligible counts."""
        remaining = [band for band, count in self._total.items() if count * factor > NEGLIGIBLE_COUNT]
        self._sent = defaultdict(float, {band: self._sent[band] * factor for band in remaining})
        self._total = defaultdict(float, {band: self._total[band] * factor for band in remaining})

    def share_sent(self, prompt_tokens: float | None = None) -> float:
        """Return the share sent in the band of this length, or of all requests; 1 if none were counted."""
        band = ALL_LENGTHS if prompt_tokens is None else _band(prompt_tokens)
        return self._sent[band] / self._total[band] if band in self._total else 1.0


def _band(prompt_tokens: float) -> int:
    return int(prompt_tokens).bit_length()
