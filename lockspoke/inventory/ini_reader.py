"""Ansible's INI inventories: `[group]`, `[group:vars]`, `[group:children]`, host lines with key=value."""

from __future__ import annotations

import ast
import re

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
    ProblemCollector,
)
from .ranges import RangeError, expand_range

_SECTION = re.compile(r"\[([^:\]\s]+)(?::(\w+))?\]\s*(?:#.*)?$")
_PORT = re.compile(r"^(?P<host>(?:[^:\[\]]|\[[^\[\]]*:[^\[\]]*\])+):(?P<port>[0-9]+)$")
_LITERAL = re.compile(r"['\"\[{(\-+.0-9]|True$|False$|None$")


class _UnclosedQuoteError(ValueError):
    """A quote without its partner."""


def split_words(line: str) -> list[tuple[int, str]]:
    """Words of a host line with their columns, as a POSIX shell splits them; `#` begins a comment.

    Raises _UnclosedError (a ValueError) for a quote that is not closed.
    """
    found: list[tuple[int, str]] = []
    word: list[str] = []
    start, quote, index = -1, "", 0
    while index < len(line):
        char = line[index]
        if quote:
            if char == quote:
                quote = ""
            elif char == "\\" and quote == '"' and line[index + 1 : index + 2] in ('"', "\\"):
                index += 1
                word.append(line[index])
            else:
                word.append(char)
        elif char in " \t\r":
            if start >= 0:
                found.append((start + 1, "".join(word)))
                word, start = [], -1
        elif char == "#":
            break
        else:
            if start < 0:
                start = index
            if char in "\"'":
                quote = char
            elif char == "\\" and index + 1 < len(line):
                index += 1
                word.append(line[index])
            else:
                word.append(char)
        index += 1
    if quote:
        raise _UnclosedQuoteError(f"a {quote} is opened and never closed")
    if start >= 0:
        found.append((start + 1, "".join(word)))
    return found


def read_ini(text: str, file: str, problems: ProblemCollector) -> Source:
    """Read an INI text. A line that can't be read is reported and the next ones are read on."""
    source = Source(file, "ini", ends_with_newline=not text or text.endswith("\n"))
    names: dict[str, Host] = {}
    section, kind = "ungrouped", "hosts"
    source.get_or_add_group(section, Place(file, 1))
    for number, raw in enumerate(text.split("\n"), 1):
        line = raw.strip()
        place = Place(file, number, len(raw) - len(raw.lstrip()) + 1)
        if len(raw) > MAX_LINE_CHARS:
            problems.add(
                TOO_LARGE, place, f"a line of {len(raw)} characters", f"keep lines under {MAX_LINE_CHARS}"
            )
            source.complete = False
            return source
        if not line or line[0] in "#;":
            continue
        if line.startswith("[") and "=" not in line.split("]")[0]:
            match = _SECTION.match(line)
            if match is None:
                problems.add(
                    SYNTAX_ERROR,
                    place,
                    f"{line!r} is no section",
                    "write [group], [group:vars] or [group:children]",
                )
                source.complete = False  # whose hosts follow is not known
                kind = "skip"
                continue
            section, kind = match[1], match[2] or "hosts"
            if kind not in ("hosts", "vars", "children"):
                suggestion = "write [group], [group:vars] or [group:children]"
                problems.add(SYNTAX_ERROR, place, f"a section of the sort {kind!r} is not known", suggestion)
                source.complete, kind = False, "skip"
            elif kind != "vars" or section not in source.groups:
                source.get_or_add_group(section, place)
            continue
        if kind == "hosts":
            _read_host_line(source, names, section, raw, number, problems)
        elif kind == "children":
            child = line.split("#")[0].strip()
            if re.search(r"\s", child):
                problems.add(WRONG_TYPE, place, f"{child!r} is no group's name", "write one name a line")
            else:
                source.get_or_add_group(section, place).children.setdefault(child, place)
        elif kind == "vars":
            _read_variable(source, section, raw, number, problems)
        if len(names) > MAX_HOSTS:
            problems.add(TOO_DEEP, place, f"more than {MAX_HOSTS} hosts", "split the inventory")
            source.complete = False
            return source
    source.hosts = list(names.values())
    return source


def _read_host_line(
    source: Source, names: dict[str, Host], section: str, raw: str, number: int, problems: ProblemCollector
) -> None:
    try:
        (column, pattern), *rest = split_words(raw)
    except ValueError as error:
        # Its name stands before the quote, mostly: a host whose line is spoilt has not been taken out.
        pattern, column, rest = raw.split()[0], len(raw) - len(raw.lstrip()) + 1, []
        suggestion = "close it, or put a quote within quotes"
        problems.add(SYNTAX_ERROR, Place(source.file, number, column), str(error), suggestion, host=pattern)
    place = Place(source.file, number, column)
    variables: dict[str, Value] = {}
    if match := _PORT.match(pattern):
        pattern = match["host"]
        variables["ansible_port"] = Value(match["port"], place)
    for index, word in rest:
        key, equals, value = word.partition("=")
        word_place = Place(source.file, number, index)
        if not equals or not key:
            problems.add(
                BAD_ASSIGNMENT,
                word_place,
                f"{word!r} is no key=value",
                "write key=value, with quotes round spaces",
                host=pattern,
            )
            continue
        variables[key] = Value(parse_literal(value), word_place)
    try:
        hosts = expand_range(pattern)
    except RangeError as error:
        problems.add(BAD_RANGE, place, str(error), host=pattern)
        hosts = [pattern]
    group = source.get_or_add_group(section, place)
    for name in hosts:
        host = names.setdefault(name, Host(name, place))
        host.add_variables(variables)
        group.hosts.setdefault(name, place)


def _read_variable(source: Source, section: str, raw: str, number: int, problems: ProblemCollector) -> None:
    key, equals, value = raw.partition("=")
    column = len(raw) - len(raw.lstrip()) + 1
    place = Place(source.file, number, column)
    if not equals or not key.strip():
        problems.add(BAD_ASSIGNMENT, place, f"{raw.strip()!r} is no key=value", "write key=value")
        return
    index = Place(source.file, number, len(key) + 2 + len(value) - len(value.lstrip()))
    source.get_or_add_group(section, place).variables[key.strip()] = Value(
        parse_literal(value.strip()), index
    )


def parse_literal(text: str) -> object:
    """A value as Ansible reads it from INI: a Python literal where it is one, or else the text itself.

    Numbers stay as they are written, so that `010` and `1e3` reach the schema's own check.
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
