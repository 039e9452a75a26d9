"""Reads Ansible's INI inventories: `[group]`, `[group:vars]`, `[group:children]`, hosts with key=value."""

from __future__ import annotations

import ast
import re
from enum import Enum
from typing import NamedTuple

from .limits import MAX_HOSTS, MAX_LINE_CHARS
from .model import Host, Source, Value
from .problems import (
    BAD_ASSIGNMENT,
    BAD_RANGE,
    SYNTAX_ERROR,
    TOO_DEEP,
    TOO_LARGE,
    WRONG_TYPE,
    Place,
    ProblemCode,
    ProblemCollector,
)
from .ranges import RangeError, expand_range

_SECTION = re.compile(r"\[([^:\]\s]+)(?::(\w+))?\]\s*(?:#.*)?$")
_PORT = re.compile(r"^(?P<host>(?:[^:\[\]]|\[[^\[\]]*:[^\[\]]*\])+):(?P<port>[0-9]+)$")
_LITERAL = re.compile(r"['\"\[{(\-+.0-9]|True$|False$|None$")


class _UnclosedQuoteError(ValueError):
    """A quote is opened and not closed."""


class _Token(NamedTuple):
    """A token of a line and the column at which it begins, counted from 1."""

    column: int
    text: str


class _SectionKind(Enum):
    """What the lines of a section contain."""

    HOSTS = "hosts"
    VARIABLES = "vars"
    CHILDREN = "children"
    UNKNOWN = ""


class _Tokenizer:
    """Splits a line into tokens as a POSIX shell does; `#` begins a comment."""

    def __init__(self, line: str) -> None:
        self.line = line
        self.tokens: list[_Token] = []
        self._chars: list[str] = []
        self._start: int | None = None  # The index at which the current token begins.
        self._quote = ""  # The quote character that is open, if any.
        self._index = 0

    def split(self) -> list[_Token]:
        while self._index < len(self.line):
            char = self.line[self._index]
            if self._quote:
                self._read_quoted(char)
            elif char in " \t\r":
                self._end_token()
            elif char == "#":
                break
            else:
                self._read_plain(char)
            self._index += 1
        if self._quote:
            raise _UnclosedQuoteError(f"a {self._quote} is opened and never closed")
        self._end_token()
        return self.tokens

    def _read_quoted(self, char: str) -> None:
        following = self.line[self._index + 1 : self._index + 2]
        if char == self._quote:
            self._quote = ""
        elif char == "\\" and self._quote == '"' and following in ('"', "\\"):
            self._read_escaped()
        else:
            self._chars.append(char)

    def _read_plain(self, char: str) -> None:
        if self._start is None:
            self._start = self._index
        if char in "\"'":
            self._quote = char
        elif char == "\\" and self._index + 1 < len(self.line):
            self._read_escaped()
        else:
            self._chars.append(char)

    def _read_escaped(self) -> None:
        self._index += 1
        self._chars.append(self.line[self._index])

    def _end_token(self) -> None:
        if self._start is not None:
            self.tokens.append(_Token(self._start + 1, "".join(self._chars)))
            self._chars, self._start = [], None


def read_ini(text: str, file: str, problems: ProblemCollector) -> Source:
    """Read an INI text. A line that can't be read is reported, and reading continues with the next line."""
    return _IniReader(text, file, problems).read()


class _IniReader:
    """Reads the lines of one INI text into the hosts and groups of a source."""

    def __init__(self, text: str, file: str, problems: ProblemCollector) -> None:
        self.lines = text.split("\n")
        self.problems = problems
        self.source = Source(file, "ini", ends_with_newline=not text or text.endswith("\n"))
        self.hosts: dict[str, Host] = {}
        self.section = "ungrouped"
        self.kind = _SectionKind.HOSTS

    def read(self) -> Source:
        source = self.source
        source.get_or_add_group(self.section, Place(source.file, 1))
        for number, line in enumerate(self.lines, 1):
            place = Place(source.file, number, len(line) - len(line.lstrip()) + 1)
            if len(line) > MAX_LINE_CHARS:
                message = f"a line of {len(line)} characters"
                return self._stop_reading(TOO_LARGE, place, message, f"keep lines under {MAX_LINE_CHARS}")
            self._read_line(line, place)
            if len(self.hosts) > MAX_HOSTS:
                return self._stop_reading(
                    TOO_DEEP, place, f"more than {MAX_HOSTS} hosts", "split the inventory"
                )
        source.hosts = list(self.hosts.values())
        return source

    def _stop_reading(self, code: ProblemCode, place: Place, message: str, suggestion: str) -> Source:
        self.problems.add(code, place, message, suggestion)
        self.source.complete = False
        return self.source

    def _read_line(self, line: str, place: Place) -> None:
        text = line.strip()
        if not text or text[0] in "#;":
            return
        if text.startswith("[") and "=" not in text.split("]", maxsplit=1)[0]:
            self._read_section(text, place)
        elif self.kind is _SectionKind.HOSTS:
            self._read_host(line, place)
        elif self.kind is _SectionKind.CHILDREN:
            self._read_child(text, place)
        elif self.kind is _SectionKind.VARIABLES:
            self._read_variable(line, place)

    def _read_section(self, text: str, place: Place) -> None:
        suggestion = "write [group], [group:vars] or [group:children]"
        match = _SECTION.match(text)
        if match is None:
            self._skip_section(place, f"{text!r} is no section", suggestion)
            return
        self.section, kind = match[1], match[2] or "hosts"
        if kind not in ("hosts", "vars", "children"):
            self._skip_section(place, f"a section of the sort {kind!r} is not known", suggestion)
            return
        self.kind = _SectionKind(kind)
        if self.kind is not _SectionKind.VARIABLES or self.section not in self.source.groups:
            self.source.get_or_add_group(self.section, place)

    def _skip_section(self, place: Place, message: str, suggestion: str) -> None:
        """Skip the lines of a section; they may name hosts, so the source is incomplete."""
        self.problems.add(SYNTAX_ERROR, place, message, suggestion)
        self.source.complete = False
        self.kind = _SectionKind.UNKNOWN

    def _read_child(self, text: str, place: Place) -> None:
        child = text.split("#", maxsplit=1)[0].strip()
        if re.search(r"\s", child):
            self.problems.add(WRONG_TYPE, place, f"{child!r} is no group's name", "write one name a line")
        else:
            self.source.get_or_add_group(self.section, place).children.setdefault(child, place)

    def _read_host(self, line: str, line_place: Place) -> None:
        (column, pattern), *assignments = self._split_host_line(line, line_place)
        place = line_place._replace(column=column)
        variables: dict[str, Value] = {}
        if match := _PORT.match(pattern):
            pattern = match["host"]
            variables["ansible_port"] = Value(match["port"], place)
        for token in assignments:
            self._read_assignment(token, pattern, place, variables)
        try:
            names = expand_range(pattern)
        except RangeError as error:
            self.problems.add(BAD_RANGE, place, str(error), host=pattern)
            names = [pattern]
        group = self.source.get_or_add_group(self.section, place)
        for name in names:
            self.hosts.setdefault(name, Host(name, place)).add_variables(variables)
            group.hosts.setdefault(name, place)

    def _split_host_line(self, line: str, place: Place) -> list[_Token]:
        try:
            return _Tokenizer(line).split()
        except _UnclosedQuoteError as error:
            # The name usually precedes the quote. Without it, the host would count as removed.
            name = line.split(maxsplit=1)[0]
            suggestion = "close it, or put a quote within quotes"
            self.problems.add(SYNTAX_ERROR, place, str(error), suggestion, host=name)
            return [_Token(place.column, name)]

    def _read_assignment(self, token: _Token, host: str, place: Place, variables: dict[str, Value]) -> None:
        key, equals, value = token.text.partition("=")
        token_place = place._replace(column=token.column)
        if equals and key:
            variables[key] = Value(parse_literal(value), token_place)
            return
        message = f"{token.text!r} is no key=value"
        suggestion = "write key=value, with quotes round spaces"
        self.problems.add(BAD_ASSIGNMENT, token_place, message, suggestion, host=host)

    def _read_variable(self, line: str, place: Place) -> None:
        key, equals, value = line.partition("=")
        if not equals or not key.strip():
            message = f"{line.strip()!r} is no key=value"
            self.problems.add(BAD_ASSIGNMENT, place, message, "write key=value")
            return
        value_place = place._replace(column=len(key) + 2 + len(value) - len(value.lstrip()))
        group = self.source.get_or_add_group(self.section, place)
        group.variables[key.strip()] = Value(parse_literal(value.strip()), value_place)


def parse_literal(text: str) -> object:
    """Parse a value as Ansible does in INI files: as a Python literal if it is one, or else as plain text.

    Numbers are kept as text, so that the schema checks numbers such as `010` and `1e3` as they are written.
    """
    if _LITERAL.match(text) and len(text) < 4096:
        try:
            value = ast.literal_eval(text)
        except (ValueError, SyntaxError, MemoryError, RecursionError):
            return text
        if isinstance(value, str | dict | list):
            return value
        if isinstance(value, tuple | set):
            return list(value)
        return None if value is None else text
    return text
