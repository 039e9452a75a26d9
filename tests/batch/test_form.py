"""Parsing of multipart forms."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lockspoke.batch.errors import ApiError
from lockspoke.batch.form import FormReader
from tests.properties import reproducible, split_at

FORM = (
    b'--b1\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
    b'--b1\r\nContent-Disposition: form-data; name="file"; filename="a.jsonl"\r\n'
    b"Content-Type: application/jsonl\r\n\r\nline 1\r\nline 2\r\n\r\n--b1--\r\n"
)


@reproducible
@given(st.lists(st.integers(0)))
def test_a_form_is_parsed_the_same_wherever_it_is_split(cuts: list[int]) -> None:
    content: list[bytes] = []
    form = FormReader("multipart/form-data; boundary=b1", "file", content.append)
    for part in split_at(FORM, cuts):
        form.feed(part)
    form.finish()
    assert form.fields == {"purpose": "batch"} and form.filename == "a.jsonl"
    assert b"".join(content) == b"line 1\r\nline 2\r\n"


@reproducible
@given(st.lists(st.binary(max_size=40) | st.sampled_from([FORM, FORM[:60], b"--b1", b"\r\n\r\n"])))
def test_a_malformed_form_raises_only_api_errors(parts: list[bytes]) -> None:
    form = FormReader("multipart/form-data; boundary=b1", "file", lambda _: None)
    status = None
    try:
        for part in parts:
            form.feed(part)
        form.finish()
    except ApiError as error:
        status = error.status
    assert status in (None, 400, 413)


@pytest.mark.parametrize("content_type", ["", "application/json", "multipart/form-data"])
def test_other_content_types_are_rejected(content_type: str) -> None:
    with pytest.raises(ApiError) as caught:
        FormReader(content_type, "file", lambda _: None)
    assert caught.value.status == 415
