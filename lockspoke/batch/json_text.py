"""JSON whose strings may contain half of a character, and whose numbers are finite."""

from __future__ import annotations

import json
import math
from typing import Any, NoReturn

COMPACT = (",", ":")  # Separators without spaces.
SPACED = (", ", ": ")  # Separators for people who read a response.


def parse_json(text: bytes | str) -> Any:
    """Return the value of a JSON text.

    Raises:
        ValueError: It is not JSON, or a number is none that a float can hold. `json.loads` would accept `NaN`
            and read 1e999 as infinity, which could not be passed on as JSON.
        RecursionError: It is nested too deeply.
    """
    return json.loads(text, parse_constant=_reject_constant, parse_float=_finite_float)


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not JSON")


def _finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text} is too large")
    return number


def encode_json(value: Any, separators: tuple[str, str] = COMPACT) -> bytes:
    """Return a value as JSON in UTF-8.

    A JSON string may contain one half of a surrogate pair as an escape, for instance if a client has cut a
    text within a character. UTF-8 has no form for it, so such a value is written in ASCII with escapes; it
    decodes to the same strings.

    Args:
        value: What `json.dumps` accepts.
        separators: Between items, and between a key and its value.
    """
    try:
        return json.dumps(value, ensure_ascii=False, separators=separators).encode()
    except UnicodeEncodeError:
        return json.dumps(value, separators=separators).encode()
