"""Gateway processes that share a service address, with network links between them that can be cut."""

from __future__ import annotations

import asyncio
import itertools
import json
import secrets
import signal
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from lockspoke.address.control import send_command
from tests.address.relay import Relay, free_port
from tests.standins import Client, FakeReplica, Program, request_bytes, until

HEALTH = {"well_after": 0.2}


def format_endpoint(port: tuple[str, int]) -> str:
    """Format an address as in the settings."""
    return f"{port[0]}:{port[1]}"


def toml(values: dict[str, Any], section: str) -> str:
    """Format a section of a TOML file; nested tables become sections below it."""
    lines = [f"[{section}]"]
    lines += [f"{key} = {json.dumps(value)}" for key, value in values.items() if not isinstance(value, dict)]
    nested = [toml(value, f"{section}.{key}") for key, value in values.items() if isinstance(value, dict)]
    return "\n".join([*lines, *nested]) + "\n"


class Cluster:
    """Some gateways, a replica, and the relay between their members."""

    def __init__(self, names: tuple[str, ...] = ("a", "b", "c"), **settings: Any) -> None:
        self.names, self.gateway, self.settings = names, settings.pop("gateway", {}), settings
        self.service = free_port()
        self.relay = Relay(names)
        self.programs: dict[str, Program] = {}
        self.killed: list[tuple[str, int]] = []  # The names and times, on the clock that all processes share.
        self.request_count = 0

    async def __aenter__(self) -> Cluster:
        self.stack = AsyncExitStack()
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.key = self.folder / "key"
        self.key.touch(0o600)
        self.key.write_text(secrets.token_hex(32))
        self.replica = await self.stack.enter_async_context(FakeReplica())
        self.relay.start()
        try:
            await asyncio.gather(*(self.start(name) for name in self.names))
            await until(lambda: self.holder is not None)
        except BaseException:
            await self.__aexit__()  # No process may be left running.
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for program in self.programs.values():
            if program.process.returncode is None:
                program.process.send_signal(signal.SIGCONT)
            await program.__aexit__()
        self.relay.close()
        await self.stack.aclose()

    def write_edge(self, name: str, **changes: Any) -> Path:
        """A member's edge file."""
        path = self.folder / f"{name}.toml"
        addresses = self.relay.peer_addresses[name]
        settings: dict[str, Any] = {
            "name": name,
            "service": format_endpoint(self.service),
            "bind": "127.0.0.1:0",
            "keys": [str(self.key)],
            "control": str(self.folder / f"{name}.sock"),
            "trace": str(self.folder / f"{name}.trace"),
            "members": {other: format_endpoint(addresses[other]) for other in self.names},
            "health": HEALTH,
        }
        settings |= self.settings | changes
        if "record" in settings:
            settings["record"] = str(self.folder / name)
        path.write_text(toml(settings, "address"))
        return path

    async def start(self, name: str, **changes: Any) -> Program:
        """Start a member's gateway."""
        program = Program(self.replica, options=("--edge", self.write_edge(name, **changes)), **self.gateway)
        self.programs[name] = program
        await program.__aenter__()
        await until(lambda: program.log("address_started") is not None)
        self.relay.listen_addresses[name] = "127.0.0.1", program.log("address_started")["port"]  # type: ignore[index]
        return program

    async def kill(self, name: str) -> float:
        """Kill a member; returns the time."""
        program = self.programs.pop(name)
        at = time.monotonic()
        self.killed.append((name, time.clock_gettime_ns(time.CLOCK_BOOTTIME)))
        program.process.kill()
        await program.process.wait()
        await program.__aexit__()
        return at

    @property
    def holder(self) -> str | None:
        """The member whose log says that it holds the address."""
        found = {
            name: self.token(program)
            for name, program in self.programs.items()
            if program.process.returncode is None and self.token(program)
        }
        # A paused member does not know that it has lost the address, so the highest token decides.
        return max(found, key=lambda name: found[name]) if found else None

    @staticmethod
    def token(program: Program) -> int:
        """The token by which a program holds the address, by its log; 0 if it does not hold it."""
        for line in reversed(program.logs):
            if line["event"] in ("address_lease_acquired", "address_lease_lost"):
                return int(line["token"]) if line["event"] == "address_lease_acquired" else 0
        return 0

    async def wait_until_moved(self, before: str) -> str:
        """Wait until another member holds the address, and return it."""
        await until(lambda: self.holder not in (None, before))
        return self.holder or ""

    async def wait_until_voting(self) -> None:
        """Wait until every running member may vote and is healthy."""

        def all_ready() -> bool:
            for name in self.programs:
                found = self.status(name)
                if found["role"] == "silent" or not found["health"]["fit"]:
                    return False
            return True

        while not await asyncio.to_thread(all_ready):
            await asyncio.sleep(0.02)

    def status(self, name: str) -> dict[str, Any]:
        """The status as the command shows it."""
        return send_command(self.folder / f"{name}.sock", {"do": "status"})

    async def wait_until_answered(self, limit: float = 0.1) -> float:
        """Repeat requests to the service address until one is answered; returns the time."""
        while True:
            self.request_count += 1
            try:
                async with asyncio.timeout(limit), Client(self.service[1]) as client:
                    status, _, _, complete = await client.request(request_bytes(self.request_count))
                    if status == 200 and complete:
                        return time.monotonic()
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.001)

    def claims(self) -> list[tuple[int, int, str, int]]:
        """All claims in the traces of the members: start, end, member and token.

        The times are on the clock that all processes share. A claim ends when its last lease would end, when
        it is released, or when its process is killed. The start of another claim does not end it, so that
        overlaps are visible.
        """
        found: list[tuple[int, int, str, int]] = []
        for name in self.names:
            path = self.folder / f"{name}.trace"
            open_at, until_at, token = 0, 0, 0
            events = [(line["at"], line) for line in map(json.loads, path.read_text().splitlines())]
            events += [(at, {"lost": True}) for member, at in self.killed if member == name]
            for at, line in sorted(events, key=lambda one: one[0]):
                if open_at and ("lost" in line or at > until_at):
                    found.append((open_at, min(until_at, at), name, token))
                    open_at = 0
                if "token" in line:
                    open_at, until_at, token = open_at or at, line["until"], line["token"]
            if open_at:
                found.append((open_at, until_at, name, token))
        return sorted(found)


def overlaps(claims: list[tuple[int, int, str, int]]) -> list[str]:
    """Describe the overlapping claims and the tokens that did not grow."""
    faults = []
    for before, after in itertools.pairwise(claims):
        if before[2] != after[2] and after[0] < before[1]:
            faults.append(f"{after[2]} began {(before[1] - after[0]) / 1e6:.3f} ms before {before[2]} ended")
        if after[3] <= before[3]:
            faults.append(f"{after[2]} had token {after[3]} after {before[3]}")
    return faults
