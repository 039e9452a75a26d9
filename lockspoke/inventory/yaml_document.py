"""Builds document trees from YAML, using the events of PyYAML, with libyaml where it is available."""

from __future__ import annotations

from typing import Any

import yaml

from .document_tree import DocumentError, Mapping, Node, Scalar, Sequence, TreeBuilder
from .limits import LimitError
from .problems import Place

_Loader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_NULLS = frozenset({"", "~", "null", "Null", "NULL"})
_VAULT_TAGS = frozenset({"!vault", "!vault-encrypted"})


def read_yaml(text: str, file: str) -> Node | None:
    """Read the first document of a YAML text; returns None if it is empty.

    A document with a syntax error is rejected as a whole, as a partial tree would not show what is missing.

    Raises:
        DocumentError: The syntax is not valid.
        LimitError: The document exceeds a limit.
    """
    reader = _YamlReader(file)
    try:
        reader.read(text)
    except LimitError as error:
        raise LimitError(f"{error} at {reader.place}") from None
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None) or getattr(error, "context_mark", None)
        place = Place(file, mark.line + 1, mark.column + 1) if mark is not None else reader.place
        raise DocumentError(place, _error_text(error)) from None
    except DocumentError:
        raise
    except (ValueError, OverflowError) as error:  # PyYAML rejects some characters in this way.
        raise DocumentError(reader.place, str(error)) from None
    return reader.builder.root


class _YamlReader:
    """Builds the tree of one document; an alias refers to the node of its anchor, which is not copied."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.place = Place(file, 1, 1)  # The place of the last event.
        self.builder = TreeBuilder()
        self._anchors: dict[str, Node] = {}

    def read(self, text: str) -> None:
        for event in yaml.parse(text, Loader=_Loader):
            start: Any = event.start_mark
            self.place = Place(self.file, start.line + 1, start.column + 1)
            if isinstance(event, yaml.DocumentEndEvent):
                return
            self._process_event(event)

    def _process_event(self, event: yaml.Event) -> None:
        if isinstance(event, yaml.ScalarEvent):
            scalar = self._scalar(event)
            self._store_anchor(event.anchor, scalar)
            self.builder.add(scalar)
        elif isinstance(event, yaml.AliasEvent):
            if event.anchor not in self._anchors:
                raise DocumentError(self.place, f"the alias *{event.anchor} names no anchor")
            self.builder.add(self._anchors[event.anchor])
        elif isinstance(event, yaml.MappingStartEvent | yaml.SequenceStartEvent):
            is_mapping = isinstance(event, yaml.MappingStartEvent)
            node = Mapping(self.place) if is_mapping else Sequence(self.place)
            self._store_anchor(event.anchor, node)
            self.builder.open(node)
        elif isinstance(event, yaml.MappingEndEvent | yaml.SequenceEndEvent):
            self.builder.close()

    def _scalar(self, event: yaml.ScalarEvent) -> Scalar:
        is_null = not event.style and event.tag is None and event.value in _NULLS
        return Scalar(None if is_null else event.value, self.place, encrypted=event.tag in _VAULT_TAGS)

    def _store_anchor(self, anchor: str | None, node: Node) -> None:
        if anchor is not None:
            self._anchors[anchor] = node


def _error_text(error: yaml.YAMLError) -> str:
    """Return the message of PyYAML without positions; for a tab, a common mistake, a more helpful one."""
    problem = getattr(error, "problem", None) or getattr(error, "reason", None) or type(error).__name__
    if "cannot start any token" in str(problem):
        return "a character that no value begins with here (a tab? indent with spaces)"
    context = getattr(error, "context", None)
    return f"{problem} {context}" if context else str(problem)
