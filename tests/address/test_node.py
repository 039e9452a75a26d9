"""Three members on loopback: crashes, partitions, pauses and transfers."""

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
    """Three members that share a service address, and the tokens of accepted connections."""

    def __init__(self) -> None:
        self.service = free_port()
        self.nodes: dict[str, Node] = {}
        self.relay = Relay(NAMES)
        self.tokens: list[int] = []
        # By member, how far its clock is ahead, as after a pause.
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
        """The holder; fails if there are two."""
        found = [name for name, node in self.nodes.items() if node.election.holds(node.clock())]
        assert len(found) <= 1, found
        return found[0] if found else None

    async def wait_until_moved(self, before: str) -> str:
        await until(lambda: self.holder() not in (None, before))
        return self.holder() or ""

    async def answering_member(self) -> str:
        """The member that answers at the service address."""
        reader, writer = await asyncio.open_connection(*self.service)
        try:
            return (await reader.read()).decode()
        finally:
            writer.close()


def with_three_members(test: Callable[[ThreeMembers], Awaitable[None]]) -> Callable[[], None]:
    def wrapped() -> None:
        async def run_test() -> None:
            async with ThreeMembers() as members:
                await test(members)

        asyncio.run(run_test())

    wrapped.__name__ = test.__name__
    return wrapped


@with_three_members
async def test_tokens_grow_over_repeated_crashes_and_partitions(
    members: ThreeMembers,
) -> None:
    for cycle in range(4):
        holder = members.holder() or ""
        assert await members.answering_member() == holder
        if cycle % 2:
            members.relay.cut(holder)
            new = await members.wait_until_moved(holder)
            assert await members.answering_member() == new
            members.relay.heal()
        else:
            members.nodes.pop(holder).abort()
            new = await members.wait_until_moved(holder)
            assert await members.answering_member() == new
            await members.start(holder)
        await until(lambda: all(node.election.role.value != "silent" for node in members.nodes.values()))
        assert members.holder() == new  # No member takes it back.
    assert members.tokens == sorted(members.tokens) and len(set(members.tokens)) >= 5


@with_three_members
async def test_planned_move_reaches_its_successor(members: ThreeMembers) -> None:
    holder = members.holder() or ""
    successor = next(name for name in NAMES if name != holder)
    members.nodes[holder].move(successor)
    assert (
        await members.wait_until_moved(holder) == successor and await members.answering_member() == successor
    )


@with_three_members
async def test_connection_accepted_after_the_lease_is_closed(members: ThreeMembers) -> None:
    """A holder that was paused beyond its lease finds connections in its backlog."""
    holder = members.holder() or ""
    node = members.nodes[holder]
    listener = node.announcer
    assert isinstance(listener, ServiceListener) and await members.answering_member() == holder
    # The connection is in the backlog, since the event loop has not run.
    client = socket.create_connection(members.service)
    members.clock_offsets[holder] += 10_000_000_000
    client.setblocking(False)
    # The connection was closed unread, or never accepted.
    assert await asyncio.get_running_loop().sock_recv(client, 1) == b""
    client.close()
    assert len(members.tokens) == 1
    members.nodes.pop(holder).abort()
    new = await members.wait_until_moved(holder)
    assert await members.answering_member() == new


@with_three_members
async def test_forged_datagrams_and_a_flood_do_not_disturb_the_election(
    members: ThreeMembers,
) -> None:
    holder = members.holder() or ""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for count in range(3_000):
            sender.sendto(b"LSA\x01" + bytes(100), members.relay.listen_addresses[holder])
            if not count % 100:
                await asyncio.sleep(0)
    await until(lambda: sum(members.nodes[holder].channel.rejected.values()) > 0)
    assert members.holder() == holder
    assert set(members.nodes[holder].channel.rejected) <= {"unknown_key", "repeated"}
