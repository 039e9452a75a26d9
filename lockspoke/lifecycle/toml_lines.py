"""Finds the line numbers of keys in a TOML text, which the parser of the standard library doesn't report."""

from __future__ import annotations

import re

KeyPath = tuple[str, ...]

_TABLE_HEADER = re.compile(r"^\s*\[\s*([^\[\]]+?)\s*\]\s*(?:#.*)?$")
_KEY = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
_ASSIGNMENT = re.compile(rf"^\s*({_KEY}(?:\s*\.\s*{_KEY})*)\s*=")


def key_lines(text: str) -> dict[KeyPath, int]:
    """Return the line number at which each key and table begins, without keys in inline tables."""
    lines: dict[KeyPath, int] = {}
    table: KeyPath = ()
    for number, line in enumerate(text.split("\n"), 1):
        if match := _TABLE_HEADER.match(line):
            table = _split_key(match[1])
            lines.setdefault(table, number)
        elif match := _ASSIGNMENT.match(line):
            lines.setdefault((*table, *_split_key(match[1])), number)
    return lines


def _split_key(dotted: str) -> KeyPath:
    return tuple(key.strip("\"'") for key in re.findall(_KEY, dotted))
