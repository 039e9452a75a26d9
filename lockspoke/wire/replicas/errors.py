"""Errors of connections to replicas."""

from __future__ import annotations


class ConnectError(Exception):
    """The request has not run: no connection was opened, or it broke before the request was written."""


class ConnectionLimitError(Exception):
    """The limit on connections to replicas is reached, and attempts use all of them."""
