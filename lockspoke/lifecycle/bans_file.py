"""Operators' bans, handed from one version of the program to the next in a file that is whole or not there.

The folder lasts over an upgrade only, so nothing is kept for the weeks: the file holds what is in force now.
"""

from __future__ import annotations

import json
import os
import zlib
from collections.abc import Iterable
from pathlib import Path

import structlog

VERSION = 1

log = structlog.get_logger()


def write_bans(path: Path, uids: Iterable[str]) -> None:
    """Put the bans in the place of those before; a folder that takes nothing is told in the log, no more."""
    body = json.dumps({"version": VERSION, "uids": sorted(uids)})
    beside = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        beside.write_text(f"{zlib.crc32(body.encode()):08x} {body}\n")
        beside.replace(path)
    except OSError as error:
        log.error("bans_not_kept", file=str(path), reason=str(error))


def read_bans(path: Path) -> list[str]:
    """The bans in force; none where there is no file, or one that is not whole, which the log tells."""
    try:
        text = path.read_text()
    except FileNotFoundError:
        return []
    except (OSError, ValueError) as error:
        log.error("bans_not_read", file=str(path), reason=str(error))
        return []
    checksum, _, body = text.partition(" ")
    body = body.removesuffix("\n") if body.endswith("\n") else ""
    if not body or f"{zlib.crc32(body.encode()):08x}" != checksum:
        log.error("bans_not_read", file=str(path), reason="it is cut or changed; delete it")
        return []
    found = json.loads(body)
    if found.get("version") != VERSION:
        log.error("bans_not_read", file=str(path), reason=f"version {found.get('version')}, want {VERSION}")
        return []
    return [str(uid) for uid in found["uids"]]
