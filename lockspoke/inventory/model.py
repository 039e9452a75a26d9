"""The model of an inventory: values with their places, hosts, groups, rows, replica records and snapshots."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from .problems import Place, Problem


@dataclass(frozen=True, slots=True)
class Value:
    """A value as it is written in a source: a text, a mapping or a list of texts; None for a null.

    `encrypted` marks a value that only a vault key opens.
    """

    raw: Any
    place: Place
    encrypted: bool = False

    @property
    def text(self) -> str:
        """The value as text; empty for a null."""
        return "" if self.raw is None else self.raw if isinstance(self.raw, str) else str(self.raw)


class ValueConflict(NamedTuple):
    """A variable that is given twice, with two values."""

    key: str
    first: Value
    second: Value


@dataclass(slots=True)
class Host:
    """A host in one source, before groups and schema have been applied."""

    name: str
    place: Place
    variables: dict[str, Value] = field(default_factory=dict)
    conflicts: list[ValueConflict] = field(default_factory=list)

    def add_variables(self, given: dict[str, Value]) -> None:
        """Add variables from another place that names the host; they override those before."""
        for key, value in given.items():
            before = self.variables.get(key)
            if before is not None and before.raw != value.raw:
                self.conflicts.append(ValueConflict(key, before, value))
            self.variables[key] = value


@dataclass(slots=True)
class Group:
    """A group in one source."""

    name: str
    place: Place
    hosts: dict[str, Place] = field(default_factory=dict)
    children: dict[str, Place] = field(default_factory=dict)
    variables: dict[str, Value] = field(default_factory=dict)
    malformed_at: Place | None = None  # where its variables can't be read


@dataclass(slots=True)
class Source:
    """The content of one file, as far as it can be read.

    `format` is csv, ini, yaml or json. In all of them but CSV a host may be named in several places, whose
    variables are merged.
    """

    file: str
    format: str
    complete: bool = True  # read to its end: a host that is not in it has been removed
    ends_with_newline: bool = True  # as complete text files do
    hosts: list[Host] = field(default_factory=list)
    groups: dict[str, Group] = field(default_factory=dict)

    def get_or_add_group(self, name: str, place: Place) -> Group:
        """The group with this name, created if it is new."""
        return self.groups.setdefault(name, Group(name, place))


@dataclass(frozen=True, slots=True)
class Row:
    """A host with its merged values: one row for each name, or for each line of a CSV file."""

    name: str
    place: Place
    values: dict[str, Value]
    groups: tuple[str, ...] = ()
    files: tuple[str, ...] = ()
    problems: tuple[Problem, ...] = ()


@dataclass(frozen=True, slots=True)
class ReplicaRecord:
    """A replica with a valid row.

    `weight` is relative to a replica of the reference speed, `cell` counts from 0, and `state` is up,
    draining or removed. Equal records mean the same, wherever they were read.
    """

    name: str
    host: str
    port: int
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    state: str = "up"
    labels: tuple[tuple[str, str], ...] = ()

    @property
    def address(self) -> tuple[str, int]:
        """The host and port that it listens on."""
        return self.host, self.port

    def as_json(self) -> dict[str, Any]:
        """The record as a plain object. Its keys are those of the stored list and of `check --json`."""
        names = ("name", "host", "port", "zone", "kind", "cell", "weight", "state")
        return {name: getattr(self, name) for name in names} | {"labels": dict(self.labels)}


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All sources at one moment, as far as they could be read.

    `replicas` are the hosts with valid rows. `invalid_hosts` have rows that are not valid, with the reason;
    `requested_states` holds the states of those among them that are draining or removed according to their
    rows. `incomplete_sources` were not read to their end, with the reason; `invalid_row_addresses` are the
    addresses in rows that are not valid. Either may explain why a host is missing, so it is not removed then.
    """

    replicas: dict[str, ReplicaRecord]
    files: dict[str, tuple[str, ...]] = field(default_factory=dict)  # by host, the files that name it
    invalid_hosts: dict[str, str] = field(default_factory=dict)
    requested_states: dict[str, str] = field(default_factory=dict)
    incomplete_sources: dict[str, str] = field(default_factory=dict)
    invalid_row_addresses: frozenset[tuple[str, int]] = frozenset()
    unterminated_sources: frozenset[str] = frozenset()  # sources without a final newline
    problems: tuple[Problem, ...] = ()
    fingerprint: str = ""
