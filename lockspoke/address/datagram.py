"""The wire between instances: one message a datagram, versioned, authenticated, and never taken twice.

Pure: bytes in, messages out. A datagram that is forged, repeated, turned back to its sender or meant for
another changes nothing and is counted. HMAC-SHA-256 (RFC 2104) under a key that all members share; two keys
are valid at once, so that they can be changed without a gap: new ones are first accepted by all, then used.

What keeps a datagram recorded earlier from being taken by an instance that has started anew and remembers
nothing: each start draws an epoch, and a datagram names the epoch of the instance that it is for. One that
names another is answered with HELLO, from which its sender learns the epoch for the next.

    4  magic and version      8  sender's epoch       1  kind          1+n  sender
    4  key's fingerprint      8  receiver's epoch     8  term          1+n  receiver
                              8  sequence             8  serial        1+n  holder
                                                      8  span          4    generation
                                               4    settled
                                               4    digest of the list
                                               32   HMAC
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from .messages import ElectionMessage, MessageKind

MAGIC = b"LSA"
VERSION = 1
MAX_DATAGRAM_BYTES = 512  # bytes; a longer datagram is not looked at
MAX_NAME_BYTES = 64  # bytes of a member's name
REPLAY_WINDOW = 64  # sequences behind the latest that may still come, each once
HELLO = 0  # beside the election's kinds: it tells an epoch and nothing else
_HEADER = struct.Struct("!3sB4s")
_BODY = struct.Struct("!QQQBQQQIII")
_MAC_BYTES = 32


class DatagramError(ValueError):
    """A datagram that is not taken; `reason` is a short word to count by."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Datagram:
    """What one says, once it is proven to be its sender's. A HELLO has no message."""

    sender: str
    receiver: str
    sender_epoch: int  # of the sender
    receiver_epoch: int  # the receiver's epoch as the sender knows it; 0: not at all
    sequence: int
    message: ElectionMessage | None


def check_key(key: bytes) -> bytes:
    """A key as it may be used. Raises ValueError for one that is too short to be secret."""
    if len(key) < 16:
        raise ValueError(f"the key has {len(key)} bytes, want at least 16")
    return key


def fingerprint(key: bytes) -> bytes:
    """Four bytes that tell which of the valid keys a datagram is under; they say nothing of the key."""
    return hashlib.sha256(b"lockspoke address key" + key).digest()[:4]


def encode(datagram: Datagram, key: bytes) -> bytes:
    """A datagram's bytes under a key. Raises ValueError for a name that is too long."""
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
    for name in (datagram.sender, datagram.receiver, message.holder):
        raw = name.encode()
        if len(raw) > MAX_NAME_BYTES:
            raise ValueError(f"the name {name!r} has more than {MAX_NAME_BYTES} bytes")
        body += bytes([len(raw)]) + raw
    data = _HEADER.pack(MAGIC, VERSION, fingerprint(key)) + body
    return data + hmac.digest(key, data, "sha256")


def decode(data: bytes, keys: Sequence[bytes]) -> Datagram:
    """Read a datagram under any of the keys. Raises DatagramError; nothing counts before its proof."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramError("too_large")
    if len(data) < _HEADER.size + _BODY.size + 3 + _MAC_BYTES:
        raise DatagramError("too_short")
    magic, version, under = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise DatagramError("foreign")
    if version != VERSION:
        raise DatagramError("unknown_version")
    key = next((one for one in keys if fingerprint(one) == under), None)
    if key is None:
        raise DatagramError("unknown_key")
    if not hmac.compare_digest(hmac.digest(key, data[:-_MAC_BYTES], "sha256"), data[-_MAC_BYTES:]):
        raise DatagramError("forged")
    epoch, meant, sequence, kind, *numbers = _BODY.unpack_from(data, _HEADER.size)
    term, serial, span, generation, settled, digest = numbers
    names, at, end = [], _HEADER.size + _BODY.size, len(data) - _MAC_BYTES
    try:
        for _ in range(3):
            size = data[at]
            if size > MAX_NAME_BYTES or at + 1 + size > end:
                raise DatagramError("malformed")
            names.append(data[at + 1 : at + 1 + size].decode())
            at += 1 + size
        message = (
            None
            if kind == HELLO
            else ElectionMessage(MessageKind(kind), term, serial, span, names[2], generation, settled, digest)
        )
    except (UnicodeDecodeError, ValueError, IndexError):
        raise DatagramError("malformed") from None
    if at != end:
        raise DatagramError("malformed")
    return Datagram(names[0], names[1], epoch, meant, sequence, message)


@dataclass(slots=True)
class _PeerState:
    """What is known of another member."""

    epoch: int = 0
    last_sequence: int = 0  # the highest sequence that was taken
    received_bits: int = 0  # a bit for each of the WINDOW sequences up to it

    def accept(self, epoch: int, sequence: int) -> bool:
        """Whether a sequence has not been taken yet; notes it."""
        if epoch != self.epoch:
            self.epoch, self.last_sequence, self.received_bits = epoch, sequence, 1
            return True
        ahead = sequence - self.last_sequence
        if ahead > 0:
            self.received_bits = (
                ((self.received_bits << ahead) | 1) & ((1 << REPLAY_WINDOW) - 1)
                if ahead < REPLAY_WINDOW
                else 1
            )
            self.last_sequence = sequence
            return True
        if -ahead >= REPLAY_WINDOW or self.received_bits >> -ahead & 1:
            return False
        self.received_bits |= 1 << -ahead
        return True


@dataclass(slots=True)
class DatagramChannel:
    """One instance's end of the wire to all others.

    `epoch` is above 0 and higher at each start, such as the wall clock in nanoseconds. `keys`: the first is
    used, all are accepted.
    """

    name: str
    epoch: int
    keys: list[bytes]
    peers: dict[str, _PeerState] = field(default_factory=dict)
    sequence: int = 0
    rejected: Counter[str] = field(default_factory=Counter)  # by reason, what was not taken

    def seal(self, to: str, message: ElectionMessage) -> bytes:
        """A message's bytes for a member."""
        return self._seal(to, self.peers.setdefault(to, _PeerState()).epoch, message)

    def _seal(self, to: str, receiver_epoch: int, message: ElectionMessage | None) -> bytes:
        self.sequence += 1
        return encode(
            Datagram(self.name, to, self.epoch, receiver_epoch, self.sequence, message), self.keys[0]
        )

    def open(self, data: bytes, members: Sequence[str]) -> tuple[str, ElectionMessage | None, bytes | None]:
        """The sender, its message if it is to be acted on, and a datagram to answer with, if any.

        Raises DatagramError where it is to be ignored; the reason is counted.
        """
        try:
            return self._open(data, members)
        except DatagramError as error:
            self.rejected[error.reason] += 1
            raise

    def _open(self, data: bytes, members: Sequence[str]) -> tuple[str, ElectionMessage | None, bytes | None]:
        datagram = decode(data, self.keys)
        sender = datagram.sender
        if sender == self.name:
            raise DatagramError("reflected")
        if datagram.receiver != self.name:
            raise DatagramError("not_for_us")
        if sender not in members:
            raise DatagramError("no_member")
        peer = self.peers.setdefault(sender, _PeerState())
        if datagram.sender_epoch < peer.epoch:
            raise DatagramError("old_epoch")  # from before the sender's latest start
        if datagram.receiver_epoch != self.epoch:
            # Its sender does not know this start yet, or it was recorded before. Nothing of it is kept; the
            # HELLO repeats the epoch that it names, which proves to that sender that the HELLO is of now.
            return sender, None, self._seal(sender, datagram.sender_epoch, None)
        if not peer.accept(datagram.sender_epoch, datagram.sequence):
            raise DatagramError("repeated")
        return sender, datagram.message, None
