"""KNOWN-RED.txt: tests that fail for a real fault that is not mended yet, run as strict expected failures."""

from __future__ import annotations

from pathlib import Path

import pytest

MOST = 3
_RED = pytest.StashKey[list[str]]()


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", metavar="FILE", help="lines of: test | cause | issue")
    parser.addoption(
        "--drain-days", type=int, metavar="N", help="random days for the rule on drains, of each size"
    )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    name = config.getoption("--known-red")
    path = Path(config.rootpath, name) if name else None
    lines = [one for one in path.read_text().splitlines() if one.strip()] if path and path.exists() else []
    config.stash[_RED] = lines
    if len(lines) > MOST:
        raise pytest.UsageError(f"{name} lists {len(lines)} tests, {MOST} at most: mend one first")
    found = {item.nodeid: item for item in items}
    for at, line in enumerate(lines, 1):
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{name}:{at}: want 'test | cause | issue', got {line!r}")
        if parts[0] not in found:
            raise pytest.UsageError(f"{name}:{at}: there is no test {parts[0]!r}")
        # Strict: one that passes is mended, and its line has to go.
        found[parts[0]].add_marker(pytest.mark.xfail(reason=f"known: {parts[1]}", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for line in config.stash.get(_RED, []):
        terminalreporter.write_line(f"known red: {line}")
