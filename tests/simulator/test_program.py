"""The adapter as a process: framing, flushing, bad input, and the same actions however it is split."""

from __future__ import annotations

import json
import os
import random
import struct
import subprocess
import sys
from pathlib import Path

from lockspoke.balancing.actions import Action
from lockspoke.balancing.events import Event, TimerFired
from lockspoke.simulator import protocol as wire
from lockspoke.simulator.program import Drill
from tests.simulator.test_protocol import GOOD

ROOT = Path(__file__).resolve().parent.parent.parent
COMMAND = [sys.executable, "-m", "lockspoke.simulator"]


def framed(number: int, now: int, records: list[bytes]) -> bytes:
    body = struct.pack("<IQI", len(records), now, number) + b"".join(records)
    return struct.pack("<I", len(body)) + body


def provision(instance: int, **changes: object) -> bytes:
    text = json.dumps(GOOD | changes).encode()
    return struct.pack("<HHQI", 1000, instance, 100 + instance, len(text)) + text


def listed(instance: int, *replicas: int) -> bytes:
    entries = b"".join(struct.pack("<BIBfQHB", n % 2, n, n % 3, 1.0, 0, 0, 1) for n in replicas)
    return struct.pack("<HHQBI", 1010, instance, 1, 3, len(replicas)) + entries


def order(instance: int, request: int, kind: int = 0, tenant: int = 0) -> bytes:
    fields = (request, kind, tenant, request % 7, 5 * 10**9, 0, request % 3, 900.0, 300.0, 200.0, 0)
    return struct.pack("<HHIHHQQQQfffB", 1020, instance, *fields)


def resolved(instance: int, request: int, replica: int, code: int, closed: int) -> bytes:
    return struct.pack("<HHIQIIHHBB", 1040, instance, request, 10**7, 0, replica, 0, code, closed, 0)


def play(stream: bytes, **env: str) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        COMMAND, input=stream, capture_output=True, cwd=ROOT, env=os.environ | env, timeout=60
    )


def split(output: bytes) -> list[bytes]:
    replies = []
    while output:
        size = int.from_bytes(output[:4], "little")
        assert len(output) >= 4 + size, "an incomplete reply"
        replies.append(output[4 : 4 + size])
        output = output[4 + size :]
    return replies


def day(instances: list[int]) -> bytes:
    """A deterministic stretch of traffic for the given instances; the same for each in any company."""
    rngs = {instance: random.Random(instance) for instance in instances}
    number, now = 1, 10**9
    stream = framed(0, now, [])
    start = [record for i in instances for record in (provision(i), listed(i, 11, 12, 13, 14))]
    stream += framed(number, now, start)
    for step in range(60):
        number, now = number + 1, now + 5_000_000
        records = []
        for i in instances:
            request = 1000 * i + step
            records.append(order(i, request))
            if step > 3:
                records.append(
                    resolved(i, request - 3, rngs[i].choice([11, 12, 13, 14]), rngs[i].choice([0, 10]), 1)
                )
        stream += framed(number, now, records)
    return stream


def by_instance(output: bytes) -> dict[int, list[bytes]]:
    """Each instance's actions; only fixed-size records occur here."""
    sizes = {1000: 20, 1010: 16, 1020: 8, 1040: 16, 1100: 5}
    found: dict[int, list[bytes]] = {}
    for reply in split(output):
        at = 4
        while at < len(reply):
            code, instance = struct.unpack_from("<HH", reply, at)
            size = sizes[code] if code != 1080 else 6 + struct.unpack_from("<H", reply, at + 4)[0]
            found.setdefault(instance, []).append(reply[at : at + size])
            at += size
    return found


def test_same_actions_in_one_process_or_several_and_with_any_hash_seed() -> None:
    together = play(day([1, 2, 3]), PYTHONHASHSEED="1")
    assert together.returncode == 0 and together.stderr == b""
    assert together.stdout == play(day([1, 2, 3]), PYTHONHASHSEED="99").stdout
    alone = {i: by_instance(play(day([i])).stdout)[i] for i in (1, 2, 3)}
    assert by_instance(together.stdout) == alone
    assert all(len(actions) > 60 for actions in alone.values())


def test_each_reply_is_flushed_and_the_end_of_input_ends_it() -> None:
    with subprocess.Popen(COMMAND, stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=ROOT) as process:
        assert process.stdin and process.stdout
        for number in range(3):
            process.stdin.write(framed(number, 5, []))
            process.stdin.flush()
            assert process.stdout.read(8) == struct.pack("<II", 4, number)
        process.stdin.close()
        assert process.wait(30) == 0


def test_teardown_and_provision_in_one_batch_start_empty() -> None:
    stop = struct.pack("<HH", 1090, 1)
    stream = framed(1, 5, [provision(1), listed(1, 11), order(1, 7)])
    stream += framed(2, 6, [order(1, 8), stop, provision(1), listed(1, 12), resolved(1, 7, 11, 10, 0)])
    stream += framed(3, 7, [order(1, 9)])
    replies = split(play(stream).stdout)
    assert len(replies[1]) == 4, "requests from before the kill must not be named"
    assert struct.pack("<HHII", 1000, 1, 9, 12) in replies[2]


def test_events_for_what_is_not_held_are_passed_over() -> None:
    left = struct.pack("<HHI", 1050, 1, 999)
    odd = [
        resolved(1, 999, 11, 0, 1),
        left,
        resolved(9, 1, 1, 0, 1),
        struct.pack("<HHIHIQ", 1030, 1, 999, 0, 11, 5),
    ]
    done = play(framed(1, 5, [provision(1), listed(1, 11)]) + framed(2, 6, odd))
    assert done.returncode == 0 and len(split(done.stdout)[1]) == 4


def test_a_failure_of_one_instance_is_reported_as_its_crash() -> None:
    class Broken:
        def handle(self, now: int, events: list[Event]) -> list[Action]:
            raise IndexError("out of range")

    drill = Drill()
    drill.balancers[3] = Broken()  # type: ignore[assignment]
    assert drill.play(5, [(3, TimerFired(1))]) == [wire.encode_crash(3, "IndexError: out of range")]


def bad(stream: bytes, *words: bytes) -> None:
    done = play(stream)
    assert done.returncode != 0
    assert done.stderr.count(b"\n") == 1
    for word in words:
        assert word in done.stderr
    split(done.stdout)


def test_bad_input_ends_it_with_one_line_and_whole_replies_only() -> None:
    good = framed(1, 5, [provision(1), listed(1, 11)])
    bad(good + b"\x01\x02", b"frame length cut short")
    bad(good + framed(2, 6, [order(1, 7)])[:-3], b"frame cut short")
    bad(good + struct.pack("<I", 50), b"frame cut short")
    bad(good + framed(2, 6, [struct.pack("<HH", 4242, 1)]), b"batch 2", b"unknown record code 4242")
    bad(framed(1, 5, [provision(1, limits={})]), b"limits.attemptsCap")
    broken = b"{no json"
    bad(framed(1, 5, [struct.pack("<HHQI", 1000, 1, 1, len(broken)) + broken]), b"not JSON")


def test_renaming_every_label_changes_no_action() -> None:
    def stream(word: str) -> bytes:
        names = [f"{word}-{n}" for n in range(3)]
        labels = {
            "zones": names,
            "kinds": names,
            "tiers": names,
            "tenants": [{"name": n, "share": 0.3, "quotaPerS": 4} for n in names],
            "profiles": [{"name": n, "effect": "free"} for n in names],
        }
        text = framed(1, 5, [provision(1, **labels), listed(1, 11, 12, 13)])
        for n in range(40):
            text += framed(2 + n, 10 + n, [order(1, n, kind=n % 3, tenant=n % 3)])
        return text

    assert play(stream("a")).stdout == play(stream("zebra")).stdout
