"""Rules for the modules of the balancing package: small, without I/O, clocks or a shared random source."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

BALANCING = Path(__file__).resolve().parents[2] / "lockspoke" / "balancing"
MODULES = sorted(BALANCING.glob("*.py"))
ALLOWED_IMPORTS = {
    "__future__",
    "collections",
    "dataclasses",
    "enum",
    "heapq",
    "lockspoke.units",
    "itertools",
    "math",
    "random",
    "typing",
    "collections.abc",
}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_a_module_is_at_most_490_lines_of_110_characters(path: Path) -> None:
    lines = path.read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 490
    assert max(map(len, lines), default=0) <= 110


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_a_module_reads_no_clock_and_shares_no_random_source(path: Path) -> None:
    tree = ast.parse(path.read_text())
    nodes = list(ast.walk(tree))
    imported = {alias.name for node in nodes if isinstance(node, ast.Import) for alias in node.names}
    imported |= {node.module or "" for node in nodes if isinstance(node, ast.ImportFrom) and not node.level}
    assert imported <= ALLOWED_IMPORTS
    assert all(node.level <= 1 for node in nodes if isinstance(node, ast.ImportFrom))
    uses = {n.attr for n in nodes if isinstance(n, ast.Attribute) and getattr(n.value, "id", "") == "random"}
    assert uses <= {"Random"}
