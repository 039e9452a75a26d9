"""Ansible's YAML inventories, the JSON that `ansible-inventory --list` prints, and files of variables."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Any

from .documents import Mapping, Node, Scalar, Sequence
from .limits import HOSTS, NODES, LimitError
from .model import Group, Host, Source, Value
from .problems import GROUP_KEY, GROUP_LOOP, RANGE, REPEATED_KEY, SHAPE, Place, Problems
from .ranges import RangeError, expand

_MERGE = "<<"


class Walk:
    """Walks a document within a bound on the nodes visited: aliases make a small file a large one."""

    def __init__(self, problems: Problems) -> None:
        self.problems = problems
        self.left = NODES
        self.whole = True  # no host can stand in a part that was passed over

    def visit(self, node: Node) -> None:
        """Count one node."""
        self.left -= 1
        if self.left < 0:
            raise LimitError(f"more than {NODES} nodes, aliases counted each time, at {node.place}")

    def pairs(self, node: Node, what: str, host: str = "") -> Iterator[tuple[Scalar, Node]]:
        """Keys and values of a mapping, merge keys followed; nothing for a null, a problem for the rest."""
        self.visit(node)
        if isinstance(node, Scalar) and node.text is None:
            return
        if not isinstance(node, Mapping):
            self.problems.add(
                SHAPE, node.place, f"{what} is no mapping", "write key: value lines below it", host=host
            )
            self.whole = self.whole and bool(host)
            return
        seen: dict[str, Place] = {}
        merged: list[Node] = []
        for key, value in node.items:
            self.visit(value)
            if not isinstance(key, Scalar) or key.text is None:
                self.problems.add(
                    SHAPE, key.place, f"{what} has a key that is no plain name", "write one name", host=host
                )
                self.whole = self.whole and bool(host)
                continue
            if key.text == _MERGE:
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

    def value(self, node: Node, depth: int = 0) -> Any:
        """A node as plain values: text, lists and mappings of them."""
        self.visit(node)
        if isinstance(node, Scalar):
            return node.text
        if depth > 8:
            return None
        if isinstance(node, Sequence):
            return [self.value(item, depth + 1) for item in node.items]
        return {
            key.text: self.value(item, depth + 1)
            for key, item in node.items
            if isinstance(key, Scalar) and key.text is not None
        }

    def variables(self, node: Node, what: str, host: str = "") -> dict[str, Value]:
        """The variables of a group, a host or a file."""
        found: dict[str, Value] = {}
        for key, value in self.pairs(node, what, host):
            if key.text is not None:
                vault = isinstance(value, Scalar) and value.vault
                found[key.text] = Value(self.value(value), value.place, vault)
        return found


def read_groups(root: Node | None, source: Source, problems: Problems) -> None:
    """Read a YAML inventory from its tree: groups with hosts, children and vars."""
    if root is None:
        return
    walk, names = Walk(problems), dict[str, Host]()
    if not isinstance(root, Mapping):
        problems.add(
            SHAPE, root.place, "the top of the file is no mapping", "begin it with all: and groups below"
        )
        source.whole = False
        return
    try:
        # A stack of its own: children nest as deep as the document does.
        waiting: deque[tuple[Scalar, Node, tuple[str, ...]]] = deque()
        waiting.extend((key, value, ()) for key, value in walk.pairs(root, "the top of the file"))
        while waiting:
            name, node, above = waiting.popleft()
            waiting += _group(source, names, walk, name, node, above)
            if len(names) > HOSTS:
                raise LimitError(f"more than {HOSTS} hosts at {name.place}")
    finally:
        source.rows = list(names.values())
        source.whole = source.whole and walk.whole


def _group(
    source: Source,
    names: dict[str, Host],
    walk: Walk,
    key: Scalar,
    node: Node,
    above: tuple[str, ...],
) -> list[tuple[Scalar, Node, tuple[str, ...]]]:
    text = key.text or ""
    group = source.group(text, key.place)
    if text in above:
        message = f"group {text!r} is its own ancestor, by {' > '.join([*above, text])}"
        walk.problems.add(GROUP_LOOP, key.place, message, "take one of the steps out")
        return []
    below: list[tuple[Scalar, Node, tuple[str, ...]]] = []
    for part, value in walk.pairs(node, f"group {text!r}"):
        if part.text == "vars":
            group_variables(group, value, walk)
        elif part.text == "hosts":
            for host, given in walk.pairs(value, f"hosts of {text!r}"):
                own = walk.variables(given, f"host {host.text!r}", host.text or "")
                try:
                    expanded = expand(host.text or "")
                except RangeError as error:
                    walk.problems.add(RANGE, host.place, str(error), host=host.text or "")
                    expanded = [host.text or ""]
                for name in expanded:
                    names.setdefault(name, Host(name, host.place)).give(own)
                    group.hosts.setdefault(name, host.place)
        elif part.text == "children":
            for child, inner in walk.pairs(value, f"children of {text!r}"):
                group.children.setdefault(child.text or "", child.place)
                below.append((child, inner, (*above, text)))
        else:
            mend = "write hosts, children or vars; a host's name goes below hosts"
            walk.problems.add(GROUP_KEY, part.place, f"group {text!r} has a key {part.text!r}", mend)
            # A host may have been meant: nothing is removed for its absence.
            source.whole = False
    return below


def read_listing(root: Node | None, source: Source, problems: Problems) -> None:
    """Read what `ansible-inventory --list` prints: groups with lists, and `_meta.hostvars`."""
    if not isinstance(root, Mapping):
        if root is not None:
            problems.add(
                SHAPE,
                root.place,
                "the top of the file is no object",
                "write what ansible-inventory --list prints",
            )
            source.whole = False
        return
    walk, names = Walk(problems), dict[str, Host]()

    def host(name: str, place: Place) -> Host:
        return names.setdefault(name, Host(name, place))

    for key, node in walk.pairs(root, "the top of the file"):
        text = key.text or ""
        if text == "_meta":
            for part, value in walk.pairs(node, "_meta"):
                if part.text == "hostvars":
                    for name, given in walk.pairs(value, "hosts of _meta"):
                        found = host(name.text or "", name.place)
                        found.give(walk.variables(given, f"host {name.text!r}", name.text or ""))
            continue
        group = source.group(text, key.place)
        if isinstance(node, Sequence):  # the short form: a list of hosts
            for item in _words(node, f"group {text!r}", walk, source):
                host(item.text or "", item.place)
                group.hosts.setdefault(item.text or "", item.place)
            continue
        for part, value in walk.pairs(node, f"group {text!r}"):
            if part.text == "hosts":
                for item in _words(value, f"hosts of {text!r}", walk, source):
                    host(item.text or "", item.place)
                    group.hosts.setdefault(item.text or "", item.place)
            elif part.text == "children":
                for item in _words(value, f"children of {text!r}", walk, source):
                    group.children.setdefault(item.text or "", item.place)
            elif part.text == "vars":
                group_variables(group, value, walk)
            else:
                mend = "write hosts, children or vars"
                problems.add(GROUP_KEY, part.place, f"group {text!r} has a key {part.text!r}", mend)
                source.whole = False
    source.rows = list(names.values())
    source.whole = source.whole and walk.whole


def group_variables(group: Group, node: Node, walk: Walk) -> None:
    """Variables of a group; where they can't all be read, its hosts are not taken as they seem to be."""
    before = len(walk.problems.found)
    group.vars.update(walk.variables(node, f"vars of {group.name!r}"))
    if len(walk.problems.found) > before:
        group.spoilt = node.place


def _words(node: Node, what: str, walk: Walk, source: Source) -> Iterator[Scalar]:
    walk.visit(node)
    if isinstance(node, Scalar) and node.text is None:
        return
    if not isinstance(node, Sequence):
        walk.problems.add(SHAPE, node.place, f"{what} is no list", 'write ["name", ...]')
        source.whole = False
        return
    for item in node.items:
        walk.visit(item)
        if isinstance(item, Scalar) and item.text:
            yield item
        else:
            walk.problems.add(
                SHAPE, item.place, f"{what} holds something that is no name", "write names in quotes"
            )
            source.whole = False
