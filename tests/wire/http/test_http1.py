"""The HTTP state machines: cut anywhere they read alike, and garbage gives clean errors only."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lockspoke.wire.http.encoding import encode_chunk, encode_head, encode_request
from lockspoke.wire.http.messages import (
    BodyChunk,
    HttpError,
    MessageEnd,
    MessagePart,
    RequestHead,
    ResponseHead,
)
from lockspoke.wire.http.parser import BODY_LIMIT, HEAD_LIMIT
from lockspoke.wire.http.request_assembler import RequestAssembler
from lockspoke.wire.http.request_parser import RequestParser
from lockspoke.wire.http.response_parser import ResponseParser

reproducible = settings(derandomize=True, deadline=None, max_examples=150)
HOST = b"Host: a\r\n"
POST = b"POST /v1/x?y=1 HTTP/1.1\r\n" + HOST
SIZED = POST + b"Content-Length: 5\r\n\r\nhello"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nEnd: 1\r\n\r\n"
GET = b"GET /up HTTP/1.1\r\n" + HOST + b"\r\n"
OK = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ndata:\r\n2\r\n\n\n\r\n0\r\n\r\n"
FULL = b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 2\r\n\r\nno"


def merged(pieces: list[MessagePart]) -> list[object]:
    """Pieces with neighbouring data joined, since cuts split it freely."""
    out: list[object] = []
    for piece in pieces:
        if isinstance(piece, BodyChunk):
            if out and isinstance(out[-1], bytes):
                out[-1] += piece.data
            else:
                out.append(piece.data)
        elif isinstance(piece, MessageEnd):
            out.append("end")
        else:
            out.append((piece.headers.fields, getattr(piece, "target", None), getattr(piece, "status", None)))
    return out


def split_at(data: bytes, cuts: list[int]) -> list[bytes]:
    edges = [0, *sorted(c % (len(data) + 1) for c in cuts), len(data)]
    return [data[a:b] for a, b in itertools.pairwise(edges)]


@reproducible
@given(st.lists(st.sampled_from([SIZED, CHUNKED, GET]), min_size=1, max_size=4), st.lists(st.integers(0)))
def test_requests_cut_anywhere_read_alike(messages: list[bytes], cuts: list[int]) -> None:
    data = b"".join(messages)
    pieces, parser = [], RequestParser()
    for part in split_at(data, cuts):
        pieces += parser.feed(part)
    assert merged(pieces) == merged(RequestParser().feed(data))
    assert merged(pieces).count("end") == len(messages)
    assert parser.is_between_messages


@reproducible
@given(
    st.sampled_from([OK, FULL]), st.sampled_from([b"", FULL, b"\x00noise\r\n\r\n"]), st.lists(st.integers(0))
)
def test_answers_cut_anywhere_read_alike(message: bytes, behind: bytes, cuts: list[int]) -> None:
    """One answer is read; what comes behind it neither spoils it nor becomes the next one."""
    data = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + message + behind
    pieces, parser = [], ResponseParser()
    for part in split_at(data, cuts):
        pieces += parser.feed(part)
    assert merged(pieces) == merged(ResponseParser().feed(message))
    assert merged(pieces).count("end") == 1
    assert parser.ended_cleanly is not bool(behind)


@reproducible
@given(
    st.lists(
        st.binary(max_size=40) | st.sampled_from([SIZED, CHUNKED, OK, b"\r\n", b"\r\n\r\n", b": ", b"0"])
    ),
    st.booleans(),
)
def test_garbage_gives_clean_errors_only(parts: list[bytes], answers: bool) -> None:
    parser = ResponseParser() if answers else RequestParser()
    try:
        for part in parts:
            parser.feed(part)
    except HttpError as error:
        assert error.status in (400, 413, 431, 501, 502, 505)
        with pytest.raises(HttpError):  # it does not begin anew amid a broken message
            parser.feed(GET)


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
        # Smuggling shapes: two parties could disagree on where the body ends.
        (POST + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n", 400),
        (POST + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\n", 400),
        (POST + b"Content-Length: 5, 5\r\n\r\n", 400),
        (POST + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (POST + b"Content-Length: +5\r\n\r\n", 400),
        (POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n", 501),
        (POST + b"Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n", 400),
        (POST + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello!\r\n", 400),
        # Limits, told before the body comes.
        (POST + b"Content-Length: 262145\r\n\r\n", 413),
        (POST + b"Transfer-Encoding: chunked\r\n\r\n40001\r\n", 413),
        (POST + b"X: " + b"a" * HEAD_LIMIT, 431),
        (POST + b"Transfer-Encoding: chunked\r\n\r\n" + b"0" * 300, 400),
    ],
)
def test_bad_requests_are_refused(data: bytes, status: int) -> None:
    with pytest.raises(HttpError) as caught:
        RequestParser().feed(data)
    assert caught.value.status == status


def test_the_largest_body_is_taken() -> None:
    body = b"x" * BODY_LIMIT
    (request,) = RequestAssembler().feed(POST + b"Content-Length: %d\r\n\r\n" % len(body) + body)
    assert request.body == body


def test_whole_requests_before_an_error_are_answered_first() -> None:
    gatherer = RequestAssembler()
    (request,) = gatherer.feed(GET + b"nonsense\r\n\r\n")
    assert request.head.path == "/up"
    with pytest.raises(HttpError):
        gatherer.feed(b"")


def test_keep_alive_follows_version_and_field() -> None:
    def keeps(text: bytes) -> bool:
        head = RequestParser().feed(text)[0]
        assert isinstance(head, RequestHead)
        return head.keep_alive

    assert keeps(GET)
    assert not keeps(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: x, Close\r\n\r\n")
    assert not keeps(b"GET / HTTP/1.0\r\n\r\n")
    assert keeps(b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")


@pytest.mark.parametrize(
    "data",
    [
        b"\xefC",  # noise without the end of a line
        b"HTTP/2",
        b"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: p\r\n" * 2000,
        b"HTTP/1.1 102 Processing\r\n\r\n" * 20,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb2d05e00\r\n",  # 3 GB
    ],
)
def test_a_spoilt_answer_is_told_as_soon_as_it_shows(data: bytes) -> None:
    with pytest.raises(HttpError):
        ResponseParser().feed(data)


def test_an_answer_without_framing_ends_with_the_connection() -> None:
    parser = ResponseParser()
    head, data = parser.feed(b"HTTP/1.1 200 OK\r\n\r\nabc")
    assert isinstance(head, ResponseHead) and not head.keep_alive
    assert data == BodyChunk(b"abc")
    assert parser.connection_closed()


@reproducible
@given(st.binary(max_size=2000), st.lists(st.integers(0)))
def test_what_is_written_is_read_back(body: bytes, cuts: list[int]) -> None:
    gatherer = RequestAssembler()
    whole = []
    for part in split_at(encode_request("POST", "/a", {"Host": "h"}, body), cuts):
        whole += gatherer.feed(part)
    assert [request.body for request in whole] == [body]
    answer = encode_head(200, {"Transfer-Encoding": "chunked"})
    answer += (encode_chunk(body) if body else b"") + encode_chunk(b"")
    assert merged(ResponseParser().feed(answer))[1:] == ([body] if body else []) + ["end"]
