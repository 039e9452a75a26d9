"""The load balancer: decides which replica gets a request, and which requests are rejected.

It does no I/O and reads no clock: callers pass in events with the current time and carry out the actions that
it returns.
"""

from .balancer import Balancer
from .settings import BalancerSettings

__all__ = ["Balancer", "BalancerSettings"]
