"""The replica set: what endpoint lists add, change and remove."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from lockspoke.balancing.events import Outcome, ReplicaState
from lockspoke.balancing.settings import DeduplicationScope
from lockspoke.core.identifiers import Identifiers
from lockspoke.core.process_start import ClockReading
from lockspoke.core.replica_set import EndpointListReplica, ReplicaListUpdate, ReplicaSet
from lockspoke.units import MILLISECOND, SECOND
from tests.core.harness import CoreHarness, idempotent_with_key


def test_removed_replicas_are_forgotten_unless_in_use() -> None:
    harness = CoreHarness()
    for n in range(300):
        harness.time += SECOND
        new = EndpointListReplica(f"n{n}", ReplicaState.READY, ("127.0.0.1", 7000 + n), "z")
        old = EndpointListReplica(f"n{n - 1}", ReplicaState.REMOVED, None, "z")
        harness.core.endpoint_list_changed(ReplicaListUpdate(2 + n, False, (new, old) if n else (new,)))
    replica_set = harness.core.replica_set
    assert len(replica_set.replicas) < 50 and len(replica_set.identifiers._replica_numbers) < 50
    assert replica_set.ready_count == 3


def test_machine_kinds_have_the_same_numbers_at_every_gateway() -> None:
    entries = [
        EndpointListReplica(f"k{n}", ReplicaState.READY, ("127.0.0.1", 8000 + n), "z", machine_kind=kind)
        for n, kind in enumerate("aab")
    ]
    kinds = []
    for _ in range(2):
        replica_set = ReplicaSet(Identifiers(), ("z",))
        change = replica_set.apply(
            ReplicaListUpdate(
                1, True, (*entries, EndpointListReplica("k9", ReplicaState.READY, ("127.0.0.1", 9000)))
            ),
            ClockReading(SECOND, SECOND),
        )
        kinds.append([entry.machine_kind for entry in change.event.entries])
    assert kinds[0] == kinds[1]
    assert kinds[0][0] == kinds[0][1] != kinds[0][2] and kinds[0][3] == 0


def test_a_younger_replica_at_an_address_removes_the_older_one() -> None:
    """Discovery detects a failed machine late: with both listed, the younger would get twice its load."""
    harness = CoreHarness()
    successor = EndpointListReplica(
        "successor", ReplicaState.READY, ("127.0.0.1", 5000), "z", boot_ms=harness.time // MILLISECOND - 100
    )
    harness.core.endpoint_list_changed(ReplicaListUpdate(2, False, (successor,)))
    assert [replica.uid for replica in harness.idle_closed] == ["w0"]
    for _ in range(8):
        harness.submit()
    assert "w0" not in {attempt.replica.uid for attempt in harness.started}
    both = tuple(
        EndpointListReplica(f"w{i}", ReplicaState.READY, ("127.0.0.1", 5000 + i), "z") for i in range(2)
    )
    harness.core.endpoint_list_changed(
        ReplicaListUpdate(3, True, (successor, *both))
    )  # the older one is listed again, and stays removed
    assert {
        replica.uid
        for replica in harness.core.replica_set.replicas.values()
        if replica.state == ReplicaState.READY
    } == {
        "successor",
        "w1",
    }


def test_a_draining_replica_gets_no_new_attempts_and_its_idle_connections_close() -> None:
    harness = CoreHarness()
    draining = EndpointListReplica("w0", ReplicaState.DRAINING, ("127.0.0.1", 5000), "z")
    harness.core.endpoint_list_changed(ReplicaListUpdate(2, False, (draining,)))
    assert [replica.uid for replica in harness.idle_closed] == ["w0"]
    for _ in range(6):
        harness.submit()
    assert {attempt.replica.uid for attempt in harness.started} == {"w1"}


def test_a_full_list_removes_replicas_that_it_does_not_name() -> None:
    harness = CoreHarness()
    harness.core.endpoint_list_changed(
        ReplicaListUpdate(3, True, (EndpointListReplica("w1", ReplicaState.READY, ("127.0.0.1", 9), "z"),))
    )
    assert {replica.uid: replica.state for replica in harness.core.replica_set.replicas.values()} == {
        "w0": ReplicaState.REMOVED,
        "w1": ReplicaState.READY,
    }
    assert {replica.uid for replica in harness.idle_closed} == {"w0", "w1"}  # w1 has a new address


IN_ZONE = idempotent_with_key(DeduplicationScope.ZONE)


def entry_in(
    name: str, zone: str, port: int, state: ReplicaState = ReplicaState.READY, boot_ms: int = 0
) -> EndpointListReplica:
    return EndpointListReplica(name, state, ("127.0.0.1", port), zone, boot_ms=boot_ms)


def harness_in_zones(zones: tuple[str, ...], listed: Sequence[EndpointListReplica]) -> CoreHarness:
    """A core whose settings name these zones, with these replicas."""
    harness = CoreHarness(replicas=0, classes=(IN_ZONE,))
    harness.core.replica_set.set_zones(zones)
    harness.core.endpoint_list_changed(ReplicaListUpdate(2, True, tuple(listed)))
    return harness


def zones_of_attempts(harness: CoreHarness) -> list[str]:
    return [attempt.location.zone for attempt in harness.started]


@pytest.mark.parametrize(
    "update",
    [
        ReplicaListUpdate(3, False, (EndpointListReplica("b1", ReplicaState.REMOVED, None),)),
        ReplicaListUpdate(3, False, (EndpointListReplica("b1", ReplicaState.DRAINING, None),)),
        ReplicaListUpdate(3, False, (entry_in("b3", "b", 5001, boot_ms=10**6),)),
        ReplicaListUpdate(3, True, (entry_in("a1", "a", 5000), entry_in("b2", "b", 5002))),
    ],
    ids=["removed without a zone", "draining without a zone", "superseded", "not listed"],
)
def test_a_repeat_stays_in_the_zone_of_a_replica_that_has_left(update: ReplicaListUpdate) -> None:
    """Guards against: with the replica its zone was forgotten, and a repeat went to the first zone."""
    listed = [entry_in("b1", "b", 5001)]
    harness = harness_in_zones(("a", "b"), listed)
    harness.submit()
    more = (entry_in("a1", "a", 5000), entry_in("b2", "b", 5002))
    harness.core.endpoint_list_changed(ReplicaListUpdate(2, False, more))
    harness.core.endpoint_list_changed(update)
    harness.started[0].end(Outcome.RESET)
    assert zones_of_attempts(harness) == ["b", "b"]


def test_two_zones_that_the_settings_do_not_name_are_not_one() -> None:
    """Guards against: a repeat went to another zone if the settings named neither of the two."""
    harness = harness_in_zones(("a",), [entry_in("x1", "x", 5001)])
    _, response = harness.submit()
    harness.core.endpoint_list_changed(ReplicaListUpdate(3, False, (entry_in("y1", "y", 5002),)))
    harness.started[0].end(Outcome.RESET)
    assert zones_of_attempts(harness) == ["x"]
    assert response.written == ["failed"]


def ready_at(uid: str, port: int) -> EndpointListReplica:
    """Return an entry without a start time, as some discovery services list it."""
    return EndpointListReplica(uid, ReplicaState.READY, ("127.0.0.1", port), "z")


def ready_uids(harness: CoreHarness) -> set[str]:
    replicas = harness.core.replica_set.replicas.values()
    return {replica.uid for replica in replicas if replica.state == ReplicaState.READY}


def test_a_new_replica_without_a_start_time_takes_over_the_address_of_one_that_has_gone() -> None:
    """Regression: both were used, so that the new process got requests under the name of the old one."""
    harness = CoreHarness()
    harness.core.endpoint_list_changed(ReplicaListUpdate(2, False, (ready_at("successor", 5000),)))
    assert [replica.uid for replica in harness.idle_closed] == ["w0"]
    assert ready_uids(harness) == {"successor", "w1"}
    listed = (ready_at("w0", 5000), ready_at("w1", 5001), ready_at("successor", 5000))
    for version in (3, 4):  # Discovery goes on listing the old one, and the gateway has forgotten it since.
        harness.core.endpoint_list_changed(ReplicaListUpdate(version, True, listed))
        assert ready_uids(harness) == {"successor", "w1"}
    harness.core.endpoint_list_changed(ReplicaListUpdate(5, False, (ready_at("w0", 5002),)))
    assert ready_uids(harness) == {"successor", "w0", "w1"}, "it has come back at another address"


def test_replicas_that_are_listed_at_one_address_from_the_start_are_all_used() -> None:
    harness = CoreHarness()
    listed = (ready_at("a", 5000), ready_at("b", 5000))
    harness.core.endpoint_list_changed(ReplicaListUpdate(2, True, listed))
    assert ready_uids(harness) == {"a", "b"}
