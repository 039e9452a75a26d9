"""The batch front in a running program: the public API, a crash, and interactive requests beside it."""

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


def batch_config(folder: Path, **settings: Any) -> Path:
    values = {"listen": "127.0.0.1:0", "store": str(folder / "store"), "concurrency": 8} | settings
    path = folder / "batch.toml"
    tables = {key: value for key, value in values.items() if isinstance(value, dict)}
    plain = {key: value for key, value in values.items() if key not in tables}
    sections = [toml_lines(plain)] + [f"[{name}]\n{toml_lines(table)}" for name, table in tables.items()]
    path.write_text("\n".join(sections))
    return path


def toml_lines(values: dict[str, Any]) -> str:
    return "\n".join(f"{key} = {json.dumps(value)}" for key, value in values.items())


class Api:
    """A client of the batch API on one connection."""

    def __init__(self, client: Client) -> None:
        self.client = client

    async def request(
        self, method: str, path: str, body: Any = None, expect: int = 200, **headers: str
    ) -> tuple[Any, dict[str, str]]:
        raw = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
        fields = {"Host": "a"} | {name.replace("_", "-"): value for name, value in headers.items()}
        status, got, data, complete = await self.client.ask(encode_request(method, path, fields, raw))
        assert (status, complete) == (expect, True), (status, data)
        return (json.loads(data) if "json" in got["content-type"] else data), got

    async def send_form(self, path: str, name: str, data: bytes, expect: int = 200, **headers: str) -> Any:
        body = b'--b\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
        body += (
            b'--b\r\nContent-Disposition: form-data; name="%b"; filename="in.jsonl"\r\n\r\n' % name.encode()
        )
        body += data + b"\r\n--b--\r\n"
        headers["Content_Type"] = "multipart/form-data; boundary=b"
        return (await self.request("POST", path, body, expect, **headers))[0]

    async def create_batch(self, data: bytes, window: str = "24h", **headers: str) -> str:
        file = await self.send_form("/v1/files", "file", data)
        raw = {"input_file_id": file["id"], "endpoint": URL, "completion_window": window}
        batch = (await self.request("POST", "/v1/batches", raw, 200, **headers))[0]
        assert batch["object"] == "batch"
        assert batch["status"] in ("validating", "in_progress")
        return str(batch["id"])

    async def wait_until_final(self, batch_id: str) -> Any:
        async with asyncio.timeout(120):
            while True:
                batch = (await self.request("GET", f"/v1/batches/{batch_id}"))[0]
                if batch["status"] in ("completed", "failed", "expired", "cancelled"):
                    return batch
                await asyncio.sleep(0.05)

    async def results(self, file_id: str) -> list[Any]:
        data = (await self.request("GET", f"/v1/files/{file_id}/content"))[0]
        return [json.loads(line) for line in data.splitlines()]


def input_file(count: int) -> bytes:
    body = {"model": "m", "messages": [{"role": "user", "content": "summarise the lamps of street 7"}]}
    rows = [{"custom_id": f"c{n}", "method": "POST", "url": URL, "body": body} for n in range(count)]
    return b"".join(json.dumps(row).encode() + b"\n" for row in rows)


def batch_port(program: Program) -> int:
    found = program.log("batch_listening")
    assert found is not None
    return int(found["port"])


async def connect(program: Program) -> Api:
    await until(lambda: program.log("batch_listening") is not None)
    client = Client(batch_port(program))
    await client.__aenter__()
    return Api(client)


def test_two_thousand_lines_survive_a_kill_and_a_restart(tmp_path: Path) -> None:
    options = ("--batch", batch_config(tmp_path))

    async def scenario() -> None:
        async with FakeWorker(pause=0.002) as one, FakeWorker(pause=0.002) as two:
            async with Program(one, two, options=options) as program:
                api = await connect(program)
                batch_id = await api.create_batch(input_file(LINES), Idempotency_Key="k1")
                await until(lambda: len(one.seen) + len(two.seen) > LINES // 3)
                program.process.kill()
                await program.process.wait()
            async with Program(one, two, options=options) as program:
                api = await connect(program)
                counts = (await api.request("GET", f"/v1/batches/{batch_id}"))[0]["request_counts"]
                assert counts["total"] == LINES
                assert 0 < counts["completed"] < LINES
                await until(lambda: len(one.seen) + len(two.seen) > 2 * LINES // 3)
                assert await program.terminate() == 0  # a graceful shutdown as well
            async with Program(one, two, options=options) as program:
                api = await connect(program)
                batch = await api.wait_until_final(batch_id)
                assert batch["status"] == "completed"
                assert batch["request_counts"] == {"total": LINES, "completed": LINES, "failed": 0}
                results = await api.results(batch["output_file_id"])
                assert [result["custom_id"] for result in results] == [f"c{n}" for n in range(LINES)]
                assert all(result["response"]["status_code"] == 200 for result in results)
                assert batch["error_file_id"] is None
                # Lines in flight at the kill ran again; lines that had ended did not.
                assert LINES <= len(one.seen) + len(two.seen) <= LINES + 8

    asyncio.run(scenario())


async def serve_docs(port: int, count: int, rate: float) -> tuple[int, list[float]]:
    """How many of `count` `docs` requests were served in time, and the seconds that each took."""
    durations: list[float] = []

    async def request(number: int) -> bool:
        await asyncio.sleep(number / rate)
        async with Client(port) as client:
            started_at = time.monotonic()
            status, _, body, complete = await client.ask(call_bytes(number))
            durations.append(time.monotonic() - started_at)
            return status == 200 and complete and body.endswith(TAIL) and durations[-1] <= 1.0

    return sum(await asyncio.gather(*(request(n) for n in range(count)))), durations


class BusyReplica(FakeWorker):
    """A replica with a few slots and a short queue, which sheds what exceeds them."""

    def __init__(self, slots: int = 4, queue: int = 8, pause: float = 0.05) -> None:
        super().__init__(pause=pause)
        self.slots = asyncio.Semaphore(slots)
        self.capacity = slots + queue

    async def answer(self, request: Any, writer: asyncio.StreamWriter) -> None:
        if self.capacity <= 0:
            writer.write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            return
        self.capacity -= 1
        try:
            async with self.slots:
                for event in EVENTS:  # together they take the pause
                    await asyncio.sleep(self.pause / 2)
                    writer.write((HEAD if event is EVENTS[0] else b"") + chunk(event))
                writer.write(chunk(TAIL) + chunk(b""))
                await writer.drain()
        finally:
            self.capacity += 1


def test_interactive_requests_are_served_beside_a_batch_as_without_it(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """80 requests a second take a third of the capacity of two such replicas."""
    count, rate = 400, 80.0
    options = ("--batch", batch_config(tmp_path, concurrency=4))

    async def scenario() -> tuple[int, int, int]:
        async with BusyReplica() as one, BusyReplica() as two:  # noqa: SIM117
            async with Program(one, two, options=options) as program:
                alone, durations_alone = await serve_docs(program.port, count, rate)
                api = await connect(program)
                batch_id = await api.create_batch(input_file(LINES))
                await until(lambda: len(one.seen) + len(two.seen) > count)
                beside, durations_beside = await serve_docs(program.port, count, rate)
                batch = (await api.request("GET", f"/v1/batches/{batch_id}"))[0]
                assert batch["status"] == "in_progress", "the batch ran all the while"
                completed = batch["request_counts"]["completed"]
                with capsys.disabled():
                    p99 = [sorted(d)[int(0.99 * count)] * 1000 for d in (durations_alone, durations_beside)]
                    print(f"\ndocs in time: {alone} alone, {beside} beside {completed} lines; p99 ms {p99}")
                return alone, beside, completed

    alone, beside, completed = asyncio.run(scenario())
    assert alone >= 0.98 * count
    assert completed > 0
    assert beside >= 0.98 * alone


def test_files_uploads_and_batches_follow_the_public_api(tmp_path: Path) -> None:
    options = ("--batch", batch_config(tmp_path, max_file_mb=1))

    async def scenario() -> None:
        async with FakeWorker() as replica, Program(replica, options=options) as program:
            api = await connect(program)
            # A creation that is repeated with its idempotency key gives what it gave the first time.
            file = await api.send_form("/v1/files", "file", input_file(2), Idempotency_Key="f")
            assert file == await api.send_form("/v1/files", "file", input_file(2), Idempotency_Key="f")
            error = (await api.send_form("/v1/files", "file", input_file(3), 409, Idempotency_Key="f"))[
                "error"
            ]
            assert error["code"] == "idempotency_key_reused" and error["type"] == "invalid_request_error"
            assert (file["object"], file["bytes"], file["purpose"]) == ("file", len(input_file(2)), "batch")
            raw = {
                "input_file_id": file["id"],
                "endpoint": URL,
                "completion_window": "24h",
            }
            repeated = [
                (
                    await api.request(
                        "POST", "/v1/batches", raw | {"metadata": {"a": "b"}}, Idempotency_Key="b"
                    )
                )[0]
                for _ in range(2)
            ]
            assert repeated[0]["id"] == repeated[1]["id"]
            assert repeated[0]["metadata"] == {"a": "b"}
            batch = await api.wait_until_final(repeated[0]["id"])
            results = await api.results(batch["output_file_id"])
            message = results[0]["response"]["body"]["choices"][0]["message"]
            assert message == {"role": "assistant", "content": "one two"}

            # A download resumes where it broke.
            path = f"/v1/files/{file['id']}/content"
            complete, head = await api.request("GET", path)
            part, got = await api.request("GET", path, expect=206, Range="bytes=10-19", If_Range=head["etag"])
            assert part == complete[10:20] and got["content-range"] == f"bytes 10-19/{len(complete)}"
            assert (await api.request("GET", path, Range="bytes=10-", If_Range='"old"'))[0] == complete
            await api.request("GET", path, expect=416, Range=f"bytes={len(complete)}-")

            # A file in parts, one of them repeated.
            raw = {
                "filename": "u.jsonl",
                "purpose": "batch",
                "bytes": len(complete),
                "mime_type": "application/jsonl",
            }
            upload = (await api.request("POST", "/v1/uploads", raw))[0]
            parts_path = f"/v1/uploads/{upload['id']}/parts"
            part_ids = []
            for data, key in ((complete[:100], "p1"), (complete[100:], "p2"), (complete[100:], "p2")):
                part_ids.append((await api.send_form(parts_path, "data", data, Idempotency_Key=key))["id"])
            assert part_ids[1] == part_ids[2]
            complete_path = f"/v1/uploads/{upload['id']}/complete"
            await api.request("POST", complete_path, {"part_ids": part_ids[:1]}, expect=400)
            completed = (await api.request("POST", complete_path, {"part_ids": part_ids[:2]}))[0]
            repeated_completion = (await api.request("POST", complete_path, {"part_ids": part_ids[:2]}))[0]
            assert completed == repeated_completion
            assert completed["status"] == "completed"
            assert (await api.request("GET", f"/v1/files/{completed['file']['id']}/content"))[0] == complete
            await api.send_form(parts_path, "data", b"x", 409)

            # Listings, page by page; newest first.
            files = (await api.request("GET", "/v1/files?limit=2"))[0]
            assert files["has_more"] and files["data"][0]["id"] == completed["file"]["id"]
            rest = (await api.request("GET", f"/v1/files?after={files['last_id']}"))[0]
            assert not rest["has_more"] and rest["data"][-1]["id"] == file["id"]
            assert (await api.request("GET", "/v1/batches"))[0]["data"] == [batch]

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
                error = (await api.request(method, path, body, expect=status))[0]["error"]
                assert error["message"] and error["type"] == "invalid_request_error"
            await api.send_form("/v1/files", "file", b"x" * 1_100_000, 413)
            api = await connect(program)
            assert (await api.request("DELETE", f"/v1/files/{file['id']}"))[0]["deleted"] is True
            await api.request("GET", f"/v1/files/{file['id']}", expect=404)

    asyncio.run(scenario())


def test_an_inventory_feeds_the_replica_set_and_an_invalid_reload_keeps_the_old_list(tmp_path: Path) -> None:
    inventory = tmp_path / "replicas.csv"
    options = (
        "--batch",
        batch_config(tmp_path, inventory={"path": str(inventory), "guard.new_is_cold": False}),
    )

    async def scenario() -> None:
        async with FakeWorker() as one, FakeWorker() as two:
            inventory.write_text(f"name,endpoint,zone\nw1,127.0.0.1:{one.port},lis-1\n")
            async with Program(options=options) as program, Client(program.port) as client:
                assert (await client.ask(call_bytes(1)))[0] == 200 and len(one.seen) == 1
                inventory.write_text("name,endpoint\nw1,127.0.0.1:x\nw2,nowhere\n")
                await until(lambda: program.log("inventory_problem", line=3) is not None)
                assert (await client.ask(call_bytes(2)))[0] == 200 and len(one.seen) == 2
                inventory.write_text(f"name,endpoint\nw2,127.0.0.1:{two.port}\n")
                await until(lambda: program.log("registry_changed") is not None)
                assert (await client.ask(call_bytes(3)))[0] == 200 and len(two.seen) == 1

    asyncio.run(scenario())


def test_a_token_is_required_if_one_is_set(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("TEST_BATCH_TOKEN", "secret")
    options = ("--batch", batch_config(tmp_path, token_env="TEST_BATCH_TOKEN"))

    async def scenario() -> None:
        async with FakeWorker() as replica, Program(replica, options=options) as program:
            api = await connect(program)
            await api.request("GET", "/v1/files", expect=401)
            await api.request("GET", "/v1/files", Authorization="Bearer secret")

    asyncio.run(scenario())


def test_the_deploy_file_is_valid_and_errors_in_others_name_the_key(tmp_path: Path) -> None:
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


def test_without_the_option_no_batch_front_listens() -> None:
    async def scenario() -> None:
        async with FakeWorker() as replica, Program(replica) as program, Client(program.port) as client:
            assert (await client.ask(b"GET /v1/batches HTTP/1.1\r\nHost: a\r\n\r\n"))[0] == 404
            assert program.log("batch_listening") is None

    asyncio.run(scenario())
