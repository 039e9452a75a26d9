"""Fake replicas and a fake discovery service, and helpers to run the program and send it requests."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Self

from lockspoke.wire.http.encoding import encode_request
from lockspoke.wire.http.messages import BodyChunk, Request, ResponseHead
from lockspoke.wire.http.request_assembler import RequestAssembler
from lockspoke.wire.http.response_parser import ResponseParser

ROOT = Path(__file__).resolve().parent.parent
# A test fails if a condition doesn't become true within this many seconds, even on a busy machine.
WAIT_TIMEOUT = float(os.environ.get("PATIENCE", "30"))
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
        "mayDuplicate": True,
        "connectTimeout": SECOND,
        "keepalive": 10 * SECOND,
    },
    "loadInfo": {"fields": ["util"]},
    "profiles": [
        {"name": "docs", "effect": "free", "aim": SECOND, "deadline": 4 * SECOND},
        {"name": "bulk", "effect": "free", "aim": 4 * SECOND, "deadline": 12 * SECOND},
    ],
    "zones": ["lis-1"],
}
EVENTS = [
    b'data: {"choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":null}]}\n\n' % word
    for word in (b"one ", b"two")
]
STREAM_TAIL = (
    b'data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,"total_tokens":11}}\n\n'
    b"data: [DONE]\n\n"
)
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true; the test fails if that takes longer than WAIT_TIMEOUT."""
    async with asyncio.timeout(WAIT_TIMEOUT):
        while not condition():
            await asyncio.sleep(0.005)


class Server:
    """A server on a port chosen by the kernel; subclasses define how to answer a request."""

    def __init__(self) -> None:
        self.port = self.closed = 0
        self.seen: list[Request] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        assembler = RequestAssembler()
        try:
            while data := await reader.read(65536):
                for request in assembler.feed(data):
                    self.seen.append(request)
                    await self.answer(request, writer)
        except ConnectionError:
            pass
        finally:
            self.closed += 1
            writer.close()

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


Script = Callable[[asyncio.StreamWriter], Awaitable[None]]


class FakeReplica(Server):
    """Streams the same response to every request, or runs a script instead."""

    def __init__(self, script: Script | None = None, pause: float = 0.0) -> None:
        super().__init__()
        self.script = script
        self.pause = pause

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if self.script is not None:
            return await self.script(writer)
        await asyncio.sleep(self.pause)
        writer.write(STREAM_HEAD + b"".join(map(chunk, [*EVENTS, STREAM_TAIL])) + chunk(b""))
        await writer.drain()
        return None


class FakeDiscovery(Server):
    """Responds with the endpoint list; a watch request waits until the list changes."""

    def __init__(self) -> None:
        super().__init__()
        self.rev = 1
        self.targets: list[dict[str, Any]] = []
        self.changed = asyncio.Event()
        self.raw: bytes | None = None  # sent once instead of the list
        self.raw_response: bytes | None = None  # sent once instead of a complete response, before closing

    def change(self, *replicas: FakeReplica, state: str = "up") -> None:
        self.targets = [target(replica, state) for replica in replicas]
        self.rev += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if self.raw_response is not None:
            writer.write(self.raw_response)
            self.raw_response = None
            writer.close()
            return
        listed: dict[str, Any] = {"rev": self.rev, "all": True, "targets": self.targets}
        if f"from={self.rev}&" in request.head.query and self.raw is None:
            hold = int(request.head.query.partition("hold_ms=")[2]) / 1000
            try:
                await asyncio.wait_for(self.changed.wait(), hold)
                listed |= {"rev": self.rev, "targets": self.targets}
            except TimeoutError:
                listed |= {"all": False, "targets": []}
        body, self.raw = self.raw or json.dumps(listed).encode(), None
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def target(replica: FakeReplica, state: str = "up") -> dict[str, Any]:
    endpoint = f"127.0.0.1:{replica.port}"
    return {"uid": f"s-{replica.port}", "endpoint": endpoint, "az": "lis-1", "state": state, "boot_ms": 0}


class Program:
    """Runs the program in its own process."""

    def __init__(
        self,
        *replicas: FakeReplica,
        discovery: FakeDiscovery | None = None,
        options: Any = (),
        sockets: int = 1024,
        operator: bool = False,
        env: dict[str, str] | None = None,
        keepalive: int = 10 * SECOND,
        module: str = "lockspoke",
        **settings: Any,
    ) -> None:
        self.settings = settings
        self.sockets = sockets
        self.operator = operator
        self.env = env or {}
        self.keepalive = keepalive
        self.module = module  # the Python module to run
        self.known = {"rev": 1, "all": True, "targets": [target(replica) for replica in replicas]}
        self.discovery = discovery.port if discovery is not None else 1
        self.options = options
        self.fifo = False  # Whether the configuration file is a named pipe that the test writes to.
        self.logs: list[dict[str, Any]] = []
        self.raw_logs: list[str] = []

    async def __aenter__(self) -> Program:
        self.folder = tempfile.TemporaryDirectory()
        self.config = Path(self.folder.name, "config.json")
        self.raw_config: dict[str, Any] = {
            "name": "t1",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": self.known,
            "settings": SETTINGS
            | {"limits": SETTINGS["limits"] | {"keepalive": self.keepalive}}
            | self.settings,
        }
        if self.operator:
            self.raw_config["operator"] = "127.0.0.1:0"
        if self.fifo:
            os.mkfifo(self.config)
        else:
            self.config.write_text(json.dumps(self.raw_config))
        env = os.environ | {
            "NODE_CONFIG": str(self.config),
            "NODE_LISTEN": "127.0.0.1:0",
            "NODE_DISCOVERY": f"127.0.0.1:{self.discovery}",
            "TMPDIR": self.folder.name,
        }
        env |= self.env
        command = [sys.executable, "-B", "-m", self.module, *map(str, self.options)]
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
        )
        self.reading = asyncio.ensure_future(self._read_logs())
        await until(lambda: self.log("listening") is not None or self.process.returncode is not None)
        assert self.process.returncode is None, self.raw_logs
        self.port = self.log("listening")["port"]  # type: ignore[index]  # awaited above
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.reading
        self.folder.cleanup()

    async def _read_logs(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.raw_logs.append(line.decode())
            if line.startswith(b"{"):
                self.logs.append(json.loads(line))

    def log(self, event: str, **fields: Any) -> dict[str, Any] | None:
        """Return the first log line of an event with these fields, or None."""
        for line in self.logs:
            if line["event"] == event and fields.items() <= line.items():
                return line
        return None

    def reload(self, raw: str | None = None, **changes: Any) -> None:
        """Change the configuration file and make the program reload it."""
        self.raw_config |= changes
        self.config.write_text(json.dumps(self.raw_config) if raw is None else raw)
        self.process.send_signal(signal.SIGHUP)

    async def terminate(self) -> int:
        self.process.terminate()
        return await asyncio.wait_for(self.process.wait(), WAIT_TIMEOUT)


class Client:
    """A client with one connection to a port of the program."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def __aenter__(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    async def request(self, raw: bytes) -> tuple[int, dict[str, str], bytes, bool]:
        """Send a request; returns status, headers, body and whether the response is complete."""
        self.writer.write(raw)
        return await asyncio.wait_for(self.read_response(), WAIT_TIMEOUT)

    async def read_response(self) -> tuple[int, dict[str, str], bytes, bool]:
        parser, head, body = ResponseParser(), None, b""
        while True:
            try:
                data = await self.reader.read(65536)
            except ConnectionError:
                data = b""
            for piece in parser.feed(data) if data else ():
                if isinstance(piece, ResponseHead):
                    head = piece
                elif isinstance(piece, BodyChunk):
                    body += piece.data
                elif head is not None:
                    return head.status, dict(head.headers.fields), body, True
            if not data:
                return (head.status if head else 0), dict(head.headers.fields) if head else {}, body, False


def request_bytes(
    number: int, deadline: int = 4000, kind: str = "docs", body: bytes = b"{}", **more: str
) -> bytes:
    headers = {"Host": "origin.svc", "Req-Id": f"{number:016x}", "Req-Kind": kind}
    headers |= {"Req-Deadline-Ms": str(deadline)} | more
    return encode_request("POST", "/v1/chat/completions?a=b", headers, body)
