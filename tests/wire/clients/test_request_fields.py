"""Event streams, header fields and discovery's lists."""

from __future__ import annotations

import contextlib
import json
import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica_set import UNKNOWN_VERSION
from lockspoke.wire.clients.request_fields import decode_request_fields
from lockspoke.wire.discovery.messages import STATES, EndpointListError, decode_endpoint_list, out_of_use_only
from lockspoke.wire.http.messages import Headers, HttpError
from lockspoke.wire.http.sse import EVENT_LIMIT, LINE_LIMIT, EventStream, EventStreamError
from lockspoke.wire.replicas.load_report import decode_load_report
from tests.wire.http.test_http1 import reproducible, split_at

STREAM = (
    b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4096}}}\r\n\n'
    b": Srv-Load: util=0.61,lat=3\n\ndata: [DONE]\n\n"
)
TARGET = {"uid": "s-1", "endpoint": "127.0.0.1:5000", "az": "a", "pod_group": 3, "state": "up", "boot_ms": 5}


@reproducible
@given(st.lists(st.integers(0)))
def test_a_stream_cut_anywhere_reads_alike(cuts: list[int]) -> None:
    stream = EventStream()
    passed = b"".join(stream.feed(part) for part in split_at(STREAM, cuts))
    assert passed + stream.remainder() == STREAM
    assert (stream.events, stream.done, stream.cached_tokens) == (3, True, 4096)
    assert stream.load == "util=0.61,lat=3"


@reproducible
@given(st.lists(st.binary(max_size=60) | st.sampled_from([b'data: "usage"', b"\n", b'{"usage":[]}'])))
def test_a_stream_of_garbage_harms_nothing(parts: list[bytes]) -> None:
    stream = EventStream()
    with contextlib.suppress(EventStreamError):
        for part in parts:
            passed = stream.feed(part)
            assert not passed or passed.endswith(b"\n")
    assert stream.cached_tokens == 0


def test_events_pass_whole_and_half_of_one_is_held() -> None:
    stream = EventStream()
    assert stream.feed(b"data: a\n\ndata") == b"data: a\n\n"
    assert stream.feed(b": b\r\n\r\n: c") == b"data: b\r\n\r\n"
    assert stream.remainder() == b": c"


@pytest.mark.parametrize(
    "data",
    [
        b"data: " + b"x" * LINE_LIMIT + b"y",
        b": x\n" * (EVENT_LIMIT // 4 + 1),
        b"abcde\n",
        b"data: {}\n\n\r\n5d\r\ndata: x\n\n",  # a chunk said to be longer than it is
    ],
)
def test_what_is_no_stream_of_events_is_told(data: bytes) -> None:
    """Passed on it would reach the client as if a worker had made it, and nothing bounds its size."""
    with pytest.raises(EventStreamError):
        EventStream().feed(data)


def test_what_is_no_event_is_told_at_the_end_as_well() -> None:
    stream = EventStream()
    assert stream.feed(b"abcde") == b""
    with pytest.raises(EventStreamError):
        stream.remainder()


def head(**changes: str) -> Headers:
    fields = {
        "req-id": "9b1f",
        "req-kind": "chat",
        "req-key": "7f3a",
        "req-deadline-ms": "4800",
        "req-extra": "prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800",
    }
    return Headers((fields | {name.replace("_", "-"): value for name, value in changes.items()}).items())


def test_the_fields_of_a_call() -> None:
    call = decode_request_fields(head())
    assert (call.request_id, call.kind, call.deadline_ms, call.key) == ("9b1f", "chat", 4800, "7f3a")
    assert (call.prefix, call.prompt_len, call.prefix_len, call.max_out) == ("5c0f", 5120, 2048, 800)
    assert not call.retry and decode_request_fields(head(req_retry="1")).retry
    # Asking for the rest of a stream is not a retry of something that failed.
    assert not decode_request_fields(head(req_retry="again")).retry
    assert (call.tenant, decode_request_fields(head(req_owner="north")).tenant) == ("", "north")


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
def test_bad_fields_are_a_400(changes: dict[str, str]) -> None:
    with pytest.raises(HttpError) as caught:
        decode_request_fields(head(**changes))
    assert caught.value.status == 400


def test_a_field_that_came_twice_is_refused() -> None:
    twice = Headers([*head().fields, ("req-id", "other")])
    with pytest.raises(HttpError):
        decode_request_fields(twice)


def test_load_reports_need_every_name() -> None:
    assert decode_load_report("b=2, a=1", ("a", "b")) == (1.0, 2.0)
    assert (
        decode_load_report("a=1", ("a", "b"))
        == decode_load_report("a=x,b=1", ("a", "b"))
        == decode_load_report("", ())
        == ()
    )


def a_list(*targets: object, whole: bool = True) -> bytes:
    return json.dumps({"rev": 4, "all": whole, "targets": targets}).encode()


def test_of_a_replica_that_a_whole_list_names_twice_only_a_drain_is_believed() -> None:
    twice = [TARGET, TARGET | {"state": "draining"}, TARGET | {"uid": "s-2"}]
    answer = decode_endpoint_list(a_list(*twice))
    assert [(entry.uid, entry.state) for entry in answer.update.entries] == [
        ("s-1", ReplicaState.DRAINING),
        ("s-2", ReplicaState.READY),
    ]
    with pytest.raises(EndpointListError, match="uid 's-1' is listed twice; name each replica once"):
        answer.complete()
    both = decode_endpoint_list(a_list(TARGET, TARGET))
    assert both.faults and not both.update.entries and both.update.unreadable == {"s-1"}
    changes = decode_endpoint_list(a_list(*twice[:2], whole=False)).complete()
    assert [entry.state for entry in changes.entries] == [
        ReplicaState.READY,
        ReplicaState.DRAINING,
    ]  # changes come in their order


def test_lists_are_read() -> None:
    update = decode_endpoint_list(a_list(TARGET, whole=False)).complete()
    assert (update.version, update.complete) == (4, False)
    entry = update.entries[0]
    assert (entry.uid, entry.endpoint, entry.cell, entry.boot_ms) == ("s-1", ("127.0.0.1", 5000), 3, 5)
    gone = {"uid": "s-1", "state": "removed"}  # what is gone needs no address
    assert decode_endpoint_list(a_list(gone)).complete().entries[0].state is ReplicaState.REMOVED


def test_a_list_tells_the_kind_of_machine_where_it_is_a_name() -> None:
    for given_kind, kind in (("m2", "m2"), (7, ""), (None, "")):
        update = decode_endpoint_list(a_list(TARGET | {"model": given_kind})).complete()
        assert update.entries[0].machine_kind == kind


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"uid": 5},
        {"endpoint": "nowhere"},
        {"endpoint": "a:0"},
        {"boot_ms": -1},
        {"capacity_hint": True},
    ],
)
def test_an_entry_that_cannot_be_read_is_named_and_costs_no_other(change: dict[str, object]) -> None:
    answer = decode_endpoint_list(a_list(TARGET | change, TARGET | {"uid": "s-2"}))
    assert [entry.uid for entry in answer.update.entries] == ["s-2"]
    with pytest.raises(EndpointListError, match="|".join([*map(re.escape, change), "nowhere", "a:0"])):
        answer.complete()
    # The replica stays as it is: by its uid, or since nothing is concluded from what the list doesn't name.
    assert answer.update.unreadable == {"s-1"} if "uid" not in change else not answer.update.complete


@pytest.mark.parametrize("state", ["draining", "removed"])
def test_a_drain_takes_effect_whatever_else_of_its_entry_cannot_be_read(state: str) -> None:
    answer = decode_endpoint_list(a_list(TARGET | {"state": state, "endpoint": 5, "boot_ms": "x"}))
    assert [(entry.uid, entry.state) for entry in answer.update.entries] == [("s-1", STATES[state])]
    assert answer.faults


def test_of_an_older_answer_only_what_takes_replicas_out_of_use_is_kept() -> None:
    update = decode_endpoint_list(a_list(TARGET, TARGET | {"uid": "s-2", "state": "draining"})).complete()
    kept = out_of_use_only(update)
    assert (
        [entry.uid for entry in kept.entries] == ["s-2"]
        and not kept.complete
        and kept.version == UNKNOWN_VERSION
    )


@reproducible
@given(
    st.binary(max_size=50)
    | st.recursive(
        st.none() | st.booleans() | st.floats() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner) | st.dictionaries(st.sampled_from(["rev", "all", "targets", "uid"]), inner)
        ),
    ).map(lambda value: json.dumps(value).encode())
)
def test_garbage_lists_give_clean_errors_only(text: bytes) -> None:
    try:
        decode_endpoint_list(text)
    except EndpointListError as error:
        assert str(error)
