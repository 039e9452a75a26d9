"""What the batch front reads and writes, without a socket: lines, answers, forms, ranges, inventories."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lockspoke.batch.api import (
    AnswerCollector,
    ApiError,
    LineError,
    decode_line,
    decode_range,
    measure,
    window_seconds,
)
from lockspoke.batch.form import FormReader
from tests.properties import reproducible, split_at
from tests.standins import EVENTS, STREAM_TAIL

LINE: dict[str, Any] = {
    "custom_id": "a",
    "method": "POST",
    "url": "/v1/chat/completions",
    "body": {"model": "m", "messages": [{"role": "user", "content": "hello"}]},
}
BAD_LINES = [
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


def decoded(line: Any) -> Any:
    raw = line if isinstance(line, str) else json.dumps(line)
    return decode_line(raw.encode(), "/v1/chat/completions", 256 * 1024)


@pytest.mark.parametrize(("line", "code"), BAD_LINES)
def test_bad_lines_are_told_by_code(line: Any, code: str) -> None:
    with pytest.raises(LineError) as caught:
        decoded(line)
    assert caught.value.code == code


def test_a_good_line_is_measured() -> None:
    line = decoded(LINE | {"deadline_ms": 500})
    assert (line.custom_id, line.deadline_ms) == ("a", 500)
    messages = [{"role": "system", "content": "x" * 398}, {"role": "user", "content": "y" * 198}]
    prompt = measure({"messages": messages, "max_tokens": 50})
    assert (prompt.tokens, prompt.prefix_tokens, prompt.max_tokens) == (150.0, 100.0, 50.0)


@reproducible
@given(st.lists(st.integers(0)))
def test_an_answer_is_assembled_however_it_is_cut(cuts: list[int]) -> None:
    collector = AnswerCollector("m", 7)
    for part in split_at(b": note\n\n" + b"".join(EVENTS) + STREAM_TAIL, cuts):
        collector.feed(part)
    body = collector.body()
    assert body is not None and body["choices"] == [
        {"index": 0, "message": {"role": "assistant", "content": "one two"}, "finish_reason": "stop"}
    ]
    assert (body["object"], body["usage"]["total_tokens"]) == ("chat.completion", 11)


@pytest.mark.parametrize(
    "stream",
    [
        b"",
        EVENTS[0],  # no end
        b"data: [DONE]\n\n",  # nothing in it
        b"data: {oops\n\n" + b"".join(EVENTS) + STREAM_TAIL,
        b'data: {"error": {"message": "x"}}\n\n' + STREAM_TAIL,
        b"data: []\n\n" + STREAM_TAIL,
        b"x" * 2_000_000 + b"\n" + STREAM_TAIL,
    ],
)
def test_a_stream_without_a_whole_answer_gives_none(stream: bytes) -> None:
    collector = AnswerCollector("m", 7)
    collector.feed(stream)
    assert collector.body() is None


FORM = (
    b'--b1\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
    b'--b1\r\nContent-Disposition: form-data; name="file"; filename="a.jsonl"\r\n'
    b"Content-Type: application/jsonl\r\n\r\nline 1\r\nline 2\r\n\r\n--b1--\r\n"
)


@reproducible
@given(st.lists(st.integers(0)))
def test_a_form_cut_anywhere_reads_alike(cuts: list[int]) -> None:
    got: list[bytes] = []
    form = FormReader("multipart/form-data; boundary=b1", "file", got.append)
    for part in split_at(FORM, cuts):
        form.feed(part)
    form.finish()
    assert form.fields == {"purpose": "batch"} and form.filename == "a.jsonl"
    assert b"".join(got) == b"line 1\r\nline 2\r\n"


@reproducible
@given(st.lists(st.binary(max_size=40) | st.sampled_from([FORM, FORM[:60], b"--b1", b"\r\n\r\n"])))
def test_garbage_forms_give_clean_errors_only(parts: list[bytes]) -> None:
    form = FormReader("multipart/form-data; boundary=b1", "file", lambda _: None)
    try:
        for part in parts:
            form.feed(part)
        form.finish()
    except ApiError as error:
        assert error.status in (400, 413)


@pytest.mark.parametrize("kind", ["", "application/json", "multipart/form-data"])
def test_other_bodies_are_no_form(kind: str) -> None:
    with pytest.raises(ApiError) as caught:
        FormReader(kind, "file", lambda _: None)
    assert caught.value.status == 415


def test_ranges() -> None:
    assert decode_range("bytes=0-3", 10) == (0, 4)
    assert decode_range("bytes=4-", 10) == (4, 10)
    assert decode_range("bytes=-3", 10) == (7, 10)
    assert decode_range("bytes=8-99", 10) == (8, 10)
    for ignored in ("bytes=1-2,4-5", "items=1-2", "bytes=-", "bytes=5-2"):
        assert decode_range(ignored, 10) is None
    for past in ("bytes=10-", "bytes=-0"):
        with pytest.raises(ApiError) as caught:
            decode_range(past, 10)
        assert caught.value.status == 416


def test_windows() -> None:
    assert [window_seconds(text) for text in ("24h", "90s", "2d")] == [86400, 90, 172800]
    for bad in ("", "24", "0h", "8d", "1w"):
        with pytest.raises(ApiError):
            window_seconds(bad)
