"""Messages for wrong settings and inventories are word for word those from before the renaming."""

from __future__ import annotations

from pathlib import Path

import pytest

from . import message_cases
from .support import DATA, working_in


@pytest.mark.parametrize("kind", message_cases.KINDS)
def test_messages_are_the_recorded_ones(tmp_path: Path, kind: str) -> None:
    with working_in(tmp_path):
        found = message_cases.messages(kind)
    # In lines, so that a failure shows the line that differs.
    recorded = (DATA / "messages" / f"{kind}.txt").read_text(encoding="utf-8")
    assert found.splitlines() == recorded.splitlines()
    assert found == recorded
