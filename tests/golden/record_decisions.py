"""Recorder of the decisions under `data/`; run once, from the code of commit 0bad67a.

Each recording is a closed loop: the simulated fleet of `fleet.py` produces events from a fixed seed, the
decision module answers, and the fleet reacts to its actions. The simulator's wire was recorded from the
command `sim` of deploy/balancer.toml, run as a process; the rest in process through `decision_codec.py`.

The recordings show that refactored code decides exactly as that commit did, random draws included. They must
not be recorded again to make a failing test pass: a difference is a change of behaviour. A deliberate change
of behaviour records anew in a commit of its own that says what has changed and why. From unchanged code this
program writes the same contents again.

Usage, from the root of the repository: python -m tests.golden.record_decisions
"""

from __future__ import annotations

import gzip
import json
import shlex
import struct
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

from tests.golden import frames
from tests.golden.decision_codec import Decisions
from tests.golden.fleet import SECOND, Fleet, Traffic

ROOT = Path(__file__).resolve().parent.parent.parent
DATA = Path(__file__).resolve().parent / "data"
START = 1_000 * SECOND
QUANTUM = 2_000_000  # events that come so close together share a batch
TAIL = 10 * SECOND  # after the last arrivals, for what is still open

Json = dict[str, Any]
Row = list[Any]


def sim_command() -> str:
    """The deploy file's command for the simulator, with the running interpreter."""
    command: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    assert ".venv/bin/python" in command
    return command.replace(".venv/bin/python", shlex.quote(sys.executable))


# The simulator's wire

BASE: Json = {
    "contract": {"coldShare": 0.12, "fall": 3000 * 10**6, "fallMultiple": 3.0, "warmUp": 8 * SECOND},
    "limits": {"attemptsCap": 3, "mayDuplicate": False},
    "profiles": [{"effect": "free", "aim": SECOND}],
}
PROFILES: list[Json] = [
    {"effect": "free", "aim": 400 * 10**6},
    {"effect": "guarded", "dedupScope": "all", "window": 2 * SECOND, "aim": SECOND},
    {"effect": "guarded", "dedupScope": "zone", "window": 4 * SECOND, "aim": 2 * SECOND},
    {"effect": "guarded", "dedupScope": "cell", "window": 300 * 10**6},
    {"effect": "single_shot", "aim": 800 * 10**6},
]
SHARES: list[Json] = [{"name": "a", "share": 0.6}, {"name": "b", "share": 0.3}, {"share": 0.1}, {}]
BUSY: Json = {"via": "piggyback", "fields": ["queue", "served", "busy"]}
SUBSCRIBE: Json = BASE["contract"] | {"askEvery": 4 * SECOND}
AIMS: Json = {"aimUsPer1000PromptTokens": [200, 0, 350]}
DUPLICATES: Json = {"attemptsCap": 5, "mayDuplicate": True}
COLD: Json = BASE["contract"] | {"coldShare": 0.05, "warmUp": 15 * SECOND, "fallMultiple": 2.0}

Instances = list[tuple[Json, Traffic]]
STREAMS: dict[str, Instances] = {
    "mixed": [
        ({}, Traffic(rate=15.0)),
        ({"profiles": PROFILES, "familyInfo": AIMS}, Traffic(classes=5, zones=3, rate=18.0)),
        ({"tenants": SHARES, "loadInfo": BUSY}, Traffic(tenants=4, report_size=3, slots=4, rate=12.0)),
        (
            {"discovery": "subscribe", "contract": SUBSCRIBE, "profiles": PROFILES, "limits": DUPLICATES},
            Traffic(classes=5, polls_endpoint_list=True, zones=2, rate=14.0),
        ),
        (
            {"zone": 1, "prices": {"crossZone": 0.02}, "peersTotal": 4, "index": 2, "loadInfo": BUSY},
            Traffic(zones=3, replicas=12, report_size=3, rate=15.0),
        ),
        ({"contract": COLD, "peersTotal": 3}, Traffic(replicas=8, without_faults=True, rate=20.0)),
    ],
    "overload": [
        (
            {"profiles": PROFILES, "tenants": SHARES, "loadInfo": BUSY},
            Traffic(classes=5, tenants=4, replicas=3, slots=2, rate=13.0, report_size=3),
        ),
        ({"limits": {"attemptsCap": 1, "mayDuplicate": False}}, Traffic(replicas=2, slots=1, rate=8.0)),
        ({"limits": DUPLICATES, "familyInfo": AIMS}, Traffic(replicas=3, slots=2, rate=13.0)),
    ],
    "gateways": [
        (
            {
                "peersTotal": 200,
                "index": index,
                "discovery": "subscribe",
                "contract": COLD | {"askEvery": 4 * SECOND},
                "tenants": SHARES,
                "profiles": PROFILES,
                "loadInfo": {"fields": ["busy"]},
                "zone": index % 2,
                "prices": {"crossZone": 0.005},
            },
            Traffic(
                classes=5,
                tenants=4,
                zones=2,
                replicas=30,
                polls_endpoint_list=True,
                report_size=1,
                rate=12.0,
                crashes=True,
            ),
        )
        for index in (0, 57, 199)
    ],
}


def next_batch(fleets: list[Fleet]) -> int | None:
    """When the next batch is delivered, if anything is still to come."""
    times = [when for fleet in fleets if (when := fleet.next_time()) is not None]
    return min(times) + QUANTUM if times else None


def record_stream(instances: Instances, seed: int) -> tuple[bytes, bytes]:
    """Play the instances against one process; return all that it read and all that it wrote."""
    numbers = range(1, len(instances) + 1)
    settings = [BASE | changes for changes, _ in instances]
    fleets = [Fleet(traffic, seed + n, START) for n, (_, traffic) in zip(numbers, instances, strict=True)]
    sent, received = b"", b""
    with subprocess.Popen(
        sim_command(), shell=True, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        assert process.stdin and process.stdout
        records = [frames.provision(n, seed + n, settings[n - 1]) for n in numbers]
        number, now = 1, START
        restart_at = START + 9 * SECOND
        while now < START + 12 * SECOND + TAIL:
            for n, fleet in zip(numbers, fleets, strict=True):
                records += [frames.event(n, row) for row in fleet.due(now)]
            if (
                now >= restart_at
            ):  # the first instance is killed and begins anew, in a batch with other events
                restart_at = 1 << 62
                fleets[0] = Fleet(instances[0][1], seed + 100, now)
                again = frames.provision(1, seed + 100, settings[0])
                records = [frames.probe_result(1, 100, 0, [1.0]), *records, frames.teardown(1), again]
                records.append(frames.peer_message(2, 1, b"hello"))
            request = frames.frame(number, now, records)
            process.stdin.write(request)
            process.stdin.flush()
            head = process.stdout.read(4)
            reply = process.stdout.read(struct.unpack("<I", head)[0])
            sent, received = sent + request, received + head + reply
            for instance, action in frames.actions(reply):
                fleets[instance - 1].apply(now, [action])
            following = next_batch(fleets)
            if following is None:
                break
            number, now, records = number + 1, max(now, following), []
        process.stdin.close()
        assert process.wait(30) == 0
    return sent, received


def malformed_inputs() -> list[tuple[str, bytes]]:
    """Inputs that end the program, each after one good batch, and what is wrong with them."""
    good = frames.provision(1, 7, BASE)
    entry = ["list", 1, [[11, 1, 0, 0, 1.0, 0, 0]], True]
    listed = frames.event(1, entry)
    arrived = frames.event(1, ["arrived", 7, SECOND, 0, 0, 0, 0, 10.0, 0.0, 10.0, 0, False])
    start = frames.frame(1, START, [good, listed, arrived])

    def second(*records: bytes) -> bytes:
        return start + frames.frame(2, START + 1, list(records))

    def settings(changes: Json) -> bytes:
        return second(frames.provision(2, 8, BASE | changes))

    not_json = struct.pack("<HHQI", 1000, 1, 1, 5) + b"{oops"
    not_object = struct.pack("<HHQI", 1000, 1, 1, 2) + b"[]"
    outcome = ["ended", 7, 0, 11, 0, 5, True, 0, [], False]
    bad_outcome = frames.event(1, outcome)[:-4] + struct.pack("<HBB", 99, 1, 0)
    bad_list = struct.pack("<HHQBI", 1010, 1, 1, 9, 0)
    bad_state = listed[:-1] + b"\x07"
    limits = BASE["limits"]
    return [
        ("end of input", start),
        ("length cut short", start + b"\x01\x02"),
        ("frame cut short", second(arrived)[:-3]),
        ("frame missing", start + struct.pack("<I", 50)),
        ("frame shorter than its header", start + struct.pack("<I", 3) + b"abc"),
        ("unknown record code", second(arrived, struct.pack("<HH", 4242, 1))),
        ("unknown outcome", second(bad_outcome)),
        ("unknown outcome of a probe", second(frames.probe_result(1, 11, 77, []))),
        ("unknown list kind", second(bad_list)),
        ("unknown state", second(bad_state)),
        ("record cut short", second(arrived[:-5])),
        ("bytes left over", second(arrived + b"xyz")),
        ("settings are not JSON", second(not_json)),
        ("settings are not an object", second(not_object)),
        ("profiles missing", settings({"profiles": []})),
        ("attempts missing", settings({"limits": {"mayDuplicate": False}})),
        ("attempts out of range", settings({"limits": limits | {"attemptsCap": 0}})),
        ("flag is no flag", settings({"limits": limits | {"mayDuplicate": 1}})),
        ("effect unknown", settings({"profiles": [{"effect": "often"}]})),
        ("scope missing", settings({"profiles": [{"effect": "guarded", "window": 5}]})),
        ("window missing", settings({"profiles": [{"effect": "guarded", "dedupScope": "all"}]})),
        ("tenant is no object", settings({"tenants": [3]})),
        ("interval of polls missing", settings({"discovery": "subscribe"})),
    ]


def run_sim(stream: bytes) -> subprocess.CompletedProcess[bytes]:
    """Pipe a stream into the simulator's command."""
    return subprocess.run(
        sim_command(), shell=True, cwd=ROOT, input=stream, capture_output=True, timeout=120, check=False
    )


def error_text(stderr: bytes) -> str:
    """What the program says on standard error, without its own name in front."""
    return stderr.decode().partition(": ")[2]


# The whole interface, in process: values in the order of the settings' fields.

FREE = [[0, 0, 0, SECOND, 0.0]]
EFFECTS = [
    [0, 0, 0, 400 * 10**6, 200.0],
    [1, 0, 2 * SECOND, SECOND, 0.0],
    [1, 1, 4 * SECOND, 2 * SECOND, 350.0],
    [1, 2, 300 * 10**6, SECOND, 0.0],
    [2, 0, 0, 800 * 10**6, 0.0],
]
TENANT_SHARES = [0.6, 0.3, 0.1, 0.0]
COLD_START = [0.12, 8 * SECOND, 3.0, 3 * SECOND]
SLOW_START = [0.05, 15 * SECOND, 2.0, 3 * SECOND]

Phases = list[Row]  # the settings at the start and after each reload
RUNS: dict[str, tuple[Phases, Traffic, int]] = {
    "plain": (
        [[FREE, 3, False, *COLD_START, [], 0, 1, 0, False, 10 * SECOND, 0.0, None]],
        Traffic(full_interface=True, rate=15.0),
        11,
    ),
    "classes": (
        [
            [EFFECTS, 3, False, *COLD_START, TENANT_SHARES, 0, 1, 0, False, 10 * SECOND, 0.0, None],
            [EFFECTS, 4, True, *COLD_START, TENANT_SHARES[:2], 1, 2, 1, False, 10 * SECOND, 0.01, None],
            [EFFECTS[::-1], 2, False, *SLOW_START, [], 0, 1, 0, False, 10 * SECOND, 0.0, None],
        ],
        Traffic(classes=5, tenants=4, zones=3, replicas=8, full_interface=True, rate=20.0),
        22,
    ),
    "reports": (
        [
            [EFFECTS, 3, False, *COLD_START, TENANT_SHARES, 0, 4, 1, True, 4 * SECOND, 0.02, 2],
            [EFFECTS, 3, False, *COLD_START, TENANT_SHARES, 0, 4, 1, True, 4 * SECOND, 0.02, None],
            [EFFECTS, 3, True, *SLOW_START, TENANT_SHARES, 2, 6, 3, True, 2 * SECOND, 0.0, 2],
        ],
        Traffic(
            5, 4, 3, 10, 5, 20.0, report_size=3, polls_endpoint_list=True, full_interface=True, crashes=True
        ),
        33,
    ),
    "overload": (
        [
            [EFFECTS, 3, False, *COLD_START, TENANT_SHARES, 0, 1, 0, True, 4 * SECOND, 0.0, 0],
            [EFFECTS, 5, True, *COLD_START, TENANT_SHARES, 0, 1, 0, False, 4 * SECOND, 0.0, 0],
        ],
        Traffic(5, 4, 1, 3, 2, 12.0, report_size=1, polls_endpoint_list=True, full_interface=True),
        44,
    ),
    "gateways": (
        [[EFFECTS, 3, False, *SLOW_START, TENANT_SHARES, 1, 200, 123, True, 4 * SECOND, 0.005, None]],
        Traffic(5, 4, 2, 30, 8, 15.0, polls_endpoint_list=True, full_interface=True),
        55,
    ),
}


def record_run(phases: Phases, traffic: Traffic, seed: int) -> list[Row]:
    """Play one instance in process; return its settings and seed, then each batch with its actions."""
    fleet, decisions = Fleet(traffic, seed, START), Decisions(phases[0], seed)
    rows: list[Row] = [["start", phases[0], seed]]
    reloads = [(START + (n + 1) * traffic.duration // len(phases), p) for n, p in enumerate(phases[1:])]
    while (now := next_batch([fleet])) is not None and now < START + traffic.duration + TAIL:
        if reloads and now >= reloads[0][0]:
            _, settings = reloads.pop(0)
            decisions.reconfigure(settings)
            rows.append(["reconfigure", settings])
        events = fleet.due(now)
        actions = decisions.handle(now, events)
        rows.append(["batch", now, events, actions])
        fleet.apply(now, actions)
    return rows


def write(name: str, content: bytes) -> None:
    """Write a file of the recording, compressed and without a time stamp."""
    (DATA / name).write_bytes(gzip.compress(content, 9, mtime=0))


def read(name: str) -> bytes:
    """Read a file of the recording."""
    return gzip.decompress((DATA / name).read_bytes())


def main() -> None:
    """Record everything."""
    DATA.mkdir(exist_ok=True)
    for seed, (name, instances) in enumerate(STREAMS.items(), 1):
        sent, received = record_stream(instances, 1000 * seed)
        write(f"wire-{name}.input.gz", sent)
        write(f"wire-{name}.output.gz", received)
    cases = []
    for name, stream in malformed_inputs():
        done = run_sim(stream)
        values = {"case": name, "input": stream.hex(), "output": done.stdout.hex()}
        cases.append(values | {"exit": done.returncode, "error": error_text(done.stderr)})
    write("wire-malformed.json.gz", json.dumps(cases, indent=1).encode())
    for name, run in RUNS.items():
        lines = [json.dumps(row, separators=(",", ":")) for row in record_run(*run)]
        write(f"decisions-{name}.jsonl.gz", "\n".join(lines).encode())


if __name__ == "__main__":
    main()
