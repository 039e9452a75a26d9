"""The one place where names from outside become the integers that the decisions work with."""

from __future__ import annotations

import hashlib

_U32, _U64 = 4, 8


def _hash(name: str, size: int) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=size).digest(), "big")


def key_identifier(name: str) -> int:
    """A conversation's or a prefix's number, the same at every gateway; 0 stands for none."""
    return _hash(name, _U64) or 1 if name else 0


def machine_kind_identifier(name: str) -> int:
    """The number of a kind of machine; 0 stands for one that the list does not tell."""
    return _hash(name, _U32) if name else 0


class Identifiers:
    """Numbers replicas and requests.

    A replica's number comes from its uid alone: the decisions rank replicas by it, and all gateways have to
    find the same ranks without a word to one another.
    """

    def __init__(self) -> None:
        self._replicas: dict[str, int] = {}
        self._taken: set[int] = set()
        self._calls = 0

    def replica(self, uid: str) -> int:
        """The number of a replica, for as long as it is known."""
        number = self._replicas.get(uid)
        if number is None:
            number = _hash(uid, _U32)
            while number in self._taken:  # two uids with one hash must not become one replica
                number = (number + 1) % (1 << 32)
            self._replicas[uid] = number
            self._taken.add(number)
        return number

    def forget(self, uid: str) -> None:
        """A replica that is gone for good: named again, it would get the same number, its hash."""
        self._taken.discard(self._replicas.pop(uid, -1))

    def request(self) -> int:
        """The next request's number; a client's id may come twice, this does not."""
        self._calls = (self._calls + 1) % (1 << 32)
        return self._calls
