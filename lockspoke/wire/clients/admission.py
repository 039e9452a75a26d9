"""How the front treats new requests."""

from __future__ import annotations

from enum import Enum


class AdmissionMode(Enum):
    """How the front treats a new request, by the phase of the program."""

    ACCEPT = "open"  # served; the connection stays open for the next request
    ACCEPT_AND_CLOSE = "last"  # served; the connection is closed after the response
    REJECT = "closed"  # rejected with advice to retry elsewhere: there is no time to complete it
