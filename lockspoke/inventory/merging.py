"""Merges sources into rows by Ansible's order of precedence, and finds the conflicts between them.

The order, from weakest to strongest, is the one that Ansible documents: variables of `all` in the sources,
of other groups in the sources (by depth, then `ansible_group_priority`, then name), of `group_vars/all`, of
`group_vars/GROUP`, of the host in the sources, of `host_vars/HOST`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from .group_graph import ALL, UNGROUPED, GroupGraph, GroupNode
from .model import Host, Row, Source, Value
from .problems import (
    CONFLICTING_KINDS,
    CONFLICTING_ZONES,
    CONTRADICTS_GROUP,
    DUPLICATE_NAME,
    SOURCES_DISAGREE,
    STRAY_VARS,
    SYNTAX_ERROR,
    Place,
    Problem,
    ProblemCollector,
)

_CONFLICT_CODES = {"kind": CONFLICTING_KINDS, "zone": CONFLICTING_ZONES}


@dataclass(slots=True)
class FileVariables:
    """The variables that files in group_vars or host_vars give to one group or host."""

    values: dict[str, Value] = field(default_factory=dict)
    malformed_at: Place | None = None  # where one of the files can't be read
    place: Place = field(default_factory=lambda: Place(""))

    def merge(self, other: FileVariables) -> None:
        """Add the variables of another file; they override those of the files before it."""
        self.values.update(other.values)
        self.malformed_at = self.malformed_at or other.malformed_at


VariablesByName = Mapping[str, FileVariables]


@dataclass(frozen=True, slots=True)
class MergeRules:
    """How sources are merged.

    `canonical_names` gives the schema's name of a variable, `implied_values` by the name of a group the
    field and value that it implies. With `later_wins` sources may give different values.
    """

    canonical_names: Mapping[str, str]
    implied_values: Mapping[str, tuple[str, str]]
    later_wins: bool


class _Occurrence(NamedTuple):
    """A host in one source."""

    source: Source
    host: Host


def merge_sources(
    sources: Sequence[Source],
    group_vars: VariablesByName,
    host_vars: VariablesByName,
    rules: MergeRules,
    problems: ProblemCollector,
) -> list[Row]:
    """All hosts of all sources with their values, in the order in which they are first named."""
    graph = GroupGraph(sources, problems)
    hosts: dict[str, list[_Occurrence]] = {}
    for source in sources:
        for host in source.hosts:
            hosts.setdefault(host.name, []).append(_Occurrence(source, host))
    _report_stray_variables("group", group_vars, {*graph.nodes, ALL, UNGROUPED}, problems)
    _report_stray_variables("host", host_vars, hosts.keys(), problems)
    rows = []
    for name, occurrences in hosts.items():
        row = _HostMerger(name, occurrences, graph, group_vars, rules).merge(host_vars.get(name))
        for problem in row.problems:
            problems.found.setdefault(problem)
        rows.append(row)
    return rows


def _report_stray_variables(
    kind: str, variables: VariablesByName, known: Iterable[str], problems: ProblemCollector
) -> None:
    known = frozenset(known)
    for name, given in variables.items():
        if name not in known:
            message = f"variables for the {kind} {name!r}, which no source names"
            problems.add(STRAY_VARS, given.place, message, "name it, or take the file out")


class _HostMerger:
    """Merges the values that sources give for one host."""

    __slots__ = ("graph", "group_vars", "groups", "name", "occurrences", "problems", "rules", "values")

    def __init__(
        self,
        name: str,
        occurrences: Sequence[_Occurrence],
        graph: GroupGraph,
        group_vars: VariablesByName,
        rules: MergeRules,
    ) -> None:
        self.name = name
        self.occurrences = occurrences
        self.graph = graph
        self.group_vars = group_vars
        self.rules = rules
        self.groups = graph.groups_of(name)
        self.values: dict[str, Value] = {}
        self.problems: list[Problem] = []

    def merge(self, host_variables: FileVariables | None) -> Row:
        """The row of the host, with the problems of merging it."""
        self._merge_group_variables()
        group_values = {key: self.values[key] for key in _CONFLICT_CODES if key in self.values}
        self._merge_own_variables()
        if host_variables is not None:
            self.values.update(host_variables.values)
        self._report_contradictions(group_values)
        self._report_malformed_variables(host_variables)
        files = tuple(dict.fromkeys(source.file for source, _ in self.occurrences))
        group_names = tuple(node.name for node in self.groups)
        return Row(self.name, self._place, self.values, group_names, files, tuple(self.problems))

    @property
    def _place(self) -> Place:
        return self.occurrences[0].host.place

    # Values of groups

    def _merge_group_variables(self) -> None:
        for node in self.groups:
            self.values.update(node.variables)
        for node in self.groups:
            if given := self.group_vars.get(node.name):
                self.values.update(given.values)
        for node in self.groups:
            for key, before, value in node.conflicts:
                self._report_conflict(key, before, value)
        for key in _CONFLICT_CODES:
            candidates = self._strongest_group_values(key)
            if candidates:
                self._report_group_conflict(key, candidates)
                self.values[key] = candidates[-1][1]

    def _strongest_group_values(self, key: str) -> list[tuple[GroupNode, Value]]:
        """The groups that give or imply a value and are not overridden by another one that does.

        More than one of them means that the inventory is ambiguous, as in the middle of an edit.
        """
        candidates: list[tuple[GroupNode, Value]] = []
        for node in self.groups:
            value = self._group_value(node, key)
            if value is None:
                continue
            candidates = [one for one in candidates if not one[0].is_overridden_by(node)]
            if not any(node.is_overridden_by(other) for other, _ in candidates):
                candidates.append((node, value))
        return candidates

    def _group_value(self, node: GroupNode, key: str) -> Value | None:
        given = self.group_vars.get(node.name)
        if given is not None and key in given.values:
            return given.values[key]
        if key in node.variables:
            return node.variables[key]
        implied_key, implied_value = self.rules.implied_values.get(node.name, ("", ""))
        return Value(implied_value, node.place) if implied_key == key else None

    def _report_group_conflict(self, key: str, candidates: Sequence[tuple[GroupNode, Value]]) -> None:
        first_node, first_value = candidates[0]
        for node, value in candidates[1:]:
            if value.text != first_value.text:
                message = (
                    f"{self.name} stands under two {key}s: {first_value.text!r} by the group"
                    f" {first_node.name!r} and {value.text!r} by {node.name!r}"
                )
                place = self.graph.member_place(self.name, node.name) or value.place
                related_place = self.graph.member_place(self.name, first_node.name) or first_value.place
                suggestion = "take it out of one of them"
                self.problems.append(
                    Problem(_CONFLICT_CODES[key], place, message, suggestion, related_place, self.name)
                )
                return

    # Values of the host itself

    def _merge_own_variables(self) -> None:
        own: dict[str, Value] = {}
        first_by_file: dict[str, Host] = {}
        for source, host in self.occurrences:
            for key, before, value in host.conflicts:
                self._report_conflict(key, before, value)
            first = first_by_file.get(source.file)
            if source.format == "csv" and first is not None:
                self._report_duplicate(first, host)
            first_by_file.setdefault(source.file, host)
            for key, value in host.variables.items():
                earlier = own.get(key)
                if earlier is not None and earlier.text != value.text and source.file != earlier.place.file:
                    self._report_conflict(key, earlier, value)
                own[key] = value
        self.values.update(own)

    def _report_duplicate(self, first: Host, second: Host) -> None:
        code, message = DUPLICATE_NAME, f"{self.name} stands twice"
        for key, conflict_code in _CONFLICT_CODES.items():
            one, other = first.variables.get(key), second.variables.get(key)
            if one is not None and other is not None and one.text != other.text:
                code = conflict_code
                message = f"{self.name} stands twice, under the {key}s {one.text!r} and {other.text!r}"
                break
        self.problems.append(
            Problem(code, second.place, message, "keep one of the rows", first.place, self.name)
        )

    def _report_conflict(self, variable: str, one: Value, other: Value) -> None:
        """Note two values for a field, unless the later one, or the more restrictive state, counts."""
        field_name = self.rules.canonical_names.get(variable, "")
        if not field_name or field_name == "state":
            return
        if self.rules.later_wins and one.place.file != other.place.file:
            return
        code = _CONFLICT_CODES.get(field_name, SOURCES_DISAGREE)
        message = f"{self.name} has two values for {field_name}: {one.text!r} and {other.text!r}"
        self.problems.append(Problem(code, other.place, message, "keep one of them", one.place, self.name))

    def _report_contradictions(self, group_values: Mapping[str, Value]) -> None:
        """Note where the host's own value differs from that of its groups."""
        for key, value in group_values.items():
            own = self.values[key]
            if own.text != value.text:
                message = f"{self.name} has the {key} {own.text!r} of its own, its group says {value.text!r}"
                self.problems.append(
                    Problem(CONTRADICTS_GROUP, own.place, message, "keep one of them", value.place, self.name)
                )

    def _report_malformed_variables(self, host_variables: FileVariables | None) -> None:
        """Note that some variables of the host could not be read, so that its values are not known."""
        places = [node.malformed_at for node in self.groups]
        places += [given.malformed_at for node in self.groups if (given := self.group_vars.get(node.name))]
        if host_variables is not None:
            places.append(host_variables.malformed_at)
        malformed_at = next((place for place in places if place is not None), None)
        if malformed_at is not None:
            message = f"variables of {self.name} can't be read"
            self.problems.append(
                Problem(SYNTAX_ERROR, self._place, message, "mend them there", malformed_at, self.name)
            )
