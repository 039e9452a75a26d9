"""Sources put together: the graph of groups, Ansible's order of precedence, and what clashes between them.

The order, from weakest to strongest, is the one that Ansible documents: variables of `all` in the sources,
of other groups in the sources (by depth, then `ansible_group_priority`, then name), of `group_vars/all`, of
`group_vars/GROUP`, of the host in the sources, of `host_vars/HOST`.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .model import Group, Host, Row, Source, Value
from .problems import (
    BAD_PRIORITY,
    CONFLICTING_KINDS,
    CONFLICTING_ZONES,
    CONTRADICTS_GROUP,
    DUPLICATE_NAME,
    GROUP_LOOP,
    SOURCES_DISAGREE,
    STRAY_VARS,
    SYNTAX_ERROR,
    UNDEFINED_GROUP,
    Code,
    Place,
    Problem,
    ProblemCollector,
)

ALL, UNGROUPED = "all", "ungrouped"
PRIORITY_KEY = "ansible_group_priority"
_CONFLICT_CODES = {"kind": CONFLICTING_KINDS, "zone": CONFLICTING_ZONES}


@dataclass(slots=True)
class HostVariables:
    """What group_vars and host_vars give to one group or host."""

    values: dict[str, Value] = field(default_factory=dict)
    malformed_at: Place | None = None
    place: Place = field(default_factory=lambda: Place(""))


@dataclass(slots=True)
class _GroupNode:
    """A group over all sources."""

    name: str
    place: Place
    parents: set[str] = field(default_factory=set)
    variables: dict[str, Value] = field(default_factory=dict)
    conflicts: list[tuple[str, Value, Value]] = field(default_factory=list)
    malformed_at: Place | None = None
    depth: int = 0
    priority: int = 1
    ancestors: tuple[str, ...] = ()  # its ancestors

    @property
    def precedence(self) -> tuple[int, int, str]:
        return self.depth, self.priority, self.name


class Merger:
    """Puts sources together into rows.

    `canonical` gives the schema's name of a variable, or an empty text for one that is not the schema's;
    `implied` maps names of groups to what standing in them says, such as a kind.
    """

    def __init__(
        self,
        canonical: Mapping[str, str],
        implied: Mapping[str, tuple[str, str]],
        later_wins: bool,
        problems: ProblemCollector,
    ) -> None:
        self.canonical = canonical
        self.implied_values = implied
        self.later_wins = later_wins
        self.problems = problems
        self.graph: dict[str, _GroupNode] = {}
        self.host_groups: dict[str, list[str]] = defaultdict(list)  # the groups that name a host
        self.member_places: dict[tuple[str, str], Place] = {}  # where a group names a host
        self.group_variables: dict[str, HostVariables] = {}
        self._groups_by_membership: dict[tuple[str, ...], tuple[_GroupNode, ...]] = {}

    def rows(
        self,
        sources: Iterable[Source],
        group_vars: dict[str, HostVariables],
        host_vars: dict[str, HostVariables],
    ) -> list[Row]:
        """All hosts of all sources with their values, in the order in which they first stand."""
        sources = list(sources)
        self.group_variables = group_vars
        self._build_graph(sources)
        hosts: dict[str, list[tuple[Source, Host]]] = {}
        for source in sources:
            for host in source.hosts:
                hosts.setdefault(host.name, []).append((source, host))
        for kind, given, known in (("group", group_vars, self.graph), ("host", host_vars, hosts)):
            for name, variables in given.items():
                if name not in known and not (kind == "group" and name in (ALL, UNGROUPED)):
                    message = f"variables for the {kind} {name!r}, which no source names"
                    self.problems.add(STRAY_VARS, variables.place, message, "name it, or take the file out")
        return [
            row
            for name, occurrences in hosts.items()
            for row in self._merge_host(name, occurrences, host_vars.get(name))
        ]

    # Groups

    def _build_graph(self, sources: list[Source]) -> None:
        graph = self.graph
        for source in sources:
            for group in source.groups.values():
                self._add_group(source, group)
        for source in sources:
            for group in source.groups.values():
                for child, place in group.children.items():
                    if child not in graph:
                        if source.format == "ini":
                            suggestion = f"add a section [{child}], or mend the name"
                            self.problems.add(
                                UNDEFINED_GROUP, place, f"the group {child!r} is not defined", suggestion
                            )
                        graph[child] = _GroupNode(child, place)
                    graph[child].parents.add(group.name)
        graph.setdefault(ALL, _GroupNode(ALL, Place("")))
        for node in graph.values():
            if node.name != ALL and not node.parents:
                node.parents.add(ALL)
        self._break_loops()
        for name in self._topological():
            node = graph[name]
            node.depth = max((graph[parent].depth + 1 for parent in node.parents), default=0)
            above = {name for parent in node.parents for name in (parent, *graph[parent].ancestors)}
            node.ancestors = tuple(sorted(above))
            self._read_priority(node)

    def _add_group(self, source: Source, group: Group) -> None:
        node = self.graph.setdefault(group.name, _GroupNode(group.name, group.place))
        for key, value in group.variables.items():
            before = node.variables.get(key)
            if before is not None and before.raw != value.raw and before.place.file != value.place.file:
                node.conflicts.append((key, before, value))
            node.variables[key] = value
        node.malformed_at = node.malformed_at or group.malformed_at
        for host, place in group.hosts.items():
            self.member_places.setdefault((group.name, host), place)
            if group.name not in self.host_groups[host]:
                self.host_groups[host].append(group.name)

    def _read_priority(self, node: _GroupNode) -> None:
        value = node.variables.get(PRIORITY_KEY)
        if value is None:
            return
        try:
            node.priority = int(value.text)
        except ValueError:
            message = f"{PRIORITY_KEY} of {node.name!r} is {value.text!r}"
            self.problems.add(BAD_PRIORITY, value.place, message, "write a whole number")

    def _break_loops(self) -> None:
        """Take out the step that closes a loop, and tell of it. A walk with a stack of its own."""
        done: set[str] = set()
        for start in list(self.graph):
            path: list[str] = []
            stack: list[tuple[str, bool]] = [(start, False)]
            while stack:
                name, finished = stack.pop()
                if finished:
                    path.pop()
                    done.add(name)
                    continue
                if name in done:
                    continue
                path.append(name)
                stack.append((name, True))
                for parent in sorted(self.graph[name].parents):
                    if parent in path:
                        node = self.graph[name]
                        node.parents.discard(parent)
                        way = " > ".join([*reversed(path[path.index(parent) :]), name])
                        message = f"group {name!r} is its own ancestor, by {way}"
                        self.problems.add(GROUP_LOOP, node.place, message, "take one of the steps out")
                    elif parent not in done:
                        stack.append((parent, False))

    def _topological(self) -> list[str]:
        order: list[str] = []
        children: dict[str, list[str]] = defaultdict(list)
        missing = {name: len(node.parents) for name, node in self.graph.items()}
        for name, node in self.graph.items():
            for parent in node.parents:
                children[parent].append(name)
        ready = sorted(name for name, count in missing.items() if not count)
        while ready:
            name = ready.pop()
            order.append(name)
            for child in children[name]:
                missing[child] -= 1
                if not missing[child]:
                    ready.append(child)
        return order

    def groups_of(self, name: str) -> tuple[_GroupNode, ...]:
        """The groups that a host is in, directly or by their children, weakest first."""
        direct = tuple(self.host_groups.get(name, ()))
        found = self._groups_by_membership.get(direct)
        if found is None:
            inside = {ALL, *direct}
            for group in direct:
                inside.update(self.graph[group].ancestors)
            found = tuple(sorted((self.graph[one] for one in inside), key=lambda node: node.precedence))
            self._groups_by_membership[direct] = found
        return found

    # Hosts

    def _merge_host(
        self, name: str, occurrences: list[tuple[Source, Host]], host_variables: HostVariables | None
    ) -> list[Row]:
        problems: list[Problem] = []
        groups = self.groups_of(name)
        place = occurrences[0][1].place
        values: dict[str, Value] = {}
        for node in groups:
            values.update(node.variables)
        for group in groups:
            if given := self.group_variables.get(group.name):
                values.update(given.values)
        self._merge_group_values(name, groups, values, problems)
        by_groups = {key: values[key] for key in _CONFLICT_CODES if key in values}
        self._merge_own_variables(name, occurrences, values, problems)
        if host_variables is not None:
            values.update(host_variables.values)
        for key, value in by_groups.items():
            if values[key].text != value.text:
                message = (
                    f"{name} has the {key} {values[key].text!r} of its own, its group says {value.text!r}"
                )
                problems.append(
                    Problem(
                        CONTRADICTS_GROUP, values[key].place, message, "keep one of them", value.place, name
                    )
                )
        self._check_malformed_variables(name, groups, host_variables, place, problems)
        for problem in problems:
            self.problems.found.setdefault(problem)
        files = tuple(dict.fromkeys(source.file for source, _ in occurrences))
        return [Row(name, place, values, tuple(node.name for node in groups), files, tuple(problems))]

    def _check_malformed_variables(
        self,
        name: str,
        groups: tuple[_GroupNode, ...],
        host_variables: HostVariables | None,
        place: Place,
        problems: list[Problem],
    ) -> None:
        """A host whose variables could not all be read: what they would have said is not known."""
        malformed = [node.malformed_at for node in groups if node.malformed_at is not None]
        malformed += [
            given.malformed_at
            for node in groups
            if (given := self.group_variables.get(node.name)) and given.malformed_at is not None
        ]
        if host_variables is not None and host_variables.malformed_at is not None:
            malformed.append(host_variables.malformed_at)
        if malformed:
            message = f"variables of {name} can't be read"
            problems.append(Problem(SYNTAX_ERROR, place, message, "mend them there", malformed[0], name))

    def _merge_own_variables(
        self,
        name: str,
        occurrences: list[tuple[Source, Host]],
        values: dict[str, Value],
        problems: list[Problem],
    ) -> None:
        """The host's own variables over all places where it stands."""
        given: dict[str, Value] = {}
        rows: dict[str, Host] = {}
        for source, host in occurrences:
            for key, before, value in host.conflicts:
                self._report_conflict(name, key, before, value, problems)
            first = rows.get(source.file)
            if source.format == "csv" and first is not None:
                self._report_duplicate(name, first, host, problems)
            rows.setdefault(source.file, host)
            for key, value in host.variables.items():
                earlier = given.get(key)
                if earlier is not None and earlier.text != value.text and source.file != earlier.place.file:
                    self._report_conflict(name, key, earlier, value, problems)
                given[key] = value
        values.update(given)

    def _report_duplicate(self, name: str, first: Host, second: Host, problems: list[Problem]) -> None:
        code: Code = DUPLICATE_NAME
        message = f"{name} stands twice"
        for key, special in _CONFLICT_CODES.items():
            one, other = first.variables.get(key), second.variables.get(key)
            if one is not None and other is not None and one.text != other.text:
                code, message = (
                    special,
                    f"{name} stands twice, under the {key}s {one.text!r} and {other.text!r}",
                )
                break
        problems.append(Problem(code, second.place, message, "keep one of the rows", first.place, name))

    def _report_conflict(
        self, name: str, key: str, one: Value, other: Value, problems: list[Problem]
    ) -> None:
        key = self.canonical.get(key, "")
        if not key or (self.later_wins and one.place.file != other.place.file):
            return
        if key == "state":
            return  # the more careful of them holds; see the schema
        code = _CONFLICT_CODES.get(key, SOURCES_DISAGREE)
        message = f"{name} has two values for {key}: {one.text!r} and {other.text!r}"
        problems.append(Problem(code, other.place, message, "keep one of them", one.place, name))

    def _merge_group_values(
        self, name: str, groups: tuple[_GroupNode, ...], values: dict[str, Value], problems: list[Problem]
    ) -> None:
        """What groups say of kind and zone, by variables or by their names; two that differ are an error.

        A group below another one goes before it, and so does the higher priority. Two groups of which
        neither stands below the other mean that somebody is not done with an edit.
        """
        for node in groups:
            for key, before, value in node.conflicts:
                self._report_conflict(name, key, before, value, problems)
        for key, code in _CONFLICT_CODES.items():
            candidates: list[tuple[_GroupNode, Value]] = []
            for node in groups:
                implied = self._group_value(node, key)
                if implied is not None:
                    candidates = [
                        (other, one)
                        for other, one in candidates
                        if not (other.name in node.ancestors or other.priority < node.priority)
                    ]
                    if not any(
                        node.name in other.ancestors or other.priority > node.priority
                        for other, _ in candidates
                    ):
                        candidates.append((node, implied))
            if not candidates:
                continue
            first = candidates[0]
            for node, value in candidates[1:]:
                if value.text != first[1].text:
                    message = (
                        f"{name} stands under two {key}s: {first[1].text!r} by the group {first[0].name!r}"
                        f" and {value.text!r} by {node.name!r}"
                    )
                    place = self._member_place(name, node) or value.place
                    related_place = self._member_place(name, first[0]) or first[1].place
                    problems.append(
                        Problem(code, place, message, "take it out of one of them", related_place, name)
                    )
                    break
            values[key] = candidates[-1][1]

    def _group_value(self, node: _GroupNode, key: str) -> Value | None:
        given = self.group_variables.get(node.name)
        if given is not None and key in given.values:
            return given.values[key]
        if key in node.variables:
            return node.variables[key]
        implied = self.implied_values.get(node.name)
        return Value(implied[1], node.place) if implied is not None and implied[0] == key else None

    def _member_place(self, name: str, node: _GroupNode) -> Place | None:
        return self.member_places.get((node.name, name))
