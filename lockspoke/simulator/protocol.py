"""The codec between the bench's binary wire and the types of `interface.py`. It decides nothing.

All numbers are little-endian and unpadded. A frame is a header and so many records; a record is a u16
code and the fields that belong to that code.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from lockspoke.balancing.actions import Action, Fail, Log, Reject, SendAttempt, SetTimer, WatchEndpointList
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
from lockspoke.balancing.settings import (
    BalancerSettings,
    DeduplicationScope,
    Idempotency,
    RequestClass,
    Tenant,
)

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
STATES = {0: ReplicaState.REMOVED, 1: ReplicaState.READY, 2: ReplicaState.DRAINING}
EFFECTS = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENT_WITH_KEY,
    "single_shot": Idempotency.NOT_IDEMPOTENT,
}
SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}

LONGEST_TIMER = 71 * 60 * 1_000_000_000  # the wire takes no longer delay
LONGEST_TEXT = 0xFFFF
BATCH_HEADER = struct.Struct("<IQI")  # after the length: records, clock, batch number
LENGTH = struct.Struct("<I")
ENTRY = struct.Struct("<BIBfQHB")


class WireError(ValueError):
    """The other side sent something that is not the protocol; the text says what and where."""


class SettingsError(ValueError):
    """Settings that lack what the rules need, or hold impossible values; the text names the key."""


@dataclass(frozen=True, slots=True)
class Provision:
    """A new instance begins, empty."""

    settings: BalancerSettings
    seed: int


@dataclass(frozen=True, slots=True)
class Teardown:
    """An instance was killed; all it held is void."""


Record = tuple[int, Event | Provision | Teardown]


def _member(settings: dict[str, Any], path: str, default: Any) -> Any:
    found: Any = settings
    for step in path.split("."):
        found = found.get(step) if isinstance(found, dict) else None
        if found is None:
            return default
    return found


_NEEDED = object()


def _number(
    settings: dict[str, Any], path: str, default: Any = _NEEDED, low: float = 0, high: float = 2**63
) -> Any:
    value = _member(settings, path, default)
    if value is _NEEDED:
        raise SettingsError(f"settings: {path} is missing")
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise SettingsError(f"settings: {path} is {value!r}, want a number from {low:g} to {high:g}")
    return value


def _flag(settings: dict[str, Any], path: str) -> bool:
    value = _member(settings, path, _NEEDED)
    if value is _NEEDED:
        raise SettingsError(f"settings: {path} is missing")
    if not isinstance(value, bool):
        raise SettingsError(f"settings: {path} is {value!r}, want true or false")
    return value


def _word(
    settings: dict[str, Any], key: str, path: str, words: dict[str, Any], default: Any = _NEEDED
) -> Any:
    value = settings.get(key)
    if value is None and default is not _NEEDED:
        return default
    if not isinstance(value, str) or value not in words:
        raise SettingsError(f"settings: {path}.{key} is {value!r}, want one of {', '.join(words)}")
    return words[value]


def _busy_field(settings: dict[str, Any]) -> int | None:
    """The place of the share of slots taken in a load report, where outcomes carry reports that have it."""
    if _member(settings, "loadInfo.via", "piggyback") != "piggyback":
        return None  # told to probes alone, and this balancer makes none
    names = _member(settings, "loadInfo.fields", [])
    return names.index("busy") if isinstance(names, list) and "busy" in names else None


def _listed(settings: dict[str, Any], path: str) -> list[Any]:
    value = _member(settings, path, [])
    if not isinstance(value, list):
        raise SettingsError(f"settings: {path} is {value!r}, want a list")
    return value


def _class(profile: Any, index: int, settings: dict[str, Any]) -> RequestClass:
    path = f"profiles[{index}]"
    if not isinstance(profile, dict):
        raise SettingsError(f"settings: {path} is {profile!r}, want an object")
    effect = _word(profile, "effect", path, EFFECTS)
    keyed = effect is Idempotency.IDEMPOTENT_WITH_KEY
    per_1000 = _listed(settings, "familyInfo.aimUsPer1000PromptTokens")
    return RequestClass(
        idempotency=effect,
        deduplication_scope=_word(
            profile, "dedupScope", path, SCOPES, default=_NEEDED if keyed else DeduplicationScope.ALL
        ),
        deduplication_window=int(_number(profile, "window", _NEEDED if keyed else 0)),
        latency_objective=int(_number(profile, "aim", 1_000_000_000)),
        latency_objective_per_token=float(per_1000[index]) if index < len(per_1000) else 0.0,
    )


def decode_settings(text: bytes) -> BalancerSettings:
    """Read the settings that come with a provision; unknown keys are skipped."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise SettingsError("settings: want a JSON object")
    profiles = _listed(raw, "profiles")
    if not profiles:
        raise SettingsError("settings: profiles is missing or empty")
    ask = _member(raw, "discovery", "automatic") == "subscribe"
    tenants = []
    for index, tenant in enumerate(_listed(raw, "tenants")):
        if not isinstance(tenant, dict):
            raise SettingsError(f"settings: tenants[{index}] is {tenant!r}, want an object")
        tenants.append(Tenant(quota=float(_number(tenant, "share", 0.0))))
    return BalancerSettings(
        classes=tuple(_class(profile, index, raw) for index, profile in enumerate(profiles)),
        max_attempts=int(_number(raw, "limits.attemptsCap", low=1)),
        hedging_allowed=_flag(raw, "limits.mayDuplicate"),
        slow_start_initial_share=float(_number(raw, "contract.coldShare", low=0, high=1)),
        slow_start_duration=int(_number(raw, "contract.warmUp")),
        overload_multiple=float(_number(raw, "contract.fallMultiple")),
        overload_duration=int(_number(raw, "contract.fall", low=1)),
        tenants=tuple(tenants),
        zone=int(_number(raw, "zone", 0)),
        gateway_count=int(_number(raw, "peersTotal", 1, low=1)),
        gateway_index=int(_number(raw, "index", 0, low=0)),
        polls_endpoint_list=ask,
        utilization_field=_busy_field(raw),
        poll_interval=int(_number(raw, "contract.askEvery", _NEEDED if ask else 10_000_000_000, low=1)),
        cross_zone_cost=float(_number(raw, "prices.crossZone", 0.0)),
    )


class _Reader:
    """Walks over the records of one frame."""

    def __init__(self, body: bytes, at: int) -> None:
        self.body = body
        self.at = at

    def take(self, layout: struct.Struct) -> tuple[Any, ...]:
        if self.at + layout.size > len(self.body):
            raise WireError("cut short")
        values = layout.unpack_from(self.body, self.at)
        self.at += layout.size
        return values

    def take_bytes(self, count: int) -> bytes:
        if self.at + count > len(self.body):
            raise WireError("cut short")
        self.at += count
        return self.body[self.at - count : self.at]

    def report(self) -> tuple[float, ...]:
        (count,) = self.take(_U8)
        return tuple(value for (value,) in _F32.iter_unpack(self.take_bytes(4 * count)))


def _known(table: dict[int, Any], code: int, what: str) -> Any:
    if code not in table:
        raise WireError(f"unknown {what} {code}")
    return table[code]


_U8, _U16, _U32, _F32 = (struct.Struct("<" + letter) for letter in "BHIf")
_PROVISION = struct.Struct("<QI")
_LIST = struct.Struct("<QBI")
_ORDER = struct.Struct("<IHHQQQQfffB")
_UNDER_WAY = struct.Struct("<IHIQ")
_RESOLVED = struct.Struct("<IQIIHHB")
_PROBED = struct.Struct("<IQH")
_PEER = struct.Struct("<HH")


def _provision(reader: _Reader) -> Provision:
    seed, size = reader.take(_PROVISION)
    return Provision(decode_settings(reader.take_bytes(size)), seed)


def _list(reader: _Reader) -> EndpointListUpdate:
    _, kind, count = reader.take(_LIST)
    # Lists are the bulk of what a large fleet sends: read in one go.
    entries = [
        EndpointListEntry(replica, _known(STATES, state, "state"), zone, cell, weight, started, kind)
        for kind, replica, zone, weight, started, cell, state in ENTRY.iter_unpack(
            reader.take_bytes(ENTRY.size * count)
        )
    ]
    return EndpointListUpdate(_known(LIST_KINDS, kind, "list kind"), tuple(entries))


def _order(reader: _Reader) -> RequestArrived:
    req, cls, tenant, session, left, hint, prefix, prompt, prefix_len, most, bits = reader.take(_ORDER)
    return RequestArrived(
        request=req,
        time_remaining=left,
        request_class=cls,
        tenant=tenant,
        session=session,
        prefix=prefix,
        prompt_tokens=prompt,
        prefix_tokens=prefix_len,
        max_tokens=most,
        cost_hint=hint if bits & 1 else 0,
        client_retry=bool(bits & 2),
    )


def _under_way(reader: _Reader) -> FirstToken:
    req, attempt, replica, lag = reader.take(_UNDER_WAY)
    return FirstToken(req, attempt, replica, lag)


def _resolved(reader: _Reader) -> AttemptEnded:
    req, lag, cached, replica, attempt, code, closed = reader.take(_RESOLVED)
    outcome = _known(OUTCOMES, code, "outcome")
    return AttemptEnded(req, attempt, replica, outcome, lag, closed != 0, cached, reader.report())


def _probed(reader: _Reader) -> None:
    """Read over the result of a probe, as `_peer` over a message: this balancer asks for neither."""
    _, _, code = reader.take(_PROBED)
    _known(OUTCOMES, code, "outcome")
    reader.report()


def _peer(reader: _Reader) -> None:
    _, size = reader.take(_PEER)
    reader.take_bytes(size)


_EVENTS: dict[int, Callable[[_Reader], Event | Provision | Teardown | None]] = {
    1000: _provision,
    1010: _list,
    1020: _order,
    1030: _under_way,
    1040: _resolved,
    1050: lambda reader: ClientDisconnected(*reader.take(_U32)),
    1060: lambda reader: TimerFired(*reader.take(_U32)),
    1070: _probed,
    1080: _peer,
    1090: lambda reader: Teardown(),
}


def decode_batch(body: bytes) -> tuple[int, int, list[Record]]:
    """Decode a frame without its length: the clock, the batch number and the records in order."""
    if len(body) < BATCH_HEADER.size:
        raise WireError(f"frame of {len(body)} bytes is shorter than its header")
    count, now, number = BATCH_HEADER.unpack_from(body)
    reader = _Reader(body, BATCH_HEADER.size)
    records: list[Record] = []
    for index in range(count):
        start = reader.at
        try:
            (code,) = reader.take(_U16)
            (instance,) = reader.take(_U16)
            event = _known(_EVENTS, code, "record code")(reader)
            if event is not None:
                records.append((instance, event))
        except (WireError, SettingsError) as error:
            raise type(error)(f"batch {number}: record {index} at byte {start}: {error}") from None
    if reader.at != len(body):
        raise WireError(f"batch {number}: {len(body) - reader.at} bytes left after record {count - 1}")
    return now, number, records


_TWO = struct.Struct("<HHI")
_SEND = struct.Struct("<HHIIQ")
_REFUSE = struct.Struct("<HHIQ")
_TIMER = struct.Struct("<HHQI")
_TEXT = struct.Struct("<HHH")
_WATCH = struct.Struct("<HHB")


def _text(code: int, instance: int, text: str) -> bytes:
    line = text.encode()[:LONGEST_TEXT]
    return _TEXT.pack(code, instance, len(line)) + line


def encode_crash(instance: int, text: str) -> bytes:
    """The record by which an instance says that its decisions have failed."""
    return _text(1090, instance, text)


def encode_action(instance: int, action: Action) -> bytes:
    """Encode one action of one instance."""
    match action:
        case SendAttempt(request, replica, timeout):
            return _SEND.pack(1000, instance, request, replica, timeout)
        case SetTimer(delay, token):
            return _TIMER.pack(1040, instance, max(0, min(delay, LONGEST_TIMER)), token)
        case Reject(request, retry_after):
            return _REFUSE.pack(1010, instance, request, retry_after)
        case Fail(request):
            return _TWO.pack(1020, instance, request)
        case Log(text):
            return _text(1080, instance, text)
        case WatchEndpointList(enable):
            return _WATCH.pack(1100, instance, enable)


def encode_reply(number: int, records: Iterable[bytes]) -> bytes:
    """Frame the reply to one batch."""
    body = b"".join((LENGTH.pack(number), *records))
    return LENGTH.pack(len(body)) + body
