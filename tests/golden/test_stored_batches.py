"""The batch store reads and writes, byte for byte, what the code before the renaming wrote."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from structlog.testing import capture_logs

from lockspoke.batch.settings import BatchSettings
from lockspoke.batch.store import BatchStore
from lockspoke.batch.subsystem import create
from lockspoke.lifecycle.config import ConfigError, GatewayConfig
from lockspoke.lifecycle.config_file import read_config
from lockspoke.lifecycle.subsystems import SubsystemContext

from . import batch_scenario
from .message_cases import GATEWAY
from .support import DATA, assert_same_tree, copy_golden, golden_tree, read_tree, working_in


def test_a_new_store_holds_the_recorded_bytes(tmp_path: Path) -> None:
    batch_scenario.build(tmp_path / "store")
    assert_same_tree(read_tree(tmp_path / "store"), golden_tree("batches/written"))


def test_a_recorded_store_is_read_and_continued_with_the_recorded_bytes(tmp_path: Path) -> None:
    store = copy_golden("batches/torn", tmp_path / "store")
    with capture_logs() as logs:
        before, after = batch_scenario.read_and_continue(store)
    torn, whole = (golden_tree(f"batches/{name}")["journal.log"] for name in ("torn", "written"))
    truncated = {"event": "journal_tail_truncated", "log_level": "warning", "offset": len(whole)}
    assert logs[0] == truncated | {"lost_bytes": len(torn) - len(whole)}
    assert batch_scenario.as_text(before) == (DATA / "batches/state.json").read_text("utf-8")
    assert batch_scenario.as_text(after) == (DATA / "batches/state-continued.json").read_text("utf-8")
    assert_same_tree(read_tree(store), golden_tree("batches/continued"))


def test_opening_cuts_the_torn_tail_and_clears_what_no_record_names(tmp_path: Path) -> None:
    store = copy_golden("batches/torn", tmp_path / "store")
    BatchStore(store, batch_scenario.Clock(0)).close()
    assert_same_tree(read_tree(store), golden_tree("batches/written"))


def test_a_store_damaged_in_the_middle_is_refused_with_the_recorded_message(tmp_path: Path) -> None:
    copy_golden("batches/damaged", tmp_path / "store")
    with working_in(tmp_path):
        assert _refusal() == ("batch.store: store/journal.log: damaged at byte 1861, with records behind it")
    assert_same_tree(
        {"journal.log": (tmp_path / "store/journal.log").read_bytes()}, golden_tree("batches/damaged")
    )


def test_a_store_in_use_is_refused_with_the_recorded_message(tmp_path: Path) -> None:
    with working_in(tmp_path):
        first = BatchStore(Path("store"), batch_scenario.Clock(0))
        assert _refusal() == "batch.store: store/journal.log: another program uses this store"
        first.close()


def _refusal() -> str:
    """What the program says at a start with the store of the working folder."""
    settings = BatchSettings(listen="127.0.0.1:0", store="store")
    part = create(settings, SubsystemContext(_gateway(), {}, Path()))
    with pytest.raises(ConfigError) as refused:
        part.attach(None, None)  # type: ignore[arg-type]  # the store is opened before either is used
    return str(refused.value)


def _gateway() -> GatewayConfig:
    Path("gateway.json").write_text(json.dumps(GATEWAY))
    return read_config({"NODE_CONFIG": "gateway.json"})
