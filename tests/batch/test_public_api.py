"""Files, uploads and batches over HTTP, as clients of the public API use them."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from tests.standins import FakeReplica, Program

from .api_client import Api, batch_config, connect, input_file
from .harness import ENDPOINT

ERRORS: list[tuple[str, str, Any, int]] = [  # method, path, body, status
    ("GET", "/v1/nothing", None, 404),
    ("GET", "/v1/files/file-none", None, 404),
    ("PUT", "/v1/files", {}, 405),
    ("POST", "/v1/files", {}, 415),
    ("POST", "/v1/batches", b"{", 400),
    ("POST", "/v1/batches", {"endpoint": "/v1/embeddings", "completion_window": "24h"}, 400),
    ("POST", "/v1/batches", {"filename": "u.jsonl", "purpose": "batch", "bytes": 1, "mime_type": "m"}, 400),
    ("GET", "/v1/batches?limit=0", None, 400),
]


def test_files_uploads_and_batches_follow_the_public_api(tmp_path: Path) -> None:
    options = ("--batch", batch_config(tmp_path, max_file_mb=1))

    async def scenario() -> None:
        async with FakeReplica() as replica, Program(replica, options=options) as program:
            api = await connect(program)
            file = await create_file_twice(api)
            batch = await create_batch_twice(api, file)
            content = await download_in_pieces(api, file)
            uploaded = await upload_in_parts(api, content)
            await list_pages(api, newest=uploaded, oldest=file, batch=batch)
            await provoke_errors(api, batch)
            await api.send_form("/v1/files", "file", b"x" * 1_100_000, 413)
            api = await connect(program)
            assert (await api.request("DELETE", f"/v1/files/{file['id']}"))[0]["deleted"] is True
            await api.request("GET", f"/v1/files/{file['id']}", expect=404)

    asyncio.run(scenario())


async def create_file_twice(api: Api) -> Any:
    """A request that is repeated with its idempotency key returns the file of the first request."""
    file = await api.send_form("/v1/files", "file", input_file(2), Idempotency_Key="f")
    assert file == await api.send_form("/v1/files", "file", input_file(2), Idempotency_Key="f")
    other = await api.send_form("/v1/files", "file", input_file(3), 409, Idempotency_Key="f")
    assert other["error"]["code"] == "idempotency_key_reused"
    assert other["error"]["type"] == "invalid_request_error"
    assert (file["object"], file["bytes"], file["purpose"]) == ("file", len(input_file(2)), "batch")
    return file


async def create_batch_twice(api: Api, file: Any) -> Any:
    members = {
        "input_file_id": file["id"],
        "endpoint": ENDPOINT,
        "completion_window": "24h",
        "metadata": {"a": "b"},
    }
    created = (await api.request("POST", "/v1/batches", members, Idempotency_Key="b"))[0]
    repeated = (await api.request("POST", "/v1/batches", members, Idempotency_Key="b"))[0]
    assert created["id"] == repeated["id"]
    assert created["metadata"] == {"a": "b"}
    batch = await api.wait_until_final(created["id"])
    results = await api.results(batch["output_file_id"])
    message = results[0]["response"]["body"]["choices"][0]["message"]
    assert message == {"role": "assistant", "content": "one two"}
    return batch


async def download_in_pieces(api: Api, file: Any) -> bytes:
    """Download a file and ranges of it, as a client that resumes a download does."""
    path = f"/v1/files/{file['id']}/content"
    content, head = await api.request("GET", path)
    assert isinstance(content, bytes)
    part, got = await api.request("GET", path, expect=206, Range="bytes=10-19", If_Range=head["etag"])
    assert part == content[10:20]
    assert got["content-range"] == f"bytes 10-19/{len(content)}"
    assert (await api.request("GET", path, Range="bytes=10-", If_Range='"old"'))[0] == content
    await api.request("GET", path, expect=416, Range=f"bytes={len(content)}-")
    return content


async def upload_in_parts(api: Api, content: bytes) -> Any:
    """Upload a file in parts, one of them sent twice; returns the file."""
    members = {
        "filename": "u.jsonl",
        "purpose": "batch",
        "bytes": len(content),
        "mime_type": "application/jsonl",
    }
    upload = (await api.request("POST", "/v1/uploads", members))[0]
    parts = f"/v1/uploads/{upload['id']}/parts"
    part_ids = []
    for data, key in ((content[:100], "p1"), (content[100:], "p2"), (content[100:], "p2")):
        part_ids.append((await api.send_form(parts, "data", data, Idempotency_Key=key))["id"])
    assert part_ids[1] == part_ids[2]
    complete = f"/v1/uploads/{upload['id']}/complete"
    await api.request("POST", complete, {"part_ids": part_ids[:1]}, expect=400)
    completed = (await api.request("POST", complete, {"part_ids": part_ids[:2]}))[0]
    repeated = (await api.request("POST", complete, {"part_ids": part_ids[:2]}))[0]
    assert completed == repeated
    assert completed["status"] == "completed"
    assert (await api.request("GET", f"/v1/files/{completed['file']['id']}/content"))[0] == content
    await api.send_form(parts, "data", b"x", 409)
    return completed["file"]


async def list_pages(api: Api, newest: Any, oldest: Any, batch: Any) -> None:
    """Listings are paginated, newest object first."""
    files = (await api.request("GET", "/v1/files?limit=2"))[0]
    assert files["has_more"]
    assert files["data"][0]["id"] == newest["id"]
    rest = (await api.request("GET", f"/v1/files?after={files['last_id']}"))[0]
    assert not rest["has_more"]
    assert rest["data"][-1]["id"] == oldest["id"]
    assert (await api.request("GET", "/v1/batches"))[0]["data"] == [batch]


async def provoke_errors(api: Api, batch: Any) -> None:
    """Each error response contains an error object."""
    cancel_final: tuple[str, str, Any, int] = ("POST", f"/v1/batches/{batch['id']}/cancel", {}, 409)
    for method, path, body, status in [*ERRORS, cancel_final]:
        error = (await api.request(method, path, body, expect=status))[0]["error"]
        assert error["message"]
        assert error["type"] == "invalid_request_error"


def test_a_disconnect_during_an_upload_is_not_logged_as_a_store_error(
    tmp_path: Path,
) -> None:
    """A closed stream is an OSError, so it was logged as `store_unavailable`, which alerts an operator."""
    options = ("--batch", batch_config(tmp_path))

    async def scenario() -> None:
        async with FakeReplica() as replica, Program(replica, options=options) as program:
            api = await connect(program)
            head = b"POST /v1/files HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n"
            api.client.writer.write(head + b"Content-Type: multipart/form-data; boundary=b\r\n\r\n--b\r\n")
            await api.client.writer.drain()
            await asyncio.sleep(0.1)
            api.client.writer.transport.abort()
            other = await connect(program)
            await other.send_form("/v1/files", "file", input_file(1))
            assert program.log("store_unavailable") is None
            assert await program.terminate() == 0
        assert program.log("store_unavailable") is None

    asyncio.run(scenario())
