"""Records the golden files under data/wire and data/log_lines.json: `python -m tests.golden.record_wire`.

They were made from commit 0bad67a, before its modules and classes were renamed and moved, so that the code
since can be shown to say the same. They are not to be recorded again to get a pass: a difference is a change
of what others see. Where one is meant, its commit says which bytes changed and why, and only they do.
"""

from __future__ import annotations

import importlib
import pkgutil

import tests.golden
from tests.golden import transcripts


def main() -> None:
    """Run each golden test with the comparison replaced by a recording."""
    transcripts.RECORDING = True
    names = [one.name for one in pkgutil.iter_modules(tests.golden.__path__)]
    for name in [one for one in names if one.startswith(("test_wire_", "test_log_lines"))]:
        module = importlib.import_module(f"tests.golden.{name}")
        for test in [one for one in dir(module) if one.startswith("test_")]:
            print(name, test)
            getattr(module, test)()


if __name__ == "__main__":
    main()
