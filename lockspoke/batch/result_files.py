"""Writes the output and the error file of a batch from the results of its lines in the journal."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from .contents import content_size
from .journal import Record
from .records import Batch, BatchStatus, LineStatus
from .results import encode_result
from .store import BatchStore


async def finish_batch(store: BatchStore, batch: Batch, status: BatchStatus) -> None:
    """Write the output and error files, and set the batch's final status in one record with both.

    Raises:
        StoreError: A write failed; nothing has changed.
    """
    result_files: Record = {}
    for name, served in (("output", True), ("error", False)):
        file_record = await _write_results(store, batch, name, served)
        if file_record is not None:
            result_files[name] = file_record
    await store.set_status(batch, status, **result_files)


async def _write_results(store: BatchStore, batch: Batch, name: str, served: bool) -> Record | None:
    """Write one result file and return its record; None if there are no results for it."""
    path, file = store.open_scratch()
    lines = (encode_result(result) for result in _results(store, batch, served))
    sha256 = await store.contents.write_lines(file, lines)
    size = content_size(path)
    if not size:
        path.unlink()
        return None
    file_record = store.new_file_record(f"{batch.id}_{name}.jsonl", "batch_output", size, sha256)
    await store.contents.commit(path, store.path(file_record["id"]))
    return file_record


def _results(store: BatchStore, batch: Batch, served: bool) -> Iterator[dict[str, Any]]:
    """The results of the lines that were served, or of the others, in the order of the input file."""
    for line, status in enumerate(batch.line_statuses):
        if status != LineStatus.OPEN and (status == LineStatus.SERVED) is served:
            yield store.journal.read(batch.result_offsets[line])["out"]
