"""Bans, address record and kept inventory are read and written byte for byte as before the renaming."""

from __future__ import annotations

from pathlib import Path

import pytest

from . import kept_scenario as scenario
from .support import DATA, assert_same_tree, copy_golden, golden_tree, working_in


def _recorded(name: str) -> str:
    return (DATA / name).read_text("utf-8")


@pytest.mark.parametrize(
    ("name", "write"),
    [
        ("bans", scenario.write_ban_files),
        ("address", scenario.write_address_files),
        ("inventory", scenario.write_kept_inventory),
    ],
)
def test_what_is_written_has_the_recorded_bytes(tmp_path: Path, name: str, write: scenario.Writer) -> None:
    with working_in(tmp_path):
        assert_same_tree(write(tmp_path), golden_tree(f"{name}/written"))


def test_recorded_bans_are_read_and_damaged_ones_refused_as_recorded(tmp_path: Path) -> None:
    folder = copy_golden("bans/written", tmp_path / "bans")
    with working_in(folder):
        assert scenario.as_text(scenario.read_ban_files(folder)) == _recorded("bans/read.json")


def test_a_recorded_address_record_is_read_and_damaged_ones_refused_as_recorded(tmp_path: Path) -> None:
    folder = copy_golden("address/written", tmp_path / "address")
    with working_in(folder):
        assert scenario.as_text(scenario.read_address_files(folder)) == _recorded("address/read.json")


def test_a_recorded_inventory_is_read_and_damaged_ones_refused_as_recorded(tmp_path: Path) -> None:
    copy_golden("inventory/written", tmp_path / scenario.KEPT)
    with working_in(tmp_path):
        found = scenario.as_text(scenario.read_kept_inventory(tmp_path))
    assert found == _recorded("inventory/read.json")


def test_a_recorded_inventory_is_continued_with_the_recorded_bytes(tmp_path: Path) -> None:
    copy_golden("inventory/written", tmp_path / scenario.KEPT)
    with working_in(tmp_path):
        files, status = scenario.continue_kept_inventory(tmp_path)
    assert scenario.as_text(status) == _recorded("inventory/continued.json")
    assert_same_tree(files, golden_tree("inventory/continued"))
