"""The batch front in a running program: restarts, settings, and its effect on interactive requests."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

import pytest

from lockspoke.lifecycle.config import ConfigError
from lockspoke.lifecycle.edge_file import read_batch_file
from lockspoke.units import MEBIBYTE
from tests.standins import (
    EVENTS,
    ROOT,
    STREAM_HEAD,
    STREAM_TAIL,
    Client,
    FakeReplica,
    Program,
    chunk,
    request_bytes,
    until,
)

from .api_client import batch_config, connect, input_file

LINES = 2000


def test_a_batch_completes_after_a_kill_and_a_restart(tmp_path: Path) -> None:
    options = ("--batch", batch_config(tmp_path))

    async def scenario() -> None:
        async with FakeReplica(pause=0.002) as one, FakeReplica(pause=0.002) as two:
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
                assert await program.terminate() == 0  # A graceful shutdown also leaves lines open.
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
    """Send `count` `docs` requests; returns how many were served in time, and all durations in seconds."""
    durations: list[float] = []

    async def request(number: int) -> bool:
        await asyncio.sleep(number / rate)
        async with Client(port) as client:
            started_at = time.monotonic()
            status, _, body, complete = await client.request(request_bytes(number))
            durations.append(time.monotonic() - started_at)
            return status == 200 and complete and body.endswith(STREAM_TAIL) and durations[-1] <= 1.0

    return sum(await asyncio.gather(*(request(n) for n in range(count)))), durations


class BusyReplica(FakeReplica):
    """A replica with a few slots and a short queue, which rejects requests above both."""

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
                for event in EVENTS:  # Both events together take `pause` seconds.
                    await asyncio.sleep(self.pause / 2)
                    writer.write((STREAM_HEAD if event is EVENTS[0] else b"") + chunk(event))
                writer.write(chunk(STREAM_TAIL) + chunk(b""))
                await writer.drain()
        finally:
            self.capacity += 1


def test_a_batch_does_not_slow_down_interactive_requests(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """80 requests per second use a third of the capacity of two such replicas."""
    count, rate = 400, 80.0
    options = ("--batch", batch_config(tmp_path, concurrency=4))

    async def scenario() -> tuple[int, int, int]:
        async with BusyReplica() as one, BusyReplica() as two:  # noqa: SIM117
            async with Program(one, two, options=options) as program:
                without_batch, durations_without_batch = await serve_docs(program.port, count, rate)
                api = await connect(program)
                batch_id = await api.create_batch(input_file(LINES))
                await until(lambda: len(one.seen) + len(two.seen) > count)
                with_batch, durations_with_batch = await serve_docs(program.port, count, rate)
                batch = (await api.request("GET", f"/v1/batches/{batch_id}"))[0]
                assert batch["status"] == "in_progress", "the batch ended too early to compare"
                completed = batch["request_counts"]["completed"]
                with capsys.disabled():
                    p99 = [
                        sorted(d)[int(0.99 * count)] * 1000
                        for d in (durations_without_batch, durations_with_batch)
                    ]
                    print(
                        f"\ndocs in time: {without_batch} without a batch, {with_batch} with one "
                        f"({completed} lines completed); p99 ms {p99}"
                    )
                return without_batch, with_batch, completed

    without_batch, with_batch, completed = asyncio.run(scenario())
    assert without_batch >= 0.98 * count
    assert completed > 0
    assert with_batch >= 0.98 * without_batch


def test_an_invalid_inventory_keeps_the_previous_replicas(tmp_path: Path) -> None:
    inventory = tmp_path / "replicas.csv"
    options = (
        "--batch",
        batch_config(tmp_path, inventory={"path": str(inventory), "guard.new_is_cold": False}),
    )

    async def scenario() -> None:
        async with FakeReplica() as one, FakeReplica() as two:
            inventory.write_text(f"name,endpoint,zone\nw1,127.0.0.1:{one.port},lis-1\n")
            async with Program(options=options) as program, Client(program.port) as client:
                assert (await client.request(request_bytes(1)))[0] == 200 and len(one.seen) == 1
                inventory.write_text("name,endpoint\nw1,127.0.0.1:x\nw2,nowhere\n")
                await until(lambda: program.log("inventory_problem", line=3) is not None)
                assert (await client.request(request_bytes(2)))[0] == 200 and len(one.seen) == 2
                inventory.write_text(f"name,endpoint\nw2,127.0.0.1:{two.port}\n")
                await until(lambda: program.log("endpoint_list_changed") is not None)
                assert (await client.request(request_bytes(3)))[0] == 200 and len(two.seen) == 1

    asyncio.run(scenario())


def test_a_token_is_required_if_one_is_set(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("TEST_BATCH_TOKEN", "secret")
    options = ("--batch", batch_config(tmp_path, token_env="TEST_BATCH_TOKEN"))

    async def scenario() -> None:
        async with FakeReplica() as replica, Program(replica, options=options) as program:
            api = await connect(program)
            await api.request("GET", "/v1/files", expect=401)
            await api.request("GET", "/v1/files", Authorization="Bearer secret")

    asyncio.run(scenario())


def test_the_deploy_file_is_valid_and_settings_errors_name_the_key(tmp_path: Path) -> None:
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
        async with FakeReplica() as replica, Program(replica) as program, Client(program.port) as client:
            assert (await client.request(b"GET /v1/batches HTTP/1.1\r\nHost: a\r\n\r\n"))[0] == 404
            assert program.log("batch_listening") is None

    asyncio.run(scenario())


def test_a_lower_limit_of_sizes_does_not_concern_what_was_accepted(tmp_path: Path) -> None:
    """Guards against: an upload could not be completed, and a creation that was repeated got 413."""
    options = ("--batch", batch_config(tmp_path, max_file_mb=3))
    data = b"x" * (2 * MEBIBYTE)
    members = {"filename": "u", "purpose": "batch", "bytes": 3 * MEBIBYTE, "mime_type": "application/jsonl"}

    async def scenario() -> None:
        async with FakeReplica() as replica:
            async with Program(replica, options=options) as program:
                api = await connect(program)
                file = await api.send_form("/v1/files", "file", data, Idempotency_Key="f")
                upload = (await api.request("POST", "/v1/uploads", members, Idempotency_Key="u"))[0]
                batch_config(tmp_path, max_file_mb=1)
                program.reload()
                await until(lambda: program.log("reloaded") is not None)
                await check_accepted(program, file, upload, ["p1"])
                program.process.kill()
                await program.process.wait()
            async with Program(replica, options=options) as program:
                await check_accepted(program, file, upload, ["p1", "p2"])

    async def check_accepted(program: Program, file: Any, upload: Any, keys: list[str]) -> None:
        api = await connect(program)
        await api.send_form("/v1/files", "file", data, 413)
        api = await connect(program)
        assert file == await api.send_form("/v1/files", "file", data, Idempotency_Key="f")
        repeated = (await api.request("POST", "/v1/uploads", members, Idempotency_Key="u"))[0]
        assert repeated["id"] == upload["id"]
        await api.request("POST", "/v1/uploads", members, expect=413)
        parts = [data, b"x" * MEBIBYTE]
        for key, part in zip(keys, parts, strict=False):
            path = f"/v1/uploads/{upload['id']}/parts"
            part_ids.setdefault(key, (await api.send_form(path, "data", part, Idempotency_Key=key))["id"])
        if len(keys) == len(parts):
            path = f"/v1/uploads/{upload['id']}/complete"
            completed = (await api.request("POST", path, {"part_ids": [part_ids[key] for key in keys]}))[0]
            assert completed["file"]["bytes"] == members["bytes"]

    part_ids: dict[str, str] = {}
    asyncio.run(scenario())
