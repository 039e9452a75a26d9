"""Checks the rows of an inventory against the schema, and reports all problems of each row."""

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
    Place,
    Problem,
    ProblemCode,
)
from .schema import ANSIBLE_VARIABLES, FIELDS, LABEL_PREFIXES, ReplicaRules, is_ip

T = TypeVar("T")

MAX_LABEL_VALUE_CHARS = 256
MAX_NAMES_SHOWN = 3

_NAME = re.compile(r"[A-Za-z0-9_](?:[A-Za-z0-9._-]{0,251}[A-Za-z0-9_])?")
_TEMPLATE = re.compile(r"\{\{|\{%")
_LABEL_NAME = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._/-]{0,61}[A-Za-z0-9])?")
_VAULT_PREFIX = "$ANSIBLE_VAULT;"
_COMPOUND_VALUE_CODES = {"weight": BAD_NUMBER, "cell": BAD_NUMBER, "labels": BAD_LABEL}


@dataclass(slots=True)
class CheckedRow:
    """A row after the check: its record if it is valid, and its problems.

    `state` and `address` are also set for an invalid row, if they can be read.
    """

    row: Row
    record: ReplicaRecord | None
    problems: list[Problem]
    state: str = "up"
    address: tuple[str, int] | None = None

    @property
    def reason(self) -> str:
        """The errors of the row as one line of text; empty if it is valid."""
        return "; ".join(
            f"{row_problem.code.id} {row_problem.message}"
            for row_problem in self.problems
            if row_problem.is_error
        )


def check_row(row: Row, rules: ReplicaRules) -> CheckedRow:
    """Check one row by itself, without comparing it to other rows."""
    return _RowChecker(row, rules).check()


def file_with_state(row: Row, rules: ReplicaRules) -> str:
    """The file that gives a row its state; empty if none does."""
    checker = _RowChecker(row, rules)
    checker.collect_values()
    state = checker.values.get("state")
    return state.place.file if state is not None else ""


class _Label(NamedTuple):
    """A label as written in a source; `text` may be a list or a mapping, which is not valid."""

    name: str
    text: object
    place: Place


class _RowChecker:
    """Checks the fields of one row and collects its problems."""

    def __init__(self, row: Row, rules: ReplicaRules) -> None:
        self.row, self.rules = row, rules
        self.problems: list[Problem] = list(row.problems)
        self.values: dict[str, Value] = {}
        self.labels: dict[str, Value] = {}

    def check(self) -> CheckedRow:
        row, rules = self.row, self.rules
        self.collect_values()
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

    def _report(self, code: ProblemCode, place: Place, message: str, suggestion: str = "") -> None:
        self.problems.append(Problem(code, place, message, suggestion, None, self.row.name))

    def _report_invalid_value(self, error: InvalidValueError, place: Place) -> None:
        self._report(error.code, place, str(error), error.suggestion)

    def collect_values(self) -> None:
        """Find the value of each field.

        A name that the settings map to the field takes precedence over the field's own name, and that one
        over Ansible's.
        """
        for key, value in self.row.values.items():
            canonical_name = self.rules.names.get(key, key)
            if canonical_name in FIELDS and (canonical_name not in self.values or key != canonical_name):
                self.values[canonical_name] = value
            elif canonical_name.startswith(LABEL_PREFIXES):
                self.labels[canonical_name[len(LABEL_PREFIXES[0]) :]] = value
        for canonical_name, ansible_variable in ANSIBLE_VARIABLES.items():
            if canonical_name not in self.values and ansible_variable in self.row.values:
                self.values[canonical_name] = self.row.values[ansible_variable]

    def _text(self, field_name: str) -> str:
        value = self.values.get(field_name)
        return value.text.strip() if value is not None else ""

    def _place(self, field_name: str) -> Place:
        value = self.values.get(field_name)
        return value.place if value is not None else self.row.place

    def _parse_field(self, field_name: str, parse: Callable[[str], T], default: T) -> T:
        """Parse the value of a field; return the default for a missing or invalid one."""
        value = self.values.get(field_name)
        if value is None or not self._is_plain(field_name, value):
            return default
        text = value.text.strip()
        return self._parse_text(text, value.place, parse, default) if text else default

    def _parse_text(self, text: str, place: Place, parse: Callable[[str], T], default: T) -> T:
        try:
            return parse(text)
        except InvalidValueError as error:
            self._report_invalid_value(error, place)
            return default

    def _is_plain(self, field_name: str, value: Value) -> bool:
        """Return whether a value can be used literally; report it if it is a template, encrypted or compound.

        Templates are never evaluated, and encrypted values are never decrypted.
        """
        if value.encrypted or value.text.startswith(_VAULT_PREFIX):
            message = f"{field_name} is under a vault key"
            self._report(VAULT_VALUE, value.place, message, "keep it in the open")
        elif _TEMPLATE.search(value.text):
            message = f"{field_name} is a template, {quoted(value.text)}"
            self._report(TEMPLATE_VALUE, value.place, message, "write the value itself")
        elif isinstance(value.raw, list | dict):
            code = _COMPOUND_VALUE_CODES.get(field_name, MISSING_VALUE)
            value_type = "a list" if isinstance(value.raw, list) else "a mapping"
            self._report(code, value.place, f"{field_name} is {value_type}", "write one plain value")
        else:
            return True
        return False

    def _check_name(self) -> str:
        row = self.row
        if row.name and not _NAME.fullmatch(row.name) and not is_ip(row.name):
            suggestion = "use letters, digits, dot, dash and underscore"
            self._report(BAD_NAME, row.place, f"{quoted(row.name)} is no name for a worker", suggestion)
        return row.name

    def _check_address(self) -> tuple[str, int]:
        """Return the host and port; an empty host or port 0 means that it can't be read."""
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
                self._report_missing_address("port", self.row.place)
        if host:
            parse = partial(parse_host, allow_names=self.rules.lookups)
            return self._parse_text(host, place, parse, ""), port
        if len(self.problems) == problems_before:
            self._report_missing_address("host", place)
        return "", port

    def _split_endpoint(self, endpoint: str, place: Place) -> tuple[str, int] | None:
        """Return the host and port of `host:port`; report anything else and return None."""
        host, colon, port_text = endpoint.rpartition(":")
        message = f"the endpoint is {quoted(endpoint)}"
        if not colon or not host:
            self._report(NO_ADDRESS, place, message, "write host:port, an IPv6 address in brackets")
            return None
        if ":" in host and not (host.startswith("[") and host.endswith("]")):
            self._report(BAD_HOST, place, message, "write [address]:port for IPv6")
            return None
        return host.strip("[]"), self._parse_text(port_text.strip(), place, parse_port, 0)

    def _report_missing_address(self, field_name: str, place: Place) -> None:
        message = f"{self.row.name or 'the row'} has no {field_name}"
        self._report(NO_ADDRESS, place, message, f"give it {field_name} or endpoint")

    def _check_known_name(self, field_name: str, known: tuple[str, ...], code: ProblemCode) -> str:
        parse = partial(parse_known_name, field=field_name, known=known, code=code)
        return self._parse_field(field_name, parse, "")

    def _check_required_fields(self) -> None:
        row = self.row
        for required in self.rules.require:
            if required in FIELDS and not self._text(required) and required not in ("name", "host", "port"):
                message = f"{row.name or 'the row'} has no {required}"
                self._report(MISSING_VALUE, row.place, message, f"give it a {required}")

    # Labels

    def _check_labels(self) -> tuple[tuple[str, str], ...]:
        """Return the valid labels, sorted by name."""
        valid_labels: dict[str, str] = {}
        given_labels = self._labels_of_field()
        given_labels += [
            _Label(key, label_value.text, label_value.place)
            for key, label_value in self.labels.items()
            if label_value.text
        ]
        for name, text, place in given_labels:
            is_valid_name = _LABEL_NAME.fullmatch(name) is not None
            if not is_valid_name or not isinstance(text, str) or len(text) > MAX_LABEL_VALUE_CHARS:
                message = f"label {quoted(name)} is no short name with a plain value"
                self._report(BAD_LABEL, place, message, "use letters, digits, and . _ / - within")
            elif _TEMPLATE.search(text):
                message = f"label {name} is a template, {quoted(text)}"
                self._report(TEMPLATE_VALUE, place, message, "write the value itself")
            else:
                valid_labels[name] = text
        return tuple(sorted(valid_labels.items()))

    def _labels_of_field(self) -> list[_Label]:
        """Return the labels in the field `labels`, which is a mapping or a string such as `a=1;b=2`."""
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
                self._report(BAD_LABEL, value.place, message, "write name=value;name=value")
            labels.append(_Label(name.strip(), text.strip(), value.place))
        return labels


def reject_duplicate_addresses(checked_rows: Iterable[CheckedRow]) -> None:
    """Make all rows with the same address invalid, as there is no telling which of them is correct.

    The address of a removed replica is free, so its row is ignored.
    """
    rows_by_address: dict[tuple[str, int], list[CheckedRow]] = {}
    for checked in checked_rows:
        if checked.record is not None and checked.state != "removed":
            rows_by_address.setdefault(checked.record.address, []).append(checked)
    for address, duplicates in rows_by_address.items():
        if len(duplicates) > 1:
            _reject_rows(address, duplicates)


def _reject_rows(address: tuple[str, int], duplicates: list[CheckedRow]) -> None:
    names = sorted({checked.row.name for checked in duplicates})
    shown = " and ".join(names[:MAX_NAMES_SHOWN]) + (" and others" if len(names) > MAX_NAMES_SHOWN else "")
    host = f"[{address[0]}]" if ":" in address[0] else address[0]
    message = f"{shown} have one address, {host}:{address[1]}"
    suggestion = "give each its own, or take one of them out"
    for checked in duplicates:
        other = duplicates[0] if checked is not duplicates[0] else duplicates[1]
        place, related_place = _address_place(checked.row), _address_place(other.row)
        checked.problems.append(
            Problem(DUPLICATE_ADDRESS, place, message, suggestion, related_place, checked.row.name)
        )
        checked.record = None


def _address_place(row: Row) -> Place:
    for key in ("endpoint", "host", "ansible_host"):
        if key in row.values:
            return row.values[key].place
    return row.place
