"""Encodes JSON whose strings may contain half of a character."""

from __future__ import annotations

import json
from typing import Any

COMPACT = (",", ":")  # Separators without spaces.
SPACED = (", ", ": ")  # Separators for people who read a response.


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
