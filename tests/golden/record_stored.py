"""Writes the golden data of `tests/golden/data`: what the program stores and the messages that it gives.

The data was made from commit 0bad67a, before modules, classes and functions were given other names, and shows
that what comes after reads and writes the same bytes. It is not to be recorded again to get a pass: a test
that differs has found a change of what is stored or said. A change that is meant (a new version of a stored
form, a message that is mended) is recorded on its own, and its commit says what changed and why.

    python -m tests.golden.record_stored
"""

from __future__ import annotations

import tempfile
from pathlib import Path

from . import batch_scenario, kept_scenario, message_cases
from .support import DATA, read_tree, working_in, write_tree

JOURNAL = "journal.log"
LEFT_BEHIND = {
    "files/file-without-a-record": b"x\n",
    "parts/part_without-a-record": b"x\n",
    "new/unfinished": b"x\n",
}


def record_batches(folder: Path) -> None:
    """A store as a crash leaves it, what it reports, and what it holds after it has been continued."""
    store = folder / "store"
    batch_scenario.build(store)
    whole = read_tree(store)
    write_tree(DATA / "batches" / "written", whole)
    lines = whole[JOURNAL].splitlines(keepends=True)
    # The last record was written in part, with a piece of another that the disk had lost the middle of.
    torn = whole[JOURNAL] + lines[-1][: len(lines[-1]) // 2]
    write_tree(DATA / "batches" / "torn", whole | {JOURNAL: torn} | LEFT_BEHIND)
    at = len(b"".join(lines[:7])) + 40
    data = whole[JOURNAL]
    damaged = data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]
    write_tree(DATA / "batches" / "damaged", {JOURNAL: damaged})

    write_tree(store, read_tree(DATA / "batches" / "torn"))
    before, after = batch_scenario.read_and_continue(store)
    write_tree(DATA / "batches" / "continued", read_tree(store))
    (DATA / "batches" / "state.json").write_text(batch_scenario.as_text(before), "utf-8")
    (DATA / "batches" / "state-continued.json").write_text(batch_scenario.as_text(after), "utf-8")


def record_kept() -> None:
    """Bans, the address record and trace, and the kept inventory."""
    parts = {
        "bans": (kept_scenario.write_ban_files, kept_scenario.read_ban_files),
        "address": (kept_scenario.write_address_files, kept_scenario.read_address_files),
        "inventory": (kept_scenario.write_kept_inventory, kept_scenario.read_kept_inventory),
    }
    for name, (write, read) in parts.items():
        with tempfile.TemporaryDirectory() as folder, working_in(Path(folder)):
            write_tree(DATA / name / "written", write(Path(folder)))
            if name == "inventory":
                continued, status = kept_scenario.continue_kept_inventory(Path(folder))
                write_tree(DATA / name / "continued", continued)
                (DATA / name / "continued.json").write_text(kept_scenario.as_text(status), "utf-8")
                write_tree(Path(kept_scenario.KEPT), read_tree(DATA / name / "written"))
            (DATA / name / "read.json").write_text(kept_scenario.as_text(read(Path(folder))), "utf-8")


def record_messages() -> None:
    """Messages for wrong settings and inventories."""
    for kind in message_cases.KINDS:
        with tempfile.TemporaryDirectory() as folder, working_in(Path(folder)):
            text = message_cases.messages(kind)
        path = DATA / "messages" / f"{kind}.txt"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding="utf-8")


def main() -> None:
    """Record everything."""
    with tempfile.TemporaryDirectory() as folder:
        record_batches(Path(folder))
    record_kept()
    record_messages()


if __name__ == "__main__":
    main()
