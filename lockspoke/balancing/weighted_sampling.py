"""Random samples of replicas, weighted by capacity and, if crossing zones has a cost, by zone."""

from __future__ import annotations

import random

from .settings import BalancerSettings
from .tracked import TrackedReplica

SAMPLE_SIZE = 2
# The weight of a replica in the local zone is multiplied by 1 + LOCAL_ZONE_PREFERENCE * cross_zone_cost.
LOCAL_ZONE_PREFERENCE = 20.0


def local_zone_weight(settings: BalancerSettings) -> float:
    """Return the factor for the weights of replicas in the gateway's own zone."""
    return 1.0 + LOCAL_ZONE_PREFERENCE * settings.cross_zone_cost


class WeightedSampler:
    """Draws replicas in proportion to their weights; one with a low weight gets little traffic, not none."""

    def __init__(self, settings: BalancerSettings, rng: random.Random) -> None:
        self.settings = settings
        self._rng = rng

    def sample(self, replicas: list[TrackedReplica]) -> list[TrackedReplica]:
        """Draw `SAMPLE_SIZE` replicas with replacement; `replicas` must not be empty."""
        zone, local_weight = self.settings.zone, local_zone_weight(self.settings)
        weights = [r.capacity * local_weight if r.zone == zone else r.capacity for r in replicas]
        return self._rng.choices(replicas, weights, k=SAMPLE_SIZE)
