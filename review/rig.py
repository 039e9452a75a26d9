"""Stand-ins and helpers that the cases share; they use the standard library alone.

`Gateway` starts the program with the `run` command of the deploy file. `Replica` and `Discovery` follow the
operators' protocol page. `http` is a small client of HTTP/1.1 that reads a response to its end.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
EXTRAS = ROOT / "review" / ".extras"  # Made by review/build.sh: the project's own optional packages.
SECOND = 1_000_000_000
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

EVENTS = (
    b'data: {"choices":[{"index":0,"delta":{"content":"lamps "},"finish_reason":null}]}\n\n',
    b'data: {"choices":[{"index":0,"delta":{"content":"of street 7"},"finish_reason":"stop"}]}\n\n',
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,"prompt_tokens_details":'
    b'{"cached_tokens":0}}}\n\n',
    b"data: [DONE]\n\n",
)
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment with two request classes."""
    return {
        "clients": {"marksRetry": False},
        "contract": {
            "answerSlack": 8_000_000,
            "askEvery": 10 * SECOND,
            "coldShare": 0.13,
            "drainGrace": SECOND // 4,
            "fall": 3 * SECOND // 2,
            "fallMultiple": 3.0,
            "warmUp": 24 * SECOND,
        },
        "discovery": "subscribe",
        "familyInfo": {"resume": True},
        "index": 0,
        "limits": {
            "attemptsCap": 3,
            "cancel": True,
            "connectTimeout": SECOND // 2,
            "keepalive": 10 * SECOND,
            "maxOpen": 20_000,
            "maxRetryAfter": 2 * SECOND,
            "mayDuplicate": True,
            "probes": False,
            "retryAfter": True,
            "streamsPerConn": 1,
        },
        "loadInfo": {"fields": ["busy", "lat_ms"], "via": "piggyback"},
        "peersTotal": 1,
        "profiles": [
            {"name": "docs", "effect": "free", "aim": SECOND, "deadline": 4 * SECOND, "stream": True},
            {"name": "bulk", "effect": "free", "aim": 4 * SECOND, "deadline": 12 * SECOND, "stream": True},
        ],
        "tenants": [],
        "zone": 0,
        "zones": ["lis-1"],
    } | changes


class CouldNotRunError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """The file with what was sent, answered and run; each line begins with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def __call__(self, text: str, at: float | None = None) -> None:
        """Write one line; `at` is the monotonic time of what it tells, if that is not now."""
        seconds = (time.monotonic() if at is None else at) - self.started
        print(f"{seconds:8.3f} {text}", file=self._file, flush=True)

    def conclude(self, text: str) -> None:
        """Write the conclusion, to standard output as well."""
        self(text)
        print(text)
        self._file.close()


def _ports_to_choose_from() -> list[int]:
    """Ports that the system gives to no outgoing connection, in a random order."""
    try:
        first, last = map(int, Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split())
    except (OSError, ValueError):
        first, last = 32768, 60999
    ports = [port for port in range(10_000, 65_000) if not first <= port <= last] or list(
        range(10_000, 65_000)
    )
    random.shuffle(ports)
    return ports


_PORTS = _ports_to_choose_from()


def free_port() -> int:
    """A port of the loopback address that is free now, for TCP and for UDP; each call returns another one."""
    while _PORTS:
        port = _PORTS.pop()
        with (
            contextlib.suppress(OSError),
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            return port
    raise CouldNotRunError("no port is free")


# HTTP


@dataclass
class Message:
    """A request or a response: its first line, its header fields in lower case, and its body."""

    start: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """The status of a response; 0 if there was none."""
        words = self.start.split(" ")
        return int(words[1]) if len(words) > 1 and words[1].isdigit() else 0

    @property
    def path(self) -> str:
        """The target of a request."""
        return self.start.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; None if the connection ended before its head was complete."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.strip().split("\r\n")
    fields = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    message = Message(start, headers)
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                message.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            message.body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        message.complete = False
    return message


async def http(
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,  # noqa: ASYNC109  It is the client's own patience.
) -> Message:
    """Send a request on a connection of its own; the status is 0 if no answer came."""
    fields = {"Host": "origin.svc", **(headers or {})}
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{key}: {value}\r\n" for key, value in fields.items())
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
            try:
                writer.write(head.encode("latin-1") + b"\r\n" + body)
                return await read_message(reader) or Message("", {}, complete=False)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return Message("", {}, complete=False)


def completion(request_id: str, kind: str = "docs", deadline_ms: int = 4000) -> dict[str, str]:
    """The header fields of a client's request."""
    return {
        "Req-Id": request_id,
        "Req-Kind": kind,
        "Req-Deadline-Ms": str(deadline_ms),
        "Req-Extra": "prompt_len=9,prefix_len=0,max_out=20",
        "Content-Type": "application/json",
    }


class Clients:
    """Clients that send one request after another, each with an id and a connection of its own."""

    def __init__(self, port: int, interval: float) -> None:
        """Prepare them for a gateway's port; one request is sent every `interval` seconds."""
        self.answers: Counter[str] = Counter()
        self._port = port
        self._interval = interval
        self._sent = 0

    async def run(self) -> None:
        """Send until cancelled."""
        async with asyncio.TaskGroup() as requests:
            while True:
                requests.create_task(self._send())
                await asyncio.sleep(self._interval)

    async def _send(self) -> None:
        self._sent += 1
        request_id = f"{self._sent:016x}"
        body = json.dumps({"model": "m", "messages": [{"role": "user", "content": request_id}]}).encode()
        answer = await http(self._port, "POST", "/v1/chat/completions", body, completion(request_id), 6.0)
        self.answers[f"{answer.status}" if answer.complete else f"{answer.status}, cut off"] += 1


# Stand-ins


class Server:
    """A server on a free port of the loopback address; subclasses answer one request after another."""

    def __init__(self) -> None:
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22, backlog=256)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop listening and reset every connection."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None and request.complete:
                await self.answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request."""
        raise NotImplementedError


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body; an empty one is the last."""
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass
class Run:
    """A request that a replica has received to its last byte, and so has begun to run."""

    at: float
    replica: str
    request_id: str
    body: bytes
    outcome: str = ""


@dataclass
class Replica(Server):
    """A replica; `before` may answer a request instead of the usual stream, and then returns True."""

    uid: str
    pause: float = 0.02  # Seconds from one event to the next.
    before: Callable[[Run, asyncio.StreamWriter], Awaitable[bool]] | None = None
    runs: list[Run] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Set up the server."""
        super().__init__()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run a request: stream the events of one answer."""
        run = Run(time.monotonic(), self.uid, request.headers.get("req-id", ""), request.body)
        self.runs.append(run)
        if self.before is not None and await self.before(run, writer):
            return
        writer.write(STREAM_HEAD)
        for event in EVENTS:
            await asyncio.sleep(self.pause)
            writer.write(chunk(event))
        writer.write(chunk(b""))
        run.outcome = "answered in full"

    @property
    def target(self) -> dict[str, Any]:
        """The replica's entry in discovery's list."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": "lis-1",
            "model": "m",
            "pod_group": 1,
            "state": "up",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }


class Discovery(Server):
    """Discovery: the complete list, and watches that wait for a change, of which there is none here."""

    def __init__(self, replicas: list[Replica], rev: int = 41) -> None:
        super().__init__()
        self.replicas = replicas
        self.rev = rev
        self.first_answer_after = 0.0  # Seconds that a call for the complete list waits in discovery's queue.

    def complete(self) -> dict[str, Any]:
        """The complete list."""
        return {"rev": self.rev, "all": True, "targets": [replica.target for replica in self.replicas]}

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a call for the list, or hold a watch until its time is over."""
        query = dict(pair.partition("=")[::2] for pair in request.path.partition("?")[2].split("&") if pair)
        listed = self.complete()
        if query.get("from") == str(self.rev):
            listed |= {"all": False, "targets": []}
            await asyncio.sleep(int(query.get("hold_ms", "0")) / 1000)
        else:
            await asyncio.sleep(self.first_answer_after)
        body = json.dumps(listed).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class Gateway:
    """A process of the gateway, started with the `run` command of the deploy file."""

    def __init__(
        self,
        folder: Path,
        name: str,
        config: dict[str, Any],
        edge: Path | None = None,
        temporary: Path | None = None,
    ) -> None:
        """Prepare a process.

        Args:
            folder: For the configuration and the log.
            name: Of this process, for the names of its files.
            config: The configuration.
            edge: The edge file, if the gateway runs subsystems.
            temporary: The folder `$TMPDIR`.
        """
        self.name = name
        self.log = folder / f"{name}.log"
        self._config_file = folder / f"{name}.json"
        self._config_file.write_text(json.dumps(config))
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self._command = deploy["run"] + (f" --edge '{edge}'" if edge is not None else "")
        self._environment = os.environ | {
            "NODE_CONFIG": str(self._config_file),
            "TMPDIR": str(temporary or folder),
        }
        if edge is not None:
            self._environment["PYTHONPATH"] = str(EXTRAS)

    async def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self._command, cwd=ROOT, env=self._environment, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self, patience: float) -> int:
        """Wait for the end of the process; kill it if that takes too long. Returns its exit code."""
        try:
            async with asyncio.timeout(patience):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        return int(self.process.returncode or 0)

    async def wait_until_up(self, port: int, seconds: float = 15.0) -> None:
        """Wait until `GET /up` says yes; raises CouldNotRunError if it does not in time."""
        deadline = time.monotonic() + seconds
        while (await http(port, "GET", "/up", timeout=2.0)).status != 200:
            if time.monotonic() > deadline or self.process.returncode is not None:
                raise CouldNotRunError(f"{self.name} is not up: {self.log.read_text()[-2000:]}")
            await asyncio.sleep(0.05)


Case = Callable[[Path, Record, list[Gateway]], Awaitable[int]]


def run_case(case: Case, folder: Path, limit: float) -> None:
    """Run a case in a temporary folder, end every process that it started, and exit with its result."""
    record, gateways = Record(folder), list[Gateway]()
    temporary = Path(tempfile.mkdtemp(prefix="lockspoke-case-"))

    async def bounded() -> int:
        if (task := asyncio.current_task()) is not None:
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(limit):
                return await case(temporary, record, gateways)
        # A fault of the case, or its end by SIGTERM, must not look like a broken rule.
        except (Exception, asyncio.CancelledError) as error:
            record.conclude(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            for gateway in gateways:
                if gateway.process.returncode is None:
                    gateway.process.kill()
                    await gateway.process.wait()

    try:
        code = asyncio.run(bounded())
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)
