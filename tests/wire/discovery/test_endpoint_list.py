"""Tests of the decoding of endpoint lists."""

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


def list_body(*targets: object, complete: bool = True) -> bytes:
    return json.dumps({"rev": 4, "all": complete, "targets": targets}).encode()


def test_replica_listed_twice_keeps_only_its_drain() -> None:
    twice = [TARGET, TARGET | {"state": "draining"}, TARGET | {"uid": "s-2"}]
    response = decode_endpoint_list(list_body(*twice))
    assert [(entry.uid, entry.state) for entry in response.update.entries] == [
        ("s-1", ReplicaState.DRAINING),
        ("s-2", ReplicaState.READY),
    ]
    with pytest.raises(EndpointListError, match="uid 's-1' is listed twice; name each replica once"):
        response.require_complete()
    both = decode_endpoint_list(list_body(TARGET, TARGET))
    assert both.errors and not both.update.entries and both.update.unreadable == {"s-1"}
    changes = decode_endpoint_list(list_body(*twice[:2], complete=False)).require_complete()
    assert [entry.state for entry in changes.entries] == [
        ReplicaState.READY,
        ReplicaState.DRAINING,
    ]  # Changes are applied in order, so a replica may occur several times.


def test_lists_are_decoded() -> None:
    update = decode_endpoint_list(list_body(TARGET, complete=False)).require_complete()
    assert (update.version, update.complete) == (4, False)
    entry = update.entries[0]
    assert (entry.uid, entry.endpoint, entry.cell, entry.boot_ms) == ("s-1", ("127.0.0.1", 5000), 3, 5)
    removed = {"uid": "s-1", "state": "removed"}  # A removed replica needs no address.
    assert (
        decode_endpoint_list(list_body(removed)).require_complete().entries[0].state is ReplicaState.REMOVED
    )


def test_invalid_machine_kind_is_decoded_as_unknown() -> None:
    for given_kind, kind in (("m2", "m2"), (7, ""), (None, "")):
        update = decode_endpoint_list(list_body(TARGET | {"model": given_kind})).require_complete()
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
def test_undecodable_entry_is_reported_and_affects_no_other(change: dict[str, object]) -> None:
    response = decode_endpoint_list(list_body(TARGET | change, TARGET | {"uid": "s-2"}))
    assert [entry.uid for entry in response.update.entries] == ["s-2"]
    with pytest.raises(EndpointListError, match="|".join([*map(re.escape, change), "nowhere", "a:0"])):
        response.require_complete()
    # The replica keeps its state: its uid is marked as unreadable, or without a uid the list is incomplete.
    assert response.update.unreadable == {"s-1"} if "uid" not in change else not response.update.complete


@pytest.mark.parametrize("state", ["draining", "removed"])
def test_drain_is_applied_although_other_fields_are_invalid(state: str) -> None:
    response = decode_endpoint_list(list_body(TARGET | {"state": state, "endpoint": 5, "boot_ms": "x"}))
    assert [(entry.uid, entry.state) for entry in response.update.entries] == [("s-1", STATES[state])]
    assert response.errors


def test_stale_list_applies_only_drains_and_removals() -> None:
    update = decode_endpoint_list(
        list_body(TARGET, TARGET | {"uid": "s-2", "state": "draining"})
    ).require_complete()
    applied = without_ready_replicas(update)
    assert (
        [entry.uid for entry in applied.entries] == ["s-2"]
        and not applied.complete
        and applied.version == UNKNOWN_VERSION
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
def test_arbitrary_input_raises_only_endpoint_list_errors(text: bytes) -> None:
    message = None
    try:
        decode_endpoint_list(text)
    except EndpointListError as error:
        message = str(error)
    assert message != ""
