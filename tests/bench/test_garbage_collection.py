"""The benches' own garbage collections."""

from __future__ import annotations

import gc

from bench.garbage_collection import short_collections


class Node:
    """An object that the collector knows of."""


def test_objects_from_before_a_bench_are_not_traversed_while_it_runs() -> None:
    """Guards against: full collections stopped a bench's event loop, and its runs did not count."""
    before = Node()
    assert any(known is before for known in gc.get_objects())
    with short_collections() as pauses:
        created = Node()
        known = gc.get_objects()
        assert not any(one is before for one in known) and any(one is created for one in known)
        gc.collect()
        assert pauses.longest > 0.0
    assert any(one is before for one in gc.get_objects())
    assert gc.get_freeze_count() == 0
