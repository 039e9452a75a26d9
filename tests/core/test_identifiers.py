"""The numbers of replicas, requests and keys."""

from __future__ import annotations

from lockspoke.core.identifiers import Identifiers, key_identifier


def test_replica_numbers_are_unique_and_the_same_at_every_gateway() -> None:
    identifiers = Identifiers()
    assert identifiers.replica("s-1") == Identifiers().replica("s-1") != identifiers.replica("s-2")
    assert identifiers.request() != identifiers.request()
    assert key_identifier("") == 0 != key_identifier("7f3a") < 1 << 64
    identifiers._used_numbers.add(Identifiers().replica("s-3"))
    assert identifiers.replica("s-3") != Identifiers().replica("s-3")
