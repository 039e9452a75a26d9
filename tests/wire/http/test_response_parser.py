"""Responses are parsed the same however their bytes are split; malformed ones are detected at once."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lockspoke.wire.http.messages import BodyChunk, HttpError, MessagePart, ResponseHead
from lockspoke.wire.http.response_parser import ResponseParser
from tests.properties import reproducible, split_at

from .samples import BUSY, OK, join_chunks

INTERIM_RESPONSES = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"


@reproducible
@given(
    st.sampled_from([OK, BUSY]), st.sampled_from([b"", BUSY, b"\x00noise\r\n\r\n"]), st.lists(st.integers(0))
)
def test_responses_parse_the_same_however_they_are_split(
    message: bytes, trailing: bytes, positions: list[int]
) -> None:
    """Only one response is parsed; bytes after it neither make it malformed nor become the next one."""
    parts: list[MessagePart] = []
    parser = ResponseParser()
    for piece in split_at(INTERIM_RESPONSES + message + trailing, positions):
        parts += parser.feed(piece)
    assert join_chunks(parts) == join_chunks(ResponseParser().feed(message))
    assert join_chunks(parts).count("end") == 1
    assert parser.trailing_bytes == trailing


@pytest.mark.parametrize(
    "data",
    [
        b"\xefC",  # garbage without a line end
        b"HTTP/2",
        b"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: p\r\n" * 2000,
        b"HTTP/1.1 102 Processing\r\n\r\n" * 20,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb2d05e00\r\n",  # 3 GB
    ],
)
def test_malformed_response_is_detected_at_once(data: bytes) -> None:
    with pytest.raises(HttpError):
        ResponseParser().feed(data)


def test_response_without_framing_ends_with_the_connection() -> None:
    parser = ResponseParser()
    head, data = parser.feed(b"HTTP/1.1 200 OK\r\n\r\nabc")
    assert isinstance(head, ResponseHead) and not head.keep_alive
    assert data == BodyChunk(b"abc")
    assert parser.connection_closed()
