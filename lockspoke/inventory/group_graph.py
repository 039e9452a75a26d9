"""The graph of the groups of all sources: depths, ancestors and priorities, and the groups of each host."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from .model import Group, Source, Value, ValueConflict
from .problems import BAD_PRIORITY, GROUP_LOOP, UNDEFINED_GROUP, Place, ProblemCollector

ALL, UNGROUPED = "all", "ungrouped"
PRIORITY_KEY = "ansible_group_priority"


@dataclass(slots=True)
class GroupNode:
    """A group with its parents and variables from all sources."""

    name: str
    place: Place
    parents: set[str] = field(default_factory=set)
    variables: dict[str, Value] = field(default_factory=dict)
    conflicts: list[ValueConflict] = field(default_factory=list)
    malformed_at: Place | None = None  # The place of variables that can't be read, if there are any.
    depth: int = 0
    priority: int = 1
    ancestors: tuple[str, ...] = ()

    @property
    def precedence(self) -> tuple[int, int, str]:
        """The sort key of groups, from lowest to highest precedence."""
        return self.depth, self.priority, self.name

    def is_overridden_by(self, other: GroupNode) -> bool:
        """Return whether the values of another group override those of this one."""
        return self.name in other.ancestors or self.priority < other.priority


class GroupGraph:
    """The groups of all sources as an acyclic graph; an edge that closes a cycle is reported and removed."""

    def __init__(self, sources: Sequence[Source], problems: ProblemCollector) -> None:
        self.nodes: dict[str, GroupNode] = {}
        self._problems = problems
        self._groups_by_host: dict[str, list[str]] = defaultdict(list)
        self._member_places: dict[tuple[str, str], Place] = {}
        self._sorted_groups: dict[tuple[str, ...], tuple[GroupNode, ...]] = {}
        self._build(sources)

    def groups_of(self, host: str) -> tuple[GroupNode, ...]:
        """Return the groups that contain a host, directly or through a child, by increasing precedence."""
        direct = tuple(self._groups_by_host.get(host, ()))
        groups = self._sorted_groups.get(direct)
        if groups is None:
            names = {ALL, *direct}
            for group in direct:
                names.update(self.nodes[group].ancestors)
            groups = tuple(sorted((self.nodes[name] for name in names), key=lambda node: node.precedence))
            self._sorted_groups[direct] = groups
        return groups

    def member_place(self, host: str, group: str) -> Place | None:
        """Return the place where a group names a host, or None if it does not."""
        return self._member_places.get((group, host))

    def _build(self, sources: Sequence[Source]) -> None:
        for source in sources:
            for group in source.groups.values():
                self._add_group(group)
        for source in sources:
            for group in source.groups.values():
                self._add_children(source, group)
        self.nodes.setdefault(ALL, GroupNode(ALL, Place("")))
        for node in self.nodes.values():
            if node.name != ALL and not node.parents:
                node.parents.add(ALL)
        self._remove_cycles()
        for name in self._topological_order():
            node = self.nodes[name]
            parents = [self.nodes[parent] for parent in node.parents]
            node.depth = max((parent.depth + 1 for parent in parents), default=0)
            node.ancestors = tuple(
                sorted({ancestor for parent in parents for ancestor in (parent.name, *parent.ancestors)})
            )
            self._read_priority(node)

    def _add_group(self, group: Group) -> None:
        node = self.nodes.setdefault(group.name, GroupNode(group.name, group.place))
        for key, value in group.variables.items():
            previous = node.variables.get(key)
            if previous is not None and previous.raw != value.raw and previous.place.file != value.place.file:
                node.conflicts.append(ValueConflict(key, previous, value))
            node.variables[key] = value
        node.malformed_at = node.malformed_at or group.malformed_at
        for host, place in group.hosts.items():
            self._member_places.setdefault((group.name, host), place)
            if group.name not in self._groups_by_host[host]:
                self._groups_by_host[host].append(group.name)

    def _add_children(self, source: Source, group: Group) -> None:
        for child, place in group.children.items():
            if child not in self.nodes:
                if source.format == "ini":
                    suggestion = f"add a section [{child}], or mend the name"
                    message = f"the group {child!r} is not defined"
                    self._problems.add(UNDEFINED_GROUP, place, message, suggestion)
                self.nodes[child] = GroupNode(child, place)
            self.nodes[child].parents.add(group.name)

    def _read_priority(self, node: GroupNode) -> None:
        value = node.variables.get(PRIORITY_KEY)
        if value is None:
            return
        try:
            node.priority = int(value.text)
        except ValueError:
            message = f"{PRIORITY_KEY} of {node.name!r} is {value.text!r}"
            self._problems.add(BAD_PRIORITY, value.place, message, "write a whole number")

    def _remove_cycles(self) -> None:
        """Remove the edges that close cycles.

        The depth-first search is iterative, as groups may nest deeper than the limit on recursion.
        """
        visited: set[str] = set()
        for start in list(self.nodes):
            path: list[str] = []
            # The entries are a group and whether its parents were visited.
            stack: list[tuple[str, bool]] = [(start, False)]
            while stack:
                name, parents_visited = stack.pop()
                if parents_visited:
                    path.pop()
                    visited.add(name)
                    continue
                if name in visited:
                    continue
                path.append(name)
                stack.append((name, True))
                for parent in sorted(self.nodes[name].parents):
                    if parent in path:
                        self._remove_parent(name, parent, path)
                    elif parent not in visited:
                        stack.append((parent, False))

    def _remove_parent(self, name: str, parent: str, path: Sequence[str]) -> None:
        node = self.nodes[name]
        node.parents.discard(parent)
        cycle = " > ".join([*reversed(path[path.index(parent) :]), name])
        message = f"group {name!r} is its own ancestor, by {cycle}"
        self._problems.add(GROUP_LOOP, node.place, message, "take one of the steps out")

    def _topological_order(self) -> list[str]:
        """Return the names of all groups, each after its parents."""
        order: list[str] = []
        children: dict[str, list[str]] = defaultdict(list)
        remaining_parents = {name: len(node.parents) for name, node in self.nodes.items()}
        for name, node in self.nodes.items():
            for parent in node.parents:
                children[parent].append(name)
        ready = sorted(name for name, count in remaining_parents.items() if not count)
        while ready:
            name = ready.pop()
            order.append(name)
            for child in children[name]:
                remaining_parents[child] -= 1
                if not remaining_parents[child]:
                    ready.append(child)
        return order
