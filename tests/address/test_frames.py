"""VRRP and ARP frames against their specifications."""

from __future__ import annotations

from ipaddress import IPv4Address, ip_address

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lockspoke.address.frames import (
    VRRP_GROUPS,
    Advertisement,
    FrameError,
    checksum,
    decode_gratuitous_arp,
    decode_vrrp,
    encode_gratuitous_arp,
    encode_vrrp,
)
from tests.properties import reproducible

MAC = bytes.fromhex("020000000001")


def test_vrrp_encoding_matches_the_specification() -> None:
    # This is the example of the checksum in RFC 1071.
    assert checksum(bytes.fromhex("0001f203f4f5f6f7")) == 0xFFFF ^ 0xDDF2
    source = ip_address("10.0.0.1")
    data = encode_vrrp(Advertisement(7, 100, 100, (ip_address("10.0.0.9"),)), source)
    assert data[:6] == bytes.fromhex("310764010064") and data[8:] == bytes([10, 0, 0, 9])
    assert decode_vrrp(data, source, VRRP_GROUPS[4]).router == 7
    for wrong in (data[:-1], data[:4], bytes([0x21]) + data[1:], data[:2] + b"\xff" + data[3:]):
        with pytest.raises(FrameError):
            decode_vrrp(wrong, source, VRRP_GROUPS[4])
    for fields in ((0, 1, 1), (1, 256, 1), (1, 1, 4096)):
        with pytest.raises(FrameError):
            Advertisement(*fields, (source,))


@reproducible
@given(
    st.integers(1, 255),
    st.integers(0, 255),
    st.integers(1, 4095),
    st.lists(st.ip_addresses(v=4), min_size=1, max_size=9)
    | st.lists(st.ip_addresses(v=6), min_size=1, max_size=9),
)
def test_vrrp_round_trip(router: int, priority: int, interval: int, addresses: list[IPv4Address]) -> None:
    advertised = Advertisement(router, priority, interval, tuple(addresses))
    source = addresses[0]
    assert decode_vrrp(encode_vrrp(advertised, source), source, VRRP_GROUPS[source.version]) == advertised


def test_gratuitous_arp_announces_an_address_and_other_frames_are_rejected() -> None:
    address = IPv4Address("10.0.0.9")
    for reply in (False, True):
        frame = encode_gratuitous_arp(address, MAC, reply)
        assert len(frame) == 60 and frame[:6] == b"\xff" * 6 and frame[12:14] == b"\x08\x06"
        assert decode_gratuitous_arp(frame) == (address, MAC)
    for_other_target = frame[:38] + bytes([10, 0, 0, 8]) + frame[42:]
    for wrong in (frame[:20], for_other_target, frame[:12] + b"\x08\x00" + frame[14:]):
        with pytest.raises(FrameError):
            decode_gratuitous_arp(wrong)
