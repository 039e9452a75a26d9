"""Rules for the modules of the balancing package: small, no I/O, no clock, no global random generator."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

BALANCING = Path(__file__).resolve().parents[2] / "lockspoke" / "balancing"
MODULES = sorted(BALANCING.glob("*.py"))
ALLOWED_PLAIN_IMPORTS = {"heapq", "math", "random"}
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
def test_module_size_and_docstring(path: Path) -> None:
    lines = path.read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 490
    assert max(map(len, lines)) <= 110
    assert lines[0].startswith('"""')


def uses_of_random(tree: ast.AST) -> set[str]:
    """Return the names that a module uses from the module `random`."""
    return {
        node.attr
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute) and getattr(node.value, "id", "") == "random"
    }


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_module_reads_no_clock_and_uses_no_global_random_generator(path: Path) -> None:
    tree = ast.parse(path.read_text())
    nodes = list(ast.walk(tree))
    imported = {alias.name for node in nodes if isinstance(node, ast.Import) for alias in node.names}
    assert imported <= ALLOWED_PLAIN_IMPORTS
    imported |= {node.module or "" for node in nodes if isinstance(node, ast.ImportFrom) and not node.level}
    assert imported <= ALLOWED_IMPORTS
    assert all(node.level <= 1 for node in nodes if isinstance(node, ast.ImportFrom))
    assert uses_of_random(tree) <= {"Random"}


def test_package_uses_no_global_random_generator() -> None:
    uses = [uses_of_random(ast.parse(path.read_text())) for path in MODULES]
    assert set().union(*uses) == {"Random"}
