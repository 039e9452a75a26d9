"""Selects the replicas that should have a request's prefix or session in their cache.

Rendezvous hashing gives all gateways the same preferred replicas without any communication between them.
"""

from __future__ import annotations

import math
from itertools import islice

from .endpoint_list import EndpointList
from .events import RequestArrived
from .moving_statistics import RecentKeys
from .settings import BalancerSettings
from .tracked import TrackedReplica
from .weighted_sampling import SAMPLE_SIZE, WeightedSampler, local_zone_weight

# Requests with the same prefix are distributed over enough replicas that they make up at most this share of
# an average replica's requests.
MAX_PREFIX_SHARE = 0.5
MAX_CACHED_RANKINGS = 512
# The share of a prefix is computed over this many recent requests, since there may be hundreds of prefixes.
RECENT_REQUESTS = 256
MIN_REQUESTS_FOR_SHARE = 16  # With fewer, a single request would count as a large share.

_HASH_FACTOR = 0xD6E8FEB86659FD93
_NUMBER_FACTOR = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1


def rendezvous_score(replica: TrackedReplica, key: int) -> float:
    """Return the replica's score for a key; the replica with the lowest score is preferred.

    Scores are exponentially distributed, so that the probability of being first is proportional to the
    replica's declared capacity.
    """
    mixed = ((key ^ (replica.number * _NUMBER_FACTOR)) * _HASH_FACTOR) & _MASK
    mixed = ((mixed ^ (mixed >> 32)) * _HASH_FACTOR) & _MASK
    return -math.log(((mixed >> 11) + 1) / (1 << 53)) / replica.max_declared_capacity


class PrefixAffinity:
    """Finds the preferred replicas of a request; a prefix that more requests share has more of them."""

    def __init__(self, settings: BalancerSettings, endpoints: EndpointList, sampler: WeightedSampler) -> None:
        self.settings = settings
        self._endpoints = endpoints
        self._sampler = sampler
        self._recent = RecentKeys(RECENT_REQUESTS)
        self._rankings: dict[int, list[TrackedReplica]] = {}  # Keyed by prefix or session.

    def record_request(self, arrived: RequestArrived) -> int:
        """Add a request's key to the recent ones; return the number of recent requests."""
        self._recent.add(arrived.prefix or arrived.session)
        return len(self._recent)

    def clear_rankings(self) -> None:
        """Drop the cached rankings after a change of the ready replicas."""
        self._rankings.clear()

    def preferred_replicas(
        self, arrived: RequestArrived, candidates: list[TrackedReplica]
    ) -> list[TrackedReplica]:
        """Return up to `SAMPLE_SIZE` of the candidates that should have the request's prefix cached.

        For a session, all gateways of a zone choose the same ones, since the session's next request may
        arrive at any of these gateways.
        """
        key = arrived.prefix or arrived.session
        share = self._recent.share(key, MIN_REQUESTS_FOR_SHARE)
        count = 1 + int(share * len(candidates) / MAX_PREFIX_SHARE)
        preferred = list(islice((replica for replica in self.ranking(key) if replica in candidates), count))
        if not arrived.session:
            return self._sampler.sample(preferred)
        zone, local_weight = self.settings.zone, local_zone_weight(self.settings)
        preferred.sort(
            key=lambda replica: (
                rendezvous_score(replica, arrived.session) / (local_weight if replica.zone == zone else 1.0)
            )
        )
        return preferred[:SAMPLE_SIZE]

    def ranking(self, key: int) -> list[TrackedReplica]:
        """Return the ready replicas for a key, the most preferred first."""
        ranking = self._rankings.get(key)
        if ranking is None:
            if len(self._rankings) >= MAX_CACHED_RANKINGS:
                self._rankings.clear()
            ranking = sorted(self._endpoints.ready, key=lambda replica: rendezvous_score(replica, key))
            self._rankings[key] = ranking
        return ranking
