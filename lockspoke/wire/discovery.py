"""The list of workers as discovery writes it."""

from __future__ import annotations

import json
import math
from typing import Any

from lockspoke.memory.registry import Entry, RegistryUpdate

STATES = {"up": "ready", "draining": "draining", "removed": "gone"}
LIST_LIMIT = 4 * 1024 * 1024


class ListError(ValueError):
    """An answer that is not a list of workers; the text says what is wrong with it."""


def decode_list(text: bytes) -> RegistryUpdate:
    """Read an answer of discovery; a whole list that names a worker twice says nothing certain of it."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ListError(f"not JSON: {error}") from None
    update = read_list(raw)
    named: set[str] = set()
    for at, entry in enumerate(update.entries if update.whole else ()):
        if entry.uid in named:
            raise ListError(f"targets[{at}].uid {entry.uid!r} is listed twice; name each worker once")
        named.add(entry.uid)
    return update


def read_list(raw: Any) -> RegistryUpdate:
    """Read a list that has been decoded from JSON already."""
    if not isinstance(raw, dict):
        raise ListError("want an object")
    rev, whole, targets = raw.get("rev"), raw.get("all"), raw.get("targets")
    if isinstance(rev, bool) or not isinstance(rev, int) or rev < 0:
        raise ListError(f"rev is {rev!r}")
    if not isinstance(whole, bool) or not isinstance(targets, list):
        raise ListError("all or targets is missing")
    return RegistryUpdate(rev, whole, tuple(_entry(target, at) for at, target in enumerate(targets)))


def _number(target: dict[str, Any], name: str, default: float, at: int) -> float:
    value = target.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
        raise ListError(f"targets[{at}].{name} is {value!r}")
    return value


def _text(target: dict[str, Any], name: str, at: int) -> str:
    value = target.get(name)
    if not isinstance(value, str) or not value:
        raise ListError(f"targets[{at}].{name} is {value!r}")
    return value


def decode_endpoint(text: str, lowest: int = 1) -> tuple[str, int]:
    """A host and a port, written with a colon between them."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and lowest <= int(port) < 65536):
        raise ListError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


def _entry(target: Any, at: int) -> Entry:
    if not isinstance(target, dict):
        raise ListError(f"targets[{at}] is {target!r}")
    state = STATES.get(_text(target, "state", at))
    if state is None:
        raise ListError(f"targets[{at}].state is {target['state']!r}")
    # An entry that is gone may have lost its address; every other must have one.
    endpoint = None if state == "gone" else decode_endpoint(_text(target, "endpoint", at))
    zone, kind = target.get("az", ""), target.get("model", "")
    return Entry(
        uid=_text(target, "uid", at),
        state=state,
        endpoint=endpoint,
        zone=zone if isinstance(zone, str) else "",
        cell=int(_number(target, "pod_group", 0, at)),
        weight=float(_number(target, "capacity_hint", 1.0, at)),
        boot_ms=int(_number(target, "boot_ms", 0, at)),
        kind=kind if isinstance(kind, str) else "",
    )
