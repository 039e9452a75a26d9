"""The common model that every reader fills: values with their places, rows, groups, and worker records."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from .problems import Place, Problem


@dataclass(frozen=True, slots=True)
class Value:
    """A value as a source writes it: text, or a mapping or list of plain ones, and where it stands.

    `vault` marks one that only a vault key opens; None is a null.
    """

    raw: Any
    place: Place
    encrypted: bool = False

    @property
    def text(self) -> str:
        """The value as text; a null is empty."""
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
        """Further variables, from another place where the host stands; the later goes before the earlier."""
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
    malformed_at: Place | None = None  # where its variables can't be read: nothing is known of its hosts


@dataclass(slots=True)
class Source:
    """What one file says, in whichever form; a reader fills it as far as it can read.

    The form is csv, ini, yaml or json. In CSV a name stands once; in the others a host may stand in several
    places, whose variables are put together.
    """

    file: str
    format: str
    complete: bool = True  # read to its end: a host that is not in it has been taken out
    ends_with_newline: bool = True  # ends with a newline, as whole text files do
    hosts: list[Host] = field(default_factory=list)
    groups: dict[str, Group] = field(default_factory=dict)

    def get_or_add_group(self, name: str, place: Place) -> Group:
        """A group by its name, made where it is new."""
        return self.groups.setdefault(name, Group(name, place))


@dataclass(frozen=True, slots=True)
class Row:
    """A host with everything that is said of it put together: one for each name, or for each CSV line."""

    name: str
    place: Place
    values: dict[str, Value]
    groups: tuple[str, ...] = ()
    files: tuple[str, ...] = ()
    problems: tuple[Problem, ...] = ()


@dataclass(frozen=True, slots=True)
class ReplicaRecord:
    """A worker as the schema has accepted it.

    `weight` is relative to a worker of the yardstick's speed; `cell` is a whole number from 0 on; `state`
    is up, draining or removed. Equal records ask for the same treatment, wherever they stand.
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
        """Where it listens."""
        return self.host, self.port

    def as_json(self) -> dict[str, Any]:
        """A plain object, as `check --json` prints it."""
        names = ("name", "host", "port", "zone", "kind", "cell", "weight", "state")
        return {name: getattr(self, name) for name in names} | {"labels": dict(self.labels)}


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All sources at one moment, as far as they could be read.

    `workers` are those whose rows are right, by name. `bad` names hosts that are there but not right, with
    the reason; `drains` those among them whose row nevertheless says plainly that they drain or are removed.
    `doubtful` are sources that were not read to their end, and `loose` the addresses of rows whose name
    could not be made out: an absence that either may explain is no removal.
    """

    replicas: dict[str, ReplicaRecord]
    files: dict[str, tuple[str, ...]] = field(default_factory=dict)  # of each worker, where it stands
    invalid_hosts: dict[str, str] = field(default_factory=dict)
    requested_states: dict[str, str] = field(default_factory=dict)
    incomplete_sources: dict[str, str] = field(default_factory=dict)
    unnamed_addresses: frozenset[tuple[str, int]] = frozenset()
    unterminated_sources: frozenset[str] = frozenset()  # sources whose last line has no newline
    problems: tuple[Problem, ...] = ()
    fingerprint: str = ""
