"""The keys that members prove their datagrams with, from files."""

from __future__ import annotations

import binascii
from collections.abc import Sequence
from pathlib import Path

from .datagram import check_key

MAX_KEY_FILE_BYTES = 4096  # bytes of a key file


def read_keys(paths: Sequence[str]) -> list[bytes]:
    """A key a file, in hexadecimal: the first is used, all are accepted. Raises ValueError with its name."""
    keys = []
    for path in paths:
        try:
            with Path(path).open("rb") as file:
                raw = file.read(MAX_KEY_FILE_BYTES)
            mode = Path(path).stat().st_mode
        except OSError as error:
            raise ValueError(f"keys names {path}, which can't be read: {error.strerror}") from None
        if mode & 0o007:
            raise ValueError(f"keys names {path}, which everybody may read; chmod 600 {path}")
        try:
            keys.append(check_key(binascii.unhexlify(b"".join(raw.split()))))
        except (binascii.Error, ValueError) as error:
            text = str(error).lower()
            raise ValueError(
                f"keys names {path}, which is no key ({text}); make one: lockspoke address key > {path}"
            ) from None
    if len(set(keys)) != len(keys):
        raise ValueError("keys names the same key twice")
    return keys
