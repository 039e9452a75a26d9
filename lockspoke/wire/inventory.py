"""An inventory of workers as configuration tools keep it: CSV with a header, or YAML as Ansible writes it.

A file is taken whole or not at all; what is wrong with it is told row by row, with the line's number.
"""

from __future__ import annotations

import csv
import io
import re
from collections.abc import Iterator
from typing import Any

import yaml

from lockspoke.memory.registry import Entry

from .discovery import ListError, decode_endpoint

SIZE_LIMIT = 4 * 1024 * 1024
DEPTH_LIMIT = 16
HOSTS_LIMIT = 10_000
STATES = {"up": "ready", "ready": "ready", "": "ready", "draining": "draining"}
COLUMNS = {"name", "endpoint", "host", "port", "zone", "cell", "weight", "state"}
# What Ansible calls a host's address and port, beside our own names.
VARS = {"ansible_host": "host", "ansible_port": "port"}
_PATTERN = re.compile(r"(.*?)\[(\d+):(\d+)\](.*)")


class InventoryError(ValueError):
    """A file that is no inventory; `problems` are pairs of a line number and what is wrong there."""

    def __init__(self, problems: list[tuple[int, str]]) -> None:
        super().__init__("; ".join(f"line {line}: {text}" for line, text in problems))
        self.problems = problems


def decode_inventory(data: bytes, name: str) -> tuple[Entry, ...]:
    """Read an inventory; the file's name tells its form."""
    if len(data) > SIZE_LIMIT:
        raise InventoryError([(1, f"the file is larger than {SIZE_LIMIT} bytes")])
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        raise InventoryError([(data[: error.start].count(b"\n") + 1, "not UTF-8")]) from None
    rows = _csv_rows(text) if name.lower().endswith(".csv") else _yaml_rows(text)
    problems: list[tuple[int, str]] = []
    entries: dict[str, Entry] = {}
    seen: dict[str, int] = {}
    for line, row in rows:
        try:
            entry = _entry(row)
            if seen.setdefault(entry.uid, line) != line:
                raise ListError(f"{entry.uid!r} stands on line {seen[entry.uid]} already")
            entries[entry.uid] = entry
        except ListError as error:
            problems.append((line, str(error)))
    if not entries and not problems:
        problems.append((1, "no workers"))
    if problems:
        raise InventoryError(sorted(problems))
    return tuple(entries.values())


def _entry(row: dict[str, str]) -> Entry:
    name = row.get("name", "").strip()
    if not name:
        raise ListError("name is missing")
    endpoint = row.get("endpoint", "").strip()
    if not endpoint:
        endpoint = f"{row.get('host', '').strip() or name}:{row.get('port', '').strip()}"
    state = row.get("state", "").strip()
    if state not in STATES:
        raise ListError(f"state is {state!r}, want up or draining")
    return Entry(
        uid=name,
        state=STATES[state],
        endpoint=decode_endpoint(endpoint),
        zone=row.get("zone", "").strip(),
        cell=int(_amount(row, "cell", "0")),
        weight=_amount(row, "weight", "1"),
    )


def _amount(row: dict[str, str], name: str, default: str) -> float:
    text = row.get(name, "").strip() or default
    if not re.fullmatch(r"[0-9]{1,6}(\.[0-9]{1,6})?", text):
        raise ListError(f"{name} is {text!r}, want a number")
    return float(text)


def _csv_rows(text: str) -> Iterator[tuple[int, dict[str, str]]]:
    reader = csv.reader(io.StringIO(text, newline=""), strict=True)
    header: list[str] | None = None
    try:
        line = 1
        for cells in reader:
            begun, line = line, reader.line_num + 1
            if not any(cell.strip() for cell in cells) or cells[0].startswith("#"):
                continue
            if header is None:
                header = [cell.strip().lower() for cell in cells]
                unknown = [name for name in header if name not in COLUMNS]
                if unknown or "name" not in header or len(set(header)) != len(header):
                    text = (
                        f"bad header: want name and any of {', '.join(sorted(COLUMNS - {'name'}))}, once each"
                    )
                    raise InventoryError([(begun, text)])
            elif len(cells) != len(header):
                # Left to `_entry` to tell: a row without a name.
                yield begun, {"name": "", "state": f"{len(cells)} cells, want {len(header)}"}
            else:
                yield begun, dict(zip(header, cells, strict=True))
    except csv.Error as error:
        raise InventoryError([(reader.line_num, str(error))]) from None


def _yaml_rows(text: str) -> Iterator[tuple[int, dict[str, str]]]:
    try:
        # Nodes, not values: they know their lines. The safe loader makes no objects.
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        mark = getattr(error, "problem_mark", None)
        what = getattr(error, "problem", None) or type(error).__name__
        raise InventoryError([(mark.line + 1 if mark else 1, str(what))]) from None
    if not isinstance(root, yaml.MappingNode):
        raise InventoryError([(1, "want groups with hosts, children and vars")])
    hosts: dict[str, tuple[int, dict[str, str]]] = {}
    for name, group in _pairs(root):
        _group(name, group, {}, hosts, 0)
    for host, (line, row) in hosts.items():
        yield line, {**row, "name": host}


def _pairs(node: yaml.MappingNode) -> Iterator[tuple[yaml.ScalarNode, yaml.Node]]:
    for key, value in node.value:
        if not isinstance(key, yaml.ScalarNode):
            raise InventoryError([(key.start_mark.line + 1, "want a plain name")])
        yield key, value


def _mapping(node: yaml.Node, what: str) -> yaml.MappingNode | None:
    if isinstance(node, yaml.ScalarNode) and node.value in ("", "null", "~"):
        return None  # `hosts:` with nothing behind it
    if not isinstance(node, yaml.MappingNode):
        raise InventoryError([(node.start_mark.line + 1, f"{what} is no mapping")])
    return node


def _vars(node: yaml.Node, what: str) -> dict[str, str]:
    mapping = _mapping(node, what)
    values: dict[str, str] = {}
    for key, value in _pairs(mapping) if mapping is not None else ():
        name = VARS.get(key.value, key.value)
        # Others' variables stand in the same file: what is not ours is passed over.
        if name in COLUMNS and isinstance(value, yaml.ScalarNode):
            values[name] = value.value
    return values


def _group(
    name: yaml.ScalarNode,
    node: yaml.Node,
    above: dict[str, str],
    hosts: dict[str, tuple[int, dict[str, str]]],
    depth: int,
) -> None:
    """One group: its variables go before those of the groups above it, a host's own before all."""
    if depth > DEPTH_LIMIT:  # an alias can make a group its own child
        raise InventoryError([(name.start_mark.line + 1, "groups are nested too deep")])
    mapping = _mapping(node, f"group {name.value!r}")
    parts: dict[str, Any] = {}
    for key, value in _pairs(mapping) if mapping is not None else ():
        if key.value not in ("hosts", "children", "vars"):
            raise InventoryError([(key.start_mark.line + 1, f"{key.value!r} is not hosts, children or vars")])
        parts[key.value] = value
    own = above | (_vars(parts["vars"], "vars") if "vars" in parts else {})
    listed = _mapping(parts["hosts"], "hosts") if "hosts" in parts else None
    for key, value in _pairs(listed) if listed is not None else ():
        given = _vars(value, f"host {key.value!r}")
        for host in _expand(key):
            before = hosts.get(host, (0, {}))[1]
            hosts[host] = (key.start_mark.line + 1, before | own | given)
        if len(hosts) > HOSTS_LIMIT:
            raise InventoryError([(key.start_mark.line + 1, f"more than {HOSTS_LIMIT} hosts")])
    children = _mapping(parts["children"], "children") if "children" in parts else None
    for key, value in _pairs(children) if children is not None else ():
        _group(key, value, own, hosts, depth + 1)


def _expand(key: yaml.ScalarNode) -> list[str]:
    """The hosts that a name such as `worker[01:03]` stands for."""
    match = _PATTERN.fullmatch(key.value)
    if not match:
        return [key.value]
    first, last = int(match[2]), int(match[3])
    if not 0 <= last - first < HOSTS_LIMIT:
        raise InventoryError([(key.start_mark.line + 1, f"{key.value!r} is no range")])
    width = len(match[2])
    return [f"{match[1]}{number:0{width}}{match[4]}" for number in range(first, last + 1)]
