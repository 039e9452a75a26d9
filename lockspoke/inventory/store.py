"""The files that a gateway stores in the folder of the setting `keep`.

The cached list has the replicas that were last in the replica set, which may differ from those in the
inventory files. It has a version and a checksum, and is replaced atomically. After a restart the gateway
starts with it, because the inventory may just be being edited. The status document is for operators; the
accept file is how an operator accepts a mass removal.
"""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .decisions import KnownReplica
from .model import ReplicaRecord

CACHED_LIST_NAME = "inventory.last"
STATUS_NAME = "inventory.status.json"
ACCEPT_NAME = "inventory.accept"
_HEADER = b"lockspoke-inventory 1 "
MAX_BYTES = 64 * 1024 * 1024
MAX_FINGERPRINT_CHARS = 64


class CachedListError(ValueError):
    """The cached list can't be used; the text is the reason."""


@dataclass(frozen=True, slots=True)
class CachedList:
    """The replicas of a cached list, and the fingerprint of the files that they were read from."""

    replicas: list[KnownReplica]
    fingerprint: str


def encode(known: Iterable[KnownReplica], fingerprint: str) -> bytes:
    """Encode a cached list: a line with the version and a BLAKE2b digest of the rest, then JSON."""
    hosts = [
        one.record.as_json() | {"files": list(one.files), "boot_ms": one.boot_ms, "held": one.hold_reason}
        for one in known
    ]
    body = json.dumps({"fingerprint": fingerprint, "hosts": hosts}, separators=(",", ":")).encode()
    digest = hashlib.blake2b(body, digest_size=16).hexdigest().encode()
    return _HEADER + digest + b"\n" + body


def decode(data: bytes) -> CachedList:
    """Decode a cached list. Raises CachedListError."""
    header, newline, body = data.partition(b"\n")
    if not header.startswith(b"lockspoke-inventory "):
        raise CachedListError("it is no kept inventory")
    if not header.startswith(_HEADER):
        raise CachedListError(f"its version is not known: {header[:40].decode(errors='replace')!r}")
    if not newline or header[len(_HEADER) :] != hashlib.blake2b(body, digest_size=16).hexdigest().encode():
        raise CachedListError("its checksum does not hold")
    document = json.loads(body)
    return CachedList([_decode_replica(host) for host in document["hosts"]], document["fingerprint"])


def _decode_replica(fields: dict[str, Any]) -> KnownReplica:
    labels = tuple(sorted(fields["labels"].items()))
    names = ("name", "host", "port", "zone", "kind", "cell", "weight", "state")
    record = ReplicaRecord(**{name: fields[name] for name in names}, labels=labels)
    return KnownReplica(record, tuple(fields["files"]), fields["boot_ms"], fields["held"])


def write_atomically(folder: Path, data: bytes, name: str = CACHED_LIST_NAME) -> None:
    """Replace a file atomically and durably: write and sync a temporary file, then rename it.

    Raises OSError.
    """
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


def load(folder: Path) -> CachedList | None:
    """Load the cached list of a folder; None if there is none. Raises CachedListError and OSError."""
    try:
        with (folder / CACHED_LIST_NAME).open("rb") as file:
            data = file.read(MAX_BYTES + 1)
    except FileNotFoundError:
        return None
    if len(data) > MAX_BYTES:
        raise CachedListError("the file is too large")
    return decode(data)
