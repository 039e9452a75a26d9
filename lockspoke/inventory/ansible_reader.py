"""Reads Ansible's YAML inventories, and the JSON output of `ansible-inventory --list`."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from .document_tree import Mapping, Node, Scalar, Sequence
from .limits import MAX_HOSTS, LimitError
from .model import Group, Host, Source
from .problems import BAD_RANGE, GROUP_KEY, GROUP_LOOP, WRONG_TYPE, ProblemCollector
from .ranges import RangeError, expand_range
from .tree_walker import TreeWalker, read_group_variables


def read_groups(root: Node | None, source: Source, problems: ProblemCollector) -> None:
    """Read the groups of an inventory, with hosts, children and vars, from a document. Raises LimitError."""
    if root is None:
        return
    if not isinstance(root, Mapping):
        suggestion = "begin it with all: and groups below"
        problems.add(WRONG_TYPE, root.place, "the top of the file is no mapping", suggestion)
        source.complete = False
        return
    _GroupsReader(source, problems).read(root)


def read_listing(root: Node | None, source: Source, problems: ProblemCollector) -> None:
    """Read the output of `ansible-inventory --list`. Raises LimitError."""
    if root is None:
        return
    if not isinstance(root, Mapping):
        suggestion = "write what ansible-inventory --list prints"
        problems.add(WRONG_TYPE, root.place, "the top of the file is no object", suggestion)
        source.complete = False
        return
    _ListingReader(source, problems).read(root)


@dataclass(frozen=True, slots=True)
class _PendingGroup:
    """A group that is still to be read, and the names of the groups that contain it, outermost first."""

    key: Scalar
    node: Node
    ancestors: tuple[str, ...] = ()


class _GroupsReader:
    """Reads groups and their nested children; iteratively, as the nesting can be too deep for recursion."""

    def __init__(self, source: Source, problems: ProblemCollector) -> None:
        self.source = source
        self.problems = problems
        self.walker = TreeWalker(problems)
        self.hosts: dict[str, Host] = {}

    def read(self, root: Mapping) -> None:
        try:
            pending = deque(
                _PendingGroup(key, node) for key, node in self.walker.pairs(root, "the top of the file")
            )
            while pending:
                group = pending.popleft()
                pending += self._read_group(group)
                if len(self.hosts) > MAX_HOSTS:
                    raise LimitError(f"more than {MAX_HOSTS} hosts at {group.key.place}")
        finally:
            self.source.hosts = list(self.hosts.values())
            self.source.complete = self.source.complete and self.walker.complete

    def _read_group(self, pending: _PendingGroup) -> list[_PendingGroup]:
        """Read one group and return its children, which are still to be read."""
        key, name = pending.key, pending.key.text or ""
        group = self.source.get_or_add_group(name, key.place)
        path = (*pending.ancestors, name)
        if name in pending.ancestors:
            message = f"group {name!r} is its own ancestor, by {' > '.join(path)}"
            self.problems.add(GROUP_LOOP, key.place, message, "take one of the steps out")
            return []
        children: list[_PendingGroup] = []
        for entry, value in self.walker.pairs(pending.node, f"group {name!r}"):
            if entry.text == "vars":
                read_group_variables(group, value, self.walker)
            elif entry.text == "hosts":
                self._read_hosts(group, value)
            elif entry.text == "children":
                for child, node in self.walker.pairs(value, f"children of {name!r}"):
                    group.children.setdefault(child.text or "", child.place)
                    children.append(_PendingGroup(child, node, path))
            else:
                suggestion = "write hosts, children or vars; a host's name goes below hosts"
                _report_unknown_key(self.source, group, entry, suggestion, self.problems)
        return children

    def _read_hosts(self, group: Group, node: Node) -> None:
        for key, variables_node in self.walker.pairs(node, f"hosts of {group.name!r}"):
            pattern = key.text or ""
            variables = self.walker.variables(variables_node, f"host {pattern!r}", pattern)
            try:
                names = expand_range(pattern)
            except RangeError as error:
                self.problems.add(BAD_RANGE, key.place, str(error), host=pattern)
                names = [pattern]
            for name in names:
                self.hosts.setdefault(name, Host(name, key.place)).add_variables(variables)
                group.hosts.setdefault(name, key.place)


class _ListingReader:
    """Reads groups with lists of hosts, and the variables of the hosts from `_meta.hostvars`."""

    def __init__(self, source: Source, problems: ProblemCollector) -> None:
        self.source = source
        self.problems = problems
        self.walker = TreeWalker(problems)
        self.hosts: dict[str, Host] = {}

    def read(self, root: Mapping) -> None:
        for key, node in self.walker.pairs(root, "the top of the file"):
            if key.text == "_meta":
                self._read_meta(node)
                continue
            group = self.source.get_or_add_group(key.text or "", key.place)
            if isinstance(node, Sequence):  # The short form of a group is just a list of hosts.
                self._read_hosts(group, node, f"group {group.name!r}")
            else:
                self._read_group(group, node)
        self.source.hosts = list(self.hosts.values())
        self.source.complete = self.source.complete and self.walker.complete

    def _read_meta(self, node: Node) -> None:
        for entry, value in self.walker.pairs(node, "_meta"):
            if entry.text == "hostvars":
                for key, variables in self.walker.pairs(value, "hosts of _meta"):
                    name = key.text or ""
                    host = self._get_or_add_host(key)
                    host.add_variables(self.walker.variables(variables, f"host {name!r}", name))

    def _read_group(self, group: Group, node: Node) -> None:
        for entry, value in self.walker.pairs(node, f"group {group.name!r}"):
            if entry.text == "hosts":
                self._read_hosts(group, value, f"hosts of {group.name!r}")
            elif entry.text == "children":
                for child in self._names(value, f"children of {group.name!r}"):
                    group.children.setdefault(child.text or "", child.place)
            elif entry.text == "vars":
                read_group_variables(group, value, self.walker)
            else:
                suggestion = "write hosts, children or vars"
                _report_unknown_key(self.source, group, entry, suggestion, self.problems)

    def _read_hosts(self, group: Group, node: Node, what: str) -> None:
        for item in self._names(node, what):
            self._get_or_add_host(item)
            group.hosts.setdefault(item.text or "", item.place)

    def _get_or_add_host(self, key: Scalar) -> Host:
        name = key.text or ""
        return self.hosts.setdefault(name, Host(name, key.place))

    def _names(self, node: Node, what: str) -> Iterator[Scalar]:
        """Yield the names in a list; a null counts as an empty list. `what` describes it in messages."""
        self.walker.count_node(node)
        if isinstance(node, Scalar) and node.text is None:
            return
        if not isinstance(node, Sequence):
            self.problems.add(WRONG_TYPE, node.place, f"{what} is no list", 'write ["name", ...]')
            self.source.complete = False
            return
        for item in node.items:
            self.walker.count_node(item)
            if isinstance(item, Scalar) and item.text:
                yield item
            else:
                message = f"{what} holds something that is no name"
                self.problems.add(WRONG_TYPE, item.place, message, "write names in quotes")
                self.source.complete = False


def _report_unknown_key(
    source: Source, group: Group, key: Scalar, suggestion: str, problems: ProblemCollector
) -> None:
    """Report an unknown key of a group; it may be the name of a host, so the source is incomplete."""
    problems.add(GROUP_KEY, key.place, f"group {group.name!r} has a key {key.text!r}", suggestion)
    source.complete = False
