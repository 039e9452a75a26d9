"""The reconciler: single cases, and invariants for any sequence of snapshots."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica_set import EndpointListReplica
from lockspoke.inventory.decisions import Action, ReconcilePolicy, ReconcileResult
from lockspoke.inventory.model import ReplicaRecord, Snapshot
from lockspoke.inventory.parse_cache import ReadOptions
from lockspoke.inventory.reconciler import Reconciler
from lockspoke.inventory.schema import ReplicaRules
from lockspoke.inventory.snapshot import take_snapshot
from lockspoke.inventory.source_file import FileContent
from tests.properties import reproducible

READ_OPTIONS = ReadOptions(ReplicaRules(zones=("lis-1",), kinds={"gen-a": 0.7, "gen-b": 1.0}, port=5000))


def snapshot(
    *rows: str, header: str = "name,host,kind,state", end: str = "\n", file: str = "a.csv"
) -> Snapshot:
    return take_snapshot(
        [FileContent(file, ("\n".join([header, *rows]) + end).encode())], READ_OPTIONS
    ).snapshot


def rows(count: int, *without: int) -> list[str]:
    return [f"w{n},10.0.0.{n},gen-a,up" for n in range(1, count + 1) if n not in without]


def started_reconciler(count: int = 10, **policy: object) -> Reconciler:
    reconciler = Reconciler(ReconcilePolicy(**policy))  # type: ignore[arg-type]
    reconciler.reconcile(snapshot(*rows(count)), 0)
    assert len(reconciler.known) == count
    return reconciler


def actions(result: ReconcileResult) -> dict[str, Action]:
    return {one.host: one.action for one in result.decisions}


def test_absent_host_is_removed_although_other_rows_are_invalid() -> None:
    reconciler = started_reconciler()
    invalid_rows = ["w1,300.1.1.1,gen-a,up", "w2,10.0.0.2,gen-z,up", "w3", *rows(10, 1, 2, 3, 7)]
    result = reconciler.reconcile(snapshot(*invalid_rows), 10)
    assert result.entries == (EndpointListReplica("w7", ReplicaState.REMOVED, None),)
    assert actions(result) == {"w7": Action.REMOVE} | dict.fromkeys(("w1", "w2", "w3"), Action.HOLD)
    assert reconciler.known["w1"].record.host == "10.0.0.1" and "INV305" in reconciler.known["w1"].hold_reason
    # A hold is reported once and ends when the row is corrected.
    assert not reconciler.reconcile(snapshot(*invalid_rows), 20).decisions
    reconciler.reconcile(snapshot(*rows(10, 7)), 30)
    assert not reconciler.known["w1"].hold_reason


def test_host_with_two_kinds_is_held_or_not_added() -> None:
    reconciler = started_reconciler(5)
    rows_with_two_kinds = [*rows(5), "w5,10.0.0.5,gen-b,up", "w6,10.0.0.6,gen-a,up", "w6,10.0.0.6,gen-b,up"]
    result = reconciler.reconcile(snapshot(*rows_with_two_kinds), 10)
    assert not result.entries and actions(result) == {"w5": Action.HOLD, "w6": Action.KEEP_OUT}
    assert reconciler.known["w5"].record.kind == "gen-a" and "INV403" in reconciler.excluded["w6"]
    result = reconciler.reconcile(snapshot(*rows(4), "w5,10.0.0.5,gen-b,up"), 20)
    assert [entry.weight for entry in result.entries] == [1.0] and actions(result) == {"w5": Action.CHANGE}


def test_partly_written_file_removes_few_hosts_and_changes_no_kind() -> None:
    """An edited file is written over the old one, and read after each byte.

    A partly written file removes only a few hosts, none if it ends within a line, and changes no kind.
    Reading the complete file restores all hosts.
    """
    before = "\n".join(["name,host,kind,state", *rows(12)]) + "\n"
    after = before.replace("w9,10.0.0.9,gen-a,up", "w9,10.0.0.9,gen-a,up\nw9,10.0.0.9,gen-b,up")
    file_contents = [
        before[: len(before) // 2] + after[len(before) // 2 : at] for at in range(len(after) + 1)
    ]
    file_contents += [after[:at] for at in range(len(after) + 1)]
    for text in file_contents:
        reconciler = started_reconciler(12)
        result = reconciler.reconcile(
            take_snapshot([FileContent("a.csv", text.encode())], READ_OPTIONS).snapshot, 10
        )
        removed = {entry.uid for entry in result.entries if entry.state == ReplicaState.REMOVED}
        # Truncation at the end of a line looks like a removal: a few hosts are removed, many are held.
        assert len(removed) <= 3 and len(reconciler.known) >= 9, text
        if not text.endswith("\n"):
            assert not removed, text
        assert {one.record.kind for one in reconciler.known.values()} == {"gen-a"}, text
        result = reconciler.reconcile(
            take_snapshot([FileContent("a.csv", before.encode())], READ_OPTIONS).snapshot, 200
        )
        assert {name: one.record.host for name, one in reconciler.known.items()} == {
            f"w{n}": f"10.0.0.{n}" for n in range(1, 13)
        }


def test_mass_removal_is_held_until_accepted() -> None:
    reconciler = started_reconciler(22)
    half_of_hosts = snapshot(*rows(11))
    result = reconciler.reconcile(half_of_hosts, 10)
    assert not result.entries and actions(result)[""] is Action.GUARD and len(reconciler.known) == 22
    assert (
        reconciler.pending_removal is not None
        and reconciler.pending_removal.hosts == 11
        and half_of_hosts.fingerprint in result.decisions[0].reason
    )
    assert not reconciler.reconcile(half_of_hosts, 3_600_000).entries  # Time alone does not release it.
    reconciler.accept("another")
    assert not reconciler.reconcile(half_of_hosts, 3_600_010).entries
    reconciler.accept(half_of_hosts.fingerprint)
    result = reconciler.reconcile(half_of_hosts, 3_600_020)
    assert (
        len(result.entries) == 11
        and actions(result)[""] is Action.ACCEPT
        and reconciler.pending_removal is None
    )


def test_removals_within_the_window_add_up_except_explicit_ones() -> None:
    reconciler = started_reconciler(10)
    assert len(reconciler.reconcile(snapshot(*rows(10, 1, 2, 3)), 0).entries) == 3
    result = reconciler.reconcile(snapshot(*rows(10, 1, 2, 3, 4)), 1_000)
    assert not result.entries and actions(result)[""] is Action.GUARD
    # After the window the same snapshot removes the host.
    assert len(reconciler.reconcile(snapshot(*rows(10, 1, 2, 3, 4)), 61_000).entries) == 1
    explicit = [f"w{n},10.0.0.{n},gen-a,{'removed' if n < 10 else 'up'}" for n in range(5, 11)]
    result = reconciler.reconcile(snapshot(*explicit), 62_000)
    assert len(result.entries) == 5 and "" not in actions(result) and list(reconciler.known) == ["w10"]


def test_emptied_file_removes_no_host_after_the_settling_time() -> None:
    reconciler = started_reconciler(2, removal_settle_ms=5_000)
    for text in (b"", b"name,host,kind,state\n", b"[", b"# gone\n"):
        assert not reconciler.reconcile(
            take_snapshot([FileContent("a.csv", text)], READ_OPTIONS).snapshot, 10
        ).entries
        assert not reconciler.reconcile(
            take_snapshot([FileContent("a.csv", text)], READ_OPTIONS).snapshot, 60_000
        ).entries
    reconciler = started_reconciler(10, removal_settle_ms=5_000)
    half_of_hosts = snapshot(*rows(5))
    assert reconciler.reconcile(half_of_hosts, 10).wake_ms == 5_010
    assert (
        not reconciler.reconcile(half_of_hosts, 5_009).entries
        and len(reconciler.reconcile(half_of_hosts, 5_010).entries) == 5
    )


def test_absence_from_an_unterminated_file_removes_no_host_at_first() -> None:
    reconciler = started_reconciler(10)
    truncated = snapshot(*rows(9), "w", end="")
    result = reconciler.reconcile(truncated, 10)
    assert (
        not result.entries
        and actions(result) == {"w10": Action.HOLD, "w": Action.KEEP_OUT}
        and result.wake_ms == 5_010
    )
    # After the grace period the file counts as complete.
    assert [entry.uid for entry in reconciler.reconcile(truncated, 5_010).entries] == ["w10"]
    reconciler = started_reconciler(10)
    malformed = take_snapshot(
        [FileContent("a.csv", ("name,host,kind\n" + "w1,10.0.0.1,gen-a\n" + '"w2,').encode())], READ_OPTIONS
    ).snapshot
    assert (
        not reconciler.reconcile(malformed, 10).entries
        and not reconciler.reconcile(malformed, 3_600_000).entries
    )


def test_row_without_a_name_holds_the_host_with_its_address() -> None:
    reconciler = started_reconciler(5)
    result = reconciler.reconcile(snapshot(*rows(4), ",10.0.0.5,gen-a,up"), 10)
    assert actions(result) == {"w5": Action.HOLD} and not result.entries


def test_drain_and_removal_apply_although_the_row_is_invalid() -> None:
    reconciler = started_reconciler(5)
    result = reconciler.reconcile(
        snapshot(*rows(3), "w4,10.0.0.4,gen-z,draining", "w5,nowhere,gen-a,removed"), 10
    )
    assert [(entry.uid, entry.state) for entry in result.entries] == [
        ("w4", ReplicaState.DRAINING),
        ("w5", ReplicaState.REMOVED),
    ]


def test_draining_host_is_removed_and_added_again() -> None:
    reconciler = started_reconciler(5)
    draining = snapshot(*rows(4), "w5,10.0.0.5,gen-a,draining")
    assert reconciler.reconcile(draining, 10).entries[0].state == ReplicaState.DRAINING
    assert reconciler.reconcile(snapshot(*rows(4)), 20).entries == (
        EndpointListReplica("w5", ReplicaState.REMOVED, None),
    )
    # A host that is added again while draining gets no new request.
    assert reconciler.reconcile(draining, 50).entries[0].state == ReplicaState.DRAINING
    assert reconciler.reconcile(snapshot(*rows(4)), 60).entries[0].state == ReplicaState.REMOVED
    # Added again within `brief_absence_ms`, it is the same process; later it counts as restarted.
    assert reconciler.reconcile(snapshot(*rows(5)), 160).entries[0].boot_ms == 0
    reconciler.reconcile(snapshot(*rows(4)), 200)
    assert reconciler.reconcile(snapshot(*rows(5)), 9_000).entries[0].boot_ms == 9_000


def test_two_hosts_swap_their_addresses() -> None:
    reconciler = started_reconciler(3)
    result = reconciler.reconcile(
        snapshot("w1,10.0.0.2,gen-a,up", "w2,10.0.0.1,gen-a,up", "w3,10.0.0.3,gen-a,up"), 10
    )
    assert {entry.uid: (entry.endpoint, entry.boot_ms) for entry in result.entries} == {
        "w1": (("10.0.0.2", 5000), 10),
        "w2": (("10.0.0.1", 5000), 10),
    }


def test_address_of_a_held_host_is_given_to_no_other() -> None:
    reconciler = started_reconciler(4)
    # The row of w1 is invalid. w2 would move to the address of w1 and w3 to that of w2; w5 would be added at
    # that of w3.
    moved = [
        "w1,10.0.0.1,gen-z,up",
        "w2,10.0.0.1,gen-a,up",
        "w3,10.0.0.2,gen-a,up",
        "w4,10.0.0.4,gen-a,up",
        "w5,10.0.0.3,gen-a,up",
    ]
    result = reconciler.reconcile(snapshot(*moved), 10)
    assert not result.entries
    assert actions(result) == {"w1": Action.HOLD, "w2": Action.HOLD, "w3": Action.HOLD, "w5": Action.KEEP_OUT}


def test_conflicting_and_missing_files_hold_their_hosts() -> None:
    def snapshot_of_two_files(second: bytes | None) -> Snapshot:
        first = FileContent("a.csv", b"name,host,kind\nw1,10.0.0.1,gen-a\nw2,10.0.0.2,gen-a\n")
        return take_snapshot(
            [first, FileContent("b.csv", second, "gone" if second is None else "")], READ_OPTIONS
        ).snapshot

    reconciler = Reconciler()
    reconciler.reconcile(snapshot_of_two_files(b"name,host,kind\nw1,10.0.0.1,gen-a\nw3,10.0.0.3,gen-a\n"), 0)
    assert list(reconciler.known) == ["w1", "w2", "w3"]
    result = reconciler.reconcile(
        snapshot_of_two_files(b"name,host,kind\nw1,10.0.0.9,gen-b\nw3,10.0.0.3,gen-a\n"), 10
    )
    assert actions(result) == {"w1": Action.HOLD} and reconciler.known["w1"].record.host == "10.0.0.1"
    result = reconciler.reconcile(snapshot_of_two_files(None), 20)
    assert not result.entries and actions(result) == {"w3": Action.HOLD}


def w5_at(last_number: int, state: str = "up") -> Snapshot:
    return snapshot(*rows(4), f"w5,10.0.0.{last_number},gen-a,{state}")


def test_a_drain_is_not_put_off_by_a_change_of_address_that_is() -> None:
    """Guards against: the drain of a host that moves to and fro was put off with its move."""
    reconciler, now = started_reconciler(5, flap_penalty_limit=4.0), 0
    for step in range(6):
        now += 1_000
        reconciler.reconcile(w5_at(50 + step % 2), now)
    assert "to and fro" in reconciler.known["w5"].hold_reason
    kept = reconciler.known["w5"].record.host
    other = "60"
    result = reconciler.reconcile(w5_at(int(other), "draining"), now + 1_000)
    assert actions(result)["w5"] is Action.DRAIN
    assert [(entry.uid, entry.state) for entry in result.entries] == [("w5", ReplicaState.DRAINING)]
    assert reconciler.known["w5"].record.host == kept, "its move is still put off"
    assert not reconciler.reconcile(w5_at(int(other), "draining"), now + 2_000).entries
    assert result.wake_ms is not None
    calm = reconciler.reconcile(w5_at(int(other), "up"), now + 3_600_000)
    assert [(entry.state, entry.endpoint) for entry in calm.entries] == [
        (ReplicaState.READY, ("10.0.0.60", 5000))
    ]


def test_a_drain_is_not_put_off_by_another_host_at_its_new_address() -> None:
    reconciler = started_reconciler(5)
    # The row of w1 is wrong, so it keeps its address, to which w5 would move.
    conflict = snapshot("w1,nowhere,gen-a,up", *rows(4, 1), "w5,10.0.0.1,gen-a,draining")
    result = reconciler.reconcile(conflict, 10)
    assert reconciler.known["w5"].record.host == "10.0.0.5"
    assert reconciler.known["w5"].record.state == "draining"
    assert ("w5", ReplicaState.DRAINING) in [(entry.uid, entry.state) for entry in result.entries]


def test_flapping_host_is_kept_out_longer_each_time() -> None:
    reconciler, now, delays = started_reconciler(5), 0, []
    for _ in range(12):
        now += 2_000
        reconciler.reconcile(snapshot(*rows(4)), now)
        back = now
        while "w5" not in reconciler.known:
            result = reconciler.reconcile(snapshot(*rows(5)), now)
            if "w5" not in reconciler.known:
                assert result.wake_ms is not None and result.wake_ms > now
                now = result.wake_ms
        delays.append(now - back)
    assert delays[0] == delays[1] == 0 and max(delays) >= 60_000
    assert now <= 12 * 180_000  # The delay is bounded.


HOSTS = st.dictionaries(
    st.integers(1, 8),
    st.tuples(
        st.integers(1, 8),
        st.sampled_from(["gen-a", "gen-b", "gen-z"]),
        st.sampled_from(["up", "draining", "removed"]),
    ),
    max_size=8,
)


@reproducible
@given(st.lists(st.tuples(HOSTS, st.integers(1, 100_000)), min_size=1, max_size=8))
def test_invariants_hold_for_any_sequence_of_snapshots(
    steps: list[tuple[dict[int, tuple[int, str, str]], int]],
) -> None:
    reconciler, now = Reconciler(), 0
    applied: dict[str, EndpointListReplica] = {}
    for hosts, later in steps:
        now += later
        lines = [f"w{name},10.0.0.{at},{kind},{state}" for name, (at, kind, state) in hosts.items()]
        current = snapshot(*lines)
        before = {name: replace(one.record) for name, one in reconciler.known.items()}
        result = reconciler.reconcile(current, now)
        for entry in result.entries:
            applied.pop(entry.uid, None)
            if entry.state != ReplicaState.REMOVED:
                applied[entry.uid] = entry
        # All entries together give the known replicas, and no two hosts have the same address.
        assert {entry.uid: entry for entry in reconciler.entries()} == applied
        addresses = [one.record.address for one in reconciler.known.values()]
        assert len(addresses) == len(set(addresses))
        for name, one in reconciler.known.items():
            row: ReplicaRecord | None = current.replicas.get(name)
            # A record equals its row, or there is a reason why it does not.
            assert (
                one.record == row
                or one.hold_reason
                or (row is None and reconciler.pending_removal is not None)
            )
            if name not in before:
                assert row == one.record
        # A host whose row has the state removed is removed at once.
        assert (
            not {name for name, one in current.replicas.items() if one.state == "removed"}
            & reconciler.known.keys()
        )
        again = reconciler.reconcile(current, now)
        assert not again.entries and not again.decisions


def test_host_that_would_take_the_address_of_an_unchanged_host_is_held() -> None:
    """Two host names resolve to the same address, and one of the hosts has not changed.

    `resolve_address_conflicts` looked up the target of the host that has the address. An unchanged host has
    no target, so it raised KeyError, and no snapshot with the conflict was applied; the log only had
    `inventory_refresh_failed`.
    """
    reconciler = started_reconciler(3)
    moved = ["w1,10.0.0.1,gen-a,up", "w2,10.0.0.1,gen-a,up", "w3,10.0.0.3,gen-a,draining"]
    resolved = snapshot(*moved[:1], moved[2])
    record = replace(reconciler.known["w2"].record, host="10.0.0.1")
    resolved = replace(resolved, replicas={**resolved.replicas, "w2": record})
    result = reconciler.reconcile(resolved, 10)
    assert actions(result) == {"w2": Action.HOLD, "w3": Action.DRAIN}
    assert reconciler.known["w2"].record.host == "10.0.0.2"
    assert [entry.uid for entry in result.entries] == ["w3"]
