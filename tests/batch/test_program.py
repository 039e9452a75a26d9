"""The batch front of the program itself: files in, files out, a kill midway, and live calls beside it."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import pytest

from lockspoke.lifecycle.config import ConfigError
from lockspoke.lifecycle.edge_file import read_batch_file
from lockspoke.wire.http.http1 import encode_request
from tests.standins import EVENTS, HEAD, ROOT, TAIL, Client, FakeWorker, Program, call_bytes, chunk, until

LINES = 2000
URL = "/v1/chat/completions"


def batch_config(folder: Path, **more: Any) -> Path:
    values = {"listen": "127.0.0.1:0", "store": str(folder / "store"), "concurrency": 8} | more
    path = folder / "batch.toml"
    tables = {key: value for key, value in values.items() if isinstance(value, dict)}
    text = [f"{key} = {json.dumps(value)}" for key, value in values.items() if key not in tables]
    text += [
        f"[{key}]\n" + "\n".join(f"{k} = {json.dumps(v)}" for k, v in t.items()) for key, t in tables.items()
    ]
    path.write_text("\n".join(text))
    return path


class Api:
    """A client of the batch API on one connection."""

    def __init__(self, client: Client) -> None:
        self.client = client

    async def ask(
        self, method: str, path: str, body: Any = None, expect: int = 200, **headers: str
    ) -> tuple[Any, dict[str, str]]:
        raw = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
        fields = {"Host": "a"} | {name.replace("_", "-"): value for name, value in headers.items()}
        status, got, data, whole = await self.client.ask(encode_request(method, path, fields, raw))
        assert (status, whole) == (expect, True), (status, data)
        return (json.loads(data) if "json" in got["content-type"] else data), got

    async def form(self, path: str, name: str, data: bytes, expect: int = 200, **headers: str) -> Any:
        body = b'--b\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
        body += (
            b'--b\r\nContent-Disposition: form-data; name="%b"; filename="in.jsonl"\r\n\r\n' % name.encode()
        )
        body += data + b"\r\n--b--\r\n"
        kind = "multipart/form-data; boundary=b"
        return (await self.ask("POST", path, body, expect, Content_Type=kind, **headers))[0]

    async def batch(self, data: bytes, window: str = "24h", **headers: str) -> str:
        file = await self.form("/v1/files", "file", data)
        raw = {"input_file_id": file["id"], "endpoint": URL, "completion_window": window}
        made = (await self.ask("POST", "/v1/batches", raw, **headers))[0]
        assert made["object"] == "batch" and made["status"] in ("validating", "in_progress")
        return str(made["id"])

    async def finished(self, batch_id: str) -> Any:
        async with asyncio.timeout(120):
            while True:
                batch = (await self.ask("GET", f"/v1/batches/{batch_id}"))[0]
                if batch["status"] in ("completed", "failed", "expired", "cancelled"):
                    return batch
                await asyncio.sleep(0.05)

    async def rows(self, file_id: str) -> list[Any]:
        data = (await self.ask("GET", f"/v1/files/{file_id}/content"))[0]
        return [json.loads(line) for line in data.splitlines()]


def jsonl(count: int) -> bytes:
    body = {"model": "m", "messages": [{"role": "user", "content": "summarise the lamps of street 7"}]}
    rows = [{"custom_id": f"c{n}", "method": "POST", "url": URL, "body": body} for n in range(count)]
    return b"".join(json.dumps(row).encode() + b"\n" for row in rows)


def batch_port(program: Program) -> int:
    found = program.log("batch_listening")
    assert found is not None
    return int(found["port"])


async def started(program: Program) -> Api:
    await until(lambda: program.log("batch_listening") is not None)
    client = Client(batch_port(program))
    await client.__aenter__()
    return Api(client)


def test_two_thousand_lines_survive_a_kill_and_a_restart(tmp_path: Path) -> None:
    options = ("--batch", batch_config(tmp_path))

    async def play() -> None:
        async with FakeWorker(pause=0.002) as one, FakeWorker(pause=0.002) as two:
            async with Program(one, two, options=options) as program:
                api = await started(program)
                batch_id = await api.batch(jsonl(LINES), Idempotency_Key="k1")
                await until(lambda: len(one.seen) + len(two.seen) > LINES // 3)
                program.process.kill()
                await program.process.wait()
            async with Program(one, two, options=options) as program:
                api = await started(program)
                half = (await api.ask("GET", f"/v1/batches/{batch_id}"))[0]["request_counts"]
                assert half["total"] == LINES and 0 < half["completed"] < LINES
                await until(lambda: len(one.seen) + len(two.seen) > 2 * LINES // 3)
                assert await program.terminate() == 0  # once in good order, too
            async with Program(one, two, options=options) as program:
                api = await started(program)
                batch = await api.finished(batch_id)
                assert batch["status"] == "completed"
                assert batch["request_counts"] == {"total": LINES, "completed": LINES, "failed": 0}
                rows = await api.rows(batch["output_file_id"])
                assert [row["custom_id"] for row in rows] == [f"c{n}" for n in range(LINES)]
                assert all(row["response"]["status_code"] == 200 for row in rows)
                assert batch["error_file_id"] is None
                # What was out at the kill was run again; nothing that had its end was.
                assert LINES <= len(one.seen) + len(two.seen) <= LINES + 8

    asyncio.run(play())


async def docs_service(port: int, count: int, rate: float) -> tuple[int, list[float]]:
    """How many of so many `docs` calls were served in time, and how long each took."""
    took: list[float] = []

    async def one(number: int) -> bool:
        await asyncio.sleep(number / rate)
        async with Client(port) as client:
            began = time.monotonic()
            status, _, body, whole = await client.ask(call_bytes(number))
            took.append(time.monotonic() - began)
            return status == 200 and whole and body.endswith(TAIL) and took[-1] <= 1.0

    return sum(await asyncio.gather(*(one(n) for n in range(count)))), took


class BusyWorker(FakeWorker):
    """A worker with a few slots and a short queue, which turns away what is past them."""

    def __init__(self, slots: int = 4, queue: int = 8, pause: float = 0.05) -> None:
        super().__init__(pause=pause)
        self.slots = asyncio.Semaphore(slots)
        self.room = slots + queue

    async def answer(self, request: Any, writer: asyncio.StreamWriter) -> None:
        if self.room <= 0:
            writer.write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            return
        self.room -= 1
        try:
            async with self.slots:
                for event in EVENTS:  # takes as long as its pause, half for each event
                    await asyncio.sleep(self.pause / 2)
                    writer.write((HEAD if event is EVENTS[0] else b"") + chunk(event))
                writer.write(chunk(TAIL) + chunk(b""))
                await writer.drain()
        finally:
            self.room += 1


def test_live_docs_keep_their_service_beside_a_batch(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """80 calls a second take a third of what two such workers can do."""
    count, rate = 400, 80.0
    options = ("--batch", batch_config(tmp_path, concurrency=4))

    async def play() -> tuple[int, int, int]:
        async with BusyWorker() as one, BusyWorker() as two:  # noqa: SIM117
            async with Program(one, two, options=options) as program:
                alone, slow = await docs_service(program.port, count, rate)
                api = await started(program)
                batch_id = await api.batch(jsonl(LINES))
                await until(lambda: len(one.seen) + len(two.seen) > count)
                beside, slow_beside = await docs_service(program.port, count, rate)
                batch = (await api.ask("GET", f"/v1/batches/{batch_id}"))[0]
                assert batch["status"] == "in_progress", "the batch ran all the while"
                done = batch["request_counts"]["completed"]
                with capsys.disabled():
                    p99 = [sorted(took)[int(0.99 * count)] * 1000 for took in (slow, slow_beside)]
                    print(f"\ndocs in time: {alone} alone, {beside} beside {done} lines; p99 ms {p99}")
                return alone, beside, done

    alone, beside, done = asyncio.run(play())
    assert alone >= 0.98 * count and done > 0
    assert beside >= 0.98 * alone


def test_files_uploads_and_batches_follow_the_public_api(tmp_path: Path) -> None:
    options = ("--batch", batch_config(tmp_path, max_file_mb=1))

    async def play() -> None:
        async with FakeWorker() as worker, Program(worker, options=options) as program:
            api = await started(program)
            # Creation that is sent again gives what it gave the first time.
            file = await api.form("/v1/files", "file", jsonl(2), Idempotency_Key="f")
            assert file == await api.form("/v1/files", "file", jsonl(2), Idempotency_Key="f")
            error = (await api.form("/v1/files", "file", jsonl(3), 409, Idempotency_Key="f"))["error"]
            assert error["code"] == "idempotency_key_reused" and error["type"] == "invalid_request_error"
            assert (file["object"], file["bytes"], file["purpose"]) == ("file", len(jsonl(2)), "batch")
            raw = {
                "input_file_id": file["id"],
                "endpoint": URL,
                "completion_window": "24h",
            }
            made = [
                (await api.ask("POST", "/v1/batches", raw | {"metadata": {"a": "b"}}, Idempotency_Key="b"))[0]
                for _ in range(2)
            ]
            assert made[0]["id"] == made[1]["id"] and made[0]["metadata"] == {"a": "b"}
            batch = await api.finished(made[0]["id"])
            rows = await api.rows(batch["output_file_id"])
            answer = rows[0]["response"]["body"]["choices"][0]["message"]
            assert answer == {"role": "assistant", "content": "one two"}

            # A download goes on where it broke.
            path = f"/v1/files/{file['id']}/content"
            whole, head = await api.ask("GET", path)
            part, got = await api.ask("GET", path, expect=206, Range="bytes=10-19", If_Range=head["etag"])
            assert part == whole[10:20] and got["content-range"] == f"bytes 10-19/{len(whole)}"
            assert (await api.ask("GET", path, Range="bytes=10-", If_Range='"old"'))[0] == whole
            await api.ask("GET", path, expect=416, Range=f"bytes={len(whole)}-")

            # A file in parts, one of them sent again.
            raw = {
                "filename": "u.jsonl",
                "purpose": "batch",
                "bytes": len(whole),
                "mime_type": "application/jsonl",
            }
            upload = (await api.ask("POST", "/v1/uploads", raw))[0]
            parts = f"/v1/uploads/{upload['id']}/parts"
            ids = []
            for data, key in ((whole[:100], "p1"), (whole[100:], "p2"), (whole[100:], "p2")):
                ids.append((await api.form(parts, "data", data, Idempotency_Key=key))["id"])
            assert ids[1] == ids[2]
            complete = f"/v1/uploads/{upload['id']}/complete"
            await api.ask("POST", complete, {"part_ids": ids[:1]}, expect=400)
            done = (await api.ask("POST", complete, {"part_ids": ids[:2]}))[0]
            again = (await api.ask("POST", complete, {"part_ids": ids[:2]}))[0]
            assert done == again and done["status"] == "completed"
            assert (await api.ask("GET", f"/v1/files/{done['file']['id']}/content"))[0] == whole
            await api.form(parts, "data", b"x", 409)

            # Listings, page by page; newest first.
            files = (await api.ask("GET", "/v1/files?limit=2"))[0]
            assert files["has_more"] and files["data"][0]["id"] == done["file"]["id"]
            rest = (await api.ask("GET", f"/v1/files?after={files['last_id']}"))[0]
            assert not rest["has_more"] and rest["data"][-1]["id"] == file["id"]
            assert (await api.ask("GET", "/v1/batches"))[0]["data"] == [batch]

            # Errors, each with an error object.
            for method, path, body, status in (
                ("GET", "/v1/nothing", None, 404),
                ("GET", "/v1/files/file-none", None, 404),
                ("PUT", "/v1/files", {}, 405),
                ("POST", "/v1/files", {}, 415),
                ("POST", "/v1/batches", b"{", 400),
                ("POST", "/v1/batches", {"endpoint": "/v1/embeddings", "completion_window": "24h"}, 400),
                ("POST", "/v1/batches", raw, 400),
                ("POST", f"/v1/batches/{batch['id']}/cancel", {}, 409),
                ("GET", "/v1/batches?limit=0", None, 400),
            ):
                error = (await api.ask(method, path, body, expect=status))[0]["error"]
                assert error["message"] and error["type"] == "invalid_request_error"
            await api.form("/v1/files", "file", b"x" * 1_100_000, 413)
            api = await started(program)
            assert (await api.ask("DELETE", f"/v1/files/{file['id']}"))[0]["deleted"] is True
            await api.ask("GET", f"/v1/files/{file['id']}", expect=404)

    asyncio.run(play())


def test_an_inventory_feeds_the_registry_and_a_bad_reload_keeps_the_old_list(tmp_path: Path) -> None:
    inventory = tmp_path / "workers.csv"
    options = (
        "--batch",
        batch_config(tmp_path, inventory={"path": str(inventory), "guard.new_is_cold": False}),
    )

    async def play() -> None:
        async with FakeWorker() as one, FakeWorker() as two:
            inventory.write_text(f"name,endpoint,zone\nw1,127.0.0.1:{one.port},lis-1\n")
            async with Program(options=options) as program, Client(program.port) as client:
                assert (await client.ask(call_bytes(1)))[0] == 200 and len(one.seen) == 1
                inventory.write_text("name,endpoint\nw1,127.0.0.1:x\nw2,nowhere\n")
                await until(lambda: program.log("inventory_problem", line=3) is not None)
                assert (await client.ask(call_bytes(2)))[0] == 200 and len(one.seen) == 2
                inventory.write_text(f"name,endpoint\nw2,127.0.0.1:{two.port}\n")
                await until(lambda: program.log("endpoint_list_changed") is not None)
                assert (await client.ask(call_bytes(3)))[0] == 200 and len(two.seen) == 1

    asyncio.run(play())


def test_a_key_is_asked_for_where_one_is_set(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("TEST_BATCH_TOKEN", "secret")
    options = ("--batch", batch_config(tmp_path, token_env="TEST_BATCH_TOKEN"))

    async def play() -> None:
        async with FakeWorker() as worker, Program(worker, options=options) as program:
            api = await started(program)
            await api.ask("GET", "/v1/files", expect=401)
            await api.ask("GET", "/v1/files", Authorization="Bearer secret")

    asyncio.run(play())


def test_the_deploy_file_is_read_and_bad_ones_name_the_key(tmp_path: Path) -> None:
    (section,) = read_batch_file(ROOT / "deploy" / "batch.toml")
    assert (section.settings.listen, section.settings.concurrency) == ("127.0.0.1:5080", 4)
    good = 'listen = "127.0.0.1:1"\nstore = "s"\n'
    for text, key in (
        ('listen = "127.0.0.1:1"\n', "store"),
        (good + "concurrency = 0\n", "concurrency"),
        (good + "concurrency = true\n", "concurrency"),
        (good + "speed = 1\n", "speed"),
        ('listen = "here"\nstore = "s"\n', "listen"),
        ("listen =", "batch.toml"),
    ):
        path = tmp_path / "batch.toml"
        path.write_text(text)
        with pytest.raises(ConfigError, match=key):
            read_batch_file(path)


def test_without_the_option_nothing_listens_for_batches() -> None:
    async def play() -> None:
        async with FakeWorker() as worker, Program(worker) as program, Client(program.port) as client:
            assert (await client.ask(b"GET /v1/batches HTTP/1.1\r\nHost: a\r\n\r\n"))[0] == 404
            assert program.log("batch_listening") is None

    asyncio.run(play())
