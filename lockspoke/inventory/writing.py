"""Writes replicas in each of the inventory formats; reading the text again gives equal records."""

from __future__ import annotations

import csv
import io
import json
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import yaml

from .model import ReplicaRecord

COLUMNS = ("name", "host", "port", "zone", "kind", "cell", "weight", "state", "labels")
_OPTIONAL = {"zone": "", "kind": "", "cell": 0, "weight": 1.0, "state": "up"}


def write_inventory(replicas: Iterable[ReplicaRecord], file_format: str) -> str:
    """Write an inventory with these replicas as text; `file_format` is one of FORMATS."""
    return _WRITERS[file_format](list(replicas))


def _values(replica: ReplicaRecord) -> dict[str, Any]:
    """The values of a replica, except for optional ones that equal their defaults."""
    values: dict[str, Any] = {"host": replica.host, "port": replica.port}
    for name, default in _OPTIONAL.items():
        if (value := getattr(replica, name)) != default:
            values[name] = value
    if replica.labels:
        values["labels"] = dict(replica.labels)
    return values


def _labels(replica: ReplicaRecord) -> str:
    return ";".join(f"{name}={value}" for name, value in replica.labels)


def _csv(replicas: Sequence[ReplicaRecord]) -> str:
    buffer = io.StringIO()
    writer = csv.writer(buffer, lineterminator="\n")
    writer.writerow(COLUMNS)
    for replica in replicas:
        cells = [getattr(replica, name) for name in COLUMNS[:-1]]
        writer.writerow([*cells, _labels(replica)])
    return buffer.getvalue()


def _yaml(replicas: Sequence[ReplicaRecord]) -> str:
    document = {"all": {"hosts": {replica.name: _values(replica) for replica in replicas}}}
    text: str = yaml.safe_dump(document, sort_keys=False, allow_unicode=True, width=1000)
    return text


def _json(replicas: Sequence[ReplicaRecord]) -> str:
    hostvars = {replica.name: _values(replica) for replica in replicas}
    document = {
        "_meta": {"hostvars": hostvars},
        "all": {"children": ["ungrouped"]},
        "ungrouped": {"hosts": [replica.name for replica in replicas]},
    }
    return json.dumps(document, indent=4) + "\n"


def _ini(replicas: Sequence[ReplicaRecord]) -> str:
    lines = ["[workers]"]
    for replica in replicas:
        values = _values(replica)
        if replica.labels:
            values["labels"] = _labels(replica)
        lines.append(
            " ".join([replica.name, *(f"{name}={_quoted(str(value))}" for name, value in values.items())])
        )
    return "\n".join(lines) + "\n"


def _quoted(text: str) -> str:
    if text and not any(char in text for char in " \t\"'#\\"):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return f'"{escaped}"'


_WRITERS: dict[str, Callable[[Sequence[ReplicaRecord]], str]] = {
    "csv": _csv,
    "yaml": _yaml,
    "json": _json,
    "ini": _ini,
}
FORMATS = tuple(_WRITERS)
