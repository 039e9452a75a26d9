"""Frames against their specifications, and the operator's command with its limits."""

from __future__ import annotations

import asyncio
import sys
from ipaddress import IPv4Address, ip_address
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lockspoke.address.command_announcer import CommandAnnouncer
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
from tests.wire.http.test_http1 import fixed

MAC = bytes.fromhex("020000000001")


def test_vrrp_has_the_form_of_its_specification() -> None:
    # RFC 1071's own example of the checksum.
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


@fixed
@given(
    st.integers(1, 255),
    st.integers(0, 255),
    st.integers(1, 4095),
    st.lists(st.ip_addresses(v=4), min_size=1, max_size=9)
    | st.lists(st.ip_addresses(v=6), min_size=1, max_size=9),
)
def test_vrrp_reads_back(router: int, priority: int, interval: int, addresses: list[IPv4Address]) -> None:
    one = Advertisement(router, priority, interval, tuple(addresses))
    source = addresses[0]
    assert decode_vrrp(encode_vrrp(one, source), source, VRRP_GROUPS[source.version]) == one


def test_gratuitous_arp_announces_an_address_and_nothing_else_is_taken_for_it() -> None:
    address = IPv4Address("10.0.0.9")
    for reply in (False, True):
        frame = encode_gratuitous_arp(address, MAC, reply)
        assert len(frame) == 60 and frame[:6] == b"\xff" * 6 and frame[12:14] == b"\x08\x06"
        assert decode_gratuitous_arp(frame) == (address, MAC)
    asking = frame[:38] + bytes([10, 0, 0, 8]) + frame[42:]
    for wrong in (frame[:20], asking, frame[:12] + b"\x08\x00" + frame[14:]):
        with pytest.raises(FrameError):
            decode_gratuitous_arp(wrong)


def announcer(tmp_path: Path, body: str, limit: float = 20.0) -> tuple[CommandAnnouncer, Path]:
    log, script = tmp_path / "log", tmp_path / "move.py"
    script.write_text(f"import os, sys, time\nlog = open({str(log)!r}, 'a')\n{body}\n")
    return CommandAnnouncer([sys.executable, str(script)], "10.0.0.9:80", limit, lambda: 0), log


LOG_INVOCATION = (
    "log.write(f\"{sys.argv[1]} {os.environ['LOCKSPOKE_TOKEN']} {os.environ['LOCKSPOKE_LEASE_MS']}\\n\")"
)


def test_the_command_gets_token_and_lease_and_words_in_order(tmp_path: Path) -> None:
    async def play() -> None:
        made, log = announcer(tmp_path, LOG_INVOCATION)
        made.claim(7, lambda: 400_000_000)
        await made.wait_idle()
        made.withdraw("it stops")
        await made.wait_idle()
        made.claim(9, lambda: 0)  # its lease is over before the command could run
        await made.wait_idle()
        assert log.read_text().splitlines() == ["claim 7 400", "withdraw 7 400"] and not made.failures

    asyncio.run(play())


def test_a_command_that_hangs_is_killed_and_the_latest_word_goes(tmp_path: Path) -> None:
    async def play() -> None:
        made, log = announcer(
            tmp_path, f"{LOG_INVOCATION}\nlog.flush()\nsys.argv[1] == 'claim' and time.sleep(600)", limit=1.0
        )
        made.claim(7, lambda: 10**12)
        made.withdraw("sick")
        made.claim(8, lambda: 10**12)
        made.withdraw("sick again")
        await made.wait_idle()
        assert [line.split()[0] for line in log.read_text().splitlines()] in (
            ["withdraw"],
            ["claim", "withdraw"],
        )
        made.claim(9, lambda: 10**12)
        await made.wait_idle()
        assert made.failures >= 1
        gone = CommandAnnouncer([str(tmp_path / "nothing")], "a", 1.0, lambda: 0)
        gone.withdraw("it stops")
        await gone.wait_idle()
        assert gone.failures == 1

    asyncio.run(play())
    with pytest.raises(ValueError):
        CommandAnnouncer([], "a", 1.0, lambda: 0)
