"""Merges sources into rows by Ansible's order of precedence, and finds the conflicts between them.

Ansible documents this order of precedence, from lowest to highest:

1. variables of the group `all` in the sources
2. variables of other groups in the sources, by depth, then `ansible_group_priority`, then name
3. `group_vars/all`
4. `group_vars/GROUP`, for the other groups in the same order
5. variables of the host in the sources
6. `host_vars/HOST`
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
from .schema import STATE_SYNONYMS, more_restrictive

_CONFLICT_CODES = {"kind": CONFLICTING_KINDS, "zone": CONFLICTING_ZONES}


@dataclass(slots=True)
class FileVariables:
    """The variables of one group or host from its files in group_vars or host_vars."""

    values: dict[str, Value] = field(default_factory=dict)
    malformed_at: Place | None = None  # The place in one of the files that can't be read, if there is any.
    place: Place = field(default_factory=lambda: Place(""))

    def merge(self, other: FileVariables) -> None:
        """Add the variables of another file; they override those of earlier files."""
        self.values.update(other.values)
        self.malformed_at = self.malformed_at or other.malformed_at


VariablesByName = Mapping[str, FileVariables]


@dataclass(frozen=True, slots=True)
class MergeRules:
    """How sources are merged.

    `canonical_names` maps the name of a variable to that of a schema field. `implied_values` maps the name of
    a group to the field and value that it implies for its hosts. With `later_wins`, different values in two
    sources are no conflict: the later source overrides the earlier one.
    """

    canonical_names: Mapping[str, str]
    implied_values: Mapping[str, tuple[str, str]]
    later_wins: bool


class _Occurrence(NamedTuple):
    """The definition of a host in one source."""

    source: Source
    host: Host


def merge_sources(
    sources: Sequence[Source],
    group_vars: VariablesByName,
    host_vars: VariablesByName,
    rules: MergeRules,
    problems: ProblemCollector,
) -> list[Row]:
    """Return a row for each host of all sources, in the order in which the hosts first appear."""
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
    kind: str, variables: VariablesByName, known_names: Iterable[str], problems: ProblemCollector
) -> None:
    known_names = frozenset(known_names)
    for name, file_variables in variables.items():
        if name not in known_names:
            message = f"variables for the {kind} {name!r}, which no source names"
            problems.add(STRAY_VARS, file_variables.place, message, "name it, or take the file out")


class _HostMerger:
    """Merges the values of one host from all sources."""

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
        """Return the row of the host, with the problems found while merging."""
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

    # Values from groups

    def _merge_group_variables(self) -> None:
        for node in self.groups:
            self.values.update(node.variables)
        for node in self.groups:
            if file_variables := self.group_vars.get(node.name):
                self.values.update(file_variables.values)
        for node in self.groups:
            for key, previous, value in node.conflicts:
                self._report_conflict(key, previous, value)
        for key in _CONFLICT_CODES:
            candidates = self._strongest_group_values(key)
            if candidates:
                self._report_group_conflict(key, candidates)
                self.values[key] = candidates[-1][1]

    def _strongest_group_values(self, key: str) -> list[tuple[GroupNode, Value]]:
        """Return the groups that set or imply a value and are not overridden by another such group.

        If there are several, the inventory is ambiguous, for example because it is being edited.
        """
        candidates: list[tuple[GroupNode, Value]] = []
        for node in self.groups:
            value = self._group_value(node, key)
            if value is None:
                continue
            candidates = [candidate for candidate in candidates if not candidate[0].is_overridden_by(node)]
            if not any(node.is_overridden_by(other) for other, _ in candidates):
                candidates.append((node, value))
        return candidates

    def _group_value(self, node: GroupNode, key: str) -> Value | None:
        file_variables = self.group_vars.get(node.name)
        if file_variables is not None and key in file_variables.values:
            return file_variables.values[key]
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

    # Values from the host itself

    def _merge_own_variables(self) -> None:
        own: dict[str, Value] = {}
        first_by_file: dict[str, Host] = {}
        for source, host in self.occurrences:
            for key, previous, value in host.conflicts:
                self._report_conflict(key, previous, value)
                own[key] = self._applying_value(key, own.get(key), previous)
            first = first_by_file.get(source.file)
            if source.format == "csv" and first is not None:
                self._report_duplicate(first, host)
            first_by_file.setdefault(source.file, host)
            for key, value in host.variables.items():
                earlier = own.get(key)
                if earlier is not None and earlier.text != value.text and source.file != earlier.place.file:
                    self._report_conflict(key, earlier, value)
                own[key] = self._applying_value(key, earlier, value)
        self.values.update(own)

    def _applying_value(self, variable: str, former: Value | None, latter: Value) -> Value:
        """Return the value that applies: of two states the more restrictive one, else the latter.

        The order of rows says nothing about a state: a drain must not end because of a row behind it. Where
        later files override earlier ones, they do so for the state as well.
        """
        if former is None or self.rules.canonical_names.get(variable) != "state":
            return latter
        if self.rules.later_wins and former.place.file != latter.place.file:
            return latter
        former_state = STATE_SYNONYMS.get(former.text.lower())
        latter_state = STATE_SYNONYMS.get(latter.text.lower())
        if former_state is None or latter_state is None:
            return former if former_state is None else latter  # The unknown state is reported later.
        return latter if more_restrictive(former_state, latter_state) == latter_state else former

    def _report_duplicate(self, first: Host, second: Host) -> None:
        code, message = DUPLICATE_NAME, f"{self.name} stands twice"
        for key, conflict_code in _CONFLICT_CODES.items():
            former, latter = first.variables.get(key), second.variables.get(key)
            if former is not None and latter is not None and former.text != latter.text:
                code = conflict_code
                message = f"{self.name} stands twice, under the {key}s {former.text!r} and {latter.text!r}"
                break
        self.problems.append(
            Problem(code, second.place, message, "keep one of the rows", first.place, self.name)
        )

    def _report_conflict(self, variable: str, former: Value, latter: Value) -> None:
        """Report two values for a schema field.

        Two states are no conflict, as the more restrictive one is used, nor are values of two files if the
        later source overrides the earlier one.
        """
        field_name = self.rules.canonical_names.get(variable, "")
        if not field_name or field_name == "state":
            return
        if self.rules.later_wins and former.place.file != latter.place.file:
            return
        code = _CONFLICT_CODES.get(field_name, SOURCES_DISAGREE)
        message = f"{self.name} has two values for {field_name}: {former.text!r} and {latter.text!r}"
        self.problems.append(
            Problem(code, latter.place, message, "keep one of them", former.place, self.name)
        )

    def _report_contradictions(self, group_values: Mapping[str, Value]) -> None:
        """Report values of the host itself that differ from those of its groups."""
        for key, value in group_values.items():
            own = self.values[key]
            if own.text != value.text:
                message = f"{self.name} has the {key} {own.text!r} of its own, its group says {value.text!r}"
                self.problems.append(
                    Problem(CONTRADICTS_GROUP, own.place, message, "keep one of them", value.place, self.name)
                )

    def _report_malformed_variables(self, host_variables: FileVariables | None) -> None:
        """Report that some variables of the host could not be read, so its values are unknown."""
        places = [node.malformed_at for node in self.groups]
        places += [
            file_variables.malformed_at
            for node in self.groups
            if (file_variables := self.group_vars.get(node.name))
        ]
        if host_variables is not None:
            places.append(host_variables.malformed_at)
        malformed_at = next((place for place in places if place is not None), None)
        if malformed_at is not None:
            message = f"variables of {self.name} can't be read"
            self.problems.append(
                Problem(SYNTAX_ERROR, self._place, message, "mend them there", malformed_at, self.name)
            )
