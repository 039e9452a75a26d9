"""Encoded messages are parsed back."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lockspoke.wire.http.encoding import encode_chunk, encode_head, encode_request
from lockspoke.wire.http.messages import Request
from lockspoke.wire.http.request_assembler import RequestAssembler
from lockspoke.wire.http.response_parser import ResponseParser
from tests.properties import reproducible, split_at

from .samples import join_chunks


@reproducible
@given(st.binary(max_size=2000), st.lists(st.integers(0)))
def test_encoded_messages_are_parsed_back(body: bytes, positions: list[int]) -> None:
    assembler = RequestAssembler()
    requests: list[Request] = []
    for piece in split_at(encode_request("POST", "/a", {"Host": "h"}, body), positions):
        requests += assembler.feed(piece)
    assert [request.body for request in requests] == [body]
    response = encode_head(200, {"Transfer-Encoding": "chunked"})
    response += (encode_chunk(body) if body else b"") + encode_chunk(b"")
    assert join_chunks(ResponseParser().feed(response))[1:] == ([body] if body else []) + ["end"]
