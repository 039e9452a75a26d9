"""Key files."""

from __future__ import annotations

from pathlib import Path

import pytest

from lockspoke.address.keys import read_keys


def test_world_readable_and_malformed_key_files_are_named(tmp_path: Path) -> None:
    good, bad = tmp_path / "good", tmp_path / "bad"
    for path, text, mode in ((good, "ab" * 32 + "\n", 0o600), (bad, "zz", 0o600)):
        path.write_text(text)
        path.chmod(mode)
    assert read_keys([str(good)]) == [b"\xab" * 32]
    for paths, message in (
        ([bad], "is no key"),
        ([good, good], "same key twice"),
        ([tmp_path / "none"], "can't be read"),
    ):
        with pytest.raises(ValueError, match=message):
            read_keys(list(map(str, paths)))
    good.chmod(0o644)
    with pytest.raises(ValueError, match="chmod 600"):
        read_keys([str(good)])
