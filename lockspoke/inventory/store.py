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

from .model import ReplicaRecord
from .reconciler import KnownReplica

CACHED_LIST_NAME = "inventory.last"
STATUS_NAME = "inventory.status.json"
ACCEPT_NAME = "inventory.accept"
_HEADER = b"lockspoke-inventory 1 "
MAX_BYTES = 64 * 1024 * 1024


class CachedListError(ValueError):
    """A kept list that can't be used; the text says why."""


def encode(known: Iterable[KnownReplica], fingerprint: str) -> bytes:
    """A kept list as bytes: a line with the version and a BLAKE2b digest, then JSON."""
    hosts = [
        one.record.as_json() | {"files": list(one.files), "boot_ms": one.boot_ms, "held": one.hold_reason}
        for one in known
    ]
    body = json.dumps({"fingerprint": fingerprint, "hosts": hosts}, separators=(",", ":")).encode()
    digest = hashlib.blake2b(body, digest_size=16).hexdigest().encode()
    return _HEADER + digest + b"\n" + body


def decode(data: bytes) -> tuple[list[KnownReplica], str]:
    """A kept list and the fingerprint of the files it was made from. Raises KeptError."""
    header, newline, body = data.partition(b"\n")
    if not header.startswith(b"lockspoke-inventory "):
        raise CachedListError("it is no kept inventory")
    if not header.startswith(_HEADER):
        raise CachedListError(f"its version is not known: {header[:40].decode(errors='replace')!r}")
    if not newline or header[len(_HEADER) :] != hashlib.blake2b(body, digest_size=16).hexdigest().encode():
        raise CachedListError("its checksum does not hold")
    fields = json.loads(body)
    return [_decode_replica(host) for host in fields["hosts"]], fields["fingerprint"]


def _decode_replica(fields: dict[str, Any]) -> KnownReplica:
    labels = tuple(sorted(fields["labels"].items()))
    names = ("name", "host", "port", "zone", "kind", "cell", "weight", "state")
    record = ReplicaRecord(**{name: fields[name] for name in names}, labels=labels)
    return KnownReplica(record, tuple(fields["files"]), fields["boot_ms"], fields["held"])


def write_atomically(folder: Path, data: bytes, name: str = CACHED_LIST_NAME) -> None:
    """Put a file in place whole: written beside, synced, renamed, the folder synced. Raises OSError."""
    temporary = folder / f".{name}.{os.getpid()}"
    try:
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(folder / name)
    finally:
        temporary.unlink(missing_ok=True)
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def load(folder: Path) -> tuple[list[KnownReplica], str] | None:
    """The kept list of a folder; None where there is none. Raises KeptError and OSError."""
    try:
        with (folder / CACHED_LIST_NAME).open("rb") as file:
            data = file.read(MAX_BYTES + 1)
    except FileNotFoundError:
        return None
    if len(data) > MAX_BYTES:
        raise CachedListError("it is too large")
    return decode(data)
