"""A batch store filled and continued by fixed requests: what the recorder writes and the test repeats.

Files, uploads and batches are made over HTTP, as clients make them; ends of lines are stored as the runner
stores them. The clock and the identifiers are fixed.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any
from unittest import mock

from lockspoke.batch.front import BatchFront
from lockspoke.batch.lines import BatchLines
from lockspoke.batch.objects import upload_object
from lockspoke.batch.records import Batch, BatchStatus, LineStatus
from lockspoke.batch.result_files import finish_batch
from lockspoke.batch.results import CANCELLED, EXPIRED, FAILED, LineEnd
from lockspoke.batch.store import BatchStore

from .support import counted_identifiers

ENDPOINT = "/v1/chat/completions"
BUILD_TIME, CONTINUE_TIME = 1_764_000_000, 1_764_000_600  # within the hour that an upload lives
BUILD_IDENTIFIERS, CONTINUE_IDENTIFIERS = 1, 0x10000
BOUNDARY = "golden-boundary"
PARTS = (b"first part\n", "zweiter Teil: äöü\n".encode(), b"\x00\xff third\n")
UNICODE_NAME = "täglich-Ω.jsonl"

Reply = tuple[int, dict[str, Any], bool]  # status, body, whether it was replayed


class Clock:
    """Seconds that pass only when told to."""

    def __init__(self, now: float) -> None:
        self.now = now + 0.75

    def __call__(self) -> float:
        return self.now


class Session:
    """A store with its HTTP front on a port of its own, and a client to it."""

    def __init__(self, folder: Path, start: int) -> None:
        self.clock = Clock(start)
        self.store = BatchStore(folder, self.clock)
        # Nothing runs lines here: the scenario ends each by hand.
        self.front = BatchFront(self.store, mock.MagicMock(), 8, 1 << 20)
        self.lines = BatchLines(self.store, "bulk", 0, 10**9, 100)
        self.address = ("", 0)

    async def __aenter__(self) -> Session:
        self.address = self.front.listener.listen(("127.0.0.1", 0))
        return self

    async def __aexit__(self, *_: object) -> None:
        self.front.listener.stop()
        self.front.listener.close_all()
        self.store.close()

    async def request(
        self, method: str, path: str, body: bytes = b"", content_type: str = "application/json", key: str = ""
    ) -> Reply:
        """One request on a connection of its own. Each takes a second of the clock."""
        self.clock.now += 1
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: batch",
            "Connection: close",
            f"Content-Length: {len(body)}",
        ]
        if body:
            lines.append(f"Content-Type: {content_type}")
        if key:
            lines.append(f"Idempotency-Key: {key}")
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head, _, content = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        replayed = b"idempotency-replayed: true" in head.lower()
        return int(head.split()[1]), json.loads(content), replayed

    async def post_json(self, path: str, raw: dict[str, Any], key: str = "") -> Reply:
        return await self.request("POST", path, json.dumps(raw).encode(), key=key)

    async def post_form(
        self, path: str, field: str, filename: str, data: bytes, fields: dict[str, str], key: str = ""
    ) -> Reply:
        parts = [
            f'--{BOUNDARY}\r\nContent-Disposition: form-data; name="{name}"\r\n\r\n{value}\r\n'.encode()
            for name, value in fields.items()
        ]
        head = (
            f'--{BOUNDARY}\r\nContent-Disposition: form-data; name="{field}"; filename="{filename}"\r\n\r\n'
        )
        body = b"".join([*parts, head.encode(), data, f"\r\n--{BOUNDARY}--\r\n".encode()])
        return await self.request("POST", path, body, f"multipart/form-data; boundary={BOUNDARY}", key)

    async def make_file(self, filename: str, data: bytes, key: str = "") -> str:
        reply = await self.post_form("/v1/files", "file", filename, data, {"purpose": "batch"}, key)
        return made(reply)

    async def make_batch(self, file_id: str, metadata: dict[str, str], key: str = "") -> Batch:
        raw = {
            "input_file_id": file_id,
            "endpoint": ENDPOINT,
            "completion_window": "24h",
            "metadata": metadata,
        }
        return self.store.batches[made(await self.post_json("/v1/batches", raw, key))]

    async def make_upload(self, size: int, key: str = "") -> str:
        raw = {"filename": "parts.jsonl", "purpose": "batch", "bytes": size, "mime_type": "application/jsonl"}
        return made(await self.post_json("/v1/uploads", raw, key))

    async def make_part(self, upload: str, data: bytes, key: str = "") -> str:
        return made(await self.post_form(f"/v1/uploads/{upload}/parts", "data", "part", data, {}, key))

    async def end_line(self, batch: Batch, line: int, status: LineStatus) -> None:
        """Store the end of a line as the runner does."""
        self.clock.now += 1
        offsets = self.lines.index(batch).offsets
        body = {"object": "chat.completion", "choices": [{"text": f"grüße {line}"}], "usage": {"n": 1.5}}
        ends = {end.status: end for end in (LineEnd(LineStatus.SERVED, body), FAILED, CANCELLED, EXPIRED)}
        result = self.lines.new_result(batch, offsets[line], ends[status])
        await self.store.end_line(batch, line, status, result)

    async def state(self) -> dict[str, Any]:
        """All that the store knows: as its clients are told it, and what only the runner sees."""
        store = self.store
        lists = {name: (await self.request("GET", f"/v1/{name}"))[1] for name in ("files", "batches")}
        open_lines = {
            batch.id: [line for line, status in enumerate(batch.line_statuses) if status == LineStatus.OPEN]
            for batch in store.batches.values()
        }
        stored = {
            batch.id: [
                store.journal.read(offset)["out"]["custom_id"]
                for offset, status in zip(batch.result_offsets, batch.line_statuses, strict=True)
                if status != LineStatus.OPEN
            ]
            for batch in store.batches.values()
        }
        counts = {
            batch.id: {str(int(status)): count for status, count in batch.line_counts.items()}
            for batch in store.batches.values()
        }
        uploads = [
            {
                **upload_object(upload, store.files.get(upload.file_id)),
                "mime_type": upload.mime_type,
                "parts": upload.parts,
            }
            for upload in store.uploads.values()
        ]
        digests = {file.id: file.sha256 for file in store.files.values()}
        return lists | {
            "uploads": uploads,
            "open_lines": open_lines,
            "ended_lines": stored,
            "counts_by_end": counts,
            "sha256": digests,
            "idempotency_keys": {
                key: [creation.fingerprint, creation.object_id] for key, creation in store.creations.items()
            },
        }


def made(reply: Reply) -> str:
    """The identifier of what a request has made."""
    status, body, replayed = reply
    assert (status, replayed) == (200, False), body
    return str(body["id"])


def input_lines(count: int, name: str) -> bytes:
    """An input file."""
    messages = [{"role": "user", "content": "Grüß Gott"}]
    return b"".join(
        json.dumps(
            {
                "custom_id": f"{name}-{line}",
                "method": "POST",
                "url": ENDPOINT,
                "body": {"model": "m", "messages": messages},
            }
        ).encode()
        + b"\n"
        for line in range(count)
    )


async def _build(folder: Path) -> None:
    async with Session(folder, BUILD_TIME) as session:
        store = session.store
        first = await session.make_file(UNICODE_NAME, input_lines(5, "open"), key="file key é")
        second = await session.make_file("done.jsonl", input_lines(3, "done"))
        deleted = await session.make_file("deleted.jsonl", input_lines(1, "deleted"))
        assert (await session.request("DELETE", f"/v1/files/{deleted}"))[0] == 200

        pending = await session.make_upload(len(PARTS[0] + PARTS[1]), key="upload-key")
        for number, data in enumerate(PARTS[:2]):
            await session.make_part(pending, data, key=f"part-{number}")
        joined = await session.make_upload(sum(map(len, PARTS)))
        parts = [await session.make_part(joined, data) for data in PARTS]
        done = await session.post_json(f"/v1/uploads/{joined}/complete", {"part_ids": parts})
        assert done[0] == 200, done
        given_up = await session.make_upload(7)
        await session.make_part(given_up, b"1234567")
        assert (await session.request("POST", f"/v1/uploads/{given_up}/cancel"))[0] == 200

        running = await session.make_batch(first, {"note": "läuft"}, key="batch-key")
        await store.set_status(running, BatchStatus.IN_PROGRESS, total=5)
        await session.end_line(running, 3, LineStatus.SERVED)
        await session.end_line(running, 0, LineStatus.FAILED)

        finished = await session.make_batch(second, {})
        await store.set_status(finished, BatchStatus.IN_PROGRESS, total=3)
        for line, end in ((2, LineStatus.SERVED), (0, LineStatus.SERVED), (1, LineStatus.FAILED)):
            await session.end_line(finished, line, end)
        await store.set_status(finished, BatchStatus.FINALIZING)
        await finish_batch(store, finished, BatchStatus.COMPLETED)

        cancelled = await session.make_batch(second, {"note": "cancelled"})
        await store.set_status(cancelled, BatchStatus.IN_PROGRESS, total=3)
        await session.end_line(cancelled, 1, LineStatus.SERVED)
        assert (await session.request("POST", f"/v1/batches/{cancelled.id}/cancel"))[0] == 200
        for line in (0, 2):
            await session.end_line(cancelled, line, LineStatus.CANCELLED)
        await finish_batch(store, cancelled, BatchStatus.CANCELLED)

        failed = await session.make_batch(second, {})
        error = {"code": "empty_file", "message": "no lines", "param": None, "line": None}
        await store.set_status(failed, BatchStatus.FAILED, errors=[error])

        expired = await session.make_batch(second, {})
        await store.set_status(expired, BatchStatus.IN_PROGRESS, total=3)
        for line in range(3):
            await session.end_line(expired, line, LineStatus.EXPIRED)
        await finish_batch(store, expired, BatchStatus.EXPIRED)
        # Left in the midst of cancelling, as a crash would leave it.
        cancelling = await session.make_batch(first, {})
        await store.set_status(cancelling, BatchStatus.IN_PROGRESS, total=5)
        await session.end_line(cancelling, 4, LineStatus.SERVED)
        assert (await session.request("POST", f"/v1/batches/{cancelling.id}/cancel"))[0] == 200


async def _read_and_continue(folder: Path) -> tuple[dict[str, Any], dict[str, Any]]:
    async with Session(folder, CONTINUE_TIME) as session:
        store = session.store
        before = await session.state()
        first, second = sorted(store.files)[:2]
        running, *_, cancelling = store.batches.values()
        pending = next(iter(store.uploads))

        # Requests with the idempotency keys of the recorded ones make nothing anew.
        again = [
            await session.post_form(
                "/v1/files",
                "file",
                UNICODE_NAME,
                input_lines(5, "open"),
                {"purpose": "batch"},
                "file key é",
            ),
            await session.post_json(
                "/v1/uploads",
                {
                    "filename": "parts.jsonl",
                    "purpose": "batch",
                    "bytes": len(PARTS[0] + PARTS[1]),
                    "mime_type": "application/jsonl",
                },
                "upload-key",
            ),
            await session.post_form(f"/v1/uploads/{pending}/parts", "data", "part", PARTS[1], {}, "part-1"),
            await session.post_json(
                "/v1/batches",
                {
                    "input_file_id": first,
                    "endpoint": ENDPOINT,
                    "completion_window": "24h",
                    "metadata": {"note": "läuft"},
                },
                "batch-key",
            ),
        ]
        assert [(status, replayed) for status, _, replayed in again] == [(200, True)] * 4
        reused = await session.post_json("/v1/uploads", {**again[1][1], "mime_type": "x"}, "upload-key")

        upload_parts = list(store.uploads[pending].parts)
        completed = await session.post_json(
            f"/v1/uploads/{pending}/complete", {"part_ids": upload_parts[::-1]}
        )
        assert completed[0] == 200, completed
        for line, end in ((1, LineStatus.SERVED), (4, LineStatus.FAILED), (2, LineStatus.SERVED)):
            await session.end_line(running, line, end)
        await store.set_status(running, BatchStatus.FINALIZING)
        await finish_batch(store, running, BatchStatus.COMPLETED)
        for line in range(4):
            await session.end_line(cancelling, line, LineStatus.CANCELLED)
        await finish_batch(store, cancelling, BatchStatus.CANCELLED)
        assert (await session.request("DELETE", f"/v1/files/{second}"))[0] == 200
        late = await session.make_upload(9, key="late")
        await session.make_part(late, b"123456789")
        session.clock.now += 10**6
        await store.expire_uploads()
        await session.make_batch(first, {"n": "new"}, key="new")
        return before, {"replies": [*again, reused], "state": await session.state()}


def build(folder: Path) -> None:
    """Fill a store."""
    with counted_identifiers(BUILD_IDENTIFIERS):
        asyncio.run(_build(folder))


def read_and_continue(folder: Path) -> tuple[dict[str, Any], dict[str, Any]]:
    """Open a store that `build` has filled, and go on with it; what it reported at first and at last."""
    with counted_identifiers(CONTINUE_IDENTIFIERS):
        return asyncio.run(_read_and_continue(folder))


def as_text(state: dict[str, Any]) -> str:
    """A state as JSON."""
    return json.dumps(state, indent=1, ensure_ascii=False) + "\n"
