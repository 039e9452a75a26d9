"""Frames of the simulator's binary protocol, built and read without the code under test."""

from __future__ import annotations

import json
import struct
from typing import Any

Row = list[Any]

# By the places of the members in the decision module's enumerations.
LIST_KIND_CODES = (0, 1, 3, 2)
OUTCOME_CODES = (0, 13, 8, 4, 14, 10, 1, 9)


def frame(number: int, now: int, records: list[bytes]) -> bytes:
    body = struct.pack("<IQI", len(records), now, number) + b"".join(records)
    return struct.pack("<I", len(body)) + body


def provision(instance: int, seed: int, settings: dict[str, Any]) -> bytes:
    text = json.dumps(settings).encode()
    return struct.pack("<HHQI", 1000, instance, seed, len(text)) + text


def teardown(instance: int) -> bytes:
    return struct.pack("<HH", 1090, instance)


def probe_result(instance: int, replica: int, outcome_code: int, report: list[float]) -> bytes:
    return struct.pack("<HHIQH", 1070, instance, replica, 1_000_000, outcome_code) + _report(report)


def peer_message(instance: int, peer: int, text: bytes) -> bytes:
    return struct.pack("<HHHH", 1080, instance, peer, len(text)) + text


def _report(report: list[float]) -> bytes:
    return struct.pack(f"<B{len(report)}f", len(report), *report)


def event(instance: int, row: Row) -> bytes:
    """Encode one event row; what the protocol can't carry is left out."""
    match row:
        case ["list", kind, entries, _]:
            head = struct.pack("<HHQBI", 1010, instance, 1, LIST_KIND_CODES[kind], len(entries))
            return head + b"".join(
                struct.pack("<BIBfQHB", machine, replica, zone, weight, started_at, cell, state)
                for replica, state, zone, cell, weight, started_at, machine in entries
            )
        case ["arrived", number, left, kind, tenant, session, prefix, prompt, shared, most, hint, retry]:
            flags = (1 if hint else 0) | (2 if retry else 0)
            fields = (number, kind, tenant, session, left, hint, prefix, prompt, shared, most, flags)
            return struct.pack("<HHIHHQQQQfffB", 1020, instance, *fields)
        case ["first_token", *values]:
            return struct.pack("<HHIHIQ", 1030, instance, *values)
        case ["ended", number, attempt, replica, outcome, elapsed, closed, cached, report, _]:
            outcome_fields = (number, elapsed, cached, replica, attempt, OUTCOME_CODES[outcome], closed)
            return struct.pack("<HHIQIIHHB", 1040, instance, *outcome_fields) + _report(report)
        case ["client_left", number]:
            return struct.pack("<HHI", 1050, instance, number)
        case ["timer", token]:
            return struct.pack("<HHI", 1060, instance, token)
    raise ValueError(f"unknown event {row}")


def split(stream: bytes) -> list[bytes]:
    """The frames of a stream, without their lengths."""
    bodies, at = [], 0
    while at < len(stream):
        (size,) = struct.unpack_from("<I", stream, at)
        bodies.append(stream[at + 4 : at + 4 + size])
        at += 4 + size
    return bodies


FIXED_ACTIONS = {
    1000: ("send", struct.Struct("<IIQ")),
    1010: ("reject", struct.Struct("<IQ")),
    1020: ("fail", struct.Struct("<I")),
    1040: ("timer", struct.Struct("<QI")),
    1100: ("watch", struct.Struct("<B")),
}
TEXT_ACTIONS = {1080: "log", 1090: "crash"}


def actions(body: bytes) -> list[tuple[int, Row]]:
    """Decode the actions of one reply, each with its instance."""
    found: list[tuple[int, Row]] = []
    at = 4
    while at < len(body):
        code, instance = struct.unpack_from("<HH", body, at)
        at += 4
        if code in FIXED_ACTIONS:
            tag, layout = FIXED_ACTIONS[code]
            found.append((instance, [tag, *layout.unpack_from(body, at)]))
            at += layout.size
        else:
            (size,) = struct.unpack_from("<H", body, at)
            found.append((instance, [TEXT_ACTIONS[code], body[at + 2 : at + 2 + size].decode()]))
            at += 2 + size
    return found
