"""The channel between members: forged, repeated, reflected and replayed datagrams have no effect."""

from __future__ import annotations

import pytest

from lockspoke.address.channel import DatagramChannel, Received
from lockspoke.address.datagram import (
    MAX_DATAGRAM_BYTES,
    DatagramError,
    check_key,
)
from lockspoke.address.messages import ElectionMessage, MessageKind

KEYS = [b"k" * 32, b"n" * 32]
MEMBERS = ("a", "b", "c")
PREVOTE = ElectionMessage(MessageKind.PREVOTE_REQUEST, 7, 8, 9, "a")


def exchange_epochs(one: DatagramChannel, other: DatagramChannel) -> None:
    """Let two channels learn each other's epochs, as by their first messages."""
    received = other.open(one.seal(other.name, PREVOTE), MEMBERS)
    assert (received.sender, received.message) == (one.name, None)
    assert received.reply is not None
    assert one.open(received.reply, MEMBERS) == Received(other.name, None, None)


def connected_pair() -> tuple[DatagramChannel, DatagramChannel]:
    a, b = DatagramChannel("a", 100, KEYS[:1]), DatagramChannel("b", 200, KEYS[:1])
    exchange_epochs(a, b)
    exchange_epochs(b, a) if b.peers["a"].epoch == 0 and a.peers["b"].epoch == 0 else None
    return a, b


def rejection_reason(channel: DatagramChannel, data: bytes) -> str:
    with pytest.raises(DatagramError) as caught:
        channel.open(data, MEMBERS)
    assert channel.rejected[caught.value.reason] > 0
    return caught.value.reason


def test_message_is_accepted_once_in_any_order() -> None:
    a, b = connected_pair()
    sent = [a.seal("b", ElectionMessage(MessageKind.VOTE_REQUEST, n, n, n, "a")) for n in range(80)]
    for data in (sent[1], sent[0], sent[3], sent[79]):
        assert b.open(data, MEMBERS).message is not None
        assert rejection_reason(b, data) == "repeated"
    assert rejection_reason(b, sent[2]) == "repeated"  # It is behind the replay window.
    assert b.open(sent[50], MEMBERS).message == ElectionMessage(MessageKind.VOTE_REQUEST, 50, 50, 50, "a")


def test_datagrams_recorded_before_a_restart_are_rejected() -> None:
    a, _ = connected_pair()
    recorded = [a.seal("b", PREVOTE) for _ in range(3)]
    restarted_b = DatagramChannel("b", 300, KEYS[:1])
    for data in recorded:
        received = restarted_b.open(data, MEMBERS)
        assert received.message is None
        assert received.reply is not None
        assert not restarted_b.peers[received.sender].epoch
        hello = received.reply
    assert a.open(hello, MEMBERS) == Received("b", None, None)  # The sender learns of the restart.
    assert restarted_b.open(a.seal("b", PREVOTE), MEMBERS).message == PREVOTE
    # Datagrams that `a` sent before its own restart are rejected once `b` knows of the restart.
    old = a.seal("b", PREVOTE)
    restarted_a = DatagramChannel("a", 400, KEYS[:1])
    exchange_epochs(restarted_a, restarted_b)
    assert restarted_b.open(restarted_a.seal("b", PREVOTE), MEMBERS).message == PREVOTE
    assert rejection_reason(restarted_b, old) == "old_epoch"


def test_reflected_misdirected_and_foreign_datagrams_are_counted_and_rejected() -> None:
    a, b = connected_pair()
    data = a.seal("b", PREVOTE)
    assert rejection_reason(a, data) == "reflected"
    assert rejection_reason(DatagramChannel("c", 1, KEYS), data) == "not_for_us"
    non_member = DatagramChannel("x", 1, KEYS[:1])
    assert rejection_reason(b, non_member.seal("b", PREVOTE)) == "no_member"
    assert rejection_reason(b, data[:3] + b"\x02" + data[4:]) == "unknown_version"
    assert rejection_reason(b, b"GET / HTTP/1.1" + data) == "foreign"
    assert rejection_reason(b, data + bytes(MAX_DATAGRAM_BYTES)) == "too_large"
    assert rejection_reason(b, data[:20]) == "too_short"
    assert rejection_reason(b, DatagramChannel("a", 1, KEYS[1:]).seal("b", PREVOTE)) == "unknown_key"
    for at in range(8, len(data)):
        assert rejection_reason(b, data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]) == "forged"
    assert b.open(data, MEMBERS).message == PREVOTE  # The genuine datagram is still accepted.


def test_keys_rotate_without_a_gap() -> None:
    a, b = connected_pair()
    for a_keys, b_keys in (
        (KEYS, KEYS[:1]),
        (KEYS, KEYS),
        (KEYS[::-1], KEYS),
        (KEYS[::-1], KEYS[::-1]),
        (KEYS[1:], KEYS[::-1]),
    ):
        a.keys, b.keys = list(a_keys), list(b_keys)
        assert b.open(a.seal("b", PREVOTE), MEMBERS).message == PREVOTE
    with pytest.raises(ValueError, match="want at least 16"):
        check_key(b"short")
