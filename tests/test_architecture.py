"""Tests that imports have no cycles and follow the layers of docs/architecture.md."""

from __future__ import annotations

import ast
import subprocess
import sys
from functools import cache
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "lockspoke"

# From the lowest layer to the highest. A package imports only from its own layer and lower ones.
LAYERS = (
    ("boot_time", "rate_limited_log", "steady_unix_time", "units"),
    ("balancing",),
    ("core", "simulator"),
    ("wire",),
    ("lifecycle",),
    ("address", "batch", "inventory"),
    ("cli",),
)
RANK = {package: rank for rank, layer in enumerate(LAYERS) for package in layer}
OPTIONAL = ("address", "batch", "cli", "inventory", "simulator.__main__")


def modules() -> dict[str, Path]:
    """Return the file of each module of the program by its dotted name."""
    found = {}
    for path in PACKAGE.rglob("*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imported_by(name: str, path: Path, known: set[str]) -> set[str]:
    """Return the modules of the program that a module imports, including in functions."""
    package = name if path.name == "__init__.py" else name.rpartition(".")[0]
    imported: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            base = package.split(".")[: len(package.split(".")) - node.level + 1] if node.level else []
            source = ".".join([*base, *([node.module] if node.module else [])])
            submodules = {f"{source}.{alias.name}" for alias in node.names} & known
            imported |= submodules or {source}
    return (imported & known) - {name}


@cache
def graph() -> dict[str, set[str]]:
    found = modules()
    return {name: imported_by(name, path, set(found)) for name, path in found.items()}


def test_imports_have_no_cycles() -> None:
    TopologicalSorter(graph()).prepare()


@pytest.mark.parametrize("name", sorted(modules()))
def test_a_module_imports_only_from_its_own_and_lower_layers(name: str) -> None:
    _, _, package = name.partition(".")
    rank = RANK.get(package.partition(".")[0])
    if rank is None:
        assert package in ("", "__main__"), f"{name} belongs to no layer"
        return
    for other in graph()[name]:
        below = RANK.get(other.partition(".")[2].partition(".")[0], -1)
        assert below <= rank, f"{name} imports {other}"


def test_the_gateway_starts_without_the_optional_packages() -> None:
    probe = (
        "import sys, lockspoke.lifecycle.program; "
        "print(*(name for name in sys.modules if name.startswith('lockspoke.')))"
    )
    done = subprocess.run(
        [sys.executable, "-c", probe], cwd=ROOT, capture_output=True, text=True, timeout=60, check=True
    )
    loaded = {name.removeprefix("lockspoke.") for name in done.stdout.split()}
    assert "core.core" in loaded
    assert not {name for name in loaded if name.startswith(OPTIONAL)}
