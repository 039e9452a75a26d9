"""A client of the batch API, and the edge file of a program that serves it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

from lockspoke.wire.http.encoding import encode_request
from tests.standins import Client, Program, until

from .harness import ENDPOINT

RETRY_INTERVAL = 0.1  # seconds after an operation that failed because the store could not write

ResultT = TypeVar("ResultT")


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
        status, response_headers, data, complete = await self.client.request(
            encode_request(method, path, fields, raw)
        )
        assert (status, complete) == (expect, True), (status, data)
        return (json.loads(data) if "json" in response_headers["content-type"] else data), response_headers

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
        raw = {"input_file_id": file["id"], "endpoint": ENDPOINT, "completion_window": window}
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
    rows = [{"custom_id": f"c{n}", "method": "POST", "url": ENDPOINT, "body": body} for n in range(count)]
    return b"".join(json.dumps(row).encode() + b"\n" for row in rows)


def batch_port(program: Program) -> int:
    event = program.log("batch_listening")
    assert event is not None
    return int(event["port"])


async def connect(program: Program) -> Api:
    await until(lambda: program.log("batch_listening") is not None)
    client = Client(batch_port(program))
    await client.__aenter__()
    return Api(client)


async def call_once(program: Program, operation: Callable[[Api], Awaitable[ResultT]]) -> ResultT:
    """Run an operation on a connection of its own."""
    api = await connect(program)
    try:
        return await operation(api)
    finally:
        await api.client.__aexit__()


async def retry_while_unavailable(
    program: Program, operation: Callable[[Api], Awaitable[ResultT]]
) -> ResultT:
    """Repeat an operation while it answers 503: the store cannot write, and nothing has changed."""
    while True:
        try:
            return await call_once(program, operation)
        except AssertionError as error:
            if "(503," not in str(error):
                raise
        await asyncio.sleep(RETRY_INTERVAL)
