"""Documents as trees that know their places: from YAML by libyaml's events, from JSON by a scanner.

Neither builds objects from tags, and both are iterative: how deep a document nests costs no stack.
"""

from __future__ import annotations

import re
from bisect import bisect_right
from dataclasses import dataclass, field
from json.decoder import JSONDecodeError, scanstring  # type: ignore[attr-defined]
from typing import Any

import yaml

from .limits import MAX_DEPTH, LimitError
from .problems import Place

_Loader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_NULLS = {"", "~", "null", "Null", "NULL"}
_NUMBER = re.compile(r"-?(?:0|[1-9][0-9]*)(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?")
_SPACE = re.compile(r"[ \t\r\n]*")
_JSON_LITERALS = {"true": "true", "false": "false", "null": None}


class DocumentError(ValueError):
    """A document that can't be read on from `place`."""

    def __init__(self, place: Place, text: str) -> None:
        super().__init__(text)
        self.place = place


@dataclass(slots=True)
class Scalar:
    """A plain value: its text, None for a null; `vault` where a vault's tag stands before it."""

    text: str | None
    place: Place
    encrypted: bool = False


@dataclass(slots=True)
class Mapping:
    """Keys and values in the order in which they stand, repeated ones too."""

    place: Place
    items: list[tuple[Node, Node]] = field(default_factory=list)


@dataclass(slots=True)
class Sequence:
    """A list."""

    place: Place
    items: list[Node] = field(default_factory=list)


Node = Scalar | Mapping | Sequence


class _TreeBuilder:
    """Puts nodes together, whichever form they come from."""

    def __init__(self) -> None:
        self.root: Node | None = None
        self.stack: list[tuple[Mapping | Sequence, list[Node]]] = []

    def add(self, node: Node) -> None:
        if not self.stack:
            if self.root is None:
                self.root = node
            return
        container, waiting = self.stack[-1]
        if isinstance(container, Sequence):
            container.items.append(node)
        elif waiting:
            container.items.append((waiting.pop(), node))
        else:
            waiting.append(node)

    def open(self, node: Mapping | Sequence) -> None:
        self.add(node)
        self.stack.append((node, []))
        if len(self.stack) > MAX_DEPTH:
            raise LimitError(f"nested deeper than {MAX_DEPTH} levels")


def read_yaml(text: str, file: str) -> Node | None:
    """Read the first document of a YAML text; None where it is empty.

    Raises DocumentError where the form is broken and LimitError past a bound. What was read up to a break
    is lost: half a tree says nothing of what is missing.
    """
    builder, anchors = _TreeBuilder(), dict[str, Node]()
    place = Place(file, 1, 1)
    try:
        for event in yaml.parse(text, Loader=_Loader):
            start: Any = event.start_mark
            place = Place(file, start.line + 1, start.column + 1)
            node: Node
            if isinstance(event, yaml.ScalarEvent):
                value: str | None = event.value
                if not event.style and event.tag is None and event.value in _NULLS:
                    value = None
                node = Scalar(value, place, encrypted=event.tag in ("!vault", "!vault-encrypted"))
            elif isinstance(event, yaml.AliasEvent):
                if event.anchor not in anchors:
                    raise DocumentError(place, f"the alias *{event.anchor} names no anchor")
                builder.add(anchors[event.anchor])
                continue
            elif isinstance(event, yaml.MappingStartEvent):
                node = Mapping(place)
            elif isinstance(event, yaml.SequenceStartEvent):
                node = Sequence(place)
            elif isinstance(event, yaml.MappingEndEvent | yaml.SequenceEndEvent):
                builder.stack.pop()
                continue
            elif isinstance(event, yaml.DocumentEndEvent):
                break
            else:
                continue
            if event.anchor is not None:
                anchors[event.anchor] = node
            if isinstance(node, Scalar):
                builder.add(node)
            else:
                builder.open(node)
    except LimitError as error:
        raise LimitError(f"{error} at {place}") from None
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None) or getattr(error, "context_mark", None)
        index = Place(file, mark.line + 1, mark.column + 1) if mark is not None else place
        raise DocumentError(index, _yaml_error_text(error)) from None
    except (ValueError, OverflowError) as error:  # characters that the library's reader does not take
        if isinstance(error, DocumentError):
            raise
        raise DocumentError(place, str(error)) from None
    return builder.root


def _yaml_error_text(error: yaml.YAMLError) -> str:
    """What the library says, without its marks; a tab gets plain words, since it is met most."""
    problem = getattr(error, "problem", None) or getattr(error, "reason", None) or type(error).__name__
    if "cannot start any token" in str(problem):
        return "a character that no value begins with here (a tab? indent with spaces)"
    context = getattr(error, "context", None)
    return f"{problem} {context}" if context else str(problem)


class LineIndex:
    """Turns places in a text into lines and columns."""

    def __init__(self, text: str, file: str) -> None:
        self.file = file
        self.starts = [0, *(match.end() for match in re.finditer("\n", text))]

    def place_at(self, index: int) -> Place:
        """The place of a character."""
        line = bisect_right(self.starts, index)
        return Place(self.file, line, index - self.starts[line - 1] + 1)


def read_json(text: str, file: str) -> Node | None:
    """Read a JSON text. Raises as `read_yaml` does."""
    builder, lines = _TreeBuilder(), LineIndex(text, file)
    index = _skip_whitespace(text, 0)
    expects_value, first = True, False  # `first`: a container has just been opened and may close at once
    while True:
        mapping = bool(builder.stack) and isinstance(builder.stack[-1][0], Mapping)
        char = text[index : index + 1]
        if char and char in "}]" and (first or not expects_value) and builder.stack:
            if mapping != (char == "}"):
                raise DocumentError(lines.place_at(index), f"{char!r} closes what was opened otherwise")
            builder.stack.pop()
            index, expects_value, first = index + 1, False, False
        elif not expects_value:
            if char != ",":
                raise DocumentError(lines.place_at(index), "want a comma here, or the end of what is open")
            index, expects_value = _skip_whitespace(text, index + 1), True
            if text[index : index + 1] in ("}", "]"):
                raise DocumentError(lines.place_at(index), "a comma stands before the end; take it out")
            continue
        else:
            first = False
            if mapping:
                if char != '"':
                    raise DocumentError(lines.place_at(index), "want a key in double quotes")
                key, end = _read_string(text, index, lines)
                builder.add(Scalar(key, lines.place_at(index)))
                index = _skip_whitespace(text, end)
                if text[index : index + 1] != ":":
                    raise DocumentError(lines.place_at(index), "want a colon behind the key")
                index = _skip_whitespace(text, index + 1)
            index, first = _read_value(text, index, lines, builder)
            expects_value = first
        index = _skip_whitespace(text, index)
        if not builder.stack:
            if index < len(text):
                raise DocumentError(lines.place_at(index), "something stands behind the end")
            return builder.root


def _skip_whitespace(text: str, index: int) -> int:
    match = _SPACE.match(text, index)
    return match.end() if match else index


def _read_string(text: str, index: int, lines: LineIndex) -> tuple[str, int]:
    try:
        value, end = scanstring(text, index + 1, True)
        return str(value), int(end)
    except JSONDecodeError as error:
        raise DocumentError(lines.place_at(min(error.pos, len(text))), error.msg) from None


def _read_value(text: str, index: int, lines: LineIndex, builder: _TreeBuilder) -> tuple[int, bool]:
    """One value; gives where it ends, and whether it opens something."""
    place, char = lines.place_at(index), text[index : index + 1]
    if char == "{" or char == "[":
        builder.open(Mapping(place) if char == "{" else Sequence(place))
        return index + 1, True
    if char == '"':
        value, index = _read_string(text, index, lines)
        builder.add(Scalar(value, place))
        return index, False
    for word, meaning in _JSON_LITERALS.items():
        if text.startswith(word, index):
            builder.add(Scalar(meaning, place))
            return index + len(word), False
    if match := _NUMBER.match(text, index):
        builder.add(Scalar(match[0], place))
        return match.end(), False
    raise DocumentError(place, "want a value" if char else "the text ends amid a value")
