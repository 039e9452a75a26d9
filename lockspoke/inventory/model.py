"""The data model of an inventory: values with their places, hosts, groups, rows, replicas and snapshots."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from .problems import Place, Problem


@dataclass(frozen=True, slots=True)
class Value:
    """A value as written in a source: a string, a mapping, a list, or None for a null.

    `encrypted` marks a value that is encrypted with Ansible Vault.
    """

    raw: Any
    place: Place
    encrypted: bool = False

    @property
    def text(self) -> str:
        """The value as a string; empty for a null."""
        return "" if self.raw is None else self.raw if isinstance(self.raw, str) else str(self.raw)


class ValueConflict(NamedTuple):
    """Two different values for the same variable."""

    key: str
    first: Value
    second: Value


@dataclass(slots=True)
class Host:
    """A host as one source defines it, before group variables and the schema are applied."""

    name: str
    place: Place
    variables: dict[str, Value] = field(default_factory=dict)
    conflicts: list[ValueConflict] = field(default_factory=list)

    def add_variables(self, new_variables: dict[str, Value]) -> None:
        """Add variables from another definition of the host; they override earlier ones."""
        for key, value in new_variables.items():
            previous = self.variables.get(key)
            if previous is not None and previous.raw != value.raw:
                self.conflicts.append(ValueConflict(key, previous, value))
            self.variables[key] = value


@dataclass(slots=True)
class Group:
    """A group as one source defines it."""

    name: str
    place: Place
    hosts: dict[str, Place] = field(default_factory=dict)
    children: dict[str, Place] = field(default_factory=dict)
    variables: dict[str, Value] = field(default_factory=dict)
    malformed_at: Place | None = None  # The place of variables that can't be read, if there are any.


@dataclass(slots=True)
class Source:
    """The hosts and groups of one file, as far as it can be read.

    `format` is csv, ini, yaml or json. In all formats except CSV, a host may be defined in several places of
    a file, and their variables are merged.
    """

    file: str
    format: str
    complete: bool = True  # It was read to its end, so a host that is not in it has been removed.
    ends_with_newline: bool = True  # A missing newline may mean that the file is still being written.
    hosts: list[Host] = field(default_factory=list)
    groups: dict[str, Group] = field(default_factory=dict)

    def get_or_add_group(self, name: str, place: Place) -> Group:
        """Return the group with this name; create it if it does not exist."""
        return self.groups.setdefault(name, Group(name, place))


@dataclass(frozen=True, slots=True)
class Row:
    """A host with the values merged from all sources; there is one row for each host name."""

    name: str
    place: Place
    values: dict[str, Value]
    groups: tuple[str, ...] = ()
    files: tuple[str, ...] = ()
    problems: tuple[Problem, ...] = ()


@dataclass(frozen=True, slots=True)
class ReplicaRecord:
    """A replica whose row is valid.

    `weight` is relative to a replica of the reference speed, `cell` counts from 0, and `state` is up,
    draining or removed. A record does not say which file it was read from, so equal records are
    interchangeable.
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
        """The host and port that the replica listens on."""
        return self.host, self.port

    def as_json(self) -> dict[str, Any]:
        """Return the record as a dict with the keys of the stored list and of `check --json`."""
        names = ("name", "host", "port", "zone", "kind", "cell", "weight", "state")
        return {name: getattr(self, name) for name in names} | {"labels": dict(self.labels)}


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The content of all sources at one moment, as far as they could be read.

    Attributes:
        replicas: The hosts with valid rows.
        files: For each host, the files that define it.
        invalid_hosts: The hosts with invalid rows, and the reasons.
        requested_states: The states of the invalid hosts whose rows say that they are draining or removed.
        stopped_by: For each host that is draining or removed, the file that says so.
        incomplete_sources: The sources that were not read to their end, and the reasons.
        invalid_row_addresses: The addresses in invalid rows. These rows and the incomplete sources may be
            the reason why a known host is missing from the snapshot, so it is not removed then.
        unterminated_sources: The sources without a final newline.
        problems: All problems found, sorted by file, line and column.
        fingerprint: A digest of the names and contents of all files.
    """

    replicas: dict[str, ReplicaRecord]
    files: dict[str, tuple[str, ...]] = field(default_factory=dict)
    invalid_hosts: dict[str, str] = field(default_factory=dict)
    requested_states: dict[str, str] = field(default_factory=dict)
    stopped_by: dict[str, str] = field(default_factory=dict)
    incomplete_sources: dict[str, str] = field(default_factory=dict)
    invalid_row_addresses: frozenset[tuple[str, int]] = frozenset()
    unterminated_sources: frozenset[str] = frozenset()
    problems: tuple[Problem, ...] = ()
    fingerprint: str = ""
