"""Documents as trees of nodes that know their places, whichever format they come from.

Trees are built iteratively, so that nesting costs no stack; no objects are made from tags.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .limits import MAX_DEPTH, LimitError
from .problems import Place


class DocumentError(ValueError):
    """A document that can't be read on from `place`."""

    def __init__(self, place: Place, text: str) -> None:
        super().__init__(text)
        self.place = place


@dataclass(slots=True)
class Scalar:
    """A plain value: its text, None for a null; `encrypted` if it has the tag of a vault."""

    text: str | None
    place: Place
    encrypted: bool = False


@dataclass(slots=True)
class Mapping:
    """Keys and values in the order of the text, repeated ones too."""

    place: Place
    items: list[tuple[Node, Node]] = field(default_factory=list)


@dataclass(slots=True)
class Sequence:
    """A list."""

    place: Place
    items: list[Node] = field(default_factory=list)


Node = Scalar | Mapping | Sequence


@dataclass(slots=True)
class _OpenContainer:
    """A container that is being read, and the key that waits for its value."""

    node: Mapping | Sequence
    key: Node | None = None


class TreeBuilder:
    """Builds a tree from its nodes in the order of the text."""

    def __init__(self) -> None:
        self.root: Node | None = None
        self._stack: list[_OpenContainer] = []

    @property
    def container(self) -> Mapping | Sequence | None:
        """The innermost container that is open."""
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
        """Add a container and open it. Raises LimitError where too many are nested."""
        self.add(node)
        self._stack.append(_OpenContainer(node))
        if len(self._stack) > MAX_DEPTH:
            raise LimitError(f"nested deeper than {MAX_DEPTH} levels")

    def close(self) -> None:
        """Close the innermost container."""
        self._stack.pop()
