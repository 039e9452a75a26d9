"""The batch front's listener: Files, Uploads and Batches over HTTP, made for clients on poor links.

What a client on a poor link needs is here: a file may come in parts, a download may go on where it broke,
and a creation that is sent again with the same `Idempotency-Key` gives what it gave the first time.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import json
import re
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, BinaryIO
from urllib.parse import parse_qs

import structlog
from tornado.iostream import IOStream, StreamClosedError

from lockspoke.batch.journal import StoreError
from lockspoke.batch.runner import BatchRunner
from lockspoke.batch.store import Batch, BatchStore, File, Upload
from lockspoke.wire.http.encoding import encode_head, encode_response
from lockspoke.wire.http.messages import BodyChunk, HttpError, MessageEnd, MessagePart, RequestHead
from lockspoke.wire.http.request_parser import RequestParser
from lockspoke.wire.tcp.listener import READ_SIZE, Listener

from . import api as api
from .api import ApiError
from .form import FormReader

JSON_LIMIT = 1024 * 1024
FORM_SLACK = 256 * 1024  # of a form beside the content of its file
PART_LIMIT = 64 * 1024 * 1024
UPLOAD_LIVES = 3600
SLOW = 120.0  # seconds that a client may take to send or take the next bytes
IDLE = 60.0
LINGER = 2.0
SEND = 64 * 1024

log = structlog.get_logger()


@dataclass(slots=True)
class Reply:
    """An answer in JSON."""

    raw: dict[str, Any]
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Content:
    """An answer that is a file, or a range of it."""

    path: Path
    size: int
    start: int
    end: int
    etag: str

    def head(self) -> tuple[int, dict[str, str]]:
        """Status and fields."""
        headers = {"Content-Type": "application/octet-stream", "Accept-Ranges": "bytes", "ETag": self.etag}
        headers["Content-Length"] = str(self.end - self.start)
        if self.end - self.start == self.size:
            return 200, headers
        return 206, {**headers, "Content-Range": f"bytes {self.start}-{self.end - 1}/{self.size}"}


@dataclass(slots=True)
class Asked:
    """A request, as handlers see it: the head, and the body as it comes."""

    head: RequestHead
    pieces: Callable[[], Awaitable[bytes | None]]  # the next bytes of the body, None at its end
    names: tuple[str, ...] = ()

    def query(self, name: str) -> str:
        """One value of the query."""
        return parse_qs(self.head.query).get(name, [""])[0]

    async def json(self) -> tuple[dict[str, Any], bytes]:
        """The body as an object, and as it came."""
        body = bytearray()
        while (data := await self.pieces()) is not None:
            body += data
            if len(body) > JSON_LIMIT:
                raise ApiError(413, "The body is too large.")
        return api.decode_json(bytes(body)), bytes(body)


Handler = Callable[[Asked], Awaitable[Reply | Content]]


class BatchFront:
    """The routes of the batch API."""

    def __init__(
        self, store: BatchStore, runner: BatchRunner, most: int, file_limit: int, token: str = ""
    ) -> None:
        self.store = store
        self.runner = runner
        self.file_limit = file_limit
        self.token = token
        self.draining = False
        self.listener = Listener(lambda stream: BatchConnection(self, stream), most)
        ident = "([A-Za-z0-9_-]{1,80})"
        routes: list[tuple[str, str, Handler]] = [
            ("POST", "/v1/files", self._create_file),
            ("GET", "/v1/files", self._list_files),
            ("GET", f"/v1/files/{ident}", self._get_file),
            ("DELETE", f"/v1/files/{ident}", self._delete_file),
            ("GET", f"/v1/files/{ident}/content", self._content),
            ("POST", "/v1/uploads", self._create_upload),
            ("POST", f"/v1/uploads/{ident}/parts", self._add_part),
            ("POST", f"/v1/uploads/{ident}/complete", self._complete_upload),
            ("POST", f"/v1/uploads/{ident}/cancel", self._cancel_upload),
            ("POST", "/v1/batches", self._create_batch),
            ("GET", "/v1/batches", self._list_batches),
            ("GET", f"/v1/batches/{ident}", self._get_batch),
            ("POST", f"/v1/batches/{ident}/cancel", self._cancel_batch),
        ]
        self.routes = [(method, re.compile(pattern), handler) for method, pattern, handler in routes]

    def run_periodic_checks(self) -> None:
        """Close idle connections, and those whose client neither sends nor takes anything."""
        self.listener.close_idle(IDLE)
        self.listener.enforce_limit()
        before = asyncio.get_running_loop().time() - SLOW
        for connection in list(self.listener.connections):
            if not connection.idle and connection.active_at < before:
                connection.stream.close()

    async def answer(self, asked: Asked) -> Reply | Content:
        """Find the route and follow it."""
        allowed: set[str] = set()
        handler = None
        for method, pattern, candidate in self.routes:
            match = pattern.fullmatch(asked.head.path)
            if match:
                allowed.add(method)
                if method == asked.head.method:
                    handler, asked.names = candidate, match.groups()
        if handler is None and not allowed:
            raise ApiError(404, f"Unknown path: {asked.head.path}", code="unknown_url")
        given = asked.head.headers.get("authorization")
        if self.token and not hmac.compare_digest(given.encode(), f"Bearer {self.token}".encode()):
            raise ApiError(401, "Incorrect API key provided.", code="invalid_api_key")
        if handler is None:
            error = ApiError(405, f"Not allowed: {asked.head.method}", code="method_not_allowed")
            return Reply(error.body(), 405, {"Allow": ", ".join(sorted(allowed))})
        try:
            return await handler(asked)
        except (StoreError, OSError) as error:
            log.error("store_failing", error=str(error))
            raise ApiError(503, "The store takes nothing at the moment; try again.") from None

    # Repeat-safe creation

    def _repeated(self, asked: Asked, mark: str) -> tuple[str, str]:
        """The key of a creation, and the id that it made before, if it did."""
        key = asked.head.headers.get("idempotency-key")
        if not key:
            return "", ""
        if len(key) > 255:
            raise ApiError(400, "The Idempotency-Key is too long.", code="invalid_idempotency_key")
        key = f"{asked.head.path} {key}"
        before = self.store.keys.get(key)
        if before is None:
            return key, ""
        if before[0] != mark:
            raise ApiError(
                409, "This Idempotency-Key came with another request.", code="idempotency_key_reused"
            )
        return key, before[1]

    # Files

    async def _form(self, asked: Asked, file_field: str, limit: int) -> tuple[FormReader, Path, str]:
        """Read a form; its file's content goes to a scratch file as it comes."""
        path, file = self.store.scratch()
        sha, size = hashlib.sha256(), 0

        def write(data: bytes) -> None:
            nonlocal size
            size += len(data)
            if size > limit:
                raise ApiError(413, f"The file is larger than {limit} bytes.", file_field, "file_too_large")
            sha.update(data)
            file.write(data)

        try:
            with file:
                form = FormReader(asked.head.headers.get("content-type"), file_field, write)
                while (data := await asked.pieces()) is not None:
                    form.feed(data)
                form.finish()
        except BaseException:
            path.unlink(missing_ok=True)
            raise
        return form, path, sha.hexdigest()

    async def _create_file(self, asked: Asked) -> Reply:
        form, path, sha = await self._form(asked, "file", self.file_limit)
        try:
            purpose = _purpose(form.fields)
            name = form.filename or "file"
            mark = _mark(purpose, name, sha)
            async with self.store.creating:
                key, before = self._repeated(asked, mark)
                if before:
                    return _again(api.file_object(self._file(before)))
                return Reply(api.file_object(await self.store.add_file(path, name, purpose, sha, key, mark)))
        finally:
            path.unlink(missing_ok=True)

    def _file(self, file_id: str) -> File:
        file = self.store.files.get(file_id)
        if file is None:
            raise ApiError(404, f"No such File object: {file_id}", "id", "not_found")
        return file

    async def _get_file(self, asked: Asked) -> Reply:
        return Reply(api.file_object(self._file(asked.names[0])))

    async def _list_files(self, asked: Asked) -> Reply:
        purpose = asked.query("purpose")
        rows = [file for file in self.store.files.values() if not purpose or file.purpose == purpose]
        return self._page(asked, [api.file_object(file) for file in rows], 10000, 10000)

    async def _delete_file(self, asked: Asked) -> Reply:
        file = self._file(asked.names[0])
        if any(batch.input_file_id == file.id and not batch.final for batch in self.store.batches.values()):
            raise ApiError(409, "A batch that is not finished reads this file.", "id", "file_in_use")
        await self.store.delete_file(file)
        return Reply({"id": file.id, "object": "file", "deleted": True})

    async def _content(self, asked: Asked) -> Content:
        file = self._file(asked.names[0])
        etag, span = f'"{file.sha256}"', None
        headers = asked.head.headers
        if headers.get("range") and headers.get("if-range", etag) == etag:
            span = api.decode_range(headers.get("range"), file.bytes)
        start, end = span or (0, file.bytes)
        return Content(self.store.path(file.id), file.bytes, start, end, etag)

    # Uploads in parts

    def _upload(self, upload_id: str) -> Upload:
        upload = self.store.uploads.get(upload_id)
        if upload is None:
            raise ApiError(404, f"No such Upload object: {upload_id}", "id", "not_found")
        return upload

    async def _pending(self, upload_id: str) -> Upload:
        upload = self._upload(upload_id)
        if upload.status == "pending" and self.store.now() >= upload.expires_at:
            await self.store.cancel_upload(upload, "expired")
        if upload.status != "pending":
            raise ApiError(409, f"The upload is {upload.status}.", "id", f"upload_{upload.status}")
        return upload

    def _upload_reply(self, upload: Upload) -> Reply:
        return Reply(api.upload_object(upload, self.store.files.get(upload.file_id)))

    async def _create_upload(self, asked: Asked) -> Reply:
        raw, body = await asked.json()
        size = api.size_member(raw, "bytes")
        if size > self.file_limit:
            raise ApiError(
                413, f"The file is larger than {self.file_limit} bytes.", "bytes", "file_too_large"
            )
        fields = {
            "filename": api.text_member(raw, "filename"),
            "purpose": _purpose(raw),
            "bytes": size,
            "mime_type": api.text_member(raw, "mime_type"),
        }
        mark = _mark(body)
        async with self.store.creating:
            key, before = self._repeated(asked, mark)
            if before:
                return _again(self._upload_reply(self._upload(before)).raw)
            return self._upload_reply(await self.store.add_upload(key, mark, UPLOAD_LIVES, **fields))

    async def _add_part(self, asked: Asked) -> Reply:
        upload = self._upload(asked.names[0])
        _, path, sha = await self._form(asked, "data", min(PART_LIMIT, upload.bytes))
        try:
            async with self.store.creating:
                key, before = self._repeated(asked, _mark(sha))
                if before:
                    return _again(api.part_object(upload, before))
                await self._pending(upload.id)
                return Reply(
                    api.part_object(upload, await self.store.add_part(upload, path, key, _mark(sha)))
                )
        finally:
            path.unlink(missing_ok=True)

    async def _complete_upload(self, asked: Asked) -> Reply:
        raw, _ = await asked.json()
        async with self.store.creating:
            upload = self._upload(asked.names[0])
            if upload.status == "completed":
                return _again(self._upload_reply(upload).raw)  # the first answer may have been lost
            await self._pending(upload.id)
            parts = raw.get("part_ids")
            if not isinstance(parts, list) or not parts or not all(part in upload.parts for part in parts):
                raise ApiError(400, "'part_ids' must name parts of this upload.", "part_ids", "invalid_value")
            total = sum(upload.parts[part] for part in parts)
            if total != upload.bytes:
                text = f"The parts hold {total} bytes, the upload was made for {upload.bytes}."
                raise ApiError(400, text, "part_ids", "upload_size_mismatch")
            md5, sha = await self.store.complete_upload(upload, parts)
            if raw.get("md5") not in (None, md5):
                raise ApiError(400, "The parts do not have this MD5.", "md5", "checksum_mismatch")
            await self.store.finish_upload(upload, sha)
            return self._upload_reply(upload)

    async def _cancel_upload(self, asked: Asked) -> Reply:
        async with self.store.creating:
            upload = self._upload(asked.names[0])
            if upload.status != "cancelled":
                await self.store.cancel_upload(await self._pending(upload.id))
            return self._upload_reply(upload)

    # Batches

    def _batch(self, batch_id: str) -> Batch:
        batch = self.store.batches.get(batch_id)
        if batch is None:
            raise ApiError(404, f"No such Batch object: {batch_id}", "id", "not_found")
        return batch

    async def _create_batch(self, asked: Asked) -> Reply:
        raw, body = await asked.json()
        endpoint, window = api.text_member(raw, "endpoint"), api.text_member(raw, "completion_window")
        if endpoint != api.ENDPOINT:
            raise ApiError(400, f"'endpoint' must be {api.ENDPOINT!r}.", "endpoint", "invalid_value")
        seconds, metadata = api.window_seconds(window), api.metadata_member(raw)
        mark = _mark(body)
        async with self.store.creating:
            key, before = self._repeated(asked, mark)
            if before:
                return _again(api.batch_object(self._batch(before)))
            file = self._file(api.text_member(raw, "input_file_id"))
            if file.purpose != "batch":
                raise ApiError(400, "The file's purpose is not 'batch'.", "input_file_id", "invalid_purpose")
            batch = await self.store.add_batch(
                key,
                mark,
                input_file_id=file.id,
                endpoint=endpoint,
                completion_window=window,
                expires_at=int(self.store.now()) + seconds,
                metadata=metadata,
            )
            made = Reply(api.batch_object(batch))
            self.runner.begin(batch)
            return made

    async def _get_batch(self, asked: Asked) -> Reply:
        return Reply(api.batch_object(self._batch(asked.names[0])))

    async def _list_batches(self, asked: Asked) -> Reply:
        return self._page(asked, [api.batch_object(batch) for batch in self.store.batches.values()], 20, 100)

    async def _cancel_batch(self, asked: Asked) -> Reply:
        batch = self._batch(asked.names[0])
        if batch.status in ("validating", "in_progress"):
            await self.store.set_status(batch, "cancelling")
            self.runner.poke()
        elif batch.status not in ("cancelling", "cancelled"):
            text = f"Cannot cancel a batch with status '{batch.status}'."
            raise ApiError(409, text, "id", "batch_not_cancellable")
        return Reply(api.batch_object(batch))

    def _page(self, asked: Asked, rows: list[dict[str, Any]], default: int, most: int) -> Reply:
        rows.reverse()  # newest first
        limit, after = api.page_limit(asked.query("limit"), default, most), asked.query("after")
        if after:
            at = next((at for at, row in enumerate(rows) if row["id"] == after), None)
            if at is None:
                raise ApiError(404, f"No such object: {after}", "after", "not_found")
            rows = rows[at + 1 :]
        return Reply(api.list_object(rows[:limit], len(rows) > limit))


def _purpose(raw: dict[str, Any]) -> str:
    purpose = api.text_member(raw, "purpose")
    if purpose != "batch":
        raise ApiError(400, "'purpose' must be 'batch'.", "purpose", "invalid_value")
    return purpose


def _mark(*parts: str | bytes) -> str:
    """What two requests with one key have to share to count as the same."""
    sha = hashlib.sha256()
    for part in parts:
        sha.update(part if isinstance(part, bytes) else part.encode())
        sha.update(b"\0")
    return sha.hexdigest()


def _again(raw: dict[str, Any]) -> Reply:
    return Reply(raw, headers={"Idempotency-Replayed": "true"})


def _short(head: RequestHead) -> bool:
    """Whether a body is sure to come and to end soon."""
    waits = "transfer-encoding" in head.headers or "expect" in head.headers
    return not waits and int(head.headers.get("content-length", "0")) <= SEND


class BatchConnection:
    """One client of the batch API: its requests are answered one after another."""

    def __init__(self, front: BatchFront, stream: IOStream) -> None:
        self.front = front
        self.stream = stream
        self.opened_at = self.active_at = asyncio.get_running_loop().time()
        self.has_received = True  # few clients, all of them known: none goes before another
        self.idle = True
        self._parser = RequestParser(front.file_limit + FORM_SLACK)
        self._pieces: list[MessagePart] = []

    async def run(self) -> None:
        """Serve until the client or an error ends it."""
        with suppress(StreamClosedError, OSError):
            while True:
                try:
                    head = await self._piece()
                except HttpError as error:
                    await self._error(ApiError(error.status, str(error)), False)
                    await self._linger()
                    return
                if isinstance(head, RequestHead):
                    self.idle = False
                    if not await self._serve(head):
                        await self._linger()
                        return
                    self.idle = True

    async def _linger(self) -> None:
        """Read on a while: to close with bytes unread would take back the answer."""
        self.stream.socket.shutdown(socket.SHUT_WR)
        with suppress(TimeoutError):
            async with asyncio.timeout(LINGER):
                while True:
                    await self.stream.read_bytes(READ_SIZE, partial=True)

    async def _piece(self) -> MessagePart:
        while not self._pieces:
            data = await self.stream.read_bytes(READ_SIZE, partial=True)
            self.active_at = asyncio.get_running_loop().time()
            self._pieces = self._parser.feed(data)
        return self._pieces.pop(0)

    async def _serve(self, head: RequestHead) -> bool:
        """Answer one request; whether the connection goes on."""
        ended = False

        async def body() -> bytes | None:
            nonlocal ended
            if not ended:
                piece = await self._piece()
                if isinstance(piece, BodyChunk):
                    return piece.data
                ended = isinstance(piece, MessageEnd)
            return None

        keep = head.keep_alive and not self.front.draining
        try:
            if head.headers.get("expect").lower() == "100-continue":
                await self.stream.write(encode_head(100, {}))
            reply = await self.front.answer(Asked(head, body))
            while await body() is not None:
                pass
        except ApiError as error:
            # What was not read of the body would be taken for a next request: read it if it is short.
            if not ended and _short(head):
                while await body() is not None:
                    pass
            keep = keep and ended
            await self._error(error, keep, head.method)
        except HttpError as error:
            keep = False
            await self._error(ApiError(error.status, str(error)), keep)
        except StreamClosedError:
            raise
        except Exception:
            log.exception("batch_request_failed", path=head.path)
            keep = False
            await self._error(ApiError(500, "The server failed to answer your request."), keep)
        else:
            await (
                self._send(reply, keep)
                if isinstance(reply, Content)
                else self._json(reply, keep, head.method)
            )
        return keep

    async def _json(self, reply: Reply, keep: bool, method: str = "GET") -> None:
        headers = {"Content-Type": "application/json", **reply.headers}
        body = json.dumps(reply.raw, ensure_ascii=False).encode()
        await self.stream.write(encode_response(reply.status, body, headers, keep, method))

    async def _error(self, error: ApiError, keep: bool, method: str = "GET") -> None:
        await self._json(Reply(error.body(), error.status), keep, method)

    async def _send(self, content: Content, keep: bool) -> None:
        """Send a file piece by piece, as fast as the client takes it and no faster."""
        status, headers = content.head()
        if not keep:
            headers["Connection"] = "close"
        file: BinaryIO
        with content.path.open("rb") as file:
            file.seek(content.start)
            await self.stream.write(encode_head(status, headers))
            left = content.end - content.start
            while left:
                data = file.read(min(SEND, left))
                if not data:
                    raise StreamClosedError  # shorter than it was: the client sees the missing bytes
                await self.stream.write(data)
                self.active_at = asyncio.get_running_loop().time()
                left -= len(data)
