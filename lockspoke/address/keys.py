"""Reads the files with the keys that members authenticate their datagrams with."""

from __future__ import annotations

import binascii
from collections.abc import Sequence
from pathlib import Path

from .datagram import check_key

MAX_KEY_FILE_BYTES = 4096
OTHERS_PERMISSION_BITS = 0o007


def read_keys(paths: Sequence[str]) -> list[bytes]:
    """Read one key in hexadecimal from each file.

    Raises:
        ValueError: A file can't be read, is accessible to everybody or has no key, or two keys are equal.
    """
    keys = [_read_key(path) for path in paths]
    if len(set(keys)) != len(keys):
        raise ValueError("keys names the same key twice")
    return keys


def _read_key(path: str) -> bytes:
    try:
        with Path(path).open("rb") as file:
            raw = file.read(MAX_KEY_FILE_BYTES)
        mode = Path(path).stat().st_mode
    except OSError as error:
        raise ValueError(f"keys names {path}, which can't be read: {error.strerror}") from None
    if mode & OTHERS_PERMISSION_BITS:
        raise ValueError(f"keys names {path}, which everybody may read; chmod 600 {path}")
    try:
        return check_key(binascii.unhexlify(b"".join(raw.split())))
    except (binascii.Error, ValueError) as error:
        reason = str(error).lower()
        raise ValueError(
            f"keys names {path}, which is no key ({reason}); make one: lockspoke address key > {path}"
        ) from None
