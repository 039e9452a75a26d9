"""Tests `python -m lockspoke.simulator`: framing, flushing, malformed input and independent instances."""

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
from lockspoke.simulator.encoder import encode_crash
from lockspoke.simulator.messages import InstanceRecord
from lockspoke.simulator.program import SimulatedGateways
from tests.simulator.test_codec import MINIMAL_SETTINGS

ROOT = Path(__file__).resolve().parent.parent.parent
COMMAND = [sys.executable, "-m", "lockspoke.simulator"]


def batch_frame(number: int, now: int, records: list[bytes]) -> bytes:
    body = struct.pack("<IQI", len(records), now, number) + b"".join(records)
    return struct.pack("<I", len(body)) + body


def provision(instance: int, **changes: object) -> bytes:
    text = json.dumps(MINIMAL_SETTINGS | changes).encode()
    return struct.pack("<HHQI", 1000, instance, 100 + instance, len(text)) + text


def endpoint_list(instance: int, *replicas: int) -> bytes:
    entries = b"".join(struct.pack("<BIBfQHB", n % 2, n, n % 3, 1.0, 0, 0, 1) for n in replicas)
    return struct.pack("<HHQBI", 1010, instance, 1, 3, len(replicas)) + entries


def request_record(instance: int, request: int, request_class: int = 0, tenant: int = 0) -> bytes:
    fields = (request, request_class, tenant, request % 7, 5 * 10**9, 0, request % 3, 900.0, 300.0, 200.0, 0)
    return struct.pack("<HHIHHQQQQfffB", 1020, instance, *fields)


def outcome_record(instance: int, request: int, replica: int, code: int, request_answered: int) -> bytes:
    return struct.pack(
        "<HHIQIIHHBB", 1040, instance, request, 10**7, 0, replica, 0, code, request_answered, 0
    )


def run_simulator(stream: bytes, **environment: str) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        COMMAND,
        check=False,
        input=stream,
        capture_output=True,
        cwd=ROOT,
        env=os.environ | environment,
        timeout=60,
    )


def split_replies(output: bytes) -> list[bytes]:
    replies = []
    while output:
        size = int.from_bytes(output[:4], "little")
        assert len(output) >= 4 + size, "an incomplete reply"
        replies.append(output[4 : 4 + size])
        output = output[4 + size :]
    return replies


def traffic_stream(instances: list[int]) -> bytes:
    """Return deterministic batches for the given instances.

    The records of an instance do not depend on which other instances there are.
    """
    rngs = {instance: random.Random(instance) for instance in instances}
    number, now = 1, 10**9
    stream = batch_frame(0, now, [])
    first_records = [record for i in instances for record in (provision(i), endpoint_list(i, 11, 12, 13, 14))]
    stream += batch_frame(number, now, first_records)
    for step in range(60):
        number, now = number + 1, now + 5_000_000
        records = []
        for i in instances:
            request = 1000 * i + step
            records.append(request_record(i, request))
            if step > 3:
                records.append(
                    outcome_record(
                        i, request - 3, rngs[i].choice([11, 12, 13, 14]), rngs[i].choice([0, 10]), 1
                    )
                )
        stream += batch_frame(number, now, records)
    return stream


def actions_by_instance(output: bytes) -> dict[int, list[bytes]]:
    """Return the encoded actions of each instance."""
    sizes = {1000: 20, 1010: 16, 1020: 8, 1040: 16, 1100: 5}
    encoded_actions: dict[int, list[bytes]] = {}
    for reply in split_replies(output):
        offset = 4
        while offset < len(reply):
            code, instance = struct.unpack_from("<HH", reply, offset)
            size = sizes[code] if code != 1080 else 6 + struct.unpack_from("<H", reply, offset + 4)[0]
            encoded_actions.setdefault(instance, []).append(reply[offset : offset + size])
            offset += size
    return encoded_actions


def test_actions_do_not_depend_on_shared_process_or_hash_seed() -> None:
    one_process = run_simulator(traffic_stream([1, 2, 3]), PYTHONHASHSEED="1")
    assert one_process.returncode == 0 and one_process.stderr == b""
    assert one_process.stdout == run_simulator(traffic_stream([1, 2, 3]), PYTHONHASHSEED="99").stdout
    separate_processes = {
        i: actions_by_instance(run_simulator(traffic_stream([i])).stdout)[i] for i in (1, 2, 3)
    }
    assert actions_by_instance(one_process.stdout) == separate_processes
    assert all(len(actions) > 60 for actions in separate_processes.values())


def test_replies_are_flushed_and_process_exits_at_end_of_input() -> None:
    with subprocess.Popen(COMMAND, stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=ROOT) as process:
        assert process.stdin and process.stdout
        for number in range(3):
            process.stdin.write(batch_frame(number, 5, []))
            process.stdin.flush()
            assert process.stdout.read(8) == struct.pack("<II", 4, number)
        process.stdin.close()
        assert process.wait(30) == 0


def test_teardown_and_provision_in_one_batch_start_with_empty_state() -> None:
    teardown = struct.pack("<HH", 1090, 1)
    stream = batch_frame(1, 5, [provision(1), endpoint_list(1, 11), request_record(1, 7)])
    stream += batch_frame(
        2,
        6,
        [request_record(1, 8), teardown, provision(1), endpoint_list(1, 12), outcome_record(1, 7, 11, 10, 0)],
    )
    stream += batch_frame(3, 7, [request_record(1, 9)])
    replies = split_replies(run_simulator(stream).stdout)
    assert len(replies[1]) == 4, "requests from before the teardown must not be named"
    assert struct.pack("<HHII", 1000, 1, 9, 12) in replies[2]


def test_events_of_unknown_instances_and_requests_are_ignored() -> None:
    client_disconnected = struct.pack("<HHI", 1050, 1, 999)
    unknown = [
        outcome_record(1, 999, 11, 0, 1),
        client_disconnected,
        outcome_record(9, 1, 1, 0, 1),
        struct.pack("<HHIHIQ", 1030, 1, 999, 0, 11, 5),
    ]
    process = run_simulator(
        batch_frame(1, 5, [provision(1), endpoint_list(1, 11)]) + batch_frame(2, 6, unknown)
    )
    assert process.returncode == 0 and len(split_replies(process.stdout)[1]) == 4


def test_exception_of_an_instance_is_reported_as_its_crash() -> None:
    class FailingBalancer:
        def handle(self, now: int, events: list[Event]) -> list[Action]:
            raise IndexError("out of range")

    gateways = SimulatedGateways()
    gateways.balancers[3] = FailingBalancer()  # type: ignore[assignment]  # only its `handle` is called
    records = [InstanceRecord(3, TimerFired(1))]
    assert gateways.handle(5, records) == [encode_crash(3, "IndexError: out of range")]


def assert_exits_with_one_error_line(stream: bytes, *expected: bytes) -> None:
    process = run_simulator(stream)
    assert process.returncode != 0
    assert process.stderr.count(b"\n") == 1
    for message in expected:
        assert message in process.stderr
    split_replies(process.stdout)


def test_malformed_input_exits_with_one_error_line_and_complete_replies() -> None:
    valid = batch_frame(1, 5, [provision(1), endpoint_list(1, 11)])
    assert_exits_with_one_error_line(valid + b"\x01\x02", b"frame length cut short")
    assert_exits_with_one_error_line(
        valid + batch_frame(2, 6, [request_record(1, 7)])[:-3], b"frame cut short"
    )
    assert_exits_with_one_error_line(valid + struct.pack("<I", 50), b"frame cut short")
    assert_exits_with_one_error_line(
        valid + batch_frame(2, 6, [struct.pack("<HH", 4242, 1)]), b"batch 2", b"unknown record code 4242"
    )
    assert_exits_with_one_error_line(batch_frame(1, 5, [provision(1, limits={})]), b"limits.attemptsCap")
    malformed = b"{no json"
    assert_exits_with_one_error_line(
        batch_frame(1, 5, [struct.pack("<HHQI", 1000, 1, 1, len(malformed)) + malformed]), b"not JSON"
    )


def test_label_names_do_not_affect_actions() -> None:
    def stream(label: str) -> bytes:
        names = [f"{label}-{n}" for n in range(3)]
        labels = {
            "zones": names,
            "kinds": names,
            "tiers": names,
            "tenants": [{"name": n, "share": 0.3, "quotaPerS": 4} for n in names],
            "profiles": [{"name": n, "effect": "free"} for n in names],
        }
        frames = batch_frame(1, 5, [provision(1, **labels), endpoint_list(1, 11, 12, 13)])
        for n in range(40):
            frames += batch_frame(2 + n, 10 + n, [request_record(1, n, request_class=n % 3, tenant=n % 3)])
        return frames

    assert run_simulator(stream("a")).stdout == run_simulator(stream("zebra")).stdout
