"""A body whose length does not fit a JSON object is detected, and no whole object is taken for cut short."""

from __future__ import annotations

import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lockspoke.wire.clients.body_check import is_one_json_object
from lockspoke.wire.http.parser import BODY_LIMIT_BYTES
from tests.properties import reproducible

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.text(max_size=12)
    | st.sampled_from(['"', "\\", "}{", "]["]),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=6), inner, max_size=4),
    max_leaves=12,
)
OBJECTS = st.dictionaries(st.text(max_size=6), VALUES, max_size=4)
MAX_CHECK_SECONDS = 0.05


@reproducible
@given(OBJECTS, st.booleans(), st.integers(1))
def test_each_object_is_whole_and_no_part_of_it_is(value: object, ascii_only: bool, cut: int) -> None:
    body = json.dumps(value, ensure_ascii=ascii_only).encode()
    assert is_one_json_object(body)
    assert not is_one_json_object(body[: 1 + cut % (len(body) - 1)] if len(body) > 2 else body[:1])
    assert not is_one_json_object(body + body)
    assert not is_one_json_object(body + b"POST / HTTP/1.1\r\n\r\n" + body)


@pytest.mark.parametrize(
    "body",
    [
        b'{"' + b'\\"' * (BODY_LIMIT_BYTES // 2 - 2),
        b"{" + b'"' * (BODY_LIMIT_BYTES - 2) + b"}",
        b"{" + b"[" * (BODY_LIMIT_BYTES // 2 - 1) + b"]" * (BODY_LIMIT_BYTES // 2 - 1) + b"}",
        b"{" + b"[]" * (BODY_LIMIT_BYTES // 2 - 1) + b"}",
        b"{" + b"]" * (BODY_LIMIT_BYTES - 2) + b"}",
        b"{" + b"\\" * (BODY_LIMIT_BYTES - 2) + b"}",
    ],
)
def test_no_body_takes_long_to_check(body: bytes) -> None:
    """The check runs in the event loop, so that a body of the largest size must not hold it up."""
    started_at = time.process_time()
    is_one_json_object(body)
    assert time.process_time() - started_at < MAX_CHECK_SECONDS
