"""The replica set: what endpoint lists add, change and remove."""

from __future__ import annotations

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.identifiers import Identifiers
from lockspoke.core.process_start import ClockReading
from lockspoke.core.replica_set import EndpointListReplica, ReplicaListUpdate, ReplicaSet
from lockspoke.units import MILLISECOND, SECOND
from tests.core.harness import CoreHarness


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
