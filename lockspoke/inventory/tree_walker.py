"""Walks the tree of a document, with a limit on the nodes visited, and reads variables from it."""

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
    """Walks a document and counts the nodes visited, as aliases can expand a small file into a huge tree.

    `complete` is False if a part that may contain hosts was skipped.
    """

    def __init__(self, problems: ProblemCollector) -> None:
        self.problems = problems
        self.remaining_nodes = MAX_NODES
        self.complete = True

    def count_node(self, node: Node) -> None:
        """Count one visited node. Raises LimitError if there are too many."""
        self.remaining_nodes -= 1
        if self.remaining_nodes < 0:
            raise LimitError(f"more than {MAX_NODES} nodes, aliases counted each time, at {node.place}")

    def pairs(self, node: Node, what: str, host: str = "") -> Iterator[tuple[Scalar, Node]]:
        """Yield the keys and values of a mapping, including those that merge keys (`<<`) add.

        A null counts as an empty mapping; any other node is reported and skipped. `what` describes the node
        in messages, and `host` is the host that it belongs to, if it belongs to one.
        """
        self.count_node(node)
        if isinstance(node, Scalar) and node.text is None:
            return
        if not isinstance(node, Mapping):
            self._report_skipped(node.place, f"{what} is no mapping", "write key: value lines below it", host)
            return
        seen: dict[str, Place] = {}
        merged_mappings: list[Node] = []
        for key, value in node.items:
            self.count_node(value)
            if not isinstance(key, Scalar) or key.text is None:
                message = f"{what} has a key that is no plain name"
                self._report_skipped(key.place, message, "write one name", host)
            elif key.text == _MERGE_KEY:
                merged_mappings.extend(value.items if isinstance(value, Sequence) else [value])
            elif key.text in seen:
                message = f"{key.text!r} stands twice in {what}"
                host_name = key.text if what.startswith("hosts") else host
                self.problems.add(
                    REPEATED_KEY, key.place, message, "keep one of them", seen[key.text], host_name
                )
            else:
                seen[key.text] = key.place
                yield key, value
        # The mapping's own keys override merged ones, and an earlier merged mapping overrides a later one.
        for other in merged_mappings:
            for key, value in self.pairs(other, what, host):
                if key.text is not None and key.text not in seen:
                    seen[key.text] = key.place
                    yield key, value

    def _report_skipped(self, place: Place, message: str, suggestion: str, host: str) -> None:
        """Report a part that is skipped; if it does not belong to a single host, it may contain hosts."""
        self.problems.add(WRONG_TYPE, place, message, suggestion, host=host)
        self.complete = self.complete and bool(host)

    def plain_value(self, node: Node, depth: int = 0) -> Any:
        """Convert a node to a string, list or dict; parts nested deeper than MAX_VALUE_DEPTH become None."""
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
        """Return the variables of a group, host or file; `what` and `host` are as in `pairs`."""
        found: dict[str, Value] = {}
        for key, value in self.pairs(node, what, host):
            if key.text is not None:
                is_encrypted = isinstance(value, Scalar) and value.encrypted
                found[key.text] = Value(self.plain_value(value), value.place, is_encrypted)
        return found


def read_group_variables(group: Group, node: Node, walker: TreeWalker) -> None:
    """Read the variables of a group; sets its `malformed_at` if some of them can't be read."""
    problems_before = len(walker.problems.found)
    group.variables.update(walker.variables(node, f"vars of {group.name!r}"))
    if len(walker.problems.found) > problems_before:
        group.malformed_at = node.place
