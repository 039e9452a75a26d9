"""Stand-in for discovery: one list for all gateways, with a separate port for each of them."""

from __future__ import annotations

import asyncio
import json
import random
import time
from contextlib import suppress
from typing import Any

from lockspoke.wire.http.messages import Request
from tests.standins import Server

from .cuts import Writer, draw_writer
from .observations import DrainNotified, Observations
from .replicas import SoakReplica

# Seconds after discovery has a change and is reachable. By then the change counts as notified even if it was
# not written.
MAX_NOTIFICATION_DELAY = 6.0


class ReplicaList:
    """The list of replicas, its version, and the state of each replica."""

    def __init__(self, replicas: list[SoakReplica]) -> None:
        self.replicas = replicas
        self.version = 1
        self.states = ["up"] * len(replicas)
        self.changed_at = [0] * len(replicas)  # the version of each replica's last change
        self.changed = asyncio.Event()

    def set_state(self, index: int, state: str) -> None:
        """Change one replica's state and wake all watches."""
        self.version += 1
        self.states[index] = state
        self.changed_at[index] = self.version
        self.changed.set()
        self.changed = asyncio.Event()

    def complete(self) -> dict[str, Any]:
        """The complete list, without removed replicas."""
        targets = [self._target(index) for index, state in enumerate(self.states) if state != "removed"]
        return {"rev": self.version, "all": True, "targets": targets}

    def since(self, version: int) -> dict[str, Any]:
        """The replicas that have changed since a version."""
        indexes = [index for index, changed_at in enumerate(self.changed_at) if changed_at > version]
        targets = [self._target(index) for index in indexes]
        return {"rev": self.version, "all": False, "targets": targets}

    def _target(self, index: int) -> dict[str, Any]:
        replica = self.replicas[index]
        endpoint = f"127.0.0.1:{replica.port}"
        state = self.states[index]
        return {"uid": f"s-{index}", "endpoint": endpoint, "state": state, "boot_ms": replica.boot_ms}


class SoakDiscovery(Server):
    """The endpoint of discovery for one gateway."""

    def __init__(
        self, replicas: ReplicaList, observations: Observations, cut_rng: random.Random | None = None
    ) -> None:
        super().__init__()
        self.gateway = ""  # name of the gateway's current process
        self.unreachable_until = 0.0  # time until which it answers 503
        self.silent_until = 0.0  # time until which watches are left without an answer
        self._silent_since: float | None = None  # since when a watch has had no answer, until the next one
        self._list = replicas
        self._observations = observations
        self._cut_rng = cut_rng  # None: answers are never cut
        # By replica: its incarnation that has ended, and the time at which discovery learned it.
        self._pending: dict[int, tuple[int, float]] = {}

    def serve_new_process(self, gateway: str) -> None:
        """Serve a new process from now on, which got the current list at its start."""
        self.gateway = gateway
        self._pending.clear()
        self._silent_since = None
        for index, state in enumerate(self._list.states):
            if state != "up":
                incarnation = self._list.replicas[index].incarnation
                self._observations.drains.append(DrainNotified(gateway, index, incarnation, time.monotonic()))

    def record_incarnation_end(self, index: int) -> None:
        """Record that a replica's incarnation ends now; MAX_NOTIFICATION_DELAY counts from this time."""
        self._pending[index] = (self._list.replicas[index].incarnation, time.monotonic())

    def record_overdue_drains(self) -> None:
        """Record drains that count as notified by now although no answer with them was written."""
        now = time.monotonic()
        for index, (incarnation, since) in list(self._pending.items()):
            at = max(since, self.unreachable_until) + MAX_NOTIFICATION_DELAY
            if self._silent_since is not None:
                at = min(at, max(since, self._silent_since + MAX_NOTIFICATION_DELAY))
            if now >= at:
                del self._pending[index]
                self._observations.drains.append(DrainNotified(self.gateway, index, incarnation, at))

    def reset_connections(self) -> None:
        """Reset all connections of the gateway."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.CancelledError):  # the end of the run
            await super()._serve(reader, writer)

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer a request for the list, or hold it until something changes."""
        gateway = self.gateway  # a new process may have replaced it by the time of the answer
        if time.monotonic() < self.unreachable_until:
            writer.write(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
            return
        query = dict(pair.partition("=")[::2] for pair in request.head.query.split("&") if pair)
        endpoint_list = self._list.complete()
        if "from" in query:
            version, max_wait = int(query["from"]), int(query.get("hold_ms", "0")) / 1000
            if max_wait and time.monotonic() < self.silent_until:
                self._silent_since = time.monotonic()
                return
            if version >= self._list.version:
                await self._wait_for_change(max_wait)
            if max_wait and time.monotonic() < self.silent_until:
                self._silent_since = time.monotonic()
                return
            endpoint_list = self._list.since(version)
        if time.monotonic() < self.unreachable_until:
            writer.write(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
            return
        if gateway == self.gateway:
            self._write(endpoint_list, draw_writer(self._cut_rng, writer))

    async def _wait_for_change(self, max_wait: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(max_wait):
                await self._list.changed.wait()

    def _write(self, endpoint_list: dict[str, Any], writer: Writer) -> None:
        if writer.is_closing():
            return
        body = json.dumps(endpoint_list).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        if writer.is_closing():
            return  # the answer was cut, so the gateway was not notified
        self._silent_since = None
        for index, (incarnation, _) in list(self._pending.items()):
            if self._list.states[index] != "up" or self._list.replicas[index].incarnation > incarnation:
                del self._pending[index]
                now = time.monotonic()
                self._observations.drains.append(DrainNotified(self.gateway, index, incarnation, now))
