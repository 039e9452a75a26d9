"""The last good list in a file: versioned, checksummed, whole or not there.

A restart amid a half-edited inventory starts from it. What is written is what the replica set was told, not
what the files said.
"""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from .model import WorkerRecord
from .reconcile import Known

NAME = "inventory.last"
STATUS_NAME = "inventory.status.json"
ACCEPT_NAME = "inventory.accept"
_HEAD = b"lockspoke-inventory 1 "
LIMIT = 64 * 1024 * 1024


class KeptError(ValueError):
    """A kept list that can't be used; the text says why."""


def encode(known: Iterable[Known], fingerprint: str) -> bytes:
    """A kept list as bytes: a line with the version and a BLAKE2b digest, then JSON."""
    hosts = [
        one.record.as_json() | {"files": list(one.files), "boot_ms": one.boot_ms, "held": one.held}
        for one in known
    ]
    body = json.dumps({"fingerprint": fingerprint, "hosts": hosts}, separators=(",", ":")).encode()
    digest = hashlib.blake2b(body, digest_size=16).hexdigest().encode()
    return _HEAD + digest + b"\n" + body


def decode(data: bytes) -> tuple[list[Known], str]:
    """A kept list and the fingerprint of the files it was made from. Raises KeptError."""
    head, newline, body = data.partition(b"\n")
    if not head.startswith(b"lockspoke-inventory "):
        raise KeptError("it is no kept inventory")
    if not head.startswith(_HEAD):
        raise KeptError(f"its version is not known: {head[:40].decode(errors='replace')!r}")
    if not newline or head[len(_HEAD) :] != hashlib.blake2b(body, digest_size=16).hexdigest().encode():
        raise KeptError("its checksum does not hold")
    raw = json.loads(body)
    return [_known(host) for host in raw["hosts"]], raw["fingerprint"]


def _known(raw: dict[str, Any]) -> Known:
    labels = tuple(sorted(raw["labels"].items()))
    names = ("name", "host", "port", "zone", "kind", "cell", "weight", "state")
    record = WorkerRecord(**{name: raw[name] for name in names}, labels=labels)
    return Known(record, tuple(raw["files"]), raw["boot_ms"], raw["held"])


def save(folder: Path, data: bytes, name: str = NAME) -> None:
    """Put a file in place whole: written beside, synced, renamed, the folder synced. Raises OSError."""
    beside = folder / f".{name}.{os.getpid()}"
    try:
        with beside.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        beside.replace(folder / name)
    finally:
        beside.unlink(missing_ok=True)
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def load(folder: Path) -> tuple[list[Known], str] | None:
    """The kept list of a folder; None where there is none. Raises KeptError and OSError."""
    try:
        with (folder / NAME).open("rb") as file:
            data = file.read(LIMIT + 1)
    except FileNotFoundError:
        return None
    if len(data) > LIMIT:
        raise KeptError("it is too large")
    return decode(data)
