"""Decodes batches of the simulator's binary protocol into the balancer's events.

Numbers are little-endian, without padding between them. A batch is a header followed by records; a record
is a u16 record code, a u16 instance number and the fields of that kind of record.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from lockspoke.balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListEntry,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    FirstToken,
    Outcome,
    ReplicaState,
    RequestArrived,
    TimerFired,
)
from lockspoke.balancing.settings import BalancerSettings
from lockspoke.balancing.settings_reader import SettingsError, read_settings

from .framing import WireError
from .messages import Batch, InstanceRecord, Provision, Teardown

OUTCOMES = {
    0: Outcome.OK,
    13: Outcome.ERROR,
    8: Outcome.OVERLOADED,
    4: Outcome.TIMEOUT,
    14: Outcome.CONNECT_FAILED,
    10: Outcome.RESET,
    1: Outcome.CANCELLED,
    9: Outcome.NEVER_SENT,
}
LIST_KINDS = {
    0: EndpointListKind.DELTA,
    1: EndpointListKind.FULL,
    3: EndpointListKind.CACHED,
    2: EndpointListKind.FAILED,
}
REPLICA_STATES = {0: ReplicaState.REMOVED, 1: ReplicaState.READY, 2: ReplicaState.DRAINING}

# Bits of the flags field of a request.
HAS_COST_HINT = 1
IS_CLIENT_RETRY = 2

_BATCH_HEADER = struct.Struct("<IQI")  # number of records, time, batch number
_U8, _U16, _U32, _F32 = (struct.Struct("<" + letter) for letter in "BHIf")
_PROVISION = struct.Struct("<QI")
_ENDPOINT_LIST = struct.Struct("<QBI")
_ENDPOINT_LIST_ENTRY = struct.Struct("<BIBfQHB")
_REQUEST = struct.Struct("<IHHQQQQfffB")
_FIRST_TOKEN = struct.Struct("<IHIQ")
_OUTCOME = struct.Struct("<IQIIHHB")
_HEALTH_CHECK = struct.Struct("<IQH")
_PEER_MESSAGE = struct.Struct("<HH")

ValueT = TypeVar("ValueT")


def decode_settings(text: bytes) -> BalancerSettings:
    """Read the JSON settings of a provision record; unknown keys are ignored.

    Raises:
        SettingsError: The text is not JSON, or `read_settings` rejects the settings.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings: not JSON: {error}") from None
    return read_settings(document)


def decode_batch(body: bytes) -> Batch:
    """Decode the body of a frame.

    Raises:
        WireError: The bytes do not follow the protocol; the message names batch, record and offset.
        SettingsError: The settings of a provision record are invalid; the message also names the key.
    """
    if len(body) < _BATCH_HEADER.size:
        raise WireError(f"frame of {len(body)} bytes is shorter than its header")
    count, now, number = _BATCH_HEADER.unpack_from(body)
    reader = _Reader(body, _BATCH_HEADER.size)
    records: list[InstanceRecord] = []
    for index in range(count):
        offset = reader.position
        try:
            (code,) = reader.read(_U16)
            (instance,) = reader.read(_U16)
            event = _lookup(_DECODERS, code, "record code")(reader)
        except (WireError, SettingsError) as error:
            raise type(error)(f"batch {number}: record {index} at byte {offset}: {error}") from None
        if event is not None:
            records.append(InstanceRecord(instance, event))
    if reader.position != len(body):
        raise WireError(f"batch {number}: {len(body) - reader.position} bytes left after record {count - 1}")
    return Batch(now, number, records)


class _Reader:
    """Reads the records of one frame in order."""

    def __init__(self, body: bytes, position: int) -> None:
        self.body = body
        self.position = position

    def read(self, layout: struct.Struct) -> tuple[Any, ...]:
        if self.position + layout.size > len(self.body):
            raise WireError("cut short")
        values = layout.unpack_from(self.body, self.position)
        self.position += layout.size
        return values

    def read_bytes(self, count: int) -> bytes:
        if self.position + count > len(self.body):
            raise WireError("cut short")
        self.position += count
        return self.body[self.position - count : self.position]

    def read_load_report(self) -> tuple[float, ...]:
        (count,) = self.read(_U8)
        return tuple(value for (value,) in _F32.iter_unpack(self.read_bytes(4 * count)))


def _lookup(table: Mapping[int, ValueT], code: int, code_name: str) -> ValueT:
    if code not in table:
        raise WireError(f"unknown {code_name} {code}")
    return table[code]


def _decode_provision(reader: _Reader) -> Provision:
    seed, size = reader.read(_PROVISION)
    return Provision(decode_settings(reader.read_bytes(size)), seed)


def _decode_endpoint_list(reader: _Reader) -> EndpointListUpdate:
    _, kind, count = reader.read(_ENDPOINT_LIST)
    # With many replicas, endpoint lists are most of the input, so all entries are unpacked in one pass.
    entries = [
        EndpointListEntry(
            replica, _lookup(REPLICA_STATES, state, "state"), zone, cell, weight, started_at, machine_kind
        )
        for machine_kind, replica, zone, weight, started_at, cell, state in _ENDPOINT_LIST_ENTRY.iter_unpack(
            reader.read_bytes(_ENDPOINT_LIST_ENTRY.size * count)
        )
    ]
    return EndpointListUpdate(_lookup(LIST_KINDS, kind, "list kind"), tuple(entries))


def _decode_request(reader: _Reader) -> RequestArrived:
    (
        request,
        request_class,
        tenant,
        session,
        time_remaining,
        cost_hint,
        prefix,
        prompt_tokens,
        prefix_tokens,
        max_tokens,
        flags,
    ) = reader.read(_REQUEST)
    return RequestArrived(
        request=request,
        time_remaining=time_remaining,
        request_class=request_class,
        tenant=tenant,
        session=session,
        prefix=prefix,
        prompt_tokens=prompt_tokens,
        prefix_tokens=prefix_tokens,
        max_tokens=max_tokens,
        cost_hint=cost_hint if flags & HAS_COST_HINT else 0,
        client_retry=bool(flags & IS_CLIENT_RETRY),
    )


def _decode_first_token(reader: _Reader) -> FirstToken:
    request, attempt, replica, elapsed = reader.read(_FIRST_TOKEN)
    return FirstToken(request, attempt, replica, elapsed)


def _decode_outcome(reader: _Reader) -> AttemptEnded:
    request, elapsed, cached_tokens, replica, attempt, code, request_answered = reader.read(_OUTCOME)
    outcome = _lookup(OUTCOMES, code, "outcome")
    report = reader.read_load_report()
    return AttemptEnded(
        request, attempt, replica, outcome, elapsed, request_answered != 0, cached_tokens, report
    )


def _skip_health_check(reader: _Reader) -> None:
    """Skip the result of a health check; this balancer requests none."""
    _, _, code = reader.read(_HEALTH_CHECK)
    _lookup(OUTCOMES, code, "outcome")
    reader.read_load_report()


def _skip_peer_message(reader: _Reader) -> None:
    """Skip a message from another gateway; this balancer neither sends nor uses any."""
    _, size = reader.read(_PEER_MESSAGE)
    reader.read_bytes(size)


_DECODERS: dict[int, Callable[[_Reader], Event | Provision | Teardown | None]] = {
    1000: _decode_provision,
    1010: _decode_endpoint_list,
    1020: _decode_request,
    1030: _decode_first_token,
    1040: _decode_outcome,
    1050: lambda reader: ClientDisconnected(*reader.read(_U32)),
    1060: lambda reader: TimerFired(*reader.read(_U32)),
    1070: _skip_health_check,
    1080: _skip_peer_message,
    1090: lambda _: Teardown(),
}
