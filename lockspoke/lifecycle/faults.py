"""Collects what is wrong with a configuration file, so that all of it is reported at once."""

from __future__ import annotations

import difflib
from collections.abc import Collection
from pathlib import Path

from .config import ConfigError
from .toml_lines import KeyPath, key_lines

MIN_SIMILARITY = 0.5  # of a known name to an unknown one, for it to be suggested


class FaultCollector:
    """The faults of one TOML file, each with the line of its key."""

    def __init__(self, path: Path, text: str, implied_table: str = "") -> None:
        """`implied_table` is the table that the keys at the top of the file belong to, if any."""
        self._path = path
        self._lines = key_lines(text)
        self._implied_table = implied_table
        self._faults: list[str] = []

    @property
    def count(self) -> int:
        """How many faults were added."""
        return len(self._faults)

    def add(self, keys: KeyPath, what: str) -> None:
        """Add a fault of a key; `what` follows the key in the message."""
        shown = keys
        if self._implied_table and keys[0] == self._implied_table and len(keys) > 1:
            shown = keys[1:]
        line = self._lines.get(shown) or self._lines.get(keys[:-1])
        place = f"{self._path}:{line}" if line else str(self._path)
        self._faults.append(f"{place}: {'.'.join(shown)}{what}")

    def raise_if_any(self) -> None:
        """Raise ConfigError with one line for each fault."""
        if self._faults:
            raise ConfigError("\n".join(self._faults))


def suggestion(name: str, known: Collection[str]) -> str:
    """The end of a message about an unknown name: the known name nearest to it, or else all known names."""
    close = difflib.get_close_matches(name, known, 1, MIN_SIMILARITY)
    return f"; did you mean {close[0]}?" if close else f"; known are {', '.join(sorted(known))}"
