"""Requests are parsed the same however their bytes are split; malformed ones raise an error with a status."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lockspoke.wire.http.messages import HttpError, MessagePart, RequestHead
from lockspoke.wire.http.parser import HEAD_LIMIT_BYTES
from lockspoke.wire.http.request_parser import RequestParser
from tests.properties import reproducible, split_at

from .samples import CHUNKED, GET, HOST, POST, SIZED, join_chunks


@reproducible
@given(st.lists(st.sampled_from([SIZED, CHUNKED, GET]), min_size=1, max_size=4), st.lists(st.integers(0)))
def test_requests_parse_the_same_however_they_are_split(messages: list[bytes], positions: list[int]) -> None:
    data = b"".join(messages)
    parts: list[MessagePart] = []
    parser = RequestParser()
    for piece in split_at(data, positions):
        parts += parser.feed(piece)
    assert join_chunks(parts) == join_chunks(RequestParser().feed(data))
    assert join_chunks(parts).count("end") == len(messages)
    assert parser.is_between_messages


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", 400),  # no Host
        (b"GET / HTTP/1.1\r\n" + HOST + HOST + b"\r\n", 400),
        (b"GET  / HTTP/1.1\r\n" + HOST + b"\r\n", 400),
        (b"GET / HTTP/2.0\r\n" + HOST + b"\r\n", 505),
        (b"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400),  # space before the colon
        (b"GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n", 400),  # folded line
        (b"GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", 400),  # bare line feed
        # Request smuggling: two parties could disagree on where the body ends.
        (POST + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n", 400),
        (POST + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\n", 400),
        (POST + b"Content-Length: 5, 5\r\n\r\n", 400),
        (POST + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (POST + b"Content-Length: +5\r\n\r\n", 400),
        (POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n", 501),
        (POST + b"Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n", 400),
        (POST + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello!\r\n", 400),
        # Limits, enforced before the body arrives.
        (POST + b"Content-Length: 262145\r\n\r\n", 413),
        (POST + b"Transfer-Encoding: chunked\r\n\r\n40001\r\n", 413),
        (POST + b"X: " + b"a" * HEAD_LIMIT_BYTES, 431),
        (POST + b"Transfer-Encoding: chunked\r\n\r\n" + b"0" * 300, 400),
    ],
)
def test_malformed_request_is_rejected_with_its_status(data: bytes, status: int) -> None:
    with pytest.raises(HttpError) as caught:
        RequestParser().feed(data)
    assert caught.value.status == status


@pytest.mark.parametrize("size", [1, 2, 3, 5])
def test_empty_lines_before_a_request_may_arrive_in_pieces(size: int) -> None:
    """Regression: the rest of an empty line whose first byte had come alone was read as the request line."""
    data = b"\r\n\r\n" + SIZED
    parser = RequestParser()
    parts = [part for start in range(0, len(data), size) for part in parser.feed(data[start : start + size])]
    assert join_chunks(parts) == join_chunks(RequestParser().feed(SIZED))


def test_keep_alive_depends_on_version_and_connection_field() -> None:
    def keep_alive(text: bytes) -> bool:
        head = RequestParser().feed(text)[0]
        assert isinstance(head, RequestHead)
        return head.keep_alive

    assert keep_alive(GET)
    assert not keep_alive(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: x, Close\r\n\r\n")
    assert not keep_alive(b"GET / HTTP/1.0\r\n\r\n")
    assert keep_alive(b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
