"""The reconciler alone: every hard case as a snapshot and a time, and rules that hold for any sequence."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica_set import ListedReplica
from lockspoke.inventory.decisions import Action, ReconcilePolicy, ReconcileResult
from lockspoke.inventory.model import ReplicaRecord, Snapshot
from lockspoke.inventory.parse_cache import ReadOptions
from lockspoke.inventory.reconciler import Reconciler
from lockspoke.inventory.schema import Rules
from lockspoke.inventory.snapshot import take_snapshot
from lockspoke.inventory.source_file import FileText
from tests.wire.http.test_http1 import fixed

READING = ReadOptions(Rules(zones=("lis-1",), kinds={"gen-a": 0.7, "gen-b": 1.0}, port=5000))


def snapshot(
    *rows: str, header: str = "name,host,kind,state", end: str = "\n", file: str = "a.csv"
) -> Snapshot:
    return take_snapshot([FileText(file, ("\n".join([header, *rows]) + end).encode())], READING).snapshot


def rows(count: int, *without: int) -> list[str]:
    return [f"w{n},10.0.0.{n},gen-a,up" for n in range(1, count + 1) if n not in without]


def started(count: int = 10, **caution: object) -> Reconciler:
    made = Reconciler(ReconcilePolicy(**caution))  # type: ignore[arg-type]
    made.step(snapshot(*rows(count)), 0)
    assert len(made.known) == count
    return made


def acts(step: ReconcileResult) -> dict[str, Action]:
    return {one.host: one.action for one in step.decisions}


def test_a_host_cleanly_removed_goes_however_wrong_other_rows_are() -> None:
    made = started()
    bad = ["w1,300.1.1.1,gen-a,up", "w2,10.0.0.2,gen-z,up", "w3", *rows(10, 1, 2, 3, 7)]
    step = made.step(snapshot(*bad), 10)
    assert step.entries == (ListedReplica("w7", ReplicaState.REMOVED, None),)
    assert acts(step) == {"w7": Action.REMOVE} | dict.fromkeys(("w1", "w2", "w3"), Action.HOLD)
    assert made.known["w1"].record.host == "10.0.0.1" and "INV305" in made.known["w1"].hold_reason
    # Told once, and no longer held when mended.
    assert not made.step(snapshot(*bad), 20).decisions
    made.step(snapshot(*rows(10, 7)), 30)
    assert not made.known["w1"].hold_reason


def test_a_host_under_two_kinds_keeps_its_last_good_one_or_stays_out() -> None:
    made = started(5)
    both = [*rows(5), "w5,10.0.0.5,gen-b,up", "w6,10.0.0.6,gen-a,up", "w6,10.0.0.6,gen-b,up"]
    step = made.step(snapshot(*both), 10)
    assert not step.entries and acts(step) == {"w5": Action.HOLD, "w6": Action.KEEP_OUT}
    assert made.known["w5"].record.kind == "gen-a" and "INV403" in made.excluded["w6"]
    step = made.step(snapshot(*rows(4), "w5,10.0.0.5,gen-b,up"), 20)
    assert [entry.weight for entry in step.entries] == [1.0] and acts(step) == {"w5": Action.CHANGE}


def test_an_edit_saved_at_every_byte_moves_nothing_but_what_it_is_about() -> None:
    """From one whole file to another by an edit of one line, cut off at each byte as it is written."""
    before = "\n".join(["name,host,kind,state", *rows(12)]) + "\n"
    after = before.replace("w9,10.0.0.9,gen-a,up", "w9,10.0.0.9,gen-a,up\nw9,10.0.0.9,gen-b,up")
    saves = [before[: len(before) // 2] + after[len(before) // 2 : at] for at in range(len(after) + 1)]
    saves += [after[:at] for at in range(len(after) + 1)]
    for text in saves:
        made = started(12)
        step = made.step(take_snapshot([FileText("a.csv", text.encode())], READING).snapshot, 10)
        gone = {entry.uid for entry in step.entries if entry.state == ReplicaState.REMOVED}
        # A cut at the end of a line looks like a removal: a few hosts at most, a mass of them is held.
        assert len(gone) <= 3 and len(made.known) >= 9, text
        if not text.endswith("\n"):
            assert not gone, text
        assert {one.record.kind for one in made.known.values()} == {"gen-a"}, text
        step = made.step(take_snapshot([FileText("a.csv", before.encode())], READING).snapshot, 200)
        assert {name: one.record.host for name, one in made.known.items()} == {
            f"w{n}": f"10.0.0.{n}" for n in range(1, 13)
        }


def test_a_fleet_halving_truncation_is_held_until_an_operator_accepts_it() -> None:
    made = started(22)
    half = snapshot(*rows(11))
    step = made.step(half, 10)
    assert not step.entries and acts(step)[""] is Action.GUARD and len(made.known) == 22
    assert (
        made.pending_removal is not None
        and made.pending_removal.hosts == 11
        and half.fingerprint in step.decisions[0].reason
    )
    assert not made.step(half, 3_600_000).entries  # not by time alone
    made.accept("another")
    assert not made.step(half, 3_600_010).entries
    made.accept(half.fingerprint)
    step = made.step(half, 3_600_020)
    assert len(step.entries) == 11 and acts(step)[""] is Action.ACCEPT and made.pending_removal is None


def test_removals_in_slices_count_together_and_explicit_ones_not_at_all() -> None:
    made = started(10)
    assert len(made.step(snapshot(*rows(10, 1, 2, 3)), 0).entries) == 3
    step = made.step(snapshot(*rows(10, 1, 2, 3, 4)), 1_000)
    assert not step.entries and acts(step)[""] is Action.GUARD
    assert len(made.step(snapshot(*rows(10, 1, 2, 3, 4)), 61_000).entries) == 1  # another minute
    said = [f"w{n},10.0.0.{n},gen-a,{'removed' if n < 10 else 'up'}" for n in range(5, 11)]
    step = made.step(snapshot(*said), 62_000)
    assert len(step.entries) == 5 and "" not in acts(step) and list(made.known) == ["w10"]


def test_an_emptied_file_removes_nobody_even_after_the_settling_time() -> None:
    made = started(2, settle_ms=5_000)
    for text in (b"", b"name,host,kind,state\n", b"[", b"# gone\n"):
        assert not made.step(take_snapshot([FileText("a.csv", text)], READING).snapshot, 10).entries
        assert not made.step(take_snapshot([FileText("a.csv", text)], READING).snapshot, 60_000).entries
    made = started(10, settle_ms=5_000)
    half = snapshot(*rows(5))
    assert made.step(half, 10).wake_ms == 5_010
    assert not made.step(half, 5_009).entries and len(made.step(half, 5_010).entries) == 5


def test_an_absence_from_an_unfinished_file_waits() -> None:
    made = started(10)
    cut = snapshot(*rows(9), "w", end="")
    step = made.step(cut, 10)
    assert (
        not step.entries
        and acts(step) == {"w10": Action.HOLD, "w": Action.KEEP_OUT}
        and step.wake_ms == 5_010
    )
    assert [entry.uid for entry in made.step(cut, 5_010).entries] == ["w10"]  # its writer leaves it so
    made = started(10)
    spoilt = take_snapshot(
        [FileText("a.csv", ("name,host,kind\n" + "w1,10.0.0.1,gen-a\n" + '"w2,').encode())], READING
    ).snapshot
    assert not made.step(spoilt, 10).entries and not made.step(spoilt, 3_600_000).entries


def test_a_row_without_a_name_that_has_a_hosts_address_holds_it() -> None:
    made = started(5)
    step = made.step(snapshot(*rows(4), ",10.0.0.5,gen-a,up"), 10)
    assert acts(step) == {"w5": Action.HOLD} and not step.entries


def test_drains_go_by_even_where_the_row_is_wrong_otherwise() -> None:
    made = started(5)
    step = made.step(snapshot(*rows(3), "w4,10.0.0.4,gen-z,draining", "w5,nowhere,gen-a,removed"), 10)
    assert [(entry.uid, entry.state) for entry in step.entries] == [
        ("w4", ReplicaState.DRAINING),
        ("w5", ReplicaState.REMOVED),
    ]


def test_removed_while_draining_and_put_back() -> None:
    made = started(5)
    draining = snapshot(*rows(4), "w5,10.0.0.5,gen-a,draining")
    assert made.step(draining, 10).entries[0].state == ReplicaState.DRAINING
    assert made.step(snapshot(*rows(4)), 20).entries == (ListedReplica("w5", ReplicaState.REMOVED, None),)
    # Back and still said to drain, it drains; nothing is sent to it in between or after.
    assert made.step(draining, 50).entries[0].state == ReplicaState.DRAINING
    assert made.step(snapshot(*rows(4)), 60).entries[0].state == ReplicaState.REMOVED
    # Back in service within a blink it is the process of before; later it counts as started anew.
    assert made.step(snapshot(*rows(5)), 160).entries[0].boot_ms == 0
    made.step(snapshot(*rows(4)), 200)
    assert made.step(snapshot(*rows(5)), 9_000).entries[0].boot_ms == 9_000


def test_two_workers_swap_their_addresses_in_one_step() -> None:
    made = started(3)
    step = made.step(snapshot("w1,10.0.0.2,gen-a,up", "w2,10.0.0.1,gen-a,up", "w3,10.0.0.3,gen-a,up"), 10)
    assert {entry.uid: (entry.endpoint, entry.boot_ms) for entry in step.entries} == {
        "w1": (("10.0.0.2", 5000), 10),
        "w2": (("10.0.0.1", 5000), 10),
    }


def test_nobody_takes_an_address_that_a_held_host_has() -> None:
    made = started(4)
    # w1's row is wrong, w2 would move to w1's address, w3 to w2's, w5 would come to w3's.
    moved = [
        "w1,10.0.0.1,gen-z,up",
        "w2,10.0.0.1,gen-a,up",
        "w3,10.0.0.2,gen-a,up",
        "w4,10.0.0.4,gen-a,up",
        "w5,10.0.0.3,gen-a,up",
    ]
    step = made.step(snapshot(*moved), 10)
    assert not step.entries
    assert acts(step) == {"w1": Action.HOLD, "w2": Action.HOLD, "w3": Action.HOLD, "w5": Action.KEEP_OUT}


def test_two_files_that_disagree_hold_the_host_and_a_missing_one_removes_nobody() -> None:
    def both(second: bytes | None) -> Snapshot:
        first = FileText("a.csv", b"name,host,kind\nw1,10.0.0.1,gen-a\nw2,10.0.0.2,gen-a\n")
        return take_snapshot(
            [first, FileText("b.csv", second, "gone" if second is None else "")], READING
        ).snapshot

    made = Reconciler()
    made.step(both(b"name,host,kind\nw1,10.0.0.1,gen-a\nw3,10.0.0.3,gen-a\n"), 0)
    assert list(made.known) == ["w1", "w2", "w3"]
    step = made.step(both(b"name,host,kind\nw1,10.0.0.9,gen-b\nw3,10.0.0.3,gen-a\n"), 10)
    assert acts(step) == {"w1": Action.HOLD} and made.known["w1"].record.host == "10.0.0.1"
    step = made.step(both(None), 20)
    assert not step.entries and acts(step) == {"w3": Action.HOLD}


def test_a_flapping_row_stays_out_longer_each_time() -> None:
    made, now, waits = started(5), 0, []
    for _ in range(12):
        now += 2_000
        made.step(snapshot(*rows(4)), now)
        back = now
        while "w5" not in made.known:
            step = made.step(snapshot(*rows(5)), now)
            if "w5" not in made.known:
                assert step.wake_ms is not None and step.wake_ms > now
                now = step.wake_ms
        waits.append(now - back)
    assert waits[0] == waits[1] == 0 and max(waits) >= 60_000
    assert now <= 12 * 180_000  # but never for good


STATES = st.dictionaries(
    st.integers(1, 8),
    st.tuples(
        st.integers(1, 8),
        st.sampled_from(["gen-a", "gen-b", "gen-z"]),
        st.sampled_from(["up", "draining", "removed"]),
    ),
    max_size=8,
)


@fixed
@given(st.lists(st.tuples(STATES, st.integers(1, 100_000)), min_size=1, max_size=8))
def test_what_holds_for_any_sequence(steps: list[tuple[dict[int, tuple[int, str, str]], int]]) -> None:
    made, now = Reconciler(), 0
    registry: dict[str, ListedReplica] = {}
    for hosts, later in steps:
        now += later
        lines = [f"w{name},10.0.0.{at},{kind},{state}" for name, (at, kind, state) in hosts.items()]
        taken = snapshot(*lines)
        before = {name: replace(one.record) for name, one in made.known.items()}
        step = made.step(taken, now)
        for entry in step.entries:
            registry.pop(entry.uid, None)
            if entry.state != ReplicaState.REMOVED:
                registry[entry.uid] = entry
        # What was told adds up to what is known, and no two hosts have one address.
        assert {entry.uid: entry for entry in made.entries()} == registry
        addresses = [one.record.address for one in made.known.values()]
        assert len(addresses) == len(set(addresses))
        for name, one in made.known.items():
            row: ReplicaRecord | None = taken.replicas.get(name)
            # Every host is as its row says, or as it was; and what differs from the files has a reason.
            assert one.record == row or one.hold_reason or (row is None and made.pending_removal is not None)
            if name not in before:
                assert row == one.record
        # Nothing is taken away late: a host that is said to be removed, is.
        assert (
            not {name for name, one in taken.replicas.items() if one.state == "removed"} & made.known.keys()
        )
        again = made.step(taken, now)
        assert not again.entries and not again.decisions
