"""Collects the faults of a configuration file, so that all of them are reported at once."""

from __future__ import annotations

import difflib
from collections.abc import Collection
from pathlib import Path

from .config import ConfigError
from .toml_lines import KeyPath, key_lines

MIN_SIMILARITY = 0.5  # A known name is suggested if its similarity ratio to the unknown one is at least this.


class FaultCollector:
    """The faults of one TOML file, each with the line of its key."""

    def __init__(self, path: Path, text: str, implied_table: str = "") -> None:
        """Create an empty collector; `implied_table` is the table of the keys at the top level, if any."""
        self._path = path
        self._lines = key_lines(text)
        self._implied_table = implied_table
        self._faults: list[str] = []

    @property
    def count(self) -> int:
        """The number of faults that were added."""
        return len(self._faults)

    def add(self, keys: KeyPath, message: str) -> None:
        """Add a fault of a key; `message` is the text after the key."""
        shown = keys
        if self._implied_table and keys[0] == self._implied_table and len(keys) > 1:
            shown = keys[1:]
        line = self._lines.get(shown) or self._lines.get(keys[:-1])
        place = f"{self._path}:{line}" if line else str(self._path)
        self._faults.append(f"{place}: {'.'.join(shown)}{message}")

    def raise_if_any(self) -> None:
        """Raise ConfigError with one line for each fault."""
        if self._faults:
            raise ConfigError("\n".join(self._faults))


def suggestion(name: str, known: Collection[str]) -> str:
    """Return the end of a message about an unknown name: the most similar known name or all known names."""
    close = difflib.get_close_matches(name, known, 1, MIN_SIMILARITY)
    return f"; did you mean {close[0]}?" if close else f"; known are {', '.join(sorted(known))}"
