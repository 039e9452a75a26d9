"""KNOWN-RED.txt: tests that fail because of a known fault; they run as strict expected failures."""

from __future__ import annotations

from pathlib import Path

import pytest

MAX_KNOWN_RED = 3


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", metavar="FILE", help="lines of: test | cause | issue")
    parser.addoption(
        "--drain-days", type=int, metavar="N", help="random days for the rule on drains, of each size"
    )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    name = config.getoption("--known-red")
    lines = _known_red_lines(config)
    if len(lines) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"{name} lists {len(lines)} tests, {MAX_KNOWN_RED} at most: mend one first")
    items_by_id = {item.nodeid: item for item in items}
    for number, line in enumerate(lines, 1):
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{name}:{number}: want 'test | cause | issue', got {line!r}")
        if parts[0] not in items_by_id:
            raise pytest.UsageError(f"{name}:{number}: there is no test {parts[0]!r}")
        # Strict: the line of a test that passes has to be removed.
        items_by_id[parts[0]].add_marker(pytest.mark.xfail(reason=f"known: {parts[1]}", strict=True))


def _known_red_lines(config: pytest.Config) -> list[str]:
    """The lines of the file that hold text; none without the option or the file."""
    name = config.getoption("--known-red")
    path = Path(config.rootpath, name) if name else None
    if path is None or not path.exists():
        return []
    return [line for line in path.read_text().splitlines() if line.strip()]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    # Read again: the process that prints the summary is not one of those that collect the tests.
    for line in _known_red_lines(config):
        terminalreporter.write_line(f"known red: {line}")
