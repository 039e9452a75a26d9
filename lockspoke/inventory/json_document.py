"""Builds document trees from JSON; unlike the standard library's parser, it keeps the place of each value."""

from __future__ import annotations

import re
from bisect import bisect_right
from json.decoder import JSONDecodeError, scanstring  # type: ignore[attr-defined] # The type stubs lack it.

from .document_tree import DocumentError, Mapping, Node, Scalar, Sequence, TreeBuilder
from .problems import Place

_NUMBER = re.compile(r"-?(?:0|[1-9][0-9]*)(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?")
_WHITESPACE = re.compile(r"[ \t\r\n]*")
_LITERALS = {"true": "true", "false": "false", "null": None}


def read_json(text: str, file: str) -> Node | None:
    """Read a JSON text.

    Raises:
        DocumentError: The syntax is not valid.
        LimitError: The document exceeds a limit.
    """
    return _JsonReader(text, file).read()


class _LineIndex:
    """Converts positions in a text to lines and columns."""

    def __init__(self, text: str, file: str) -> None:
        self.file = file
        self.starts = [0, *(match.end() for match in re.finditer("\n", text))]

    def place_at(self, index: int) -> Place:
        """Return the place of the character at an index."""
        line = bisect_right(self.starts, index)
        return Place(self.file, line, index - self.starts[line - 1] + 1)


class _JsonReader:
    """Scans one JSON text and builds its tree, without recursion."""

    def __init__(self, text: str, file: str) -> None:
        self.text = text
        self.lines = _LineIndex(text, file)
        self.builder = TreeBuilder()
        self.index = 0
        self.expects_value = True
        self.just_opened = False  # A container was opened, so its end may follow at once.

    def read(self) -> Node | None:
        self._skip_whitespace()
        while True:
            self._read_next()
            self._skip_whitespace()
            if self.builder.container is None:
                if self.index < len(self.text):
                    raise self._error("something stands behind the end")
                return self.builder.root

    def _read_next(self) -> None:
        """Read a value with the key before it, a comma, or the end of a container."""
        may_close = self.just_opened or not self.expects_value
        if may_close and self._char() in ("}", "]") and self.builder.container is not None:
            self._read_end(self.builder.container)
        elif not self.expects_value:
            self._read_comma()
        else:
            if isinstance(self.builder.container, Mapping):
                self._read_key()
            self.just_opened = self._read_value()
            self.expects_value = self.just_opened

    def _read_end(self, container: Mapping | Sequence) -> None:
        char = self._char()
        if isinstance(container, Mapping) != (char == "}"):
            raise self._error(f"{char!r} closes what was opened otherwise")
        self.builder.close()
        self.index += 1
        self.expects_value, self.just_opened = False, False

    def _read_comma(self) -> None:
        if self._char() != ",":
            raise self._error("want a comma here, or the end of what is open")
        self.index += 1
        self._skip_whitespace()
        if self._char() in ("}", "]"):
            raise self._error("a comma stands before the end; take it out")
        self.expects_value = True

    def _read_key(self) -> None:
        if self._char() != '"':
            raise self._error("want a key in double quotes")
        place = self._place()
        self.builder.add(Scalar(self._read_string(), place))
        self._skip_whitespace()
        if self._char() != ":":
            raise self._error("want a colon behind the key")
        self.index += 1
        self._skip_whitespace()

    def _read_value(self) -> bool:
        """Read a scalar or the start of a container; returns whether it is a container."""
        place, char = self._place(), self._char()
        if char in ("{", "["):
            self.builder.open(Mapping(place) if char == "{" else Sequence(place))
            self.index += 1
            return True
        if char == '"':
            self.builder.add(Scalar(self._read_string(), place))
            return False
        for literal, literal_text in _LITERALS.items():
            if self.text.startswith(literal, self.index):
                self.builder.add(Scalar(literal_text, place))
                self.index += len(literal)
                return False
        number = _NUMBER.match(self.text, self.index)
        if number is None:
            raise self._error("want a value" if char else "the text ends amid a value")
        self.builder.add(Scalar(number[0], place))
        self.index = number.end()
        return False

    def _read_string(self) -> str:
        try:
            value, end = scanstring(self.text, self.index + 1, True)
        except JSONDecodeError as error:
            place = self.lines.place_at(min(error.pos, len(self.text)))
            raise DocumentError(place, error.msg) from None
        self.index = int(end)
        return str(value)

    def _char(self) -> str:
        """Return the next character; empty at the end of the text."""
        return self.text[self.index : self.index + 1]

    def _place(self) -> Place:
        return self.lines.place_at(self.index)

    def _error(self, text: str) -> DocumentError:
        return DocumentError(self._place(), text)

    def _skip_whitespace(self) -> None:
        match = _WHITESPACE.match(self.text, self.index)
        if match is not None:
            self.index = match.end()
