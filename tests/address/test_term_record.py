"""The durable record of terms and generations."""

from __future__ import annotations

from pathlib import Path

import pytest

from lockspoke.address.term_record import TERMS_AHEAD, RecordError, TermRecord


def test_term_and_generation_never_go_back(tmp_path: Path) -> None:
    record = TermRecord(tmp_path / "kept", "a", 2)
    assert record.needs_write(5, 2)
    record.write(5, 2)
    assert (
        not record.needs_write(5 + TERMS_AHEAD, 2)
        and record.needs_write(6 + TERMS_AHEAD, 2)
        and record.needs_write(5, 3)
    )
    assert (
        TermRecord(tmp_path / "kept", "a", 2).term
        == TermRecord(tmp_path / "kept", "a", 3).term
        == 5 + TERMS_AHEAD
    )
    for name, generation, message in (
        ("b", 2, "is a's, not b's"),
        ("a", 1, "take the later list"),
        ("a", 4, "change by one at a time"),
    ):
        with pytest.raises(RecordError, match=message):
            TermRecord(tmp_path / "kept", name, generation)
    record.path.write_text("{")
    with pytest.raises(RecordError, match="can't be read"):
        TermRecord(tmp_path / "kept", "a", 2)
    record.path = Path("/proc/none/address.json")  # No folder can be created there.
    record.write(9_999, 2)
    assert "/proc/none" in record.write_error and record.needs_write(5, 2)
