"""Reads the edge file: TOML with a section for each subsystem, each checked against a typed schema.

All faults are reported at once, with the key, its line and, for an unknown key, the nearest known one.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from .config import ConfigError
from .faults import FaultCollector, suggestion
from .subsystems import SUBSYSTEM_MODULES, Section, subsystem_module
from .toml_lines import KeyPath

Toml = Any  # a value of a TOML file, of whatever shape the file gives it
Settings = TypeVar("Settings", bound=msgspec.Struct)


def read_edge(path: Path) -> list[Section]:
    """Read the edge file. Raises ConfigError with a line for each fault."""
    tables, text = _load(path)
    return _decode_sections(tables, FaultCollector(path, text))


def read_batch_file(path: Path) -> list[Section]:
    """Read a file for the batch front alone: the keys of `[batch]` at its top, perhaps `[inventory]` below.

    Raises ConfigError with a line for each fault.
    """
    raw, text = _load(path)
    inventory = raw.pop("inventory", None)
    if isinstance(inventory, dict) and "path" in inventory:  # this file's older key for a single path
        inventory = {**inventory, "paths": [inventory["path"]]}
        del inventory["path"]
    tables = {"batch": raw} | ({"inventory": inventory} if inventory is not None else {})
    return _decode_sections(tables, FaultCollector(path, text, implied_table="batch"))


def _load(path: Path) -> tuple[dict[str, Toml], str]:
    try:
        text = path.read_text()
        return tomllib.loads(text), text
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _decode_sections(tables: dict[str, Toml], faults: FaultCollector) -> list[Section]:
    sections: list[Section] = []
    for name, table in tables.items():
        if name not in SUBSYSTEM_MODULES:
            faults.add((name,), f" is no section{suggestion(name, SUBSYSTEM_MODULES)}")
            continue
        module = subsystem_module(name)
        settings = decode_table(table, module.settings_type, (name,), faults)
        if settings is not None:
            sections.append(Section(name, settings, module.create))
    faults.raise_if_any()
    return sections


def decode_table(
    table: Toml, struct: type[Settings], keys: KeyPath, faults: FaultCollector
) -> Settings | None:
    """A table as a struct; None after each wrong, unknown or missing key was added to the faults."""
    if not isinstance(table, dict):
        faults.add(keys, " is no table; write it as a [section]")
        return None
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct)}
    values: dict[str, Toml] = {}
    faults_before = faults.count
    for name, value in table.items():
        if name in fields:
            values[name] = _decode_value(value, fields[name].type, (*keys, name), faults)
        else:
            faults.add((*keys, name), f" is unknown{suggestion(name, fields)}")
    for name, field in fields.items():
        if field.required and name not in table:
            faults.add((*keys, name), " is missing")
    if faults.count > faults_before:
        return None
    try:
        return struct(**values)
    except ValueError as error:
        # A check over several keys; its text begins with the key that it is about.
        key, _, what = str(error).partition(" ")
        faults.add((*keys, *key.split(".")), f" {what}")
        return None


def _decode_value(value: Toml, wanted: Any, keys: KeyPath, faults: FaultCollector) -> Any:
    """A value as the type of its field, which may be any that msgspec knows."""
    if isinstance(wanted, type) and issubclass(wanted, msgspec.Struct):
        return decode_table(value, wanted, keys, faults)
    try:
        return msgspec.convert(value, wanted)
    except msgspec.ValidationError as error:
        faults.add(keys, f" is {value!r}: {_reason(error)}")
        return None


def _reason(error: msgspec.ValidationError) -> str:
    text = str(error).partition(" - at ")[0]
    return text[:1].lower() + text[1:].replace("`", "")
