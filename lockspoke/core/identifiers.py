"""Maps names from outside, such as uids and session keys, to the integers that the balancer works with."""

from __future__ import annotations

import hashlib

_HASH_32_BITS = 4  # bytes
_HASH_64_BITS = 8  # bytes
_REPLICA_NUMBERS = 1 << 32
_REQUEST_NUMBERS = 1 << 32


def _hash(name: str, size: int) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=size).digest(), "big")


def key_identifier(name: str) -> int:
    """The number of a session or prefix key, the same at every gateway; 0 for an empty key."""
    return _hash(name, _HASH_64_BITS) or 1 if name else 0


def machine_kind_identifier(name: str) -> int:
    """The number of a kind of machine, the same at every gateway; 0 for an empty name."""
    return _hash(name, _HASH_32_BITS) if name else 0


class Identifiers:
    """Assigns numbers to replicas and requests.

    A replica's number is derived from its uid alone: the balancer ranks replicas by number, and all gateways
    must arrive at the same ranking without communicating.
    """

    def __init__(self) -> None:
        self._replica_numbers: dict[str, int] = {}  # by uid
        self._used_numbers: set[int] = set()
        self._last_request = 0

    def replica(self, uid: str) -> int:
        """The number of a replica, stable until `forget`."""
        number = self._replica_numbers.get(uid)
        if number is None:
            number = _hash(uid, _HASH_32_BITS)
            while number in self._used_numbers:  # two uids with the same hash need two numbers
                number = (number + 1) % _REPLICA_NUMBERS
            self._replica_numbers[uid] = number
            self._used_numbers.add(number)
        return number

    def forget(self, uid: str) -> None:
        """Release a replica's number. If the uid is listed again, it gets the number of its hash again."""
        self._used_numbers.discard(self._replica_numbers.pop(uid, -1))

    def request(self) -> int:
        """A new request's number. Unlike the ids that clients send, it is unique among open requests."""
        self._last_request = (self._last_request + 1) % _REQUEST_NUMBERS
        return self._last_request
