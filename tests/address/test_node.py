"""Three members on loopback: killed, cut off, paused and handed over, with a watch on who accepts."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Awaitable, Callable

from lockspoke.address.clock import steady_clock
from lockspoke.address.election_config import ElectionConfig
from lockspoke.address.listener import ServiceListener
from lockspoke.address.node import Node
from tests.address.relay import Relay, free_port
from tests.standins import until

KEY = [b"k" * 32]
NAMES = ("a", "b", "c")


class ThreeMembers:
    """Three members that share a service address, and the log of who held it when."""

    def __init__(self) -> None:
        self.service = free_port()
        self.nodes: dict[str, Node] = {}
        self.relay = Relay(NAMES)
        self.tokens: list[int] = []
        # by which a member's clock is ahead: a pause that is over
        self.clock_offsets = dict.fromkeys(NAMES, 0)

    async def __aenter__(self) -> ThreeMembers:
        self.relay.start()
        for name in NAMES:
            await self.start(name)
        await until(lambda: self.holder() is not None)
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self.nodes.values():
            node.abort()
        self.relay.close()

    def clock(self, name: str) -> int:
        return steady_clock() + self.clock_offsets[name]

    async def start(self, name: str) -> None:
        def accepted(connection: socket.socket, token: int) -> None:
            self.tokens.append(token)
            connection.sendall(name.encode())
            connection.close()

        def clock() -> int:
            return self.clock(name)

        listener = ServiceListener(self.service, accepted, clock)
        node = Node(
            name,
            self.relay.peer_addresses[name],
            ElectionConfig(NAMES),
            KEY,
            listener,
            random.Random(name).random,
            clock,
        )
        await node.start()
        self.relay.listen_addresses[name] = node.peer_addresses[name]
        node.set_health(True)
        self.nodes[name] = node

    def holder(self) -> str | None:
        """Who holds now. More than one at any look is the failure that must not be."""
        found = [name for name, node in self.nodes.items() if node.election.holds(node.clock())]
        assert len(found) <= 1, found
        return found[0] if found else None

    async def wait_until_moved(self, before: str) -> str:
        await until(lambda: self.holder() not in (None, before))
        return self.holder() or ""

    async def answering_member(self) -> str:
        """Who answers at the service address."""
        reader, writer = await asyncio.open_connection(*self.service)
        try:
            return (await reader.read()).decode()
        finally:
            writer.close()


def with_three_members(test: Callable[[ThreeMembers], Awaitable[None]]) -> Callable[[], None]:
    def wrapped() -> None:
        async def play() -> None:
            async with ThreeMembers() as trio:
                await test(trio)

        asyncio.run(play())

    wrapped.__name__ = test.__name__  # type: ignore[attr-defined]
    return wrapped


@with_three_members
async def test_tokens_grow_over_repeated_crashes_and_partitions(
    trio: ThreeMembers,
) -> None:
    for cycle in range(4):
        holder = trio.holder() or ""
        assert await trio.answering_member() == holder
        if cycle % 2:
            trio.relay.cut(holder)
            new = await trio.wait_until_moved(holder)
            assert await trio.answering_member() == new
            trio.relay.heal()
        else:
            trio.nodes.pop(holder).abort()
            new = await trio.wait_until_moved(holder)
            assert await trio.answering_member() == new
            await trio.start(holder)
        await until(lambda: all(node.election.role.value != "silent" for node in trio.nodes.values()))
        assert trio.holder() == new  # nobody takes it back
    assert trio.tokens == sorted(trio.tokens) and len(set(trio.tokens)) >= 5


@with_three_members
async def test_planned_move_reaches_its_successor(trio: ThreeMembers) -> None:
    holder = trio.holder() or ""
    heir = next(name for name in NAMES if name != holder)
    trio.nodes[holder].move(heir)
    assert await trio.wait_until_moved(holder) == heir and await trio.answering_member() == heir


@with_three_members
async def test_connection_accepted_after_the_lease_is_closed(trio: ThreeMembers) -> None:
    """A holder that was paused past its lease: the backlog is full, and its clock has gone on."""
    holder = trio.holder() or ""
    node = trio.nodes[holder]
    listener = node.announcer
    assert isinstance(listener, ServiceListener) and await trio.answering_member() == holder
    client = socket.create_connection(trio.service)  # it waits in the backlog: nothing ran since
    trio.clock_offsets[holder] += 10_000_000_000
    client.setblocking(False)
    assert await asyncio.get_running_loop().sock_recv(client, 1) == b""  # closed unread, or never accepted
    client.close()
    assert len(trio.tokens) == 1
    trio.nodes.pop(holder).abort()
    new = await trio.wait_until_moved(holder)
    assert await trio.answering_member() == new


@with_three_members
async def test_forged_datagrams_and_a_flood_do_not_disturb_the_election(
    trio: ThreeMembers,
) -> None:
    holder = trio.holder() or ""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for count in range(3_000):
            sender.sendto(b"LSA\x01" + bytes(100), trio.relay.listen_addresses[holder])
            if not count % 100:
                await asyncio.sleep(0)
    await until(lambda: sum(trio.nodes[holder].channel.rejected.values()) > 0)
    assert trio.holder() == holder
    assert set(trio.nodes[holder].channel.rejected) <= {"unknown_key", "repeated"}
