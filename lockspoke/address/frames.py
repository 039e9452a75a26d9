"""Codecs of the messages that announce a moved address: VRRPv3 advertisements and gratuitous ARP.

Sending them needs privileges that the program does not have. The codecs are for an operator's tool, which
gets the token and the address, and for decoding what such tools send.
"""

from __future__ import annotations

import ipaddress
import struct
from dataclasses import dataclass

IPAddress = ipaddress.IPv4Address | ipaddress.IPv6Address
VRRP_PROTOCOL = 112  # This is the protocol number in the IP header.
VRRP_GROUPS = {4: ipaddress.ip_address("224.0.0.18"), 6: ipaddress.ip_address("ff02::12")}
_VRRP = struct.Struct("!BBBBHH")
_VERSION_AND_TYPE = 3 << 4 | 1  # Type 1 of version 3 is an advertisement.
_ETHERNET = struct.Struct("!6s6sH")
_ARP = struct.Struct("!HHBBH6s4s6s4s")
BROADCAST = b"\xff" * 6
_ARP_TYPE, _REQUEST, _REPLY = 0x0806, 1, 2
_MIN_ETHERNET_FRAME_BYTES = 60


class FrameError(ValueError):
    """A message that can't be encoded or decoded; the text says why."""


@dataclass(frozen=True, slots=True)
class Advertisement:
    """A VRRPv3 advertisement (RFC 5798, 5.2).

    Attributes:
        router: The virtual router identifier, 1 to 255.
        priority: From 0 (the master releases the addresses) to 255 (the router owns the addresses).
        interval: The interval between advertisements in hundredths of a second, 1 to 4095.
        addresses: The virtual addresses, all of one IP version.
    """

    router: int
    priority: int
    interval: int
    addresses: tuple[IPAddress, ...]

    def __post_init__(self) -> None:
        """Raise FrameError for values that the format can't hold."""
        if not 1 <= self.router <= 255 or not 0 <= self.priority <= 255 or not 1 <= self.interval <= 4095:
            raise FrameError("router, priority or interval is out of its range")
        if not 1 <= len(self.addresses) <= 255 or len({one.version for one in self.addresses}) != 1:
            raise FrameError("want 1 to 255 addresses, all of one IP version")


def checksum(data: bytes) -> int:
    """The Internet checksum (RFC 1071): the complement of the sum of 16-bit words, carries added."""
    if len(data) % 2:
        data += b"\0"
    total: int = sum(struct.unpack(f"!{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF


def _pseudo_header(source: IPAddress, target: IPAddress, length: int) -> bytes:
    """The pseudo-header that VRRPv3's checksum covers for both versions (RFC 5798, 5.2.8)."""
    if source.version == 4:
        return source.packed + target.packed + struct.pack("!BBH", 0, VRRP_PROTOCOL, length)
    return source.packed + target.packed + struct.pack("!I3xB", length, VRRP_PROTOCOL)


def encode_vrrp(advertisement: Advertisement, source: IPAddress) -> bytes:
    """Encode the payload of an IP packet from `source` to the VRRP group of its IP version."""
    if source.version != advertisement.addresses[0].version:
        raise FrameError("source and addresses have different IP versions")
    addresses = b"".join(address.packed for address in advertisement.addresses)
    head = [
        _VERSION_AND_TYPE,
        advertisement.router,
        advertisement.priority,
        len(advertisement.addresses),
        advertisement.interval,
    ]
    data = _VRRP.pack(*head, 0) + addresses
    total = checksum(_pseudo_header(source, VRRP_GROUPS[source.version], len(data)) + data)
    return _VRRP.pack(*head, total) + addresses


def decode_vrrp(data: bytes, source: IPAddress, target: IPAddress) -> Advertisement:
    """Decode a payload sent from `source` to `target`; raises FrameError."""
    if len(data) < _VRRP.size:
        raise FrameError("too short for VRRP")
    kind, router, priority, count, interval, _ = _VRRP.unpack_from(data)
    if kind != _VERSION_AND_TYPE:
        raise FrameError(f"version {kind >> 4}, type {kind & 15}: want 3 and 1")
    size = 4 if source.version == 4 else 16
    if len(data) != _VRRP.size + count * size:
        raise FrameError(f"{len(data)} bytes are not the length for {count} addresses")
    if checksum(_pseudo_header(source, target, len(data)) + data):
        raise FrameError("the checksum does not match")
    addresses = [data[at : at + size] for at in range(_VRRP.size, len(data), size)]
    return Advertisement(router, priority, interval & 0x0FFF, tuple(map(ipaddress.ip_address, addresses)))


def encode_gratuitous_arp(address: ipaddress.IPv4Address, hardware: bytes, reply: bool = False) -> bytes:
    """Encode an Ethernet frame that announces `address` at a hardware address (RFC 5227, 3).

    Args:
        address: The address.
        hardware: The hardware address, 6 bytes.
        reply: Whether to use the reply form, which some hosts need, instead of the request form.

    Raises:
        FrameError: `hardware` is not 6 bytes.
    """
    if len(hardware) != 6:
        raise FrameError(f"a hardware address of {len(hardware)} bytes, want 6")
    target_hardware = hardware if reply else bytes(6)
    arp = _ARP.pack(
        1,
        0x0800,
        6,
        4,
        _REPLY if reply else _REQUEST,
        hardware,
        address.packed,
        target_hardware,
        address.packed,
    )
    return (_ETHERNET.pack(BROADCAST, hardware, _ARP_TYPE) + arp).ljust(_MIN_ETHERNET_FRAME_BYTES, b"\0")


def decode_gratuitous_arp(frame: bytes) -> tuple[ipaddress.IPv4Address, bytes]:
    """Decode an announcement into the address and its hardware address; raises FrameError."""
    if len(frame) < _ETHERNET.size + _ARP.size:
        raise FrameError("too short for ARP")
    _, sender, kind = _ETHERNET.unpack_from(frame)
    medium, protocol, size, length, operation, hardware, source, _, target = _ARP.unpack_from(
        frame, _ETHERNET.size
    )
    if (kind, medium, protocol, size, length) != (_ARP_TYPE, 1, 0x0800, 6, 4) or operation not in (1, 2):
        raise FrameError("not an ARP message for IPv4 over Ethernet")
    if source != target or sender != hardware:
        raise FrameError("not a gratuitous ARP message about its sender")
    return ipaddress.IPv4Address(source), hardware
