"""Event streams: complete events are forwarded unchanged, malformed ones are detected."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lockspoke.wire.http.sse import EVENT_LIMIT_BYTES, LINE_LIMIT_BYTES, EventStream, EventStreamError
from tests.properties import reproducible, split_at

STREAM = (
    b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4096}}}\r\n\n'
    b": Srv-Load: util=0.61,lat=3\n\ndata: [DONE]\n\n"
)


@reproducible
@given(st.lists(st.integers(0)))
def test_stream_parses_the_same_however_it_is_split(positions: list[int]) -> None:
    stream = EventStream()
    forwarded = b"".join(stream.feed(piece) for piece in split_at(STREAM, positions))
    assert forwarded + stream.remainder() == STREAM
    assert (stream.event_count, stream.done, stream.cached_tokens) == (3, True, 4096)
    assert stream.latest_load_report == "util=0.61,lat=3"


@reproducible
@given(st.lists(st.binary(max_size=60) | st.sampled_from([b'data: "usage"', b"\n", b'{"usage":[]}'])))
def test_garbage_gives_stream_errors_only(pieces: list[bytes]) -> None:
    stream = EventStream()
    with contextlib.suppress(EventStreamError):
        for piece in pieces:
            forwarded = stream.feed(piece)
            assert not forwarded or forwarded.endswith(b"\n")
    assert stream.cached_tokens == 0


def test_complete_events_are_forwarded_and_an_incomplete_one_is_buffered() -> None:
    stream = EventStream()
    assert stream.feed(b"data: a\n\ndata") == b"data: a\n\n"
    assert stream.feed(b": b\r\n\r\n: c") == b"data: b\r\n\r\n"
    assert stream.remainder() == b": c"


@pytest.mark.parametrize(
    "data",
    [
        b"data: " + b"x" * LINE_LIMIT_BYTES + b"y",
        b": x\n" * (EVENT_LIMIT_BYTES // 4 + 1),
        b"abcde\n",
        b"data: {}\n\n\r\n5d\r\ndata: x\n\n",  # a chunk with too large a size
    ],
)
def test_malformed_stream_is_detected(data: bytes) -> None:
    """If it were forwarded, the client would receive invalid events, of unlimited size."""
    with pytest.raises(EventStreamError):
        EventStream().feed(data)


def test_malformed_remainder_is_detected() -> None:
    stream = EventStream()
    assert stream.feed(b"abcde") == b""
    with pytest.raises(EventStreamError):
        stream.remainder()
