"""Maps external names, such as uids and session keys, to the integers that the balancer uses."""

from __future__ import annotations

import hashlib

_SHORT_HASH_BYTES = 4
_LONG_HASH_BYTES = 8
_REPLICA_NUMBER_COUNT = 1 << 32
_REQUEST_NUMBER_COUNT = 1 << 32


def _hash(name: str, size: int) -> int:
    return int.from_bytes(
        hashlib.blake2b(name.encode("utf-8", "surrogatepass"), digest_size=size).digest(), "big"
    )


def key_identifier(name: str) -> int:
    """Return the number of a session or prefix key, the same at every gateway; 0 for an empty key."""
    return _hash(name, _LONG_HASH_BYTES) or 1 if name else 0


def machine_kind_identifier(name: str) -> int:
    """Return the number of a machine kind, the same at every gateway; 0 for an empty name."""
    return _hash(name, _SHORT_HASH_BYTES) if name else 0


class Identifiers:
    """Assigns numbers to replicas and requests.

    A replica's number is derived from its uid alone, because the balancer ranks replicas by number, and all
    gateways must compute the same ranking without communicating.
    """

    def __init__(self) -> None:
        self._replica_numbers: dict[str, int] = {}  # by uid
        self._used_numbers: set[int] = set()
        self._last_request = 0

    def replica(self, uid: str) -> int:
        """Return the number of a replica, which is stable until `forget`."""
        number = self._replica_numbers.get(uid)
        if number is None:
            number = _hash(uid, _SHORT_HASH_BYTES)
            while number in self._used_numbers:  # two uids with the same hash need two numbers
                number = (number + 1) % _REPLICA_NUMBER_COUNT
            self._replica_numbers[uid] = number
            self._used_numbers.add(number)
        return number

    def forget(self, uid: str) -> None:
        """Release a replica's number. If the uid is listed again, its number is derived anew."""
        self._used_numbers.discard(self._replica_numbers.pop(uid, -1))

    def request(self) -> int:
        """Return a number for a new request. Unlike client-sent ids, it is unique among open requests."""
        self._last_request = (self._last_request + 1) % _REQUEST_NUMBER_COUNT
        return self._last_request
