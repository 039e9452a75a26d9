"""Random samples of replicas, weighted by capacity and, where crossing zones has a price, by zone."""

from __future__ import annotations

import random

from .settings import BalancerSettings
from .tracked import TrackedReplica

SAMPLE_SIZE = 2
LOCAL_ZONE_PREFERENCE = 20.0  # times the cost of crossing zones: additional weight of a local replica


def local_zone_weight(settings: BalancerSettings) -> float:
    """Return the factor by which the weight of a replica in the gateway's own zone is raised."""
    return 1.0 + LOCAL_ZONE_PREFERENCE * settings.cross_zone_cost


class WeightedSampler:
    """Draws replicas in proportion to their weights: a low weight reduces traffic without stopping it."""

    def __init__(self, settings: BalancerSettings, source: random.Random) -> None:
        self.settings = settings
        self._random = source

    def sample(self, replicas: list[TrackedReplica]) -> list[TrackedReplica]:
        """Draw `SAMPLE_SIZE` replicas with replacement; `replicas` must not be empty."""
        zone, local_weight = self.settings.zone, local_zone_weight(self.settings)
        weights = [r.capacity * local_weight if r.zone == zone else r.capacity for r in replicas]
        return self._random.choices(replicas, weights, k=SAMPLE_SIZE)
