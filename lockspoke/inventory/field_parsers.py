"""Parsers of single values of a replica. Each raises InvalidValueError for a text that it can't accept."""

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
    Code,
)
from .schema import STATES

MAX_QUOTED_CHARS = 60
MAX_PORT = 65535
MAX_WEIGHT = 1000
SIMILARITY = 0.5  # least similarity of a known name that is suggested for an unknown one
BROADCAST = "255.255.255.255"

_DNS_NAME = re.compile(
    r"(?=.{1,253}$)(?:[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9])?\.)*"
    r"[A-Za-z](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?"
)
_NUMBER = re.compile(r"[0-9]{1,6}(?:\.[0-9]{1,6})?|\.[0-9]{1,6}")


class InvalidValueError(Exception):
    """A value that can't be accepted: the code of the problem, and what to write instead."""

    def __init__(self, code: Code, message: str, suggestion: str = "") -> None:
        super().__init__(message)
        self.code, self.suggestion = code, suggestion


def quoted(text: str) -> str:
    """A text in quotes, shortened where it is long."""
    return repr(text if len(text) <= MAX_QUOTED_CHARS else text[: MAX_QUOTED_CHARS - 3] + "...")


def parse_host(text: str, allow_names: bool) -> str:
    """An IP address in its normal form, or a DNS name in lower case."""
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        return _parse_name(text, allow_names)
    if address.is_unspecified or address.is_multicast or str(address) == BROADCAST:
        raise InvalidValueError(
            UNUSABLE_HOST, f"nothing can be sent to {address}", "write the worker's own address"
        )
    return str(address)


def _parse_name(text: str, allow_names: bool) -> str:
    # A text of digits and dots is a mistyped address: no name looks like that.
    is_numeric = re.fullmatch(r"[0-9.]+", text) is not None
    if allow_names and not is_numeric and _DNS_NAME.fullmatch(text):
        return text.lower()
    if is_numeric or allow_names:
        suggestion = "write four numbers up to 255, as 10.1.0.18"
        raise InvalidValueError(BAD_HOST, f"{quoted(text)} is no IP address", suggestion)
    suggestion = "write the address, or set lookups = true"
    raise InvalidValueError(BAD_HOST, f"{quoted(text)} is no IP address, and look-ups are off", suggestion)


def parse_port(text: str) -> int:
    """A port from 1 on."""
    if not (text.isascii() and text.isdigit() and len(text) <= 5 and 0 < int(text) <= MAX_PORT):
        raise InvalidValueError(
            BAD_PORT, f"the port is {quoted(text)}", "write a whole number from 1 to 65535"
        )
    return int(text)


def parse_cell(text: str) -> int:
    """The number of a cell."""
    if not (text.isascii() and text.isdigit() and len(text) <= 6):
        raise InvalidValueError(
            BAD_NUMBER, f"the cell is {quoted(text)}", "write a whole number from 0 to 999999"
        )
    return int(text)


def parse_weight(text: str) -> float:
    """A weight above 0."""
    if not _NUMBER.fullmatch(text) or not 0 < float(text) <= MAX_WEIGHT:
        suggestion = "write a number above 0, at most 1000, as 1.25"
        raise InvalidValueError(BAD_NUMBER, f"the weight is {quoted(text)}", suggestion)
    return float(text)


def parse_state(text: str) -> str:
    """One of the states up, draining and removed, from any of its synonyms."""
    state = STATES.get(text.lower())
    if state is None:
        suggestion = "write up, draining or removed"
        raise InvalidValueError(UNKNOWN_STATE, f"the state is {quoted(text)}", suggestion)
    return state


def parse_known_name(text: str, field: str, known: tuple[str, ...], code: Code) -> str:
    """One of the known names; any name where none are known."""
    if known and text not in known:
        similar = difflib.get_close_matches(text, known, 1, SIMILARITY)
        hint = f"did you mean {similar[0]}? " if similar else ""
        raise InvalidValueError(
            code, f"{field} {quoted(text)} is not known", f"{hint}known are {', '.join(known)}"
        )
    return text
