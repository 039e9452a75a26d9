"""The smaller stored files, written and read by fixed steps: bans, address record and trace, kept inventory.

Each function works in a folder and gives what it has written there or read from it. Nothing depends on the
folder's own path, the clock or the process.
"""

from __future__ import annotations

import asyncio
import json
import re
import zlib
from collections.abc import Callable, Mapping, MutableMapping
from pathlib import Path
from typing import Any
from unittest import mock

from structlog.testing import capture_logs

from lockspoke.address.actions import ExtendLease, LoseLease
from lockspoke.address.announcer import Announcer
from lockspoke.address.member import Member
from lockspoke.address.settings import AddressSettings
from lockspoke.address.term_record import RecordError, TermRecord
from lockspoke.cli.main import cli
from lockspoke.inventory import store as inventory_store
from lockspoke.inventory.settings import InventorySettings
from lockspoke.inventory.source import InventorySource
from lockspoke.lifecycle.operator_state import OperatorState
from lockspoke.lifecycle.operator_state_file import load_state, write_state

from .log_names import event_now
from .support import Tree, read_tree, write_tree

BANNED = ["w-17", "lis-1/w 2", "wörker-é", "w-03"]
GATEWAY = "gw1"
NOW_MS = 1_764_000_000_123
PATIENCE = 30.0  # seconds that a busy machine may take to write a record
KEPT, RECORDS, BANS = "kept", "record", "bans.json"

INVENTORY_BEFORE = (
    "name,host,port,zone,kind,cell,weight,state,labels\n"
    "w1,10.1.0.1,8000,lis-1,gen-a,3,1.25,up,rack=r1;owner=team/ä\n"
    "w2,10.1.0.2,8001,lis-1,gen-b,0,,draining,\n"
    "w3,2001:db8::3,8002,lis-2,gen-a,7,0.5,,rack=r2\n"
    "w4,10.1.0.4,8003,lis-2,,,,,\n"
    "w5,10.1.0.5,8004,lis-1,gen-b,,2,,\n"
)
INVENTORY_AFTER = (
    "name,host,port,zone,kind,cell,weight,state,labels\n"
    "w1,10.1.0.1,8000,lis-1,gen-a,3,1.5,up,rack=r1\n"
    "w2,10.1.0.2,80x1,lis-1,gen-b,0,,,\n"
    "w4,10.1.0.4,8003,lis-9,,,,,\n"
    "w6,10.1.0.6,8005,lis-1,gen-a,,,,\n"
)


def _changes(data: bytes) -> dict[str, bytes]:
    """Damaged forms of a file: a byte changed, cut at three places, garbage behind it, empty."""
    middle = len(data) // 2
    return {
        "changed byte": data[:middle] + bytes([data[middle] ^ 1]) + data[middle + 1 :],
        "last byte lost": data[:-1],
        "half": data[:middle],
        "ten bytes": data[:10],
        "more behind it": data + b"x",
        "empty": b"",
        "not UTF-8": b"\xff\xfe" + data,
    }


Writer = Callable[[Path], Tree]

# Bans


def write_ban_files(folder: Path) -> Tree:
    """A file of bans and one that holds none."""
    write_state(folder / BANS, OperatorState(banned=frozenset(BANNED)))
    write_state(folder / "none.json", OperatorState())
    return read_tree(folder)


def read_ban_files(folder: Path) -> list[dict[str, Any]]:
    """What is read of a folder's files of bans, as they are and damaged, and what the log says."""
    found = []
    whole = (folder / BANS).read_bytes()
    other = b'{"version": 2, "uids": ["w-17"]}'
    cases = {"whole": whole, "other version": b"%08x %b\n" % (zlib.crc32(other), other)} | _changes(whole)
    for name, data in cases.items():
        (folder / "case.json").write_bytes(data)
        found.append(_ban_case(name, Path("case.json")))
    found.append(_ban_case("no bans", Path("none.json")))
    found.append(_ban_case("no file", Path("missing.json")))
    return found


def _ban_case(name: str, path: Path) -> dict[str, Any]:
    with capture_logs() as logs:
        state = load_state(path)
    return {
        "case": name,
        "bans": sorted(state.banned) if state is not None else [],
        "log": [_as_recorded(line) for line in logs],
    }


def _as_recorded(line: MutableMapping[str, Any]) -> dict[str, Any]:
    """A log line with its event's name at the recording."""
    recorded = {event_now(event): event for event in ("bans_not_kept", "bans_not_read")}
    return {**line, "event": recorded[line["event"]]}


# Address record and trace


def _address_settings(generation: int) -> AddressSettings:
    return AddressSettings(
        service="127.0.0.1:5090",
        members={"gw1": "127.0.0.1:7001", "gw2": "127.0.0.1:7002", "gw3": "127.0.0.1:7003"},
        keys=["key"],
        record=RECORDS,
        trace="trace.log",
        generation=generation,
    )


def _member(generation: int) -> Member:
    Path("key").write_text("ab" * 32 + "\n")
    Path("key").chmod(0o600)
    return Member(_address_settings(generation), GATEWAY, mock.create_autospec(Announcer))


async def _run_member(generation: int, term: int) -> int:
    """Have a member keep a term and trace two actions; the term that it has begun with."""
    member = _member(generation)
    begun = member.node.election.term
    member.node.election.term = term
    member.save_record()
    async with asyncio.timeout(PATIENCE):
        while member.record is not None and member.record.needs_write(term, generation):
            await asyncio.sleep(0.001)
    member._trace_lease_change(ExtendLease(term, 1_500_000_000), 1_100_000_000)
    member._trace_lease_change(LoseLease("its lease ran out"), 1_600_000_000)
    member.stop()
    return begun


def write_address_files(folder: Path) -> Tree:
    """The record and trace of a member that runs twice, the second time with the next list of members."""
    # Terms above the floor that a member takes from the clock.
    asyncio.run(_run_member(4, 9_000_000_000_007))
    first = (folder / RECORDS / "address.json").read_bytes()
    begun = asyncio.run(_run_member(5, 9_000_000_002_042))
    (folder / "key").unlink()
    return read_tree(folder) | {"first/address.json": first, "second-begins-at.json": as_text(begun).encode()}


def read_address_files(folder: Path) -> list[dict[str, Any]]:
    """What is read of a record as it is, damaged, by another member and by other generations."""
    path = folder / RECORDS / "address.json"
    whole = path.read_bytes()
    found = [
        _record_case(f"{name}, generation {generation}", name, generation)
        for name, generation in ((GATEWAY, 5), (GATEWAY, 6), (GATEWAY, 4), (GATEWAY, 7), ("gw2", 5))
    ]
    cases = {
        name: data for name, data in _changes(whole).items() if name not in ("changed byte", "more behind it")
    }
    cases |= {
        "no term": b'{"name": "gw1", "generation": 5}',
        "term is a word": b'{"name": "gw1", "term": "many", "generation": 5}',
        "a list": b"[]",
        "more behind it": whole + b"x",
    }
    for name, data in cases.items():
        path.write_bytes(data)
        found.append(_record_case(name, GATEWAY, 5))
    path.unlink()
    found.append(_record_case("no file", GATEWAY, 5))
    return found


def _record_case(case: str, name: str, generation: int) -> dict[str, Any]:
    try:
        record = TermRecord(Path(RECORDS), name, generation)
    except RecordError as error:
        return {"case": case, "refused": str(error)}
    return {"case": case, "term": record.term, "generation": record.generation, "failing": record.write_error}


# Kept inventory

# Events and fields of the log as the recorded files name them, by their names now.
RECORDED_EVENTS = {
    "inventory_cache_loaded": "inventory_kept_used",
    "inventory_cache_unusable": "inventory_kept_unusable",
}
RECORDED_FIELDS = {
    "inventory_cache_loaded": {"replicas": "workers"},
    "inventory_decision": {"action": "act"},
    "inventory_read": {"replicas": "workers", "resolved": "mended", "duration_ms": "took_ms"},
}

_VARYING = (("took_ms", rb"[0-9.]+"), ("pid", rb"[0-9]+"))  # members of the status that no run repeats


def _run_source(inventory: str) -> dict[str, Any]:
    """Start a source on an inventory and a folder of what was kept; its status, after it has kept its own."""
    Path("workers.csv").write_text(inventory, encoding="utf-8")
    settings = InventorySettings(
        paths=["workers.csv"],
        zones=["lis-1", "lis-2"],
        kinds={"gen-a": 0.7, "gen-b": 1.0},
        keep=KEPT,
    )
    with capture_logs() as logs:
        source = InventorySource(settings, (), lambda: NOW_MS)
        source.initial_list()
        source.close()
    status = source.status()
    log = [
        {key: 0 if key == "took_ms" else value for key, value in _recorded_line(line).items()}
        for line in logs
    ]
    return {"status": status | {"took_ms": 0, "pid": 0}, "log": log}


def _recorded_line(line: Mapping[str, Any]) -> dict[str, Any]:
    """A line of the log with the names that it had at the recording, its fields in the same order."""
    event = line["event"]
    fields = RECORDED_FIELDS.get(event, {})
    assert not fields.values() & line.keys(), "a field has its recorded name still"
    renamed = {fields.get(key, key): value for key, value in line.items()}
    return renamed | {"event": RECORDED_EVENTS.get(event, event)}


def _kept_files(folder: Path) -> Tree:
    tree = read_tree(folder / KEPT)
    return {name: _normalised(data) if name.endswith(".json") else data for name, data in tree.items()}


def _normalised(data: bytes) -> bytes:
    """A status document with 0 for the members that differ between runs."""
    for member, pattern in _VARYING:
        data = re.sub(rb'"%b": %b' % (member.encode(), pattern), b'"%b": 0' % member.encode(), data)
    return data


def write_kept_inventory(folder: Path) -> Tree:
    """What a first start keeps, and an operator's word as the command leaves it."""
    _run_source(INVENTORY_BEFORE)
    cli.main(["inventory", "accept", "0123abcd", "--keep", KEPT], standalone_mode=False)
    return _kept_files(folder)


def continue_kept_inventory(folder: Path) -> tuple[Tree, dict[str, Any]]:
    """What a second start makes of a kept list with files that have changed, and what it keeps then."""
    found = _run_source(INVENTORY_AFTER)
    return _kept_files(folder), found


def read_kept_inventory(folder: Path) -> list[dict[str, Any]]:
    """What is read of a kept list as it is and damaged, by itself and by a source that starts with it."""
    path = folder / KEPT / "inventory.last"
    whole = path.read_bytes()
    cases = {"whole": whole} | _changes(whole)
    cases["other version"] = whole.replace(b"lockspoke-inventory 1 ", b"lockspoke-inventory 2 ", 1)
    cases["no newline"] = whole.split(b"\n")[0]
    found = []
    for name, data in cases.items():
        write_tree(folder / KEPT, {"inventory.last": data})
        found.append({"case": name, "read": _kept_case(), **_run_source(INVENTORY_AFTER)})
    return found


def _kept_case() -> Any:
    try:
        kept = inventory_store.load(Path(KEPT))
    except inventory_store.CachedListError as error:
        return f"refused: {error}"
    assert kept is not None
    return {
        "fingerprint": kept.fingerprint,
        "hosts": [
            one.record.as_json() | {"files": one.files, "boot_ms": one.boot_ms, "held": one.hold_reason}
            for one in kept.replicas
        ],
    }


def as_text(found: Any) -> str:
    """What was found as JSON."""
    return json.dumps(found, indent=1, ensure_ascii=False) + "\n"
