"""The load balancer: decides which replica gets a request, and which requests are rejected.

It does no I/O and reads no clock: events and the time go in, actions come out.
"""

from .balancer import Balancer
from .settings import BalancerSettings

__all__ = ["Balancer", "BalancerSettings"]
