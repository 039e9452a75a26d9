"""Tests of how the program, run in its own process, uses the endpoint list from discovery."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from tests.standins import Client, FakeDiscovery, FakeReplica, Program, request_bytes, target, until

from .support import UP, run


@run
async def test_discovery_is_watched_and_malformed_responses_change_nothing() -> None:
    async with FakeReplica() as old, FakeReplica() as new, FakeDiscovery() as discovery:
        discovery.targets = [{"uid": 5}]
        discovery.raw = b'{"rev": 2, "all": true, "targets": [{"uid": 5}]}'
        async with Program(old, discovery=discovery) as program, Client(program.port) as client:
            await until(lambda: program.log("discovery_failing") is not None)
            assert (await client.request(request_bytes(1)))[0] == 200  # the old list is still used
            assert len(old.seen) == 1
            discovery.change(new)
            await until(lambda: program.log("endpoint_list_changed") is not None)
            await until(lambda: f"from={discovery.rev}&" in discovery.seen[-1].head.query)
            assert (await client.request(request_bytes(2)))[0] == 200
            assert len(new.seen) == 1 and len(old.seen) == 1


@run
async def test_an_implausible_list_is_not_applied() -> None:
    """Applying an empty list or one that names a replica twice would interrupt the whole service."""
    for twice in (False, True):
        async with FakeReplica() as replica, FakeDiscovery() as discovery:
            discovery.change(replica)
            entries = [target(replica)] * 2 if twice else []
            discovery.raw = json.dumps({"rev": 9, "all": True, "targets": entries}).encode()
            async with Program(replica, discovery=discovery) as program, Client(program.port) as client:
                await until(lambda now=program: now.log("discovery_failing") is not None)  # type: ignore[misc]  # mypy infers no lambda with a default
                assert (await client.request(request_bytes(1)))[0] == 200
                await until(lambda now=program: now.log("discovery_recovered") is not None)  # type: ignore[misc]  # mypy infers no lambda with a default
                assert (await client.request(request_bytes(2)))[0] == 200


@run
async def test_a_contradictory_drain_and_a_confirmed_empty_list_are_applied() -> None:
    """A published drain must be obeyed even if the list that contains it is implausible."""
    for twice in (False, True):
        async with FakeReplica() as replica, FakeDiscovery() as discovery:
            discovery.rev = 9
            discovery.targets = [target(replica), target(replica, "draining")] if twice else []
            async with Program(replica, discovery=discovery) as program, Client(program.port) as client:
                await until(lambda now=program: now.log("endpoint_list_changed") is not None)  # type: ignore[misc]  # mypy infers no lambda with a default
                assert (await client.request(request_bytes(1, deadline=300)))[0] != 200
            assert not replica.seen


@run
async def test_with_pushed_lists_the_program_is_ready_after_the_first_response() -> None:
    """A change is binding as soon as discovery publishes it, and the configured list may be outdated."""

    class DelayedDiscovery(FakeDiscovery):
        def __init__(self) -> None:
            super().__init__()
            self.may_answer = asyncio.Event()

        async def answer(self, request: Any, writer: asyncio.StreamWriter) -> None:
            await self.may_answer.wait()
            await super().answer(request, writer)

    async with FakeReplica() as removed, FakeReplica() as replica, DelayedDiscovery() as discovery:
        discovery.change(replica)
        pushed = Program(removed, discovery=discovery)
        pushed.settings["discovery"] = "automatic"
        async with pushed as program:
            await until(lambda: bool(discovery.seen))
            async with Client(program.port) as client:
                assert (await client.request(UP))[0] == 503
                discovery.may_answer.set()
                await until(lambda: program.log("phase", now="ready") is not None)
                assert (await client.request(UP))[0] == 200
                assert (await client.request(request_bytes(1)))[0] == 200
        assert not removed.seen and len(replica.seen) == 1
