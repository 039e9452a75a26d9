"""The limits of the decision module itself."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
POLICY = ROOT / "hillridge" / "policy.py"


def test_the_module_is_at_most_490_lines_of_110_characters() -> None:
    lines = POLICY.read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 490
    assert max(map(len, lines)) <= 110
    assert "hillridge/interface.py" in lines[0]


def test_the_module_reads_no_clock_and_shares_no_random_source() -> None:
    tree = ast.parse(POLICY.read_text())
    imported = {alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names}
    assert imported <= {"heapq", "math", "random"}
    uses = [
        n.attr
        for n in ast.walk(tree)
        if isinstance(n, ast.Attribute) and getattr(n.value, "id", "") == "random"
    ]
    assert set(uses) == {"Random"}
