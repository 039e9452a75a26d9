"""The codec of datagrams."""

from __future__ import annotations

import hmac

from hypothesis import given
from hypothesis import strategies as st

from lockspoke.address.datagram import (
    Datagram,
    DatagramError,
    decode,
    encode,
    fingerprint,
)
from lockspoke.address.messages import ElectionMessage, MessageKind
from tests.properties import reproducible

KEYS = [b"k" * 32, b"n" * 32]


def rejection_reason(data: bytes) -> str | None:
    try:
        decode(data, KEYS)
    except DatagramError as error:
        return error.reason
    return None


@reproducible
@given(st.binary(max_size=200), st.booleans())
def test_malformed_datagrams_raise_only_datagram_errors(body: bytes, has_valid_mac: bool) -> None:
    """This includes datagrams with a valid HMAC: a faulty member must not crash the others."""
    data = b"LSA\x01" + fingerprint(KEYS[0]) + body
    data += hmac.digest(KEYS[0], data, "sha256") if has_valid_mac else bytes(32)
    assert rejection_reason(data) in (None, "too_short", "forged", "malformed")


@reproducible
@given(
    st.text(max_size=16),
    st.text(max_size=16),
    st.integers(0, 2**64 - 1),
    st.sampled_from(MessageKind),
    st.integers(0, 2**64 - 1),
)
def test_datagram_round_trip(sender: str, receiver: str, number: int, kind: MessageKind, term: int) -> None:
    for message in (None, ElectionMessage(kind, term, number, term, sender)):
        datagram = Datagram(sender, receiver, number, term, number, message)
        assert decode(encode(datagram, KEYS[1]), KEYS) == datagram
