"""Whether the client front accepts new requests."""

from __future__ import annotations

from enum import Enum


class AdmissionMode(Enum):
    """How the client front treats a new request, which depends on the phase of the program."""

    ACCEPT = "open"  # The request is served, and the connection stays open for the next one.
    ACCEPT_AND_CLOSE = "last"  # The request is served, and the connection is closed after the response.
    # No time is left to complete the request. It is rejected with the advice to retry on a new connection.
    REJECT = "closed"
