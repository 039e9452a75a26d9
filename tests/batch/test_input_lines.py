"""Decoding of input lines."""

from __future__ import annotations

import json
from typing import Any

import pytest

from lockspoke.batch.input_lines import InputLine, LineError, decode_line

from .harness import ENDPOINT, LINE

SIZE_LIMIT = 256 * 1024
INVALID_LINES = [
    ("{", "invalid_json_line"),
    ("[]", "invalid_json_line"),
    ("[" * 100_000, "invalid_json_line"),
    (LINE | {"custom_id": ""}, "missing_required_parameter"),
    (LINE | {"custom_id": 5}, "missing_required_parameter"),
    (LINE | {"method": "GET"}, "invalid_method"),
    (LINE | {"url": "/v1/embeddings"}, "invalid_url"),
    (LINE | {"body": None}, "missing_required_parameter"),
    (LINE | {"body": {"messages": []}}, "missing_required_parameter"),
    (LINE | {"deadline_ms": 0}, "invalid_value"),
    (LINE | {"body": {"messages": ["x" * 300_000]}}, "line_too_large"),
]


def decoded(line: dict[str, Any] | str) -> InputLine:
    raw = line if isinstance(line, str) else json.dumps(line)
    return decode_line(raw.encode(), ENDPOINT, SIZE_LIMIT)


@pytest.mark.parametrize(("line", "code"), INVALID_LINES)
def test_an_invalid_line_is_reported_by_code(line: dict[str, Any] | str, code: str) -> None:
    with pytest.raises(LineError) as caught:
        decoded(line)
    assert caught.value.code == code


def test_a_valid_line_is_decoded() -> None:
    line = decoded(LINE | {"deadline_ms": 500})
    assert (line.custom_id, line.deadline_ms) == ("a", 500)
