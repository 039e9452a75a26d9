"""The edge file: one TOML file of ours with a section a subsystem, each checked against a typed schema.

All that is wrong is told at once, with the key, its line and, where a word is not known, the nearest that is.
"""

from __future__ import annotations

import difflib
import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from .config import ConfigError
from .subsystems import SUBSYSTEM_MODULES, SubsystemFactory, subsystem_module

_HEADER = re.compile(r"^\s*\[\s*([^\[\]]+?)\s*\]\s*(?:#.*)?$")
_WORD = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
_KEY = re.compile(rf"^\s*({_WORD}(?:\s*\.\s*{_WORD})*)\s*=")


@dataclass(frozen=True, slots=True)
class Section:
    """A section that has been read: its settings, and what makes the part of them."""

    name: str
    settings: Any
    create: SubsystemFactory


def read_edge(path: Path) -> list[Section]:
    """Read the edge file. Raises ConfigError with a line for each thing that is wrong."""
    raw, text = _load(path)
    return _sections(raw, text, path)


def read_batch_file(path: Path) -> list[Section]:
    """Read a file of the batch front alone: the keys of `[batch]` at its top, perhaps `[inventory]` below."""
    raw, text = _load(path)
    inventory = raw.pop("inventory", None)
    if isinstance(inventory, dict) and "path" in inventory:  # as this file has always had it
        inventory = {**inventory, "paths": [inventory["path"]]}
        del inventory["path"]
    tables = {"batch": raw} | ({"inventory": inventory} if inventory is not None else {})
    return _sections(tables, text, path, top="batch")


def _load(path: Path) -> tuple[dict[str, Any], str]:
    try:
        text = path.read_text()
        return tomllib.loads(text), text
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _sections(raw: dict[str, Any], text: str, path: Path, top: str = "") -> list[Section]:
    faults: list[str] = []
    found: list[Section] = []
    lines = key_lines(text)

    def fault(keys: tuple[str, ...], what: str) -> None:
        shown = keys[1:] if top and keys[0] == top and len(keys) > 1 else keys
        line = lines.get(shown) or lines.get(keys[:-1])
        faults.append(f"{path}{f':{line}' if line else ''}: {'.'.join(shown)}{what}")

    for name, table in raw.items():
        if name not in SUBSYSTEM_MODULES:
            fault((name,), f" is no section{_nearest(name, list(SUBSYSTEM_MODULES))}")
            continue
        module = subsystem_module(name)
        settings = decode(table, module.settings_type, (name,), fault)
        if settings is not None:
            found.append(Section(name, settings, module.create))
    if faults:
        raise ConfigError("\n".join(faults))
    return found


def decode(raw: Any, kind: Any, keys: tuple[str, ...], fault: Any) -> Any:
    """A table as a struct; each key that is unknown, missing or wrong is given to `fault(keys, what)`."""
    if not isinstance(raw, dict):
        fault(keys, " is no table; write it as a [section]")
        return None
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    values: dict[str, Any] = {}
    good = True

    def told(inner: tuple[str, ...], what: str) -> None:
        nonlocal good
        good = False
        fault(inner, what)

    for name, value in raw.items():
        field = fields.get(name)
        if field is None:
            told((*keys, name), f" is unknown{_nearest(name, list(fields))}")
        elif isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            values[name] = decode(value, field.type, (*keys, name), told)
        else:
            try:
                values[name] = msgspec.convert(value, field.type)
            except msgspec.ValidationError as error:
                told((*keys, name), f" is {value!r}: {_plain(error)}")
    for name, field in fields.items():
        if field.required and name not in raw:
            told((*keys, name), " is missing")
    if not good:
        return None
    try:
        return kind(**values)
    except ValueError as error:
        # A check over several keys; its text begins with the key that it is about.
        key, _, what = str(error).partition(" ")
        fault((*keys, *key.split(".")), f" {what}")
        return None


def _plain(error: msgspec.ValidationError) -> str:
    text = str(error).partition(" - at ")[0]
    return text[:1].lower() + text[1:].replace("`", "")


def _nearest(name: str, known: list[str]) -> str:
    close = difflib.get_close_matches(name, known, 1, 0.5)
    return f"; did you mean {close[0]}?" if close else f"; known are {', '.join(sorted(known))}"


def key_lines(text: str) -> dict[tuple[str, ...], int]:
    """Where each key and table of a TOML text begins; keys within inline tables are not told apart."""
    lines: dict[tuple[str, ...], int] = {}
    table: tuple[str, ...] = ()
    for number, line in enumerate(text.split("\n"), 1):
        if match := _HEADER.match(line):
            table = _split(match[1])
            lines.setdefault(table, number)
        elif match := _KEY.match(line):
            lines.setdefault((*table, *_split(match[1])), number)
    return lines


def _split(dotted: str) -> tuple[str, ...]:
    return tuple(part.strip("\"'") for part in re.findall(_WORD, dotted))
