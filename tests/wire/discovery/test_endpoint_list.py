"""The endpoint lists of discovery."""

from __future__ import annotations

import json
import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica_set import UNKNOWN_VERSION
from lockspoke.wire.discovery.endpoint_list import (
    STATES,
    EndpointListError,
    decode_endpoint_list,
    without_ready_replicas,
)
from tests.properties import reproducible

TARGET = {"uid": "s-1", "endpoint": "127.0.0.1:5000", "az": "a", "pod_group": 3, "state": "up", "boot_ms": 5}


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
        answer.require_complete()
    both = decode_endpoint_list(a_list(TARGET, TARGET))
    assert both.faults and not both.update.entries and both.update.unreadable == {"s-1"}
    changes = decode_endpoint_list(a_list(*twice[:2], whole=False)).require_complete()
    assert [entry.state for entry in changes.entries] == [
        ReplicaState.READY,
        ReplicaState.DRAINING,
    ]  # changes come in their order


def test_lists_are_read() -> None:
    update = decode_endpoint_list(a_list(TARGET, whole=False)).require_complete()
    assert (update.version, update.complete) == (4, False)
    entry = update.entries[0]
    assert (entry.uid, entry.endpoint, entry.cell, entry.boot_ms) == ("s-1", ("127.0.0.1", 5000), 3, 5)
    gone = {"uid": "s-1", "state": "removed"}  # what is gone needs no address
    assert decode_endpoint_list(a_list(gone)).require_complete().entries[0].state is ReplicaState.REMOVED


def test_a_list_tells_the_kind_of_machine_where_it_is_a_name() -> None:
    for given_kind, kind in (("m2", "m2"), (7, ""), (None, "")):
        update = decode_endpoint_list(a_list(TARGET | {"model": given_kind})).require_complete()
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
        answer.require_complete()
    # The replica stays as it is: by its uid, or since nothing is concluded from what the list doesn't name.
    assert answer.update.unreadable == {"s-1"} if "uid" not in change else not answer.update.complete


@pytest.mark.parametrize("state", ["draining", "removed"])
def test_a_drain_takes_effect_whatever_else_of_its_entry_cannot_be_read(state: str) -> None:
    answer = decode_endpoint_list(a_list(TARGET | {"state": state, "endpoint": 5, "boot_ms": "x"}))
    assert [(entry.uid, entry.state) for entry in answer.update.entries] == [("s-1", STATES[state])]
    assert answer.faults


def test_of_an_older_answer_only_what_takes_replicas_out_of_use_is_kept() -> None:
    update = decode_endpoint_list(
        a_list(TARGET, TARGET | {"uid": "s-2", "state": "draining"})
    ).require_complete()
    kept = without_ready_replicas(update)
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
    fault = None
    try:
        decode_endpoint_list(text)
    except EndpointListError as error:
        fault = str(error)
    assert fault != ""
