"""Tests of the decoding of `Req-*` header fields."""

from __future__ import annotations

import pytest

from lockspoke.wire.clients.request_fields import decode_request_fields
from lockspoke.wire.http.messages import Headers, HttpError


def request_headers(**changes: str) -> Headers:
    """Return header fields of a request with some of them changed; the names have underscores for hyphens."""
    fields = {
        "req-id": "9b1f",
        "req-kind": "chat",
        "req-key": "7f3a",
        "req-deadline-ms": "4800",
        "req-extra": "prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800",
    }
    return Headers((fields | {name.replace("_", "-"): value for name, value in changes.items()}).items())


def test_valid_fields_are_decoded() -> None:
    fields = decode_request_fields(request_headers())
    assert (fields.request_id, fields.kind, fields.deadline_ms, fields.key) == ("9b1f", "chat", 4800, "7f3a")
    assert (fields.prefix, fields.prompt_len, fields.prefix_len, fields.max_out) == ("5c0f", 5120, 2048, 800)
    assert not fields.retry and decode_request_fields(request_headers(req_retry="1")).retry
    # The continuation of a stream is not a retry of a failed request.
    assert not decode_request_fields(request_headers(req_retry="again")).retry
    assert (fields.tenant, decode_request_fields(request_headers(req_owner="north")).tenant) == ("", "north")


@pytest.mark.parametrize(
    "changes",
    [
        {"req_id": ""},
        {"req_kind": ""},
        {"req_deadline_ms": "-1"},
        {"req_deadline_ms": "soon"},
        {"req_extra": "prompt_len=nan"},
        {"req_extra": "prompt_len=x"},
        {"req_id": "x" * 200},
        {"req_owner": "x" * 200},
    ],
)
def test_malformed_fields_are_rejected_with_400(changes: dict[str, str]) -> None:
    with pytest.raises(HttpError) as caught:
        decode_request_fields(request_headers(**changes))
    assert caught.value.status == 400


def test_repeated_field_is_rejected() -> None:
    repeated = Headers([*request_headers().fields, ("req-id", "other")])
    with pytest.raises(HttpError):
        decode_request_fields(repeated)
