"""The gateway in a process of its own, and raw-socket stand-ins that keep the bytes they are sent.

Nothing here imports the gateway's own modules: these tests look at it from outside only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

from .log_names import event_now, field_now, value_now

ROOT = Path(__file__).resolve().parents[2]
PATIENCE = float(os.environ.get("PATIENCE", "60"))  # seconds an event may take on a busy machine
SECOND = 1_000_000_000
SETTINGS: dict[str, Any] = {
    "contract": {
        "coldShare": 0.13,
        "warmUp": 24 * SECOND,
        "fallMultiple": 3.0,
        "fall": 3 * SECOND // 2,
        "askEvery": 10 * SECOND,
    },
    "discovery": "subscribe",
    "limits": {
        "attemptsCap": 3,
        "mayDuplicate": False,  # a hedged request comes when the machine is slow, and not otherwise
        "connectTimeout": 30 * SECOND,
        "keepalive": 10 * SECOND,
    },
    "loadInfo": {"fields": ["util"]},
    "profiles": [
        {"name": "docs", "effect": "free", "aim": SECOND, "deadline": 4 * SECOND},
        {"name": "bulk", "effect": "free", "aim": 4 * SECOND, "deadline": 12 * SECOND},
    ],
    "zones": ["lis-1"],
}


async def until(condition: Callable[[], Any]) -> None:
    """Wait for a condition; one that never comes true fails the test."""
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0.005)


async def read_head(reader: asyncio.StreamReader) -> bytes:
    """The bytes of a message's head, or what came before the connection ended."""
    try:
        return await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), PATIENCE)
    except asyncio.IncompleteReadError as error:
        return error.partial
    except ConnectionError:
        return b""


async def read_message(reader: asyncio.StreamReader, no_body: bool = False) -> bytes:
    """The bytes of one message, framing and all, or what came of it before the connection ended."""
    raw = await read_head(reader)
    if no_body or not raw.endswith(b"\r\n\r\n"):
        return raw
    sized = re.search(rb"(?im)^content-length: *(\d+)\r$", raw)
    chunked = re.search(rb"(?im)^transfer-encoding: *chunked\r$", raw)
    try:
        async with asyncio.timeout(PATIENCE):
            if sized:
                raw += await reader.readexactly(int(sized[1]))
            elif chunked:
                line = b""
                while line != b"0\r\n":
                    line = await reader.readuntil(b"\r\n")
                    raw += line
                    raw += await reader.readexactly(int(line, 16) + 2)
            elif not raw.startswith(b"HTTP/1.1 1"):  # neither framing: the close ends it
                raw += await reader.read()
    except asyncio.IncompleteReadError as error:
        raw += error.partial
    return raw


class RawServer:
    """Keeps the bytes of each request; `play` answers it."""

    def __init__(self) -> None:
        self.port = 0
        self.seen: list[bytes] = []
        self.closed = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> Any:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=64)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while request := await self._request(reader):
                self.seen.append(request)
                await self.play(request, writer)
        finally:
            self.closed += 1
            writer.close()

    async def _request(self, reader: asyncio.StreamReader) -> bytes:
        """One request; there is no limit on the wait for its beginning."""
        try:
            raw = await reader.readuntil(b"\r\n\r\n")
            sized = re.search(rb"(?im)^content-length: *(\d+)\r$", raw)
            return raw + (await reader.readexactly(int(sized[1])) if sized else b"")
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""

    async def play(self, request: bytes, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


ONE = b'data: {"choices":[{"index":0,"delta":{"content":"one "},"finish_reason":null}]}\n\n'
TWO = b'data: {"choices":[{"index":0,"delta":{"content":"two"},"finish_reason":null}]}\n\n'
TAIL = (
    b'data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,"total_tokens":11}}\n\n'
    b"data: [DONE]\n\n"
)
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
WHOLE = STREAM + chunk(ONE) + chunk(TWO) + chunk(TAIL) + chunk(b"")


class RawReplica(RawServer):
    """Answers with these parts; what follows the first waits until `go` is set, None closes the connection.

    Once it is set, an answer is one write: two close after another reach the gateway together or apart by
    chance, and what comes together it sends on together.
    """

    def __init__(self, *parts: bytes | None) -> None:
        super().__init__()
        self.parts = parts or (WHOLE,)
        self.go = asyncio.Event()

    async def play(self, request: bytes, writer: asyncio.StreamWriter) -> None:
        parts = list(self.parts)
        if not self.go.is_set() and len(parts) > 1:
            writer.write(parts.pop(0) or b"")
            await self.go.wait()
        writer.write(b"".join(part for part in parts if part))
        if None in parts:
            writer.close()


def target(replica: RawServer, state: str = "up") -> dict[str, Any]:
    endpoint = f"127.0.0.1:{replica.port}"
    return {"uid": f"s-{replica.port}", "endpoint": endpoint, "az": "lis-1", "state": state, "boot_ms": 0}


def listed(rev: int, *targets: dict[str, Any], whole: bool = True) -> bytes:
    """Discovery's answer with a list."""
    body = json.dumps({"rev": rev, "all": whole, "targets": list(targets)}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class RawDiscovery(RawServer):
    """Gives these answers in turn; what is asked after the last one is held, None closes."""

    def __init__(self, *answers: bytes | None) -> None:
        super().__init__()
        self.answers = list(answers)
        self.go = asyncio.Event()
        self.go.set()

    async def play(self, request: bytes, writer: asyncio.StreamWriter) -> None:
        await self.go.wait()
        if not self.answers:
            return
        answer = self.answers.pop(0)
        if answer is None:
            writer.close()
        else:
            writer.write(answer)


class Gateway:
    """`python -m lockspoke` with its configuration in a folder of its own."""

    def __init__(
        self,
        *replicas: RawServer,
        discovery: RawServer | None = None,
        options: Iterable[str] = (),
        env: dict[str, str] | None = None,
        settings: dict[str, Any] | None = None,
        config: dict[str, Any] | None = None,
    ) -> None:
        self.discovery = discovery.port if discovery is not None else 1
        self.options = list(options)
        self.env = env or {}
        known = {"rev": 1, "all": True, "targets": [target(one) for one in replicas]}
        self.config: dict[str, Any] = {
            "name": "t1",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": SETTINGS | (settings or {}),
        } | (config or {})
        self.logs: list[dict[str, Any]] = []
        self.raw: list[str] = []

    async def __aenter__(self) -> Gateway:
        self.scratch = tempfile.TemporaryDirectory()
        self.folder = self.scratch.name
        self.path = Path(self.folder, "config.json")
        self.path.write_text(json.dumps(self.config))
        env = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
        env |= {
            "NODE_CONFIG": str(self.path),
            "NODE_LISTEN": "127.0.0.1:0",
            "NODE_DISCOVERY": f"127.0.0.1:{self.discovery}",
            "TMPDIR": self.folder,
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            "lockspoke",
            *self.options,
            cwd=ROOT,
            env=env | self.env,
            stderr=asyncio.subprocess.PIPE,
        )
        self.reading = asyncio.ensure_future(self._read_logs())
        await until(lambda: self.log("listening") or self.process.returncode is not None)
        assert self.process.returncode is None, self.raw
        self.port = self.port_of("listening")
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.reading
        self.scratch.cleanup()

    async def _read_logs(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.raw.append(line.decode())
            if line.startswith(b"{"):
                self.logs.append(json.loads(line))

    def log(self, event: str, **fields: Any) -> dict[str, Any] | None:
        """The first line of an event with these fields, all by their names at the recording."""
        wanted = {field_now(name): value_now(name, value) for name, value in fields.items()}
        for line in self.logs:
            if line["event"] == event_now(event) and wanted.items() <= line.items():
                return line
        return None

    def port_of(self, event: str) -> int:
        line = self.log(event)
        assert line is not None
        return int(line[field_now("port")])

    async def ready(self) -> None:
        await until(lambda: self.log("phase", now="ready"))

    def reload(self, raw: str | None = None, **changes: Any) -> None:
        """Put another file in the place of the configuration and say so."""
        self.config |= changes
        newer = self.path.with_name("newer.json")
        newer.write_text(json.dumps(self.config) if raw is None else raw)
        newer.replace(self.path)
        self.process.send_signal(signal.SIGHUP)

    async def terminate(self) -> int:
        self.process.terminate()
        return await asyncio.wait_for(self.process.wait(), PATIENCE)


class Connection:
    """A client's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, raw: bytes) -> None:
        self.writer.write(raw)

    async def answer(self, no_body: bool = False) -> bytes:
        return await read_message(self.reader, no_body)

    async def rest(self) -> bytes:
        """All that comes until the gateway closes."""
        parts = []
        with contextlib.suppress(ConnectionError):
            while data := await asyncio.wait_for(self.reader.read(65536), PATIENCE):
                parts.append(data)
        return b"".join(parts)


@contextlib.asynccontextmanager
async def connected(port: int) -> AsyncIterator[Connection]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
    try:
        yield Connection(reader, writer)
    finally:
        writer.close()


UP = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
LAST_UP = b"GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


async def exchange(port: int, raw: bytes, follow: bytes = LAST_UP, no_body: bool = False) -> list[bytes]:
    """The answer to one request; then its close, or the answer to `follow` where it is kept."""
    async with connected(port) as client:
        client.send(raw)
        first = await client.answer(no_body)
        if b"\r\nConnection: close\r\n" in first:
            return [first, b"<closed>" + await client.rest()]
        client.send(follow)
        return [first, b"<kept>" + await client.rest()]


def call(
    number: int = 1,
    deadline: int | str = 4000,
    kind: str = "docs",
    body: bytes = b'{"stream": true}',
    version: str = "1.1",
    **more: str,
) -> bytes:
    """A request for an answer, as the platform's clients send it."""
    headers = {"Host": "origin.svc", "Req-Id": f"{number:016x}", "Req-Kind": kind}
    headers |= {"Req-Deadline-Ms": str(deadline)}
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    headers |= {"Content-Length": str(len(body))}
    lines = [f"POST /v1/chat/completions?a=b HTTP/{version}"]
    lines += [f"{name}: {value}" for name, value in headers.items() if value]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


Scenario = Callable[[], Awaitable[dict[str, list[bytes]]]]
