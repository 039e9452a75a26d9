"""Reads the edge file, a TOML file with a section for each subsystem, and validates it against typed schemas.

All faults are reported at once, each with its key and line. For an unknown key, the most similar known key is
suggested.
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

Toml = Any  # any TOML value
Settings = TypeVar("Settings", bound=msgspec.Struct)


def read_edge(path: Path) -> list[Section]:
    """Read the edge file. Raises ConfigError with one line for each fault."""
    tables, text = _load(path)
    return _decode_sections(tables, FaultCollector(path, text))


def read_batch_file(path: Path) -> list[Section]:
    """Read a file that configures only the batch front and optionally an inventory.

    The keys of `[batch]` are at the top level of the file, followed by the section `[inventory]`, if any.
    Raises ConfigError with one line for each fault.
    """
    raw, text = _load(path)
    inventory = raw.pop("inventory", None)
    if isinstance(inventory, dict) and "path" in inventory:  # the former key of this file for a single path
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
    """Convert a table to a struct.

    If keys are invalid, unknown or missing, adds a fault for each of them and returns None.
    """
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
        # A check of the struct that spans several keys. Its message begins with the key.
        key, _, message = str(error).partition(" ")
        faults.add((*keys, *key.split(".")), f" {message}")
        return None


def _decode_value(value: Toml, field_type: Any, keys: KeyPath, faults: FaultCollector) -> Any:
    """Convert a value to the type of its field, which may be any type that msgspec supports."""
    if isinstance(field_type, type) and issubclass(field_type, msgspec.Struct):
        return decode_table(value, field_type, keys, faults)
    try:
        return msgspec.convert(value, field_type)
    except msgspec.ValidationError as error:
        faults.add(keys, f" is {value!r}: {_reason(error)}")
        return None


def _reason(error: msgspec.ValidationError) -> str:
    text = str(error).partition(" - at ")[0]
    return text[:1].lower() + text[1:].replace("`", "")
