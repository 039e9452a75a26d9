"""Why this gateway closed a connection that it had accepted."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why a connection ended; the log counts connections under these values."""

    PEER = "peer"  # the peer closed or reset it, or an error ended it
    DISPLACED = "displaced"  # it was idle, and the limit was reached
    IDLE = "idle"  # it was idle for too long
    NO_REQUEST = "no_request"  # no byte came within the time for the first one
    RESPONDED = "responded"  # its client did not close it after the last response
    STALLED = "stalled"  # its client sent or read nothing for too long during a request or a response
    STOPPED = "stopped"  # its listener closed all connections
