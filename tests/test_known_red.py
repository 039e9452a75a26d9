"""The list of known faults lets just these through, and nothing else that is wrong with it."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

TESTS = "def test_good(): pass\ndef test_bad(): assert False\ndef test_worse(): assert False\n"
BAD, WORSE = "test_it.py::test_bad | it is wrong | 27", "test_it.py::test_worse | it is wrong, too | 27"


@pytest.mark.parametrize(
    ("lines", "code", "said"),
    [
        ([BAD, WORSE], 0, f"known red: {BAD}"),
        ([BAD], 1, "FAILED test_it.py::test_worse"),
        ([], 1, "2 failed, 1 passed"),
        ([BAD, WORSE, "test_it.py::test_good | it was wrong | 27"], 1, "FAILED test_it.py::test_good"),
        ([BAD, WORSE, "test_it.py::test_gone | it was wrong | 27"], 4, "KNOWN-RED.txt:3: there is no test"),
        ([BAD, WORSE, BAD, WORSE], 4, "lists 4 tests, 3 at most"),
        ([BAD, "test_it.py::test_worse"], 4, "KNOWN-RED.txt:2: want 'test | cause | issue'"),
    ],
)
def test_only_listed_tests_may_fail_and_they_have_to(
    tmp_path: Path, lines: list[str], code: int, said: str
) -> None:
    (tmp_path / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    (tmp_path / "test_it.py").write_text(TESTS)
    if lines:
        (tmp_path / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--known-red", "KNOWN-RED.txt"]
    ran = subprocess.run(
        [*command, f"--rootdir={tmp_path}"], cwd=tmp_path, capture_output=True, text=True, check=False
    )
    assert ran.returncode == code and said in ran.stdout + ran.stderr, ran.stdout + ran.stderr
