"""Walks the tree of a document within a limit on the nodes visited, and reads variables from it."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from .document_tree import Mapping, Node, Scalar, Sequence
from .limits import MAX_NODES, LimitError
from .model import Group, Value
from .problems import REPEATED_KEY, WRONG_TYPE, Place, ProblemCollector

MAX_VALUE_DEPTH = 8

_MERGE_KEY = "<<"


class TreeWalker:
    """Walks a document within a limit on the nodes visited, as aliases can make a small file a large tree.

    `complete` tells whether no host can be in a part that was skipped.
    """

    def __init__(self, problems: ProblemCollector) -> None:
        self.problems = problems
        self.remaining_nodes = MAX_NODES
        self.complete = True

    def count_node(self, node: Node) -> None:
        """Count one node."""
        self.remaining_nodes -= 1
        if self.remaining_nodes < 0:
            raise LimitError(f"more than {MAX_NODES} nodes, aliases counted each time, at {node.place}")

    def pairs(self, node: Node, what: str, host: str = "") -> Iterator[tuple[Scalar, Node]]:
        """Keys and values of a mapping, with merge keys followed.

        A null counts as an empty mapping; anything else is a problem. `what` names the mapping in messages,
        `host` the host that it belongs to.
        """
        self.count_node(node)
        if isinstance(node, Scalar) and node.text is None:
            return
        if not isinstance(node, Mapping):
            self._report_skipped(node.place, f"{what} is no mapping", "write key: value lines below it", host)
            return
        seen: dict[str, Place] = {}
        merged: list[Node] = []
        for key, value in node.items:
            self.count_node(value)
            if not isinstance(key, Scalar) or key.text is None:
                message = f"{what} has a key that is no plain name"
                self._report_skipped(key.place, message, "write one name", host)
            elif key.text == _MERGE_KEY:
                merged.extend(value.items if isinstance(value, Sequence) else [value])
            elif key.text in seen:
                message = f"{key.text!r} stands twice in {what}"
                named = key.text if what.startswith("hosts") else host
                self.problems.add(REPEATED_KEY, key.place, message, "keep one of them", seen[key.text], named)
            else:
                seen[key.text] = key.place
                yield key, value
        # A key overrides merged ones; of two merged mappings the earlier one counts.
        for other in merged:
            for key, value in self.pairs(other, what, host):
                if key.text is not None and key.text not in seen:
                    seen[key.text] = key.place
                    yield key, value

    def _report_skipped(self, place: Place, message: str, suggestion: str, host: str) -> None:
        """Report a part that is skipped; unless it belongs to one host, others may be in it."""
        self.problems.add(WRONG_TYPE, place, message, suggestion, host=host)
        self.complete = self.complete and bool(host)

    def plain_value(self, node: Node, depth: int = 0) -> Any:
        """A node as plain values: text, lists and mappings of these."""
        self.count_node(node)
        if isinstance(node, Scalar):
            return node.text
        if depth > MAX_VALUE_DEPTH:
            return None
        if isinstance(node, Sequence):
            return [self.plain_value(item, depth + 1) for item in node.items]
        return {
            key.text: self.plain_value(item, depth + 1)
            for key, item in node.items
            if isinstance(key, Scalar) and key.text is not None
        }

    def variables(self, node: Node, what: str, host: str = "") -> dict[str, Value]:
        """The variables of a group, host or file."""
        found: dict[str, Value] = {}
        for key, value in self.pairs(node, what, host):
            if key.text is not None:
                vault = isinstance(value, Scalar) and value.encrypted
                found[key.text] = Value(self.plain_value(value), value.place, vault)
        return found


def read_group_variables(group: Group, node: Node, walk: TreeWalker) -> None:
    """Read the variables of a group; `malformed_at` is set if some of them can't be read."""
    before = len(walk.problems.found)
    group.variables.update(walk.variables(node, f"vars of {group.name!r}"))
    if len(walk.problems.found) > before:
        group.malformed_at = node.place
