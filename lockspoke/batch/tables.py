"""The store's state in memory, rebuilt from the records of the journal.

`StoreTables.apply` is the only way to change it, at start-up and afterwards, so a restart rebuilds the same
state. Operation names and keys of records are part of the storage format and must not change.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lockspoke.boot_time import BootTime, MachineStart

from .journal import Record, StoreError
from .records import Batch, BatchStatus, File, LineRun, LineStatus, Upload, UploadStatus


@dataclass(frozen=True, slots=True)
class IdempotentCreation:
    """An object that was created by a request with an idempotency key."""

    fingerprint: str  # The fingerprint of the request.
    object_id: str  # The ID of the object.


class StoreTables:
    """Files, uploads and batches by ID, and creations by idempotency key."""

    def __init__(self) -> None:
        self.files: dict[str, File] = {}
        self.uploads: dict[str, Upload] = {}
        self.batches: dict[str, Batch] = {}
        self.creations: dict[str, IdempotentCreation] = {}
        self._appliers: dict[str, Callable[[int, Record], None]] = {
            "file": self._add_file,
            "file_deleted": self._delete_file,
            "upload": self._add_upload,
            "part": self._add_part,
            "upload_status": self._set_upload_status,
            "batch": self._add_batch,
            "batch_status": self._set_batch_status,
            "line": self._end_line,
            "run": self._add_run,
            "never_ran": self._drop_run,
            "attempts_recorded": self._set_attempts_recorded,
            "max_open_lines": self._set_max_open_lines,
        }

    def apply(self, offset: int, record: Record) -> None:
        """Apply the change that a record describes; `offset` is its position in the journal.

        Raises:
            StoreError: The record ends a line that has already ended.
        """
        applier = self._appliers.get(record["op"])
        if applier is not None:
            applier(offset, record)
        if record.get("key"):
            self.creations[record["key"]] = IdempotentCreation(record["print"], record["made"]["id"])

    def follow_clock(self, clock: MachineStart) -> None:
        """Move the times of unfinished batches and pending uploads to the clock of this process.

        If the wall clock was set between two starts of the program, their spans stay as long as they were.
        """
        items: list[Batch | Upload] = [batch for batch in self.batches.values() if not batch.is_final]
        items += [upload for upload in self.uploads.values() if upload.status is UploadStatus.PENDING]
        for item in items:
            if item.clock is not None:
                step = round(clock.clock_step_since(item.clock))
                item.created_at += step
                item.expires_at += step

    def _add_file(self, _: int, record: Record) -> None:
        file = File(**record["made"])
        self.files[file.id] = file

    def _delete_file(self, _: int, record: Record) -> None:
        self.files.pop(record["id"], None)

    def _add_upload(self, _: int, record: Record) -> None:
        upload = Upload(**record["made"], clock=_decode_clock(record))
        self.uploads[upload.id] = upload

    def _add_part(self, _: int, record: Record) -> None:
        part = record["made"]
        self.uploads[record["upload"]].parts[part["id"]] = part["bytes"]

    def _set_upload_status(self, offset: int, record: Record) -> None:
        upload = self.uploads[record["id"]]
        upload.status = UploadStatus(record["status"])
        if "made" in record:
            self._add_file(offset, record)
            upload.file_id = record["made"]["id"]

    def _add_batch(self, _: int, record: Record) -> None:
        batch = Batch(**record["made"], clock=_decode_clock(record), max_lines=record.get("max_lines"))
        self.batches[batch.id] = batch

    def _set_batch_status(self, _: int, record: Record) -> None:
        batch = self.batches[record["id"]]
        batch.status = BatchStatus(record["status"])
        batch.entered_at[batch.status] = record["at"]
        batch.errors = record.get("errors", batch.errors)
        batch.attempts_recorded = record.get("attempts_recorded", batch.attempts_recorded)
        batch.max_open_lines = record.get("max_open_lines", batch.max_open_lines)
        if "total" in record:
            batch.set_total(record["total"])
        if "output" in record:
            batch.output_file_id = self._add_result_file(record["output"])
        if "error" in record:
            batch.error_file_id = self._add_result_file(record["error"])

    def _add_result_file(self, file_record: Record) -> str:
        file = File(**file_record)
        self.files[file.id] = file
        return file.id

    def _add_run(self, _: int, record: Record) -> None:
        batch, line = self.batches[record["batch"]], record["line"]
        if batch.is_open(line):
            batch.runs.setdefault(line, {})[record["run"]] = _decode_run(record)

    def _drop_run(self, _: int, record: Record) -> None:
        # The line may have ended, and the record of the attempt may not have been written.
        batch, line = self.batches[record["batch"]], record["line"]
        runs = batch.runs.get(line, {})
        runs.pop(record["run"], None)
        if not runs:
            batch.runs.pop(line, None)

    def _set_attempts_recorded(self, _: int, record: Record) -> None:
        self.batches[record["batch"]].attempts_recorded = record["attempts_recorded"]

    def _set_max_open_lines(self, _: int, record: Record) -> None:
        self.batches[record["batch"]].max_open_lines = record["max_open_lines"]

    def _end_line(self, offset: int, record: Record) -> None:
        batch, line = self.batches[record["batch"]], record["line"]
        if not batch.is_open(line):
            raise StoreError(f"{batch.id}: line {line} ended twice")
        batch.end_line(line, LineStatus(record["end"]), offset)


def encode_run(run: LineRun) -> Record:
    """The fields of a journal record that describe an attempt."""
    return {
        "request": run.request_id,
        "boot": run.sent_at.boot_id,
        "at": run.sent_at.nanoseconds,
        "zone": run.zone,
        "cell": run.cell,
    }


def encode_clock(clock: MachineStart) -> Record:
    """The fields of a journal record whose times later processes may have to move to their own clock."""
    if not clock.boot_id:
        return {}
    return {"boot": clock.boot_id, "boot_at": round(clock.unix_time, 3)}


def _decode_clock(record: Record) -> MachineStart | None:
    return MachineStart(record["boot"], record["boot_at"]) if "boot" in record else None


def _decode_run(record: Record) -> LineRun:
    sent_at = BootTime(record["boot"], record["at"])
    return LineRun(record["request"], sent_at, record["zone"], record["cell"])
