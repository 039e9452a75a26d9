"""Decisions of a request router for fleets of language-model servers."""

from .interface import Settings
from .policy import Balancer

__all__ = ["Balancer", "Settings"]
