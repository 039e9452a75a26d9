"""Parsers for the fields of a replica. Each raises InvalidValueError for a value that is not valid."""

from __future__ import annotations

import difflib
import ipaddress
import re

from .problems import (
    BAD_HOST,
    BAD_NUMBER,
    BAD_PORT,
    UNKNOWN_STATE,
    UNUSABLE_HOST,
    ProblemCode,
)
from .schema import STATE_SYNONYMS

MAX_QUOTED_CHARS = 60
MAX_PORT = 65535
MAX_WEIGHT = 1000
MIN_SIMILARITY = 0.5  # A known name is suggested for an unknown one from this difflib ratio on.
BROADCAST = "255.255.255.255"

_DNS_NAME = re.compile(
    r"(?=.{1,253}$)(?:[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9])?\.)*"
    r"[A-Za-z](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?"
)
_NUMBER = re.compile(r"[0-9]{1,6}(?:\.[0-9]{1,6})?|\.[0-9]{1,6}")


class InvalidValueError(Exception):
    """The value of a field is not valid; holds the code of the problem and a suggestion for fixing it."""

    def __init__(self, code: ProblemCode, message: str, suggestion: str = "") -> None:
        super().__init__(message)
        self.code, self.suggestion = code, suggestion


def quoted(text: str) -> str:
    """Return a text in quotes, truncated to MAX_QUOTED_CHARS."""
    return repr(text if len(text) <= MAX_QUOTED_CHARS else text[: MAX_QUOTED_CHARS - 3] + "...")


def parse_host(text: str, allow_names: bool) -> str:
    """Parse an IP address or, if allowed, a DNS name; returns the canonical form."""
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        return _parse_dns_name(text, allow_names)
    if address.is_unspecified or address.is_multicast or str(address) == BROADCAST:
        raise InvalidValueError(
            UNUSABLE_HOST, f"nothing can be sent to {address}", "write the worker's own address"
        )
    return str(address)


def _parse_dns_name(text: str, allow_names: bool) -> str:
    # A text of digits and dots is a mistyped address rather than a DNS name.
    is_numeric = re.fullmatch(r"[0-9.]+", text) is not None
    if allow_names and not is_numeric and _DNS_NAME.fullmatch(text):
        return text.lower()
    if is_numeric or allow_names:
        suggestion = "write four numbers up to 255, as 10.1.0.18"
        raise InvalidValueError(BAD_HOST, f"{quoted(text)} is no IP address", suggestion)
    suggestion = "write the address, or set lookups = true"
    raise InvalidValueError(BAD_HOST, f"{quoted(text)} is no IP address, and look-ups are off", suggestion)


def parse_port(text: str) -> int:
    """Parse a port, which must not be 0."""
    if not (text.isascii() and text.isdigit() and len(text) <= 5 and 0 < int(text) <= MAX_PORT):
        raise InvalidValueError(
            BAD_PORT, f"the port is {quoted(text)}", "write a whole number from 1 to 65535"
        )
    return int(text)


def parse_cell(text: str) -> int:
    """Parse the number of a cell, which has at most six digits."""
    if not (text.isascii() and text.isdigit() and len(text) <= 6):
        raise InvalidValueError(
            BAD_NUMBER, f"the cell is {quoted(text)}", "write a whole number from 0 to 999999"
        )
    return int(text)


def parse_weight(text: str) -> float:
    """Parse a weight, which must be above 0."""
    if not _NUMBER.fullmatch(text) or not 0 < float(text) <= MAX_WEIGHT:
        suggestion = "write a number above 0, at most 1000, as 1.25"
        raise InvalidValueError(BAD_NUMBER, f"the weight is {quoted(text)}", suggestion)
    return float(text)


def parse_state(text: str) -> str:
    """Parse a state or a synonym of it; returns up, draining or removed."""
    state = STATE_SYNONYMS.get(text.lower())
    if state is None:
        suggestion = "write up, draining or removed"
        raise InvalidValueError(UNKNOWN_STATE, f"the state is {quoted(text)}", suggestion)
    return state


def parse_known_name(text: str, field: str, known: tuple[str, ...], code: ProblemCode) -> str:
    """Check that a name is one of the known names; if there are none, any name is valid."""
    if known and text not in known:
        similar = difflib.get_close_matches(text, known, 1, MIN_SIMILARITY)
        hint = f"did you mean {similar[0]}? " if similar else ""
        raise InvalidValueError(
            code, f"{field} {quoted(text)} is not known", f"{hint}known are {', '.join(known)}"
        )
    return text
