"""Tests that the example in the README runs as printed."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_the_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(blocks) == 1
    command = [sys.executable, "-c", blocks[0]]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == 0, done.stderr
    assert re.fullmatch(r"request 1 was served by replica [78]\n", done.stdout)
