"""YAML and JSON documents as trees of nodes with their places.

Trees are built iteratively, so that deep nesting can't overflow the stack. Unlike in YAML loaders, tags never
create objects.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .limits import MAX_DEPTH, LimitError
from .problems import Place


class DocumentError(ValueError):
    """A document can't be read beyond `place`."""

    def __init__(self, place: Place, text: str) -> None:
        super().__init__(text)
        self.place = place


@dataclass(slots=True)
class Scalar:
    """A scalar; `text` is None for a null, and `encrypted` marks a value with the tag of Ansible Vault."""

    text: str | None
    place: Place
    encrypted: bool = False


@dataclass(slots=True)
class Mapping:
    """A mapping as its pairs of keys and values in the order of the text; keys may be repeated."""

    place: Place
    items: list[tuple[Node, Node]] = field(default_factory=list)


@dataclass(slots=True)
class Sequence:
    """A list of nodes."""

    place: Place
    items: list[Node] = field(default_factory=list)


Node = Scalar | Mapping | Sequence


@dataclass(slots=True)
class _OpenContainer:
    """A container whose end has not been read, and the last key if its value has not been read either."""

    node: Mapping | Sequence
    key: Node | None = None


class TreeBuilder:
    """Builds a tree from nodes that are added in the order of the text."""

    def __init__(self) -> None:
        self.root: Node | None = None
        self._stack: list[_OpenContainer] = []

    @property
    def container(self) -> Mapping | Sequence | None:
        """The innermost open container, or None at the top level."""
        return self._stack[-1].node if self._stack else None

    def add(self, node: Node) -> None:
        """Add a node to the open container; in a mapping, keys and values alternate."""
        if not self._stack:
            if self.root is None:
                self.root = node
            return
        container = self._stack[-1]
        if isinstance(container.node, Sequence):
            container.node.items.append(node)
        elif container.key is not None:
            container.node.items.append((container.key, node))
            container.key = None
        else:
            container.key = node

    def open(self, node: Mapping | Sequence) -> None:
        """Add a container and open it. Raises LimitError if it is nested too deeply."""
        self.add(node)
        self._stack.append(_OpenContainer(node))
        if len(self._stack) > MAX_DEPTH:
            raise LimitError(f"nested deeper than {MAX_DEPTH} levels")

    def close(self) -> None:
        """Close the innermost container."""
        self._stack.pop()
