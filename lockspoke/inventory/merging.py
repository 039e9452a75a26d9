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
    CONTRADICTS,
    DISAGREE,
    GROUP_LOOP,
    PRIORITY,
    STRAY_VARS,
    SYNTAX,
    TWICE,
    TWO_KINDS,
    TWO_ZONES,
    UNDEFINED_GROUP,
    Code,
    Place,
    Problem,
    Problems,
)

ALL, UNGROUPED = "all", "ungrouped"
PRIORITY_KEY = "ansible_group_priority"
_CLASHES = {"kind": TWO_KINDS, "zone": TWO_ZONES}


@dataclass(slots=True)
class Variables:
    """What group_vars and host_vars give to one group or host."""

    values: dict[str, Value] = field(default_factory=dict)
    spoilt: Place | None = None
    place: Place = field(default_factory=lambda: Place(""))


@dataclass(slots=True)
class _Node:
    """A group over all sources."""

    name: str
    place: Place
    parents: set[str] = field(default_factory=set)
    vars: dict[str, Value] = field(default_factory=dict)
    clashes: list[tuple[str, Value, Value]] = field(default_factory=list)
    spoilt: Place | None = None
    depth: int = 0
    priority: int = 1
    above: tuple[str, ...] = ()  # its ancestors

    @property
    def order(self) -> tuple[int, int, str]:
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
        problems: Problems,
    ) -> None:
        self.canonical = canonical
        self.implied = implied
        self.later_wins = later_wins
        self.problems = problems
        self.graph: dict[str, _Node] = {}
        self.members: dict[str, list[str]] = defaultdict(list)  # the groups that name a host
        self.places: dict[tuple[str, str], Place] = {}  # where a group names a host
        self.groups_of: dict[str, Variables] = {}
        self.chains: dict[tuple[str, ...], tuple[_Node, ...]] = {}

    def rows(
        self, sources: Iterable[Source], group_vars: dict[str, Variables], host_vars: dict[str, Variables]
    ) -> list[Row]:
        """All hosts of all sources with their values, in the order in which they first stand."""
        sources = list(sources)
        self.groups_of = group_vars
        self._build(sources)
        hosts: dict[str, list[tuple[Source, Host]]] = {}
        for source in sources:
            for host in source.rows:
                hosts.setdefault(host.name, []).append((source, host))
        for kind, given, known in (("group", group_vars, self.graph), ("host", host_vars, hosts)):
            for name, variables in given.items():
                if name not in known and not (kind == "group" and name in (ALL, UNGROUPED)):
                    message = f"variables for the {kind} {name!r}, which no source names"
                    self.problems.add(STRAY_VARS, variables.place, message, "name it, or take the file out")
        return [
            row for name, stands in hosts.items() for row in self._host(name, stands, host_vars.get(name))
        ]

    # Groups

    def _build(self, sources: list[Source]) -> None:
        graph = self.graph
        for source in sources:
            for group in source.groups.values():
                self._add_group(source, group)
        for source in sources:
            for group in source.groups.values():
                for child, place in group.children.items():
                    if child not in graph:
                        if source.form == "ini":
                            mend = f"add a section [{child}], or mend the name"
                            self.problems.add(
                                UNDEFINED_GROUP, place, f"the group {child!r} is not defined", mend
                            )
                        graph[child] = _Node(child, place)
                    graph[child].parents.add(group.name)
        graph.setdefault(ALL, _Node(ALL, Place("")))
        for node in graph.values():
            if node.name != ALL and not node.parents:
                node.parents.add(ALL)
        self._break_loops()
        for name in self._topological():
            node = graph[name]
            node.depth = max((graph[parent].depth + 1 for parent in node.parents), default=0)
            above = {name for parent in node.parents for name in (parent, *graph[parent].above)}
            node.above = tuple(sorted(above))
            self._priority(node)

    def _add_group(self, source: Source, group: Group) -> None:
        node = self.graph.setdefault(group.name, _Node(group.name, group.place))
        for key, value in group.vars.items():
            before = node.vars.get(key)
            if before is not None and before.raw != value.raw and before.place.file != value.place.file:
                node.clashes.append((key, before, value))
            node.vars[key] = value
        node.spoilt = node.spoilt or group.spoilt
        for host, place in group.hosts.items():
            self.places.setdefault((group.name, host), place)
            if group.name not in self.members[host]:
                self.members[host].append(group.name)

    def _priority(self, node: _Node) -> None:
        value = node.vars.get(PRIORITY_KEY)
        if value is None:
            return
        try:
            node.priority = int(value.text)
        except ValueError:
            message = f"{PRIORITY_KEY} of {node.name!r} is {value.text!r}"
            self.problems.add(PRIORITY, value.place, message, "write a whole number")

    def _break_loops(self) -> None:
        """Take out the step that closes a loop, and tell of it. A walk with a stack of its own."""
        done: set[str] = set()
        for start in list(self.graph):
            path: list[str] = []
            waiting: list[tuple[str, bool]] = [(start, False)]
            while waiting:
                name, leaving = waiting.pop()
                if leaving:
                    path.pop()
                    done.add(name)
                    continue
                if name in done:
                    continue
                path.append(name)
                waiting.append((name, True))
                for parent in sorted(self.graph[name].parents):
                    if parent in path:
                        node = self.graph[name]
                        node.parents.discard(parent)
                        way = " > ".join([*reversed(path[path.index(parent) :]), name])
                        message = f"group {name!r} is its own ancestor, by {way}"
                        self.problems.add(GROUP_LOOP, node.place, message, "take one of the steps out")
                    elif parent not in done:
                        waiting.append((parent, False))

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

    def chain(self, name: str) -> tuple[_Node, ...]:
        """The groups that a host is in, directly or by their children, weakest first."""
        direct = tuple(self.members.get(name, ()))
        found = self.chains.get(direct)
        if found is None:
            inside = {ALL, *direct}
            for group in direct:
                inside.update(self.graph[group].above)
            found = tuple(sorted((self.graph[one] for one in inside), key=lambda node: node.order))
            self.chains[direct] = found
        return found

    # Hosts

    def _host(self, name: str, stands: list[tuple[Source, Host]], own: Variables | None) -> list[Row]:
        problems: list[Problem] = []
        groups = self.chain(name)
        place = stands[0][1].place
        values: dict[str, Value] = {}
        for node in groups:
            values.update(node.vars)
        for group in groups:
            if given := self.groups_of.get(group.name):
                values.update(given.values)
        self._group_values(name, groups, values, problems)
        by_groups = {key: values[key] for key in _CLASHES if key in values}
        self._inline(name, stands, values, problems)
        if own is not None:
            values.update(own.values)
        for key, value in by_groups.items():
            if values[key].text != value.text:
                message = (
                    f"{name} has the {key} {values[key].text!r} of its own, its group says {value.text!r}"
                )
                problems.append(
                    Problem(CONTRADICTS, values[key].place, message, "keep one of them", value.place, name)
                )
        self._spoilt(name, groups, own, place, problems)
        for problem in problems:
            self.problems.found.setdefault(problem)
        files = tuple(dict.fromkeys(source.file for source, _ in stands))
        return [Row(name, place, values, tuple(node.name for node in groups), files, tuple(problems))]

    def _spoilt(
        self,
        name: str,
        groups: tuple[_Node, ...],
        own: Variables | None,
        place: Place,
        problems: list[Problem],
    ) -> None:
        """A host whose variables could not all be read: what they would have said is not known."""
        broken = [node.spoilt for node in groups if node.spoilt is not None]
        broken += [
            given.spoilt
            for node in groups
            if (given := self.groups_of.get(node.name)) and given.spoilt is not None
        ]
        if own is not None and own.spoilt is not None:
            broken.append(own.spoilt)
        if broken:
            message = f"variables of {name} can't be read"
            problems.append(Problem(SYNTAX, place, message, "mend them there", broken[0], name))

    def _inline(
        self, name: str, stands: list[tuple[Source, Host]], values: dict[str, Value], problems: list[Problem]
    ) -> None:
        """The host's own variables over all places where it stands."""
        given: dict[str, Value] = {}
        rows: dict[str, Host] = {}
        for source, host in stands:
            for key, before, value in host.clashes:
                self._clash(name, key, before, value, problems)
            first = rows.get(source.file)
            if source.form == "csv" and first is not None:
                self._twice(name, first, host, problems)
            rows.setdefault(source.file, host)
            for key, value in host.vars.items():
                earlier = given.get(key)
                if earlier is not None and earlier.text != value.text and source.file != earlier.place.file:
                    self._clash(name, key, earlier, value, problems)
                given[key] = value
        values.update(given)

    def _twice(self, name: str, first: Host, second: Host, problems: list[Problem]) -> None:
        code: Code = TWICE
        message = f"{name} stands twice"
        for key, special in _CLASHES.items():
            one, other = first.vars.get(key), second.vars.get(key)
            if one is not None and other is not None and one.text != other.text:
                code, message = (
                    special,
                    f"{name} stands twice, under the {key}s {one.text!r} and {other.text!r}",
                )
                break
        problems.append(Problem(code, second.place, message, "keep one of the rows", first.place, name))

    def _clash(self, name: str, key: str, one: Value, other: Value, problems: list[Problem]) -> None:
        key = self.canonical.get(key, "")
        if not key or (self.later_wins and one.place.file != other.place.file):
            return
        if key == "state":
            return  # the more careful of them holds; see the schema
        code = _CLASHES.get(key, DISAGREE)
        message = f"{name} has two values for {key}: {one.text!r} and {other.text!r}"
        problems.append(Problem(code, other.place, message, "keep one of them", one.place, name))

    def _group_values(
        self, name: str, groups: tuple[_Node, ...], values: dict[str, Value], problems: list[Problem]
    ) -> None:
        """What groups say of kind and zone, by variables or by their names; two that differ are an error.

        A group below another one goes before it, and so does the higher priority. Two groups of which
        neither stands below the other mean that somebody is not done with an edit.
        """
        for node in groups:
            for key, before, value in node.clashes:
                self._clash(name, key, before, value, problems)
        for key, code in _CLASHES.items():
            said: list[tuple[_Node, Value]] = []
            for node in groups:
                meant = self._said(node, key)
                if meant is not None:
                    said = [
                        (other, one)
                        for other, one in said
                        if not (other.name in node.above or other.priority < node.priority)
                    ]
                    if not any(
                        node.name in other.above or other.priority > node.priority for other, _ in said
                    ):
                        said.append((node, meant))
            if not said:
                continue
            first = said[0]
            for node, value in said[1:]:
                if value.text != first[1].text:
                    message = (
                        f"{name} stands under two {key}s: {first[1].text!r} by the group {first[0].name!r}"
                        f" and {value.text!r} by {node.name!r}"
                    )
                    place = self._member_place(name, node) or value.place
                    clash = self._member_place(name, first[0]) or first[1].place
                    problems.append(Problem(code, place, message, "take it out of one of them", clash, name))
                    break
            values[key] = said[-1][1]

    def _said(self, node: _Node, key: str) -> Value | None:
        given = self.groups_of.get(node.name)
        if given is not None and key in given.values:
            return given.values[key]
        if key in node.vars:
            return node.vars[key]
        meant = self.implied.get(node.name)
        return Value(meant[1], node.place) if meant is not None and meant[0] == key else None

    def _member_place(self, name: str, node: _Node) -> Place | None:
        return self.places.get((node.name, name))
