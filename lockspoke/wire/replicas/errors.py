"""Errors of connections to replicas."""

from __future__ import annotations


class ConnectError(Exception):
    """No connection took the complete request: it cannot have run."""


class ConnectionLimitError(Exception):
    """Every descriptor reserved for replicas is in use by an attempt."""
