"""Ansible's YAML inventories, the JSON that `ansible-inventory --list` prints, and files of variables."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Any

from .documents import Mapping, Node, Scalar, Sequence
from .limits import MAX_HOSTS, MAX_NODES, LimitError
from .model import Group, Host, Source, Value
from .problems import BAD_RANGE, GROUP_KEY, GROUP_LOOP, REPEATED_KEY, WRONG_TYPE, Place, ProblemCollector
from .ranges import RangeError, expand_range

_MERGE_KEY = "<<"


class TreeWalker:
    """Walks a document within a bound on the nodes visited: aliases make a small file a large one."""

    def __init__(self, problems: ProblemCollector) -> None:
        self.problems = problems
        self.remaining_nodes = MAX_NODES
        self.complete = True  # no host can stand in a part that was passed over

    def count_node(self, node: Node) -> None:
        """Count one node."""
        self.remaining_nodes -= 1
        if self.remaining_nodes < 0:
            raise LimitError(f"more than {MAX_NODES} nodes, aliases counted each time, at {node.place}")

    def pairs(self, node: Node, what: str, host: str = "") -> Iterator[tuple[Scalar, Node]]:
        """Keys and values of a mapping, merge keys followed; nothing for a null, a problem for the rest."""
        self.count_node(node)
        if isinstance(node, Scalar) and node.text is None:
            return
        if not isinstance(node, Mapping):
            self.problems.add(
                WRONG_TYPE, node.place, f"{what} is no mapping", "write key: value lines below it", host=host
            )
            self.complete = self.complete and bool(host)
            return
        seen: dict[str, Place] = {}
        merged: list[Node] = []
        for key, value in node.items:
            self.count_node(value)
            if not isinstance(key, Scalar) or key.text is None:
                self.problems.add(
                    WRONG_TYPE,
                    key.place,
                    f"{what} has a key that is no plain name",
                    "write one name",
                    host=host,
                )
                self.complete = self.complete and bool(host)
                continue
            if key.text == _MERGE_KEY:
                merged.extend(value.items if isinstance(value, Sequence) else [value])
                continue
            if key.text in seen:
                message = f"{key.text!r} stands twice in {what}"
                named = key.text if what.startswith("hosts") else host
                self.problems.add(REPEATED_KEY, key.place, message, "keep one of them", seen[key.text], named)
                continue
            seen[key.text] = key.place
            yield key, value
        for other in merged:
            # What stands here goes before what is merged in; of two merged ones, the earlier.
            for key, value in self.pairs(other, what, host):
                if key.text is not None and key.text not in seen:
                    seen[key.text] = key.place
                    yield key, value

    def plain_value(self, node: Node, depth: int = 0) -> Any:
        """A node as plain values: text, lists and mappings of them."""
        self.count_node(node)
        if isinstance(node, Scalar):
            return node.text
        if depth > 8:
            return None
        if isinstance(node, Sequence):
            return [self.plain_value(item, depth + 1) for item in node.items]
        return {
            key.text: self.plain_value(item, depth + 1)
            for key, item in node.items
            if isinstance(key, Scalar) and key.text is not None
        }

    def variables(self, node: Node, what: str, host: str = "") -> dict[str, Value]:
        """The variables of a group, a host or a file."""
        found: dict[str, Value] = {}
        for key, value in self.pairs(node, what, host):
            if key.text is not None:
                vault = isinstance(value, Scalar) and value.encrypted
                found[key.text] = Value(self.plain_value(value), value.place, vault)
        return found


def read_groups(root: Node | None, source: Source, problems: ProblemCollector) -> None:
    """Read a YAML inventory from its tree: groups with hosts, children and vars."""
    if root is None:
        return
    walk, names = TreeWalker(problems), dict[str, Host]()
    if not isinstance(root, Mapping):
        problems.add(
            WRONG_TYPE, root.place, "the top of the file is no mapping", "begin it with all: and groups below"
        )
        source.complete = False
        return
    try:
        # A stack of its own: children nest as deep as the document does.
        waiting: deque[tuple[Scalar, Node, tuple[str, ...]]] = deque()
        waiting.extend((key, value, ()) for key, value in walk.pairs(root, "the top of the file"))
        while waiting:
            name, node, ancestors = waiting.popleft()
            waiting += _read_group(source, names, walk, name, node, ancestors)
            if len(names) > MAX_HOSTS:
                raise LimitError(f"more than {MAX_HOSTS} hosts at {name.place}")
    finally:
        source.hosts = list(names.values())
        source.complete = source.complete and walk.complete


def _read_group(
    source: Source,
    names: dict[str, Host],
    walk: TreeWalker,
    key: Scalar,
    node: Node,
    ancestors: tuple[str, ...],
) -> list[tuple[Scalar, Node, tuple[str, ...]]]:
    text = key.text or ""
    group = source.get_or_add_group(text, key.place)
    if text in ancestors:
        message = f"group {text!r} is its own ancestor, by {' > '.join([*ancestors, text])}"
        walk.problems.add(GROUP_LOOP, key.place, message, "take one of the steps out")
        return []
    below: list[tuple[Scalar, Node, tuple[str, ...]]] = []
    for part, value in walk.pairs(node, f"group {text!r}"):
        if part.text == "vars":
            read_group_variables(group, value, walk)
        elif part.text == "hosts":
            for host, given in walk.pairs(value, f"hosts of {text!r}"):
                own = walk.variables(given, f"host {host.text!r}", host.text or "")
                try:
                    expanded = expand_range(host.text or "")
                except RangeError as error:
                    walk.problems.add(BAD_RANGE, host.place, str(error), host=host.text or "")
                    expanded = [host.text or ""]
                for name in expanded:
                    names.setdefault(name, Host(name, host.place)).add_variables(own)
                    group.hosts.setdefault(name, host.place)
        elif part.text == "children":
            for child, inner in walk.pairs(value, f"children of {text!r}"):
                group.children.setdefault(child.text or "", child.place)
                below.append((child, inner, (*ancestors, text)))
        else:
            suggestion = "write hosts, children or vars; a host's name goes below hosts"
            walk.problems.add(GROUP_KEY, part.place, f"group {text!r} has a key {part.text!r}", suggestion)
            # A host may have been meant: nothing is removed for its absence.
            source.complete = False
    return below


def read_listing(root: Node | None, source: Source, problems: ProblemCollector) -> None:
    """Read what `ansible-inventory --list` prints: groups with lists, and `_meta.hostvars`."""
    if not isinstance(root, Mapping):
        if root is not None:
            problems.add(
                WRONG_TYPE,
                root.place,
                "the top of the file is no object",
                "write what ansible-inventory --list prints",
            )
            source.complete = False
        return
    walk, names = TreeWalker(problems), dict[str, Host]()

    def host(name: str, place: Place) -> Host:
        return names.setdefault(name, Host(name, place))

    for key, node in walk.pairs(root, "the top of the file"):
        text = key.text or ""
        if text == "_meta":
            for part, value in walk.pairs(node, "_meta"):
                if part.text == "hostvars":
                    for name, given in walk.pairs(value, "hosts of _meta"):
                        found = host(name.text or "", name.place)
                        found.add_variables(walk.variables(given, f"host {name.text!r}", name.text or ""))
            continue
        group = source.get_or_add_group(text, key.place)
        if isinstance(node, Sequence):  # the short form: a list of hosts
            for item in _read_names(node, f"group {text!r}", walk, source):
                host(item.text or "", item.place)
                group.hosts.setdefault(item.text or "", item.place)
            continue
        for part, value in walk.pairs(node, f"group {text!r}"):
            if part.text == "hosts":
                for item in _read_names(value, f"hosts of {text!r}", walk, source):
                    host(item.text or "", item.place)
                    group.hosts.setdefault(item.text or "", item.place)
            elif part.text == "children":
                for item in _read_names(value, f"children of {text!r}", walk, source):
                    group.children.setdefault(item.text or "", item.place)
            elif part.text == "vars":
                read_group_variables(group, value, walk)
            else:
                suggestion = "write hosts, children or vars"
                problems.add(GROUP_KEY, part.place, f"group {text!r} has a key {part.text!r}", suggestion)
                source.complete = False
    source.hosts = list(names.values())
    source.complete = source.complete and walk.complete


def read_group_variables(group: Group, node: Node, walk: TreeWalker) -> None:
    """Variables of a group; where they can't all be read, its hosts are not taken as they seem to be."""
    before = len(walk.problems.found)
    group.variables.update(walk.variables(node, f"vars of {group.name!r}"))
    if len(walk.problems.found) > before:
        group.malformed_at = node.place


def _read_names(node: Node, what: str, walk: TreeWalker, source: Source) -> Iterator[Scalar]:
    walk.count_node(node)
    if isinstance(node, Scalar) and node.text is None:
        return
    if not isinstance(node, Sequence):
        walk.problems.add(WRONG_TYPE, node.place, f"{what} is no list", 'write ["name", ...]')
        source.complete = False
        return
    for item in node.items:
        walk.count_node(item)
        if isinstance(item, Scalar) and item.text:
            yield item
        else:
            walk.problems.add(
                WRONG_TYPE, item.place, f"{what} holds something that is no name", "write names in quotes"
            )
            source.complete = False
