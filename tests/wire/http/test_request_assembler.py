"""The assembly of complete requests from the bytes of a connection."""

from __future__ import annotations

import pytest

from lockspoke.wire.http.messages import HttpError
from lockspoke.wire.http.parser import BODY_LIMIT_BYTES
from lockspoke.wire.http.request_assembler import RequestAssembler

from .samples import GET, POST


def test_largest_allowed_body_is_accepted() -> None:
    body = b"x" * BODY_LIMIT_BYTES
    (request,) = RequestAssembler().feed(POST + b"Content-Length: %d\r\n\r\n" % len(body) + body)
    assert request.body == body


def test_complete_requests_before_an_error_are_returned_first() -> None:
    assembler = RequestAssembler()
    (request,) = assembler.feed(GET + b"nonsense\r\n\r\n")
    assert request.head.path == "/up"
    with pytest.raises(HttpError):
        assembler.feed(b"")
