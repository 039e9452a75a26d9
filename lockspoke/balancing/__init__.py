"""Decisions of a request router for fleets of language-model servers."""

from .balancer import Balancer
from .interface import Settings

__all__ = ["Balancer", "Settings"]
