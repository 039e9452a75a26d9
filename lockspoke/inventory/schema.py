"""The schema of a worker: rows in, worker records out, and every value that is wrong told with its place."""

from __future__ import annotations

import difflib
import ipaddress
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TypeVar

from .model import ReplicaRecord, Row, Value
from .problems import (
    BAD_HOST,
    BAD_LABEL,
    BAD_NAME,
    BAD_NUMBER,
    BAD_PORT,
    DUPLICATE_ADDRESS,
    MISSING_VALUE,
    NO_ADDRESS,
    TEMPLATE_VALUE,
    UNKNOWN_KIND,
    UNKNOWN_STATE,
    UNKNOWN_ZONE,
    UNUSABLE_HOST,
    VAULT_VALUE,
    Code,
    Place,
    Problem,
)

T = TypeVar("T")

FIELDS = frozenset(
    {"name", "endpoint", "host", "port", "zone", "kind", "cell", "weight", "state", "labels", "groups"}
)
# What Ansible calls a host's address and port: taken where our own names are not given.
FALLBACKS = MappingProxyType({"host": "ansible_host", "port": "ansible_port"})
STATES = MappingProxyType(
    {
        "": "up",
        "up": "up",
        "ready": "up",
        "active": "up",
        "draining": "draining",
        "drain": "draining",
        "removed": "removed",
        "gone": "removed",
        "down": "removed",
    }
)
_STATES_BY_CAUTION = ("up", "draining", "removed")
_NAME = re.compile(r"[A-Za-z0-9_](?:[A-Za-z0-9._-]{0,251}[A-Za-z0-9_])?")
_DNS = re.compile(
    r"(?=.{1,253}$)(?:[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9])?\.)*[A-Za-z](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?"
)
_TEMPLATE = re.compile(r"\{\{|\{%")
_NUMBER = re.compile(r"[0-9]{1,6}(?:\.[0-9]{1,6})?|\.[0-9]{1,6}")
_LABEL = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._/-]{0,61}[A-Za-z0-9])?")


@dataclass(frozen=True, slots=True)
class Rules:
    """What the settings say of workers; empty `zones` or `kinds` take any."""

    zones: tuple[str, ...] = ()
    kinds: Mapping[str, float] = field(default_factory=dict)  # the weight of each kind
    lookups: bool = False  # host names are allowed: something resolves them
    port: int = 0  # where a row gives none; 0: it must
    require: tuple[str, ...] = ()  # fields that each row must give
    names: Mapping[str, str] = field(default_factory=dict)  # of columns and variables, the schema's names
    implied_groups: bool = True  # a group called like a kind or zone puts its hosts there

    @property
    def canonical_names(self) -> dict[str, str]:
        """By the name of a variable, the schema's name for it."""
        own = {name: name for name in FIELDS - {"name", "groups"}}
        return own | {theirs: ours for ours, theirs in FALLBACKS.items()} | dict(self.names)

    @property
    def implied_values(self) -> dict[str, tuple[str, str]]:
        """By the name of a group, what standing in it says: names of groups have `_` where kinds have `-`."""
        meant: dict[str, tuple[str, str]] = {}
        if self.implied_groups:
            for key, words in (("zone", self.zones), ("kind", tuple(self.kinds))):
                for word in words:
                    for name in (word, word.replace("-", "_"), f"{key}_{word.replace('-', '_')}"):
                        meant[name] = (key, word)
        return meant


class _InvalidValueError(Exception):
    """A value that can't be taken."""

    def __init__(self, code: Code, message: str, suggestion: str = "") -> None:
        super().__init__(message)
        self.code, self.suggestion = code, suggestion


@dataclass(slots=True)
class CheckedRow:
    """A row after the check: its record if it is right, and what is wrong if not."""

    row: Row
    record: ReplicaRecord | None
    problems: list[Problem]
    state: str = "up"  # as far as it can be read, also where the rest is wrong
    address: tuple[str, int] | None = None  # the same

    @property
    def reason(self) -> str:
        """Why it is not taken, in a few words."""
        return "; ".join(f"{one.code.id} {one.message}" for one in self.problems if one.is_error)


def check_row(row: Row, rules: Rules) -> CheckedRow:
    """Check one row alone. All that is wrong with it is found, not the first fault only."""
    return _RowChecker(row, rules).check()


class _RowChecker:
    def __init__(self, row: Row, rules: Rules) -> None:
        self.row, self.rules = row, rules
        self.problems: list[Problem] = list(row.problems)
        self.values: dict[str, Value] = {}
        self.labels: dict[str, Value] = {}

    def check(self) -> CheckedRow:
        row, rules = self.row, self.rules
        self._collect_values()
        name = self._check_name()
        host, port = self._check_address()
        zone = self._check_known_name("zone", rules.zones, UNKNOWN_ZONE)
        kind = self._check_known_name("kind", tuple(rules.kinds), UNKNOWN_KIND)
        cell = self._parse_field("cell", _parse_cell, 0)
        weight = self._parse_field("weight", _parse_weight, rules.kinds.get(kind, 1.0))
        state = self._parse_field("state", _parse_state, "up")
        labels = self._check_labels()
        for need in rules.require:
            if need in FIELDS and not self.text(need) and need not in ("name", "host", "port"):
                self._add(
                    MISSING_VALUE, row.place, f"{row.name or 'the row'} has no {need}", f"give it a {need}"
                )
        address = (host, port) if host and port else None
        record = None
        if address is not None and not any(one.is_error for one in self.problems):
            record = ReplicaRecord(name, *address, zone, kind, cell, weight, state, labels)
        return CheckedRow(row, record, self.problems, state, address)

    def _add(self, code: Code, place: Place, message: str, suggestion: str = "") -> None:
        self.problems.append(Problem(code, place, message, suggestion, None, self.row.name))

    def _collect_values(self) -> None:
        """Variables by the schema's names: a mapped or own name goes before Ansible's fallback."""
        for key, value in self.row.values.items():
            ours = self.rules.names.get(key, key)
            if ours in FIELDS and (ours not in self.values or key != ours):
                self.values[ours] = value
            elif ours.startswith(("label.", "label_")):
                self.labels[ours[6:]] = value
        for ours, theirs in FALLBACKS.items():
            if ours not in self.values and theirs in self.row.values:
                self.values[ours] = self.row.values[theirs]

    def text(self, field_name: str) -> str:
        value = self.values.get(field_name)
        return value.text.strip() if value is not None else ""

    def _parse_field(self, field_name: str, read: Callable[[str], T], default: T) -> T:
        """A value read by its own rule; what is wrong is noted, and the default stands for it."""
        value = self.values.get(field_name)
        if value is None or not self._is_plain(field_name, value):
            return default
        text = value.text.strip()
        if not text:
            return default
        try:
            return read(text)
        except _InvalidValueError as fault:
            self._add(fault.code, value.place, str(fault), fault.suggestion)
            return default

    def _is_plain(self, field_name: str, value: Value) -> bool:
        """Whether a value can be used as it stands: one that has to be worked out is never guessed."""
        if value.encrypted or value.text.startswith("$ANSIBLE_VAULT;"):
            self._add(VAULT_VALUE, value.place, f"{field_name} is under a vault key", "keep it in the open")
            return False
        if _TEMPLATE.search(value.text):
            message = f"{field_name} is a template, {_quoted(value.text)}"
            self._add(TEMPLATE_VALUE, value.place, message, "write the value itself")
            return False
        if isinstance(value.raw, list | dict):
            what = "a list" if isinstance(value.raw, list) else "a mapping"
            self._add(
                BAD_NUMBER
                if field_name in ("weight", "cell")
                else BAD_LABEL
                if field_name == "labels"
                else MISSING_VALUE,
                value.place,
                f"{field_name} is {what}",
                "write one plain value",
            )
            return False
        return True

    def _check_name(self) -> str:
        row = self.row
        if row.name and not _NAME.fullmatch(row.name) and not is_ip(row.name):
            suggestion = "use letters, digits, dot, dash and underscore"
            self._add(BAD_NAME, row.place, f"{_quoted(row.name)} is no name for a worker", suggestion)
        return row.name

    def _check_address(self) -> tuple[str, int]:
        row = self.row
        before = len(self.problems)
        joined = self._parse_field("endpoint", str, "")
        place = self.values["endpoint"].place if "endpoint" in self.values else row.place
        if joined:
            host, colon, port_text = joined.rpartition(":")
            if not colon or not host:
                suggestion = "write host:port, an IPv6 address in brackets"
                self._add(NO_ADDRESS, place, f"the endpoint is {_quoted(joined)}", suggestion)
                return "", 0
            if ":" in host and not (host.startswith("[") and host.endswith("]")):
                self._add(
                    BAD_HOST, place, f"the endpoint is {_quoted(joined)}", "write [address]:port for IPv6"
                )
                return "", 0
            host, port = host.strip("[]"), self._parse_text(port_text, place, _parse_port, 0)
        else:
            host = self._parse_field("host", str, "") or (row.name if "host" not in self.values else "")
            host = host.strip("[]")
            place = self.values["host"].place if "host" in self.values else row.place
            port = self._parse_field("port", _parse_port, self.rules.port)
            if not port and len(self.problems) == before:
                self._add(
                    NO_ADDRESS, row.place, f"{row.name or 'the row'} has no port", "give it port or endpoint"
                )
        if not host:
            if len(self.problems) == before:
                self._add(
                    NO_ADDRESS, place, f"{row.name or 'the row'} has no host", "give it host or endpoint"
                )
            return "", port
        return self._check_host(host, place), port

    def _check_host(self, host: str, place: Place) -> str:
        try:
            address = ipaddress.ip_address(host)
        except ValueError:
            # Four numbers were meant as an address: no name looks like that.
            numeric = re.fullmatch(r"[0-9.]+", host) is not None
            if self.rules.lookups and not numeric and _DNS.fullmatch(host):
                return host.lower()
            if numeric or (self.rules.lookups and not _DNS.fullmatch(host)):
                message, suggestion = (
                    f"{_quoted(host)} is no IP address",
                    "write four numbers up to 255, as 10.1.0.18",
                )
            else:
                message = f"{_quoted(host)} is no IP address, and look-ups are off"
                suggestion = "write the address, or set lookups = true"
            self._add(BAD_HOST, place, message, suggestion)
            return ""
        if address.is_unspecified or address.is_multicast or str(address) == "255.255.255.255":
            self._add(
                UNUSABLE_HOST, place, f"nothing can be sent to {address}", "write the worker's own address"
            )
            return ""
        return str(address)

    def _parse_text(self, text: str, place: Place, read: Callable[[str], T], default: T) -> T:
        try:
            return read(text.strip())
        except _InvalidValueError as fault:
            self._add(fault.code, place, str(fault), fault.suggestion)
            return default

    def _check_known_name(self, field_name: str, known: tuple[str, ...], code: Code) -> str:
        def read(text: str) -> str:
            if known and text not in known:
                close = difflib.get_close_matches(text, known, 1, 0.5)
                meant = f"did you mean {close[0]}? " if close else ""
                raise _InvalidValueError(
                    code, f"{field_name} {_quoted(text)} is not known", f"{meant}known are {', '.join(known)}"
                )
            return text

        return self._parse_field(field_name, read, "")

    def _check_labels(self) -> tuple[tuple[str, str], ...]:
        found: dict[str, str] = {}
        value = self.values.get("labels")
        if value is not None and isinstance(value.raw, dict):
            pairs = [(str(key), "" if text is None else text, value.place) for key, text in value.raw.items()]
        elif value is not None and self._is_plain("labels", value):
            pairs = []
            for part in filter(None, (part.strip() for part in re.split("[;,]", value.text))):
                key, equals, text = part.partition("=")
                if not equals:
                    self._add(
                        BAD_LABEL,
                        value.place,
                        f"label {_quoted(part)} has no value",
                        "write name=value;name=value",
                    )
                pairs.append((key.strip(), text.strip(), value.place))
        else:
            pairs = []
        pairs += [(key, one.text, one.place) for key, one in self.labels.items() if one.text]
        for key, text, place in pairs:
            if not _LABEL.fullmatch(key) or not isinstance(text, str) or (text and len(text) > 256):
                message = f"label {_quoted(key)} is no short name with a plain value"
                self._add(BAD_LABEL, place, message, "use letters, digits, and . _ / - within")
            elif _TEMPLATE.search(text):
                self._add(
                    TEMPLATE_VALUE,
                    place,
                    f"label {key} is a template, {_quoted(text)}",
                    "write the value itself",
                )
            else:
                found[key] = text
        return tuple(sorted(found.items()))


def _quoted(text: str) -> str:
    return repr(text if len(text) <= 60 else text[:57] + "...")


def is_ip(text: str) -> bool:
    """Whether a text is an IP address, of either version."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _parse_port(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 5 and 0 < int(text) < 65536):
        raise _InvalidValueError(
            BAD_PORT, f"the port is {_quoted(text)}", "write a whole number from 1 to 65535"
        )
    return int(text)


def _parse_cell(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 6):
        raise _InvalidValueError(
            BAD_NUMBER, f"the cell is {_quoted(text)}", "write a whole number from 0 to 999999"
        )
    return int(text)


def _parse_weight(text: str) -> float:
    if not _NUMBER.fullmatch(text) or not 0 < float(text) <= 1000:
        raise _InvalidValueError(
            BAD_NUMBER, f"the weight is {_quoted(text)}", "write a number above 0, at most 1000, as 1.25"
        )
    return float(text)


def _parse_state(text: str) -> str:
    state = STATES.get(text.lower())
    if state is None:
        raise _InvalidValueError(
            UNKNOWN_STATE, f"the state is {_quoted(text)}", "write up, draining or removed"
        )
    return state


def more_restrictive(one: str, other: str) -> str:
    """Of two states that a host is given, the one that takes more away."""
    return max(one, other, key=_STATES_BY_CAUTION.index)


def reject_duplicate_addresses(checked: Iterable[CheckedRow]) -> None:
    """Find workers that share an address; each of them loses its record, for none can be told the right one.

    Those that are removed have no address any more, and count for nothing here.
    """
    stands: dict[tuple[str, int], list[CheckedRow]] = {}
    for one in checked:
        if one.record is not None and one.state != "removed":
            stands.setdefault(one.record.address, []).append(one)
    for address, sharing in stands.items():
        if len(sharing) < 2:
            continue
        shown = sorted({one.row.name for one in sharing})
        names = " and ".join(shown[:3]) + (" and others" if len(shown) > 3 else "")
        for one in sharing:
            other = sharing[0] if one is not sharing[0] else sharing[1]
            host = f"[{address[0]}]" if ":" in address[0] else address[0]
            message = f"{names} have one address, {host}:{address[1]}"
            suggestion = "give each its own, or take one of them out"
            place = _address_place(one.row)
            one.problems.append(
                Problem(
                    DUPLICATE_ADDRESS, place, message, suggestion, _address_place(other.row), one.row.name
                )
            )
            one.record = None


def _address_place(row: Row) -> Place:
    for key in ("endpoint", "host", "ansible_host"):
        if key in row.values:
            return row.values[key].place
    return row.place
