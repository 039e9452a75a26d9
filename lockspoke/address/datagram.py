"""The wire format of messages between members: one message per datagram, versioned and authenticated.

Each datagram carries an HMAC-SHA-256 (RFC 2104) under a key that all members share. Two keys can be
valid at once, so that keys are rotated without an interruption: all members accept a new key before any of
them uses it.

    4  magic and version      8  sender's epoch       1  kind          1+n  sender
    4  key's fingerprint      8  receiver's epoch     8  term          1+n  receiver
                              8  sequence             8  serial        1+n  holder
                                                      8  duration      4    generation
                                               4    settled generation
                                               4    digest of the member list
                                               32   HMAC
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections.abc import Sequence
from dataclasses import dataclass

from .messages import ElectionMessage, MessageKind

MAGIC = b"LSA"
VERSION = 1
MAX_DATAGRAM_BYTES = 512
MAX_NAME_BYTES = 64
MIN_KEY_BYTES = 16
HELLO = 0  # This kind has only epochs and no election message; the kinds of messages start at 1.
_NAME_COUNT = 3  # The names are the sender, the receiver and the holder.
_HEADER = struct.Struct("!3sB4s")
_BODY = struct.Struct("!QQQBQQQIII")
_MAC_BYTES = 32
_MIN_DATAGRAM_BYTES = _HEADER.size + _BODY.size + _NAME_COUNT + _MAC_BYTES


class DatagramError(ValueError):
    """A datagram that is rejected; `reason` is a short identifier that counters use."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Datagram:
    """The content of a datagram.

    Attributes:
        sender: The member that has sent it.
        receiver: The member that it is for.
        sender_epoch: The epoch of the sender's process.
        receiver_epoch: The epoch of the receiver's process as the sender knows it; 0 if unknown.
        sequence: Grows with each datagram of the sender's process.
        message: The message; None for a HELLO.
    """

    sender: str
    receiver: str
    sender_epoch: int
    receiver_epoch: int
    sequence: int
    message: ElectionMessage | None


def check_key(key: bytes) -> bytes:
    """Return the key; raises ValueError if it is too short to be secure."""
    if len(key) < MIN_KEY_BYTES:
        raise ValueError(f"the key has {len(key)} bytes, want at least {MIN_KEY_BYTES}")
    return key


def fingerprint(key: bytes) -> bytes:
    """Four bytes that tell the valid keys apart without revealing them."""
    return hashlib.sha256(b"lockspoke address key" + key).digest()[:4]


def encode(datagram: Datagram, key: bytes) -> bytes:
    """Encode a datagram and authenticate it with a key; raises ValueError for a name that is too long."""
    message = datagram.message or ElectionMessage(MessageKind.PREVOTE_REQUEST, 0)
    kind = HELLO if datagram.message is None else int(message.kind)
    body = _BODY.pack(
        datagram.sender_epoch,
        datagram.receiver_epoch,
        datagram.sequence,
        kind,
        message.term,
        message.serial,
        message.duration,
        message.generation,
        message.settled_generation,
        message.members_digest,
    )
    names = b"".join(map(_encode_name, (datagram.sender, datagram.receiver, message.holder)))
    data = _HEADER.pack(MAGIC, VERSION, fingerprint(key)) + body + names
    return data + hmac.digest(key, data, "sha256")


def _encode_name(name: str) -> bytes:
    raw = name.encode()
    if len(raw) > MAX_NAME_BYTES:
        raise ValueError(f"the name {name!r} has more than {MAX_NAME_BYTES} bytes")
    return bytes([len(raw)]) + raw


def decode(data: bytes, keys: Sequence[bytes]) -> Datagram:
    """Decode a datagram that is authenticated with one of the keys; raises DatagramError."""
    _authenticate(data, keys)
    epoch, receiver_epoch, sequence, kind, *numbers = _BODY.unpack_from(data, _HEADER.size)
    term, serial, duration, generation, settled_generation, digest = numbers
    sender, receiver, holder = _decode_names(data[_HEADER.size + _BODY.size : -_MAC_BYTES])
    message = None
    if kind != HELLO:
        try:
            message_kind = MessageKind(kind)
        except ValueError:
            raise DatagramError("malformed") from None
        message = ElectionMessage(
            message_kind, term, serial, duration, holder, generation, settled_generation, digest
        )
    return Datagram(sender, receiver, epoch, receiver_epoch, sequence, message)


def _authenticate(data: bytes, keys: Sequence[bytes]) -> None:
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramError("too_large")
    if len(data) < _MIN_DATAGRAM_BYTES:
        raise DatagramError("too_short")
    magic, version, key_fingerprint = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise DatagramError("foreign")
    if version != VERSION:
        raise DatagramError("unknown_version")
    key = next((key for key in keys if fingerprint(key) == key_fingerprint), None)
    if key is None:
        raise DatagramError("unknown_key")
    if not hmac.compare_digest(hmac.digest(key, data[:-_MAC_BYTES], "sha256"), data[-_MAC_BYTES:]):
        raise DatagramError("forged")


def _decode_names(data: bytes) -> list[str]:
    names, start = [], 0
    for _ in range(_NAME_COUNT):
        size = data[start] if start < len(data) else len(data)
        end = start + 1 + size
        if size > MAX_NAME_BYTES or end > len(data):
            raise DatagramError("malformed")
        try:
            names.append(data[start + 1 : end].decode())
        except UnicodeDecodeError:
            raise DatagramError("malformed") from None
        start = end
    if start != len(data):
        raise DatagramError("malformed")
    return names
