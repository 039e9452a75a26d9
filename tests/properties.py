"""Helpers shared by property-based tests."""

from __future__ import annotations

import itertools

from hypothesis import settings

reproducible = settings(derandomize=True, deadline=None, max_examples=150)


def split_at(data: bytes, positions: list[int]) -> list[bytes]:
    """Split bytes at the positions, each reduced modulo the length plus one."""
    edges = [0, *sorted(position % (len(data) + 1) for position in positions), len(data)]
    return [data[start:end] for start, end in itertools.pairwise(edges)]
