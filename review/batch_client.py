"""A client of the batch API, and the files that a gateway with a batch front starts from."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

from rig import CouldNotRunError, Discovery, Message, Record, http

ENDPOINT = "/v1/chat/completions"
FINAL = ("completed", "failed", "expired", "cancelled")


def gateway_config(port: int, discovery: Discovery, settings: dict[str, Any], **more: Any) -> dict[str, Any]:
    """The configuration of a gateway on the loopback address."""
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.complete(),
        "settings": settings,
    } | more


def batch_edge(folder: Path, port: int) -> Path:
    """Write an edge file with the batch front, with the values of the project's example."""
    path = folder / "edge.toml"
    store = folder / "store"
    keys = [
        f'listen = "127.0.0.1:{port}"',
        f'store = "{store}"',
        'kind = "bulk"',
        "concurrency = 4",
        "tries = 3",
    ]
    path.write_text("\n".join(["[batch]", *keys, ""]))
    return path


def input_line(custom_id: str, prompt: str) -> bytes:
    """One line of an input file, as a client's JSON library writes it."""
    body = {"model": "m", "max_tokens": 20, "messages": [{"role": "user", "content": prompt}]}
    line = {"custom_id": custom_id, "method": "POST", "url": ENDPOINT, "body": body}
    return json.dumps(line).encode() + b"\n"


class RefusedError(Exception):
    """The gateway has answered a request with an error of the client."""


class BatchClient:
    """Uploads a file, starts a batch and fetches its results; each request has its own connection."""

    def __init__(self, port: int, record: Record) -> None:
        self._port = port
        self._record = record

    async def _request(self, method: str, path: str, body: bytes = b"", content_type: str = "") -> Message:
        headers = {"Content-Type": content_type} if content_type else {}
        answer = await http(self._port, method, path, body, headers)
        if 400 <= answer.status < 500:
            raise RefusedError(f"{method} {path}: {answer.status}")
        if answer.status != 200 or not answer.complete:
            raise CouldNotRunError(f"{method} {path}: {answer.status} {answer.body[:300]!r}")
        return answer

    async def create_batch(self, lines: list[bytes], window: str) -> str:
        """Upload the lines as a file and start a batch that reads it; returns the batch's ID."""
        form = b'--b\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
        form += b'--b\r\nContent-Disposition: form-data; name="file"; filename="in.jsonl"\r\n\r\n'
        form += b"".join(lines) + b"\r\n--b--\r\n"
        answer = await self._request("POST", "/v1/files", form, "multipart/form-data; boundary=b")
        file_id = json.loads(answer.body)["id"]
        self._record(f"the client uploaded {len(lines)} lines as {file_id}")
        members = {"input_file_id": file_id, "endpoint": ENDPOINT, "completion_window": window}
        answer = await self._request("POST", "/v1/batches", json.dumps(members).encode(), "application/json")
        batch = json.loads(answer.body)
        self._record(f"the client started {batch['id']}: {batch['status']}")
        return str(batch["id"])

    async def get(self, batch_id: str) -> dict[str, Any]:
        """The batch object."""
        batch: dict[str, Any] = json.loads((await self._request("GET", f"/v1/batches/{batch_id}")).body)
        return batch

    async def wait_until_final(self, batch_id: str, seconds: float) -> dict[str, Any]:
        """Poll a batch until it has a final status, or for so long; returns its last object."""
        deadline, shown = time.monotonic() + seconds, ""
        while True:
            batch = await self.get(batch_id)
            state = f"{batch['status']}, {batch['request_counts']}"
            if state != shown:
                shown = state
                self._record(f"the batch is {state}")
            if batch["status"] in FINAL or time.monotonic() > deadline:
                return batch
            await asyncio.sleep(0.2)

    async def results(self, batch: dict[str, Any]) -> dict[str, str]:
        """The result of each line in the batch's files: `served`, or the code of its error."""
        found: dict[str, str] = {}
        for name in ("output_file_id", "error_file_id"):
            if batch[name]:
                answer = await self._request("GET", f"/v1/files/{batch[name]}/content")
                rows = [json.loads(line) for line in answer.body.splitlines()]
                found |= {
                    row["custom_id"]: row["error"]["code"] if row["error"] else "served" for row in rows
                }
        return found
