"""Errors of connections to replicas."""

from __future__ import annotations


class ConnectError(Exception):
    """The request was not written completely, so the replica cannot have run it."""


class ConnectionLimitError(Exception):
    """The limit on connections to replicas is reached, and attempts use all of them."""
