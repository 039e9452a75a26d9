"""Reads and writes a file with what operators have set, which preserves it across an upgrade.

The platform keeps the folder only for the duration of an upgrade, so the file has only the current state. It
is replaced atomically and has a checksum, so that a reader never uses an incomplete file.
"""

from __future__ import annotations

import json
import os
import zlib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import structlog

from .operator_state import OperatorState

VERSION = 1
DEFAULT_FOLDER = "/tmp"  # noqa: S108 - the platform keeps this folder during an upgrade

log = structlog.get_logger()

# Tells whether a file has been replaced: its inode, size, and time of the last change in nanoseconds.
_Signature = tuple[int, int, int]


class OperatorStateFile:
    """A gateway's file, which other processes of the gateway may replace.

    Attributes:
        path: The file.
        read_failed: Whether the last read of `read_if_replaced` did.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.read_failed = False
        self._signature: _Signature | None = None  # Of the file that was last read.

    def write(self, state: OperatorState) -> bool:
        """Replace the file with one that has this state; logs a failure. Returns whether it was written."""
        self._signature = None  # Reading the file again changes nothing.
        return write_state(self.path, state)

    def load(self) -> OperatorState | None:
        """Return the state, even if it has been read already; None if there is no file or it is invalid.

        Raises:
            OSError: The file cannot be read.
        """
        self._signature = None
        return self._load_if_replaced()

    def read_if_replaced(self) -> OperatorState | None:
        """Return the state if the file has been replaced since it was last read; None otherwise.

        None as well if the file cannot be read, which is logged once; a later call reads it.
        """
        try:
            state = self._load_if_replaced()
        except OSError as error:
            if not self.read_failed:
                log.error("bans_read_failed", file=str(self.path), reason=str(error))
            self.read_failed = True
            return None
        self.read_failed = False
        return state

    def _load_if_replaced(self) -> OperatorState | None:
        signature = self._read_signature()
        if signature is None or signature == self._signature:
            return None
        state = load_state(self.path)
        self._signature = signature
        return state

    def _read_signature(self) -> _Signature | None:
        """Return the signature of the file; None if there is none."""
        try:
            status = os.stat(self.path)
        except FileNotFoundError:
            return None
        return status.st_ino, status.st_size, status.st_mtime_ns


def operator_state_path(environment: Mapping[str, str], gateway: str) -> Path:
    """Return the path of a gateway's file."""
    return Path(environment.get("TMPDIR") or DEFAULT_FOLDER, f"{gateway}.bans.json")


def write_state(path: Path, state: OperatorState) -> bool:
    """Replace the file with one that has this state; logs a failure. Returns whether it was written."""
    record: dict[str, Any] = {"version": VERSION, "uids": sorted(state.banned)}
    if state.serial:  # Earlier versions read the first two keys and ignore others.
        record |= {"serial": state.serial, "ended": sorted(state.ended)}
    if state.out_of_service is not None:
        record["out_of_service"] = state.out_of_service
    body = json.dumps(record)
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        temporary.write_text(f"{_checksum(body)} {body}\n")
        temporary.replace(path)
    except OSError as error:
        log.error("bans_write_failed", file=str(path), reason=str(error))
        return False
    return True


def load_state(path: Path) -> OperatorState | None:
    """Return the state; None if there is no file or if it is invalid, which is logged.

    Raises:
        OSError: The file cannot be read.
    """
    try:
        text = path.read_text()
    except FileNotFoundError:
        return None
    except ValueError as error:
        _log_invalid(path, str(error))
        return None
    checksum, _, line = text.partition(" ")
    body = line.removesuffix("\n")
    if not body or body == line or _checksum(body) != checksum:
        _log_invalid(path, "it is cut or changed; delete it")
        return None
    record = json.loads(body)
    if record.get("version") != VERSION:
        _log_invalid(path, f"version {record.get('version')}, want {VERSION}")
        return None
    return OperatorState(
        serial=record.get("serial", 0),
        banned=_uids(record["uids"]),
        ended=_uids(record.get("ended", ())),
        out_of_service=record.get("out_of_service"),
    )


def _uids(values: list[Any]) -> frozenset[str]:
    return frozenset(str(value) for value in values)


def _checksum(body: str) -> str:
    return f"{zlib.crc32(body.encode()):08x}"


def _log_invalid(path: Path, reason: str) -> None:
    log.error("bans_read_failed", file=str(path), reason=reason)
