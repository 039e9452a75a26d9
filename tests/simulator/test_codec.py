"""Tests the decoder and the encoder against bytes written out field by field from the protocol."""

from __future__ import annotations

import json
from typing import Any

import pytest

from lockspoke.balancing.actions import Action, Fail, Log, Reject, SendAttempt, SetTimer, WatchEndpointList
from lockspoke.balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListEntry,
    EndpointListKind,
    EndpointListUpdate,
    FirstToken,
    Outcome,
    ReplicaState,
    RequestArrived,
    TimerFired,
)
from lockspoke.simulator.decoder import OUTCOMES, decode_batch
from lockspoke.simulator.encoder import MAX_TIMER_DELAY, encode_action, encode_crash, encode_reply
from lockspoke.simulator.framing import WireError
from lockspoke.simulator.messages import Teardown

MINIMAL_SETTINGS: dict[str, Any] = {
    "contract": {
        "answerSlack": 20,
        "coldShare": 0.12,
        "drainGrace": 250,
        "fall": 3000,
        "fallMultiple": 3.0,
        "warmUp": 24000,
    },
    "limits": {"attemptsCap": 3, "mayDuplicate": False},
    "profiles": [{"effect": "free"}],
}


def batch_body(*records: str, now: int = 5, number: int = 1) -> bytes:
    body = bytes.fromhex("".join(records).replace(" ", ""))
    return (
        len(records).to_bytes(4, "little") + now.to_bytes(8, "little") + number.to_bytes(4, "little") + body
    )


def decode_one(record: str) -> Any:
    now, number, records = decode_batch(batch_body(record))
    assert (now, number, len(records)) == (5, 1, 1)
    assert records[0][0] == 3
    return records[0][1]


REQUEST_RECORD = (
    "fc03 0300 c4913a5d 0000 0000 640ad2557c3bf091 001c4e0e00000000 001bb70000000000 107cf3d901648e2b"
    "0000e144 00009644 00008043 01"
)


def test_request() -> None:
    event = decode_one(REQUEST_RECORD)
    assert event == RequestArrived(
        request=0x5D3A91C4,
        time_remaining=240_000_000,
        request_class=0,
        tenant=0,
        session=0x91F03B7C55D20A64,
        prefix=0x2B8E6401D9F37C10,
        prompt_tokens=1800.0,
        prefix_tokens=1200.0,
        max_tokens=257.0 - 1.0,
        cost_hint=12_000_000,
        client_retry=False,
    )


def test_request_flags() -> None:
    event = decode_one(REQUEST_RECORD[:-2] + "02")
    assert event.client_retry and event.cost_hint == 0


def test_endpoint_list() -> None:
    event = decode_one(
        "f203 0300 2900000000000000 03 02000000"
        "00 074a1203 00 0000803f 0000000000000000 0000 01"
        "02 f211902c 01 0000c03f 009d966b01000000 0500 02"
    )
    ready = EndpointListEntry(0x03124A07, ReplicaState.READY, 0, 0, 1.0, 0)
    draining = EndpointListEntry(0x2C9011F2, ReplicaState.DRAINING, 1, 5, 1.5, 6_100_000_000, machine_kind=2)
    assert event == EndpointListUpdate(EndpointListKind.CACHED, (ready, draining))


def test_first_token() -> None:
    event = decode_one("0604 0300 c4913a5d 0000 074a1203 d0248d0000000000")
    assert event == FirstToken(0x5D3A91C4, 0, 0x03124A07, 9_250_000)


def test_outcome_with_a_load_report() -> None:
    event = decode_one(
        "1004 0300 c4913a5d a0491a0100000000 00000000 074a1203 0000 0000 01 03 0000e0400000404000000c43"
    )
    assert event == AttemptEnded(
        0x5D3A91C4, 0, 0x03124A07, Outcome.OK, 18_500_000, True, 0, (7.0, 3.0, 140.0)
    )


def test_health_checks_and_peer_messages_are_skipped() -> None:
    health_check = "2e04 0300 f211902c c05c150000000000 0000 03 0000e0400000404000000c43"
    peer_message = "3804 0300 0200 0400 68692037"
    _, _, records = decode_batch(batch_body(health_check, peer_message, "4204 0300"))
    assert records == [(3, Teardown())]


def test_client_disconnected_timer_fired_and_teardown() -> None:
    assert decode_one("1a04 0300 192b6f0e") == ClientDisconnected(0x0E6F2B19)
    assert decode_one("2404 0300 4d000000") == TimerFired(77)
    assert decode_one("4204 0300") == Teardown()


def test_provision() -> None:
    text = json.dumps(MINIMAL_SETTINGS).encode()
    record = "e803 0300 0700000000000000" + len(text).to_bytes(4, "little").hex() + text.hex()
    event = decode_one(record)
    assert event.seed == 7 and event.settings.max_attempts == 3


@pytest.mark.parametrize(("code", "outcome"), list(OUTCOMES.items()))
def test_every_outcome_code(code: int, outcome: Outcome) -> None:
    record = (
        f"1a04 0300 192b6f0e 1004 0300 c4913a5d a0491a0100000000 00000000 074a1203 0000 {code:02x}00 00 00"
    )
    _, _, records = decode_batch(batch_body(record[:22], record[22:]))
    assert isinstance(records[1][1], AttemptEnded) and records[1][1].outcome is outcome


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (SendAttempt(0x5D3A91C4, 0x03124A07, 80_000_000), "e803 0300 c4913a5d 074a1203 00b4c40400000000"),
        (Reject(0x0E6F2B19, 250_000_000), "f203 0300 192b6f0e 80b2e60e00000000"),
        (Fail(0x0E6F2B19), "fc03 0300 192b6f0e"),
        (SetTimer(500_000_000, 77), "1004 0300 0065cd1d00000000 4d000000"),
        (Log("two servers known"), "3804 0300 1100 74776f2073657276657273206b6e6f776e"),
        (WatchEndpointList(True), "4c04 0300 01"),
    ],
)
def test_actions(action: Action, expected: str) -> None:
    assert encode_action(3, action) == bytes.fromhex(expected.replace(" ", ""))


def test_crash_and_reply() -> None:
    crash = encode_crash(3, "index out of range")
    assert crash == bytes.fromhex("42040300120069") + b"ndex out of range"
    assert encode_reply(1, [b"ab"]) == bytes.fromhex("06000000 01000000".replace(" ", "")) + b"ab"


def test_timer_delay_is_limited_to_protocol_maximum() -> None:
    record = encode_action(0, SetTimer(10**15, 1))
    assert int.from_bytes(record[4:12], "little") == MAX_TIMER_DELAY


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (b"\0" * 15, "shorter than its header"),
        (batch_body("1a04 0300 192b"), "batch 1: record 0 at byte 16: cut short"),
        (batch_body("ffff 0300"), "batch 1: record 0 at byte 16: unknown record code 65535"),
        (batch_body("4204 0300", "4204"), "batch 1: record 1 at byte 20: cut short"),
        (batch_body("4204 0300") + b"xy", "2 bytes left after record 0"),
        (batch_body("f203 0300 2900000000000000 09 00000000"), "unknown list kind 9"),
        (batch_body("2e04 0300 f211902c c05c150000000000 6300 00"), "unknown outcome 99"),
    ],
)
def test_malformed_frame_error_names_fault_and_position(body: bytes, message: str) -> None:
    with pytest.raises(WireError, match=message):
        decode_batch(body)
