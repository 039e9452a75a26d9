"""Workers written in each of the forms that the readers read: what is written reads back the same."""

from __future__ import annotations

import csv
import io
import json
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import yaml

from .model import WorkerRecord

COLUMNS = ("name", "host", "port", "zone", "kind", "cell", "weight", "state", "labels")
_OPTIONAL = {"zone": "", "kind": "", "cell": 0, "weight": 1.0, "state": "up"}


def write(workers: Iterable[WorkerRecord], form: str) -> str:
    """The text of an inventory with these workers; `form` is csv, yaml, json or ini."""
    return _WRITERS[form](list(workers))


def _values(worker: WorkerRecord) -> dict[str, Any]:
    """What has to be said of a worker: what is as it is without a word is left out."""
    values: dict[str, Any] = {"host": worker.host, "port": worker.port}
    for name, default in _OPTIONAL.items():
        if (value := getattr(worker, name)) != default:
            values[name] = value
    if worker.labels:
        values["labels"] = dict(worker.labels)
    return values


def _labels(worker: WorkerRecord) -> str:
    return ";".join(f"{name}={value}" for name, value in worker.labels)


def _csv(workers: Sequence[WorkerRecord]) -> str:
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(COLUMNS)
    for worker in workers:
        cells = [getattr(worker, name) for name in COLUMNS[:-1]]
        writer.writerow([*cells, _labels(worker)])
    return out.getvalue()


def _yaml(workers: Sequence[WorkerRecord]) -> str:
    raw = {"all": {"hosts": {worker.name: _values(worker) for worker in workers}}}
    text: str = yaml.safe_dump(raw, sort_keys=False, allow_unicode=True, width=1000)
    return text


def _json(workers: Sequence[WorkerRecord]) -> str:
    hostvars = {worker.name: _values(worker) for worker in workers}
    raw = {
        "_meta": {"hostvars": hostvars},
        "all": {"children": ["ungrouped"]},
        "ungrouped": {"hosts": [worker.name for worker in workers]},
    }
    return json.dumps(raw, indent=4) + "\n"


def _ini(workers: Sequence[WorkerRecord]) -> str:
    lines = ["[workers]"]
    for worker in workers:
        values = _values(worker)
        if worker.labels:
            values["labels"] = _labels(worker)
        lines.append(
            " ".join([worker.name, *(f"{name}={_quoted(str(value))}" for name, value in values.items())])
        )
    return "\n".join(lines) + "\n"


def _quoted(text: str) -> str:
    if text and not any(letter in text for letter in " \t\"'#\\"):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return f'"{escaped}"'


_WRITERS: dict[str, Callable[[Sequence[WorkerRecord]], str]] = {
    "csv": _csv,
    "yaml": _yaml,
    "json": _json,
    "ini": _ini,
}
FORMS = tuple(_WRITERS)
