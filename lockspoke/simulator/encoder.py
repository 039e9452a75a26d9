"""Encodes the balancer's actions as records of the simulator's binary protocol.

Numbers are little-endian, without padding between them. A record is a u16 record code, a u16 instance
number and the fields of that kind of record.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import IntEnum

from lockspoke.balancing.actions import Action, Fail, Log, Reject, SendAttempt, SetTimer, WatchEndpointList

from .framing import encode_frame

MAX_TIMER_DELAY = 71 * 60 * 1_000_000_000  # nanoseconds; the longest delay that the protocol allows
MAX_TEXT_BYTES = 0xFFFF


class RecordCode(IntEnum):
    """The codes of the records that are sent to the simulator."""

    SEND_ATTEMPT = 1000
    REJECT = 1010
    FAIL = 1020
    SET_TIMER = 1040
    LOG = 1080
    CRASH = 1090
    WATCH_ENDPOINT_LIST = 1100


_BATCH_NUMBER = struct.Struct("<I")
_SEND_ATTEMPT = struct.Struct("<HHIIQ")
_REJECT = struct.Struct("<HHIQ")
_FAIL = struct.Struct("<HHI")
_SET_TIMER = struct.Struct("<HHQI")
_TEXT = struct.Struct("<HHH")
_WATCH_ENDPOINT_LIST = struct.Struct("<HHB")


def encode_action(instance: int, action: Action) -> bytes:
    """Encode one action of one instance."""
    match action:
        case SendAttempt(request, replica, timeout):
            return _SEND_ATTEMPT.pack(RecordCode.SEND_ATTEMPT, instance, request, replica, timeout)
        case SetTimer(delay, token):
            delay = max(0, min(delay, MAX_TIMER_DELAY))
            return _SET_TIMER.pack(RecordCode.SET_TIMER, instance, delay, token)
        case Reject(request, retry_after):
            return _REJECT.pack(RecordCode.REJECT, instance, request, retry_after)
        case Fail(request):
            return _FAIL.pack(RecordCode.FAIL, instance, request)
        case Log(text):
            return _encode_text(RecordCode.LOG, instance, text)
        case WatchEndpointList(enable):
            return _WATCH_ENDPOINT_LIST.pack(RecordCode.WATCH_ENDPOINT_LIST, instance, enable)


def encode_crash(instance: int, text: str) -> bytes:
    """Encode the record which reports that the balancer of an instance raised an exception."""
    return _encode_text(RecordCode.CRASH, instance, text)


def encode_reply(batch_number: int, records: Iterable[bytes]) -> bytes:
    """Encode the frame that answers one batch."""
    return encode_frame(b"".join((_BATCH_NUMBER.pack(batch_number), *records)))


def _encode_text(code: RecordCode, instance: int, text: str) -> bytes:
    encoded = text.encode()[:MAX_TEXT_BYTES]
    return _TEXT.pack(code, instance, len(encoded)) + encoded
