"""The load reports of replicas, as the `Srv-Load` field and comment carry them."""

from __future__ import annotations

import math
from collections.abc import Sequence


def decode_load_report(text: str, names: Sequence[str]) -> tuple[float, ...]:
    """Return the values of a load report in the order of the names.

    The names come from the settings. Returns an empty tuple if the report is malformed or lacks a value.
    """
    values: dict[str, float] = {}
    for item in text.split(","):
        name, _, value = item.strip().partition("=")
        try:
            values[name] = float(value)
        except ValueError:
            return ()
    if not names or not all(math.isfinite(values.get(name, math.nan)) for name in names):
        return ()
    return tuple(values[name] for name in names)
