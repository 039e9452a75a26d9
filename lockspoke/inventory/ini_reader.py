"""Ansible's INI inventories: `[group]`, `[group:vars]`, `[group:children]`, host lines with key=value."""

from __future__ import annotations

import ast
import re

from .limits import HOSTS, LINE_CHARS
from .model import Host, Source, Value
from .problems import ASSIGNMENT, RANGE, SHAPE, SYNTAX, TOO_DEEP, TOO_LARGE, Place, Problems
from .ranges import RangeError, expand

_SECTION = re.compile(r"\[([^:\]\s]+)(?::(\w+))?\]\s*(?:#.*)?$")
_PORT = re.compile(r"^(?P<host>(?:[^:\[\]]|\[[^\[\]]*:[^\[\]]*\])+):(?P<port>[0-9]+)$")
_LITERAL = re.compile(r"['\"\[{(\-+.0-9]|True$|False$|None$")


class _UnclosedError(ValueError):
    """A quote without its partner."""


def tokens(line: str) -> list[tuple[int, str]]:
    """Words of a host line with their columns, as a POSIX shell splits them; `#` begins a comment.

    Raises _UnclosedError (a ValueError) for a quote that is not closed.
    """
    found: list[tuple[int, str]] = []
    word: list[str] = []
    start, quote, at = -1, "", 0
    while at < len(line):
        letter = line[at]
        if quote:
            if letter == quote:
                quote = ""
            elif letter == "\\" and quote == '"' and line[at + 1 : at + 2] in ('"', "\\"):
                at += 1
                word.append(line[at])
            else:
                word.append(letter)
        elif letter in " \t\r":
            if start >= 0:
                found.append((start + 1, "".join(word)))
                word, start = [], -1
        elif letter == "#":
            break
        else:
            if start < 0:
                start = at
            if letter in "\"'":
                quote = letter
            elif letter == "\\" and at + 1 < len(line):
                at += 1
                word.append(line[at])
            else:
                word.append(letter)
        at += 1
    if quote:
        raise _UnclosedError(f"a {quote} is opened and never closed")
    if start >= 0:
        found.append((start + 1, "".join(word)))
    return found


def read_ini(text: str, file: str, problems: Problems) -> Source:
    """Read an INI text. A line that can't be read is reported and the next ones are read on."""
    source = Source(file, "ini", closed=not text or text.endswith("\n"))
    names: dict[str, Host] = {}
    section, kind = "ungrouped", "hosts"
    source.group(section, Place(file, 1))
    for number, raw in enumerate(text.split("\n"), 1):
        line = raw.strip()
        place = Place(file, number, len(raw) - len(raw.lstrip()) + 1)
        if len(raw) > LINE_CHARS:
            problems.add(
                TOO_LARGE, place, f"a line of {len(raw)} characters", f"keep lines under {LINE_CHARS}"
            )
            source.whole = False
            return source
        if not line or line[0] in "#;":
            continue
        if line.startswith("[") and "=" not in line.split("]")[0]:
            match = _SECTION.match(line)
            if match is None:
                problems.add(
                    SYNTAX,
                    place,
                    f"{line!r} is no section",
                    "write [group], [group:vars] or [group:children]",
                )
                source.whole = False  # whose hosts follow is not known
                kind = "skip"
                continue
            section, kind = match[1], match[2] or "hosts"
            if kind not in ("hosts", "vars", "children"):
                mend = "write [group], [group:vars] or [group:children]"
                problems.add(SYNTAX, place, f"a section of the sort {kind!r} is not known", mend)
                source.whole, kind = False, "skip"
            elif kind != "vars" or section not in source.groups:
                source.group(section, place)
            continue
        if kind == "hosts":
            _host_line(source, names, section, raw, number, problems)
        elif kind == "children":
            child = line.split("#")[0].strip()
            if re.search(r"\s", child):
                problems.add(SHAPE, place, f"{child!r} is no group's name", "write one name a line")
            else:
                source.group(section, place).children.setdefault(child, place)
        elif kind == "vars":
            _variable(source, section, raw, number, problems)
        if len(names) > HOSTS:
            problems.add(TOO_DEEP, place, f"more than {HOSTS} hosts", "split the inventory")
            source.whole = False
            return source
    source.rows = list(names.values())
    return source


def _host_line(
    source: Source, names: dict[str, Host], section: str, raw: str, number: int, problems: Problems
) -> None:
    try:
        (column, pattern), *rest = tokens(raw)
    except ValueError as error:
        # Its name stands before the quote, mostly: a host whose line is spoilt has not been taken out.
        pattern, column, rest = raw.split(maxsplit=1)[0], len(raw) - len(raw.lstrip()) + 1, []
        mend = "close it, or put a quote within quotes"
        problems.add(SYNTAX, Place(source.file, number, column), str(error), mend, host=pattern)
    place = Place(source.file, number, column)
    given: dict[str, Value] = {}
    if match := _PORT.match(pattern):
        pattern = match["host"]
        given["ansible_port"] = Value(match["port"], place)
    for at, word in rest:
        key, equals, value = word.partition("=")
        here = Place(source.file, number, at)
        if not equals or not key:
            problems.add(
                ASSIGNMENT,
                here,
                f"{word!r} is no key=value",
                "write key=value, with quotes round spaces",
                host=pattern,
            )
            continue
        given[key] = Value(literal(value), here)
    try:
        hosts = expand(pattern)
    except RangeError as error:
        problems.add(RANGE, place, str(error), host=pattern)
        hosts = [pattern]
    group = source.group(section, place)
    for name in hosts:
        host = names.setdefault(name, Host(name, place))
        host.give(given)
        group.hosts.setdefault(name, place)


def _variable(source: Source, section: str, raw: str, number: int, problems: Problems) -> None:
    key, equals, value = raw.partition("=")
    column = len(raw) - len(raw.lstrip()) + 1
    place = Place(source.file, number, column)
    if not equals or not key.strip():
        problems.add(ASSIGNMENT, place, f"{raw.strip()!r} is no key=value", "write key=value")
        return
    at = Place(source.file, number, len(key) + 2 + len(value) - len(value.lstrip()))
    source.group(section, place).vars[key.strip()] = Value(literal(value.strip()), at)


def literal(text: str) -> object:
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
