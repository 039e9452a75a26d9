"""The parsers raise no error but HttpError for garbage, with one of their statuses."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lockspoke.wire.http.messages import HttpError
from lockspoke.wire.http.parser import MessageParser
from lockspoke.wire.http.request_parser import RequestParser
from lockspoke.wire.http.response_parser import ResponseParser
from tests.properties import reproducible

from .samples import CHUNKED, GET, OK, SIZED

STATUSES = (400, 413, 431, 501, 502, 505)


def feed_until_error(parser: MessageParser, pieces: list[bytes]) -> HttpError | None:
    try:
        for piece in pieces:
            parser.feed(piece)
    except HttpError as error:
        return error
    return None


@reproducible
@given(
    st.lists(
        st.binary(max_size=40) | st.sampled_from([SIZED, CHUNKED, OK, b"\r\n", b"\r\n\r\n", b": ", b"0"])
    ),
    st.booleans(),
)
def test_garbage_gives_http_errors_only(pieces: list[bytes], is_response: bool) -> None:
    parser = ResponseParser() if is_response else RequestParser()
    error = feed_until_error(parser, pieces)
    if error is not None:
        assert error.status in STATUSES
        with pytest.raises(HttpError):  # A parser that has failed stays failed.
            parser.feed(GET)
