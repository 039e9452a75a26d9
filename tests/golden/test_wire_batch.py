"""What the batch front says to clients, byte for byte as it was recorded."""

from __future__ import annotations

import asyncio
import json
import re
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .gateway import PATIENCE, Gateway, RawReplica, connected, exchange, until
from .transcripts import compare_bytes

URL = "/v1/chat/completions"
KB = 1024
FINAL = ("completed", "failed", "expired", "cancelled")


def edge_file(folder: str, **more: Any) -> list[str]:
    values = {"listen": "127.0.0.1:0", "store": f"{folder}/store", "concurrency": 1, "max_file_mb": 1} | more
    path = Path(folder, "edge.toml")
    path.write_text("\n".join(["[batch]", *(f"{name} = {json.dumps(one)}" for name, one in values.items())]))
    return ["--edge", str(path)]


async def batch_port(gateway: Gateway) -> int:
    await until(lambda: gateway.log("batch_listening"))
    await gateway.ready()
    return gateway.port_of("batch_listening")


def ask(method: str, path: str, body: Any = None, **headers: str) -> bytes:
    raw = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
    fields = {"Host": "a"} | {name.replace("_", "-"): value for name, value in headers.items()}
    if raw or method != "GET":
        fields["Content-Length"] = str(len(raw))
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode() + raw


def form(
    path: str,
    data: bytes,
    name: str = "file",
    purpose: str = "batch",
    end: bytes = b"--b--\r\n",
    **headers: str,
) -> bytes:
    body = b'--b\r\nContent-Disposition: form-data; name="purpose"\r\n\r\n%b\r\n' % purpose.encode()
    body += b'--b\r\nContent-Disposition: form-data; name="%b"; filename="in.jsonl"\r\n\r\n' % name.encode()
    return ask(
        "POST", path, body + data + b"\r\n" + end, Content_Type="multipart/form-data; boundary=b", **headers
    )


def line(number: int, **changes: Any) -> bytes:
    body = {"model": "m", "messages": [{"role": "user", "content": f"question {number}"}]}
    raw = {"custom_id": f"c{number}", "method": "POST", "url": URL, "body": body} | changes
    return json.dumps(raw).encode() + b"\n"


class Front:
    """A client of the batch front that keeps what it was answered."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.said: dict[str, list[bytes]] = {}

    async def ask(self, case: str, raw: bytes, no_body: bool = False) -> Any:
        """Ask; gives the answer's body if it is JSON."""
        assert case not in self.said, case
        follow = ask("GET", "/v1/none", Connection="close")
        answer = await exchange(self.port, raw, follow, no_body)
        self.said[case] = answer
        body = answer[0].partition(b"\r\n\r\n")[2]
        return json.loads(body) if body.startswith(b"{") and b"application/json" in answer[0] else {}

    async def until(self, batch_id: str, condition: Callable[[Any], bool]) -> None:
        """Ask for a batch until it is so; these answers are not kept."""
        async with asyncio.timeout(PATIENCE), connected(self.port) as client:
            while True:
                client.send(ask("GET", f"/v1/batches/{batch_id}"))
                if condition(json.loads((await client.answer()).partition(b"\r\n\r\n")[2])):
                    return
                await asyncio.sleep(0.02)

    async def finished(self, case: str, batch_id: str) -> Any:
        """A batch once it is final."""
        await self.until(batch_id, lambda batch: batch["status"] in FINAL)
        return await self.ask(case, ask("GET", f"/v1/batches/{batch_id}"))


async def files(front: Front) -> str:
    """Files: made, made again, read, read in part, listed, deleted, and each no. Gives an input's id."""
    await front.ask("files: none", ask("GET", "/v1/files"))
    data = line(1) + line(2)
    file = await front.ask("files: made", form("/v1/files", data))
    keyed = await front.ask("files: made with a key", form("/v1/files", data, Idempotency_Key="f"))
    await front.ask("files: made again", form("/v1/files", data, Idempotency_Key="f"))
    await front.ask("files: the key again with another file", form("/v1/files", b"x", Idempotency_Key="f"))
    await front.ask("files: a long key", form("/v1/files", data, Idempotency_Key="k" * 256))
    await front.ask("files: listed", ask("GET", "/v1/files"))
    await front.ask("files: a page", ask("GET", "/v1/files?limit=1"))
    await front.ask("files: the next page", ask("GET", f"/v1/files?after={keyed['id']}&purpose=batch"))
    await front.ask("files: of another purpose", ask("GET", "/v1/files?purpose=other"))
    await front.ask("files: a bad limit", ask("GET", "/v1/files?limit=0"))
    await front.ask("files: after one that is not there", ask("GET", "/v1/files?after=file-none"))
    path = f"/v1/files/{file['id']}"
    await front.ask("file", ask("GET", path))
    await front.ask("file: content", ask("GET", f"{path}/content"))
    await front.ask("file: content, then close", ask("GET", f"{path}/content", Connection="close"))
    for text in (
        "bytes=3-7",
        "bytes=3-",
        "bytes=-5",
        "bytes=0-99999",
        "bytes=5-3",
        "bytes=1-2,4-5",
        "lines=1-2",
    ):
        await front.ask(f"file: range {text}", ask("GET", f"{path}/content", Range=text))
    for text in (f"bytes={len(data)}-", "bytes=-0"):
        await front.ask(f"file: range {text[:9]} past the end", ask("GET", f"{path}/content", Range=text))
    etag = re.search(rb"ETag: ([^\r]+)", front.said["file: content"][0])
    assert etag is not None
    for case, tag in (("same", etag[1].decode()), ("other", '"old"')):
        raw = ask("GET", f"{path}/content", Range="bytes=3-7", If_Range=tag)
        await front.ask(f"file: range if it is the {case}", raw)
    await front.ask("file: none", ask("GET", "/v1/files/file-none"))
    await front.ask("file: content of none", ask("GET", "/v1/files/file-none/content"))
    await front.ask("file: deleted", ask("DELETE", f"/v1/files/{keyed['id']}"))
    await front.ask("file: deleted twice", ask("DELETE", f"/v1/files/{keyed['id']}"))
    await front.ask("files: no form", ask("POST", "/v1/files", {}))
    await front.ask(
        "files: a form without boundary",
        ask("POST", "/v1/files", b"x", Content_Type="multipart/form-data"),
    )
    await front.ask("files: a form cut short", form("/v1/files", data, end=b""))
    await front.ask("files: a malformed form", ask("POST", "/v1/files", b"no form", Content_Type=FORM))
    await front.ask("files: no file field", form("/v1/files", data, name="data"))
    await front.ask("files: another purpose", form("/v1/files", data, purpose="assistants"))
    await front.ask("files: no purpose", form("/v1/files", data, purpose=""))
    await front.ask("files: a file twice", form("/v1/files", data, end=SECOND_FILE))
    await front.ask("files: large fields", form("/v1/files", data, purpose="p" * 65 * KB))
    await front.ask("files: too large", form("/v1/files", b"x" * (KB * KB + 1)))
    far = b"POST /v1/files HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n"
    await front.ask("files: far too large", far)
    return str(file["id"])


FORM = "multipart/form-data; boundary=b"
SECOND_FILE = b'--b\r\nContent-Disposition: form-data; name="file"; filename="g"\r\n\r\n\r\n--b--\r\n'


async def uploads(front: Front) -> None:
    """Uploads in parts."""
    data = line(3)
    wanted = {"filename": "u.jsonl", "purpose": "batch", "bytes": len(data), "mime_type": "application/jsonl"}
    upload = await front.ask("uploads: made", ask("POST", "/v1/uploads", wanted, Idempotency_Key="u"))
    await front.ask("uploads: made again", ask("POST", "/v1/uploads", wanted, Idempotency_Key="u"))
    other = ask("POST", "/v1/uploads", wanted | {"filename": "v"}, Idempotency_Key="u")
    await front.ask("uploads: the key again with another", other)
    bad_uploads: dict[str, dict[str, Any]] = {
        "no filename": {"filename": ""},
        "a long filename": {"filename": "f" * 513},
        "no size": {"bytes": None},
        "a size of true": {"bytes": True},
        "too large": {"bytes": KB * KB + 1},
        "another purpose": {"purpose": "vision"},
        "no mime_type": {"mime_type": 5},
    }
    for case, changes in bad_uploads.items():
        await front.ask(f"uploads: {case}", ask("POST", "/v1/uploads", {**wanted, **changes}))
    path = f"/v1/uploads/{upload['id']}"
    one = await front.ask("part", form(f"{path}/parts", data[:9], "data", Idempotency_Key="p"))
    await front.ask("part: again", form(f"{path}/parts", data[:9], "data", Idempotency_Key="p"))
    two = await front.ask("part: second", form(f"{path}/parts", data[9:], "data"))
    await front.ask("part: too large", form(f"{path}/parts", data + b"x", "data"))
    await front.ask("part: of none", form("/v1/uploads/upload_none/parts", data, "data"))
    await front.ask("complete: none", ask("POST", "/v1/uploads/upload_none/complete", {}))
    await front.ask("complete: no parts", ask("POST", f"{path}/complete", {}))
    await front.ask("complete: unknown parts", ask("POST", f"{path}/complete", {"part_ids": ["x"]}))
    await front.ask("complete: not all parts", ask("POST", f"{path}/complete", {"part_ids": [one["id"]]}))
    both = {"part_ids": [one["id"], two["id"]]}
    await front.ask("complete: another MD5", ask("POST", f"{path}/complete", both | {"md5": "0"}))
    await front.ask("complete", ask("POST", f"{path}/complete", both))
    await front.ask("complete: again", ask("POST", f"{path}/complete", both))
    await front.ask("part: of a complete one", form(f"{path}/parts", data, "data"))
    await front.ask("cancel: a complete one", ask("POST", f"{path}/cancel"))
    upload = await front.ask("uploads: another", ask("POST", "/v1/uploads", wanted))
    path = f"/v1/uploads/{upload['id']}"
    await front.ask("cancel", ask("POST", f"{path}/cancel"))
    await front.ask("cancel: again", ask("POST", f"{path}/cancel"))
    await front.ask("cancel: none", ask("POST", "/v1/uploads/upload_none/cancel"))
    await front.ask("complete: a cancelled one", ask("POST", f"{path}/complete", both))


async def batches(front: Front, file_id: str) -> None:
    """Batches, good and bad."""
    await front.ask("batches: none", ask("GET", "/v1/batches"))
    good: dict[str, Any] = {"input_file_id": file_id, "endpoint": URL, "completion_window": "24h"}
    raw = ask("POST", "/v1/batches", good | {"metadata": {"a": "b"}}, Idempotency_Key="b")
    batch = await front.ask("batches: made", raw)
    await front.finished("batch: completed", batch["id"])
    await front.ask("batches: made again", raw)
    await front.ask(
        "batches: the key again with another", ask("POST", "/v1/batches", good, Idempotency_Key="b")
    )
    bad_batches: dict[str, dict[str, Any]] = {
        "no input": {"input_file_id": None},
        "input that is not there": {"input_file_id": "file-none"},
        "no endpoint": {"endpoint": None},
        "another endpoint": {"endpoint": "/v1/embeddings"},
        "no window": {"completion_window": None},
        "a bad window": {"completion_window": "soon"},
        "a long window": {"completion_window": "8d"},
        "bad metadata": {"metadata": {"a": 5}},
    }
    for case, changes in bad_batches.items():
        await front.ask(f"batches: {case}", ask("POST", "/v1/batches", {**good, **changes}))
    await front.ask("batches: no JSON", ask("POST", "/v1/batches", b"{"))
    await front.ask("batches: no object", ask("POST", "/v1/batches", b"[]"))
    await front.ask("batches: a body too large", ask("POST", "/v1/batches", b" " * (KB * KB + 1)))
    await front.ask("batches: listed", ask("GET", "/v1/batches"))
    await front.ask("batches: a bad limit", ask("GET", "/v1/batches?limit=101"))
    await front.ask("batches: after none", ask("GET", "/v1/batches?after=batch_none"))
    await front.ask("batch: none", ask("GET", "/v1/batches/batch_none"))
    await front.ask("batch: cancelled too late", ask("POST", f"/v1/batches/{batch['id']}/cancel"))
    await front.ask("batch: cancel none", ask("POST", "/v1/batches/batch_none/cancel"))
    output = (await front.finished("batch: completed, again", batch["id"]))["output_file_id"]
    await front.ask("batch: output file", ask("GET", f"/v1/files/{output}"))
    await front.ask("batch: output", ask("GET", f"/v1/files/{output}/content"))
    bad = b"".join(
        [
            b"{\n",
            b"[]\n",
            line(2, custom_id=""),
            line(3, method="GET"),
            line(4, url="/v1/other"),
            line(5, body=5),
            line(6, body={"messages": []}),
            line(7, deadline_ms=0),
            line(8),
            line(8),
        ]
    )
    for case, data in (("bad lines", bad), ("an empty file", b"\n"), ("a line twice", line(1) * 2)):
        file = await front.ask(f"{case}: file", form("/v1/files", data))
        batch = await front.ask(
            f"{case}: batch", ask("POST", "/v1/batches", good | {"input_file_id": file["id"]})
        )
        await front.finished(f"{case}: failed", batch["id"])


async def cancelled(front: Front, replica: RawReplica, file_id: str) -> None:
    """A batch that is cancelled while its first line is out."""
    good = {"input_file_id": file_id, "endpoint": URL, "completion_window": "24h"}
    whole, before = replica.parts, len(replica.seen)
    replica.parts = (b"", *whole)
    batch = await front.ask("cancelled: made", ask("POST", "/v1/batches", good))
    await until(lambda: len(replica.seen) > before)
    await front.ask("cancelled: its file is in use", ask("DELETE", f"/v1/files/{file_id}"))
    await front.ask("cancelled: in progress", ask("GET", f"/v1/batches/{batch['id']}"))
    await front.ask("cancelled: cancelling", ask("POST", f"/v1/batches/{batch['id']}/cancel"))
    # The line that was not begun counts as failed a moment later.
    await front.until(batch["id"], lambda one: one["request_counts"]["failed"] == 1)
    await front.ask("cancelled: cancelling, again", ask("POST", f"/v1/batches/{batch['id']}/cancel"))
    replica.go.set()
    done = await front.finished("cancelled: done", batch["id"])
    for kind in ("output", "error"):
        if done[f"{kind}_file_id"]:
            raw = ask("GET", f"/v1/files/{done[f'{kind}_file_id']}/content")
            await front.ask(f"cancelled: its {kind}", raw)


async def other_requests(front: Front) -> None:
    """What fits no route, and what is no request."""
    for case, raw in {
        "unknown path": ask("GET", "/v1/nothing"),
        "the platform's path": ask("GET", "/up"),
        "wrong method": ask("PUT", "/v1/files", {}),
        "wrong method for one": ask("POST", "/v1/files/file-none", {}),
        "wrong method for batches": ask("DELETE", "/v1/batches"),
        "bad request line": b"nonsense\r\n\r\n",
        "bad field": b"GET /v1/files HTTP/1.1\r\nHost: a\r\nnocolon\r\n\r\n",
        "no host": b"GET /v1/files HTTP/1.1\r\n\r\n",
        "unknown version": b"GET /v1/files HTTP/2.0\r\nHost: a\r\n\r\n",
        "head too large": b"GET /v1/files HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 17000 + b"\r\n\r\n",
        "HTTP/1.0": b"GET /v1/batches/batch_none HTTP/1.0\r\n\r\n",
        "bad chunk": b"POST /v1/batches HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "a body in chunks": b"POST /v1/batches HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\n{}\r\n0\r\n\r\n",
    }.items():
        await front.ask(case, raw)
    await front.ask("HEAD", ask("HEAD", "/v1/files"), no_body=True)
    async with connected(front.port) as client:
        client.send(ask("POST", "/v1/batches", {}, Expect="100-continue")[:-2])
        said = [await client.answer(no_body=True)]
        client.send(b"{}")
        front.said["100-continue"] = [*said, await client.answer()]


async def play() -> tuple[dict[str, list[bytes]], dict[str, list[bytes]]]:
    with tempfile.TemporaryDirectory() as folder:
        async with RawReplica() as replica, Gateway(replica, options=edge_file(folder)) as gateway:
            front = Front(await batch_port(gateway))
            file_id = await files(front)
            await uploads(front)
            await batches(front, file_id)
            sent = {"the lines of a batch": replica.seen.copy()}
            await cancelled(front, replica, file_id)
            await other_requests(front)
    return front.said, sent


def test_files_uploads_and_batches() -> None:
    said, sent = asyncio.run(play())
    compare_bytes("batch_front", said)
    compare_bytes("batch_to_replicas", sent)


async def with_a_key() -> dict[str, list[bytes]]:
    with tempfile.TemporaryDirectory() as folder:
        options = edge_file(folder, token_env="GOLDEN_TOKEN")
        env = {"GOLDEN_TOKEN": "secret"}
        async with RawReplica() as replica, Gateway(replica, options=options, env=env) as gateway:
            front = Front(await batch_port(gateway))
            for case, headers in {
                "no key": {},
                "another key": {"Authorization": "Bearer other"},
                "no bearer": {"Authorization": "secret"},
                "the key": {"Authorization": "Bearer secret"},
            }.items():
                await front.ask(case, ask("GET", "/v1/files", **headers))
            await front.ask("no key, unknown path", ask("GET", "/v1/nothing"))
            await front.ask("no key, wrong method", ask("PUT", "/v1/files"))
            await front.ask("no key, a body", form("/v1/files", line(1)))
    return front.said


def test_a_front_that_asks_for_a_key() -> None:
    compare_bytes("batch_front_key", asyncio.run(with_a_key()))
