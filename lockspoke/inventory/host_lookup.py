"""Resolves the host names of replicas to addresses, if the settings allow host names."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from .model import ReplicaRecord, Snapshot
from .schema import is_ip

LOOKUP_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class _Answer:
    """The address of a name, empty if it has none, and the monotonic time until which it is valid."""

    address: str
    valid_until: float


class HostLookup:
    """Resolves host names and caches the answers for a given lifetime in seconds."""

    def __init__(self) -> None:
        self._answers: dict[str, _Answer] = {}

    @property
    def has_expired(self) -> bool:
        """Whether a cached answer has expired."""
        return any(answer.valid_until < time.monotonic() for answer in self._answers.values())

    def resolve_blocking(self, snapshot: Snapshot, lifetime: float) -> Snapshot:
        """Replace host names by addresses, resolving one name after the other."""
        return _with_addresses(snapshot, lambda name: self._look_up_blocking(name, lifetime))

    async def resolve(self, snapshot: Snapshot, lifetime: float) -> Snapshot:
        """Replace host names by addresses, resolving all names concurrently."""
        names = _names_in(snapshot.replicas.values())
        await asyncio.gather(*(self._look_up(name, lifetime) for name in names))
        return _with_addresses(snapshot, self._cached_address)

    def _cached_address(self, name: str) -> str:
        answer = self._answers.get(name)
        return answer.address if answer is not None else ""

    async def _look_up(self, name: str, lifetime: float) -> None:
        known = self._answers.get(name)
        if known is not None and known.valid_until > time.monotonic():
            return
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT_SECONDS):
                found = await asyncio.get_running_loop().getaddrinfo(name, None, type=socket.SOCK_STREAM)
            address = str(found[0][4][0])
        except (OSError, TimeoutError):
            address = known.address if known is not None else ""  # An expired answer is better than none.
        self._answers[name] = _Answer(address, time.monotonic() + lifetime)

    def _look_up_blocking(self, name: str, lifetime: float) -> str:
        try:
            address = str(socket.getaddrinfo(name, None, type=socket.SOCK_STREAM)[0][4][0])
        except OSError:
            address = ""
        self._answers[name] = _Answer(address, time.monotonic() + lifetime)
        return address


def _names_in(replicas: Iterable[ReplicaRecord]) -> set[str]:
    return {replica.host for replica in replicas if not is_ip(replica.host)}


def _with_addresses(snapshot: Snapshot, resolve: Callable[[str], str]) -> Snapshot:
    """Replace names by addresses; a host whose name has no address becomes an invalid host."""
    replicas: dict[str, ReplicaRecord] = {}
    invalid_hosts = dict(snapshot.invalid_hosts)
    for name, replica in snapshot.replicas.items():
        address = replica.host if is_ip(replica.host) else resolve(replica.host)
        if address:
            replicas[name] = replace(replica, host=address)
        else:
            invalid_hosts[name] = f"{replica.host!r} can't be looked up"
    return replace(snapshot, replicas=replicas, invalid_hosts=invalid_hosts)
