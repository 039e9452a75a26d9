"""Checks the rows of an inventory against the schema. All problems of a row are found, not only the first."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple, TypeVar

from .field_parsers import (
    InvalidValueError,
    parse_cell,
    parse_host,
    parse_known_name,
    parse_port,
    parse_state,
    parse_weight,
    quoted,
)
from .model import ReplicaRecord, Row, Value
from .problems import (
    BAD_HOST,
    BAD_LABEL,
    BAD_NAME,
    BAD_NUMBER,
    DUPLICATE_ADDRESS,
    MISSING_VALUE,
    NO_ADDRESS,
    TEMPLATE_VALUE,
    UNKNOWN_KIND,
    UNKNOWN_ZONE,
    VAULT_VALUE,
    Code,
    Place,
    Problem,
)
from .schema import FALLBACKS, FIELDS, LABEL_PREFIXES, ReplicaRules, is_ip

T = TypeVar("T")

MAX_LABEL_CHARS = 256  # of a label's value
MAX_NAMES_SHOWN = 3

_NAME = re.compile(r"[A-Za-z0-9_](?:[A-Za-z0-9._-]{0,251}[A-Za-z0-9_])?")
_TEMPLATE = re.compile(r"\{\{|\{%")
_LABEL_NAME = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._/-]{0,61}[A-Za-z0-9])?")
_VAULT_PREFIX = "$ANSIBLE_VAULT;"
_CODES_OF_COMPOUND_VALUES = {"weight": BAD_NUMBER, "cell": BAD_NUMBER, "labels": BAD_LABEL}


@dataclass(slots=True)
class CheckedRow:
    """A row after the check: its record if it is valid, and its problems."""

    row: Row
    record: ReplicaRecord | None
    problems: list[Problem]
    state: str = "up"  # as far as it can be read, also where the row is invalid
    address: tuple[str, int] | None = None  # the same

    @property
    def reason(self) -> str:
        """Why it is invalid, in a few words."""
        return "; ".join(f"{one.code.id} {one.message}" for one in self.problems if one.is_error)


def check_row(row: Row, rules: ReplicaRules) -> CheckedRow:
    """Check one row alone."""
    return _RowChecker(row, rules).check()


class _Label(NamedTuple):
    """A label as it is written; `text` may be any plain value of a document."""

    name: str
    text: object
    place: Place


class _RowChecker:
    def __init__(self, row: Row, rules: ReplicaRules) -> None:
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
        cell = self._parse_field("cell", parse_cell, 0)
        weight = self._parse_field("weight", parse_weight, rules.kinds.get(kind, 1.0))
        state = self._parse_field("state", parse_state, "up")
        labels = self._check_labels()
        self._check_required_fields()
        address = (host, port) if host and port else None
        record = None
        if address is not None and not any(problem.is_error for problem in self.problems):
            record = ReplicaRecord(name, *address, zone, kind, cell, weight, state, labels)
        return CheckedRow(row, record, self.problems, state, address)

    def _add(self, code: Code, place: Place, message: str, suggestion: str = "") -> None:
        self.problems.append(Problem(code, place, message, suggestion, None, self.row.name))

    def _add_invalid(self, error: InvalidValueError, place: Place) -> None:
        self._add(error.code, place, str(error), error.suggestion)

    def _collect_values(self) -> None:
        """Find the value of each field; a mapped or own name goes before Ansible's."""
        for key, value in self.row.values.items():
            ours = self.rules.names.get(key, key)
            if ours in FIELDS and (ours not in self.values or key != ours):
                self.values[ours] = value
            elif ours.startswith(LABEL_PREFIXES):
                self.labels[ours[len(LABEL_PREFIXES[0]) :]] = value
        for ours, theirs in FALLBACKS.items():
            if ours not in self.values and theirs in self.row.values:
                self.values[ours] = self.row.values[theirs]

    def _text(self, field_name: str) -> str:
        value = self.values.get(field_name)
        return value.text.strip() if value is not None else ""

    def _place(self, field_name: str) -> Place:
        value = self.values.get(field_name)
        return value.place if value is not None else self.row.place

    def _parse_field(self, field_name: str, parse: Callable[[str], T], default: T) -> T:
        """Parse the value of a field; the default stands in for a missing or an invalid one."""
        value = self.values.get(field_name)
        if value is None or not self._is_plain(field_name, value):
            return default
        text = value.text.strip()
        return self._parse_text(text, value.place, parse, default) if text else default

    def _parse_text(self, text: str, place: Place, parse: Callable[[str], T], default: T) -> T:
        try:
            return parse(text)
        except InvalidValueError as error:
            self._add_invalid(error, place)
            return default

    def _is_plain(self, field_name: str, value: Value) -> bool:
        """Whether a value can be used as it is; templates and encrypted values are never evaluated."""
        if value.encrypted or value.text.startswith(_VAULT_PREFIX):
            message = f"{field_name} is under a vault key"
            self._add(VAULT_VALUE, value.place, message, "keep it in the open")
        elif _TEMPLATE.search(value.text):
            message = f"{field_name} is a template, {quoted(value.text)}"
            self._add(TEMPLATE_VALUE, value.place, message, "write the value itself")
        elif isinstance(value.raw, list | dict):
            code = _CODES_OF_COMPOUND_VALUES.get(field_name, MISSING_VALUE)
            what = "a list" if isinstance(value.raw, list) else "a mapping"
            self._add(code, value.place, f"{field_name} is {what}", "write one plain value")
        else:
            return True
        return False

    def _check_name(self) -> str:
        row = self.row
        if row.name and not _NAME.fullmatch(row.name) and not is_ip(row.name):
            suggestion = "use letters, digits, dot, dash and underscore"
            self._add(BAD_NAME, row.place, f"{quoted(row.name)} is no name for a worker", suggestion)
        return row.name

    def _check_address(self) -> tuple[str, int]:
        """The host and port; an empty host and port 0 for those that can't be read."""
        problems_before = len(self.problems)
        endpoint = self._parse_field("endpoint", str, "")
        if endpoint:
            place = self._place("endpoint")
            host_and_port = self._split_endpoint(endpoint, place)
            if host_and_port is None:
                return "", 0
            host, port = host_and_port
        else:
            place = self._place("host")
            host = self._parse_field("host", str, "") or (self.row.name if "host" not in self.values else "")
            host = host.strip("[]")
            port = self._parse_field("port", parse_port, self.rules.port)
            if not port and len(self.problems) == problems_before:
                self._add_missing_address("port", self.row.place)
        if host:
            parse = partial(parse_host, allow_names=self.rules.lookups)
            return self._parse_text(host, place, parse, ""), port
        if len(self.problems) == problems_before:
            self._add_missing_address("host", place)
        return "", port

    def _split_endpoint(self, endpoint: str, place: Place) -> tuple[str, int] | None:
        """The host and port of `host:port`; None, with a problem noted, for anything else."""
        host, colon, port_text = endpoint.rpartition(":")
        message = f"the endpoint is {quoted(endpoint)}"
        if not colon or not host:
            self._add(NO_ADDRESS, place, message, "write host:port, an IPv6 address in brackets")
            return None
        if ":" in host and not (host.startswith("[") and host.endswith("]")):
            self._add(BAD_HOST, place, message, "write [address]:port for IPv6")
            return None
        return host.strip("[]"), self._parse_text(port_text.strip(), place, parse_port, 0)

    def _add_missing_address(self, field_name: str, place: Place) -> None:
        message = f"{self.row.name or 'the row'} has no {field_name}"
        self._add(NO_ADDRESS, place, message, f"give it {field_name} or endpoint")

    def _check_known_name(self, field_name: str, known: tuple[str, ...], code: Code) -> str:
        parse = partial(parse_known_name, field=field_name, known=known, code=code)
        return self._parse_field(field_name, parse, "")

    def _check_required_fields(self) -> None:
        row = self.row
        for need in self.rules.require:
            if need in FIELDS and not self._text(need) and need not in ("name", "host", "port"):
                message = f"{row.name or 'the row'} has no {need}"
                self._add(MISSING_VALUE, row.place, message, f"give it a {need}")

    # Labels

    def _check_labels(self) -> tuple[tuple[str, str], ...]:
        """The labels in the order of their names."""
        found: dict[str, str] = {}
        written = self._labels_of_field()
        written += [_Label(key, one.text, one.place) for key, one in self.labels.items() if one.text]
        for name, text, place in written:
            is_valid_name = _LABEL_NAME.fullmatch(name) is not None
            if not is_valid_name or not isinstance(text, str) or len(text) > MAX_LABEL_CHARS:
                message = f"label {quoted(name)} is no short name with a plain value"
                self._add(BAD_LABEL, place, message, "use letters, digits, and . _ / - within")
            elif _TEMPLATE.search(text):
                message = f"label {name} is a template, {quoted(text)}"
                self._add(TEMPLATE_VALUE, place, message, "write the value itself")
            else:
                found[name] = text
        return tuple(sorted(found.items()))

    def _labels_of_field(self) -> list[_Label]:
        """The labels of the field `labels`, which is a mapping or a text such as `a=1;b=2`."""
        value = self.values.get("labels")
        if value is None:
            return []
        if isinstance(value.raw, dict):
            return [
                _Label(str(key), "" if text is None else text, value.place) for key, text in value.raw.items()
            ]
        if not self._is_plain("labels", value):
            return []
        labels = []
        for part in filter(None, (part.strip() for part in re.split("[;,]", value.text))):
            name, equals, text = part.partition("=")
            if not equals:
                message = f"label {quoted(part)} has no value"
                self._add(BAD_LABEL, value.place, message, "write name=value;name=value")
            labels.append(_Label(name.strip(), text.strip(), value.place))
        return labels


def reject_duplicate_addresses(checked: Iterable[CheckedRow]) -> None:
    """Take their records from all replicas that share an address, as any of them may be the right one.

    Replicas that are removed have no address and don't count.
    """
    rows_by_address: dict[tuple[str, int], list[CheckedRow]] = {}
    for one in checked:
        if one.record is not None and one.state != "removed":
            rows_by_address.setdefault(one.record.address, []).append(one)
    for address, sharing in rows_by_address.items():
        if len(sharing) > 1:
            _reject_sharing(address, sharing)


def _reject_sharing(address: tuple[str, int], sharing: list[CheckedRow]) -> None:
    names = sorted({one.row.name for one in sharing})
    shown = " and ".join(names[:MAX_NAMES_SHOWN]) + (" and others" if len(names) > MAX_NAMES_SHOWN else "")
    host = f"[{address[0]}]" if ":" in address[0] else address[0]
    message = f"{shown} have one address, {host}:{address[1]}"
    suggestion = "give each its own, or take one of them out"
    for one in sharing:
        other = sharing[0] if one is not sharing[0] else sharing[1]
        place, related_place = _address_place(one.row), _address_place(other.row)
        one.problems.append(
            Problem(DUPLICATE_ADDRESS, place, message, suggestion, related_place, one.row.name)
        )
        one.record = None


def _address_place(row: Row) -> Place:
    for key in ("endpoint", "host", "ansible_host"):
        if key in row.values:
            return row.values[key].place
    return row.place
