"""Why this gateway closed a connection that it had accepted."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why a connection ended; the log counts connections under these values."""

    PEER = "peer"  # The peer closed or reset it, or an error ended it.
    DISPLACED = "displaced"  # It was idle, and the limit on connections was reached.
    IDLE = "idle"  # It was idle for too long.
    NO_REQUEST = "no_request"  # Its client sent no byte within the time limit for the first one.
    RESPONDED = "responded"  # Its client did not close it after the last response.
    STALLED = "stalled"  # Its client sent or read nothing for too long during a request or a response.
    STOPPED = "stopped"  # Its listener closed all connections.
