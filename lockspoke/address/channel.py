"""One member's authenticated channel to all others; protects against replayed datagrams.

A datagram that is forged, repeated, reflected or meant for another member has no effect and is counted.

Sequence numbers alone don't protect a process that has just started and knows nothing of earlier datagrams.
So each process has an epoch, and a datagram names the epoch of the process that it is for. A datagram for
another epoch is answered by a HELLO, from which its sender learns the current epoch.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from .datagram import Datagram, DatagramError, decode, encode
from .messages import ElectionMessage

REPLAY_WINDOW = 64  # Sequence numbers in this window are accepted in any order, each once.


@dataclass(slots=True)
class PeerState:
    """The state of the channel from another member.

    Attributes:
        epoch: The epoch of the member's process; 0 if unknown.
        last_sequence: The highest sequence number that was accepted.
        received_bits: A bit for each sequence number in the window, set if it was accepted; the lowest bit
            is for `last_sequence`.
    """

    epoch: int = 0
    last_sequence: int = 0
    received_bits: int = 0

    def accept(self, epoch: int, sequence: int) -> bool:
        """Record a sequence number; False if it was accepted before or is behind the window."""
        if epoch != self.epoch:
            self.epoch, self.last_sequence, self.received_bits = epoch, sequence, 1
            return True
        ahead = sequence - self.last_sequence
        if ahead > 0:
            self._advance(ahead)
            return True
        behind = -ahead
        if behind >= REPLAY_WINDOW or self.received_bits >> behind & 1:
            return False
        self.received_bits |= 1 << behind
        return True

    def _advance(self, count: int) -> None:
        self.last_sequence += count
        if count >= REPLAY_WINDOW:
            self.received_bits = 1
            return
        self.received_bits = ((self.received_bits << count) | 1) & ((1 << REPLAY_WINDOW) - 1)


@dataclass(frozen=True, slots=True)
class Received:
    """An accepted datagram: its sender, its message unless it must be ignored, and a reply to send if any."""

    sender: str
    message: ElectionMessage | None = None
    reply: bytes | None = None


@dataclass(slots=True)
class DatagramChannel:
    """One member's end of the channels to all others.

    Attributes:
        name: This member.
        epoch: Identifies this process; above 0 and higher at each start, such as the wall clock in
            nanoseconds.
        keys: The first is used for sending, all are accepted.
        peers: By member, the state of the channel from it.
        sequence: The sequence number of the latest datagram sent.
        rejected: The number of rejected datagrams by reason.
    """

    name: str
    epoch: int
    keys: list[bytes]
    peers: dict[str, PeerState] = field(default_factory=dict)
    sequence: int = 0
    rejected: Counter[str] = field(default_factory=Counter)

    def seal(self, to: str, message: ElectionMessage) -> bytes:
        """Encode a message to a member."""
        return self._seal(to, self._peer(to).epoch, message)

    def open(self, data: bytes, members: Sequence[str]) -> Received:
        """Decode a datagram from one of the members.

        Raises:
            DatagramError: The datagram is rejected; the reason has been counted.
        """
        try:
            return self._open(data, members)
        except DatagramError as error:
            self.rejected[error.reason] += 1
            raise

    def _peer(self, name: str) -> PeerState:
        return self.peers.setdefault(name, PeerState())

    def _seal(self, to: str, receiver_epoch: int, message: ElectionMessage | None) -> bytes:
        self.sequence += 1
        datagram = Datagram(self.name, to, self.epoch, receiver_epoch, self.sequence, message)
        return encode(datagram, self.keys[0])

    def _open(self, data: bytes, members: Sequence[str]) -> Received:
        datagram = decode(data, self.keys)
        sender = datagram.sender
        if sender == self.name:
            raise DatagramError("reflected")
        if datagram.receiver != self.name:
            raise DatagramError("not_for_us")
        if sender not in members:
            raise DatagramError("no_member")
        peer = self._peer(sender)
        if datagram.sender_epoch < peer.epoch:
            raise DatagramError("old_epoch")  # The datagram was sent before the latest start of its sender.
        if datagram.receiver_epoch != self.epoch:
            # The sender does not know this process yet, or the datagram is replayed. The HELLO contains the
            # epoch of its receiver, which proves that the HELLO itself is not replayed.
            return Received(sender, reply=self._seal(sender, datagram.sender_epoch, None))
        if not peer.accept(datagram.sender_epoch, datagram.sequence):
            raise DatagramError("repeated")
        return Received(sender, datagram.message)
