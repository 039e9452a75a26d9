"""What the cases 6 to 10 share: the gateway as a process, stand-ins for replicas, clients, and the record.

Only the standard library is used. Everything listens on loopback addresses and on free ports.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
EXTRAS = ROOT / "review" / "build" / "extras-2"
HOST = "127.0.0.1"
SECOND = 1_000_000_000
ENDPOINT = "/v1/chat/completions"
TIME_LIMIT = 105.0  # seconds for a whole case
HELD, BROKEN, NOT_RUN = 0, 1, 2
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


class CaseError(Exception):
    """The case could not run."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self.started_at = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Add a line."""
        print(f"{time.monotonic() - self.started_at:8.3f}  {text}", file=self.file, flush=True)


def free_port() -> int:
    """A port of the loopback address that nobody uses."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def settings(*profiles: dict[str, Any]) -> dict[str, Any]:
    """Settings like those of a small deployment, with these request classes."""
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
        "kinds": ["gen-a"],
        "limits": {
            "attemptsCap": 3,
            "cancel": True,
            "connectTimeout": SECOND // 10,
            "keepalive": 10 * SECOND,
            "maxOpen": 20000,
            "maxRetryAfter": 2 * SECOND,
            "mayDuplicate": True,
            "probes": True,
            "retryAfter": True,
            "streamsPerConn": 1,
        },
        "loadInfo": {"fields": ["busy"], "via": "piggyback"},
        "peersTotal": 1,
        "profiles": list(profiles),
        "tenants": [],
        "weights": "rough",
        "zone": 0,
        "zones": ["lis-1"],
    }


def profile(name: str, deadline: float, effect: str = "free", window: float = 5.0) -> dict[str, Any]:
    """A request class; times in seconds."""
    return {
        "name": name,
        "aim": SECOND,
        "deadline": int(deadline * SECOND),
        "effect": effect,
        "dedupScope": "all",
        "window": int(window * SECOND),
        "lateWorth": 0.2,
        "stream": True,
        "value": 3.0,
    }


@dataclass
class Run:
    """A request whose last byte has reached a replica."""

    at: float
    request_id: str
    body: bytes


@dataclass
class Replica:
    """A server of the platform: it starts on a request with its last byte and streams events.

    It does not stop its work when the connection ends, like a server that cannot cancel.
    """

    name: str
    record: Record
    first_token: float = 0.1  # seconds from the last byte of a request to the first event
    events: int = 4
    gap: float = 0.05  # seconds between two events
    port: int = 0
    runs: list[Run] = field(default_factory=list)
    log_runs: bool = True
    draining: bool = False  # It turns new requests away.

    async def start(self) -> Replica:
        """Listen."""
        server = await asyncio.start_server(self.serve, HOST, self.port, backlog=512)
        self.port = int(server.sockets[0].getsockname()[1])
        return self

    def target(self, state: str = "up", boot_ms: int = 0) -> dict[str, Any]:
        """The entry of this replica in a list."""
        return {
            "uid": self.name,
            "endpoint": f"{HOST}:{self.port}",
            "az": "lis-1",
            "model": "gen-a",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        try:
            while True:
                method, path, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if method != "POST" or not path.startswith(ENDPOINT) or "req-id" not in headers:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                run = Run(time.monotonic(), headers["req-id"], body)
                self.runs.append(run)
                if self.log_runs:
                    self.record.write(f"{self.name} got request {run.request_id}: {marker(body)}")
                if self.draining:
                    writer.write(b"HTTP/1.1 503 Draining\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
                else:
                    await self._answer(writer)
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.first_token)
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        for index in range(self.events):
            choice = {"index": 0, "delta": {"content": f"w{index} "}, "finish_reason": None}
            writer.write((b"" if index else head) + chunk({"choices": [choice]}))
            await writer.drain()
            await asyncio.sleep(self.gap)
        last = {"index": 0, "delta": {"content": "."}, "finish_reason": "stop"}
        details = {"cached_tokens": 0}
        usage = {"prompt_tokens": 9, "completion_tokens": self.events + 1, "prompt_tokens_details": details}
        writer.write(chunk({"choices": [last]}) + chunk({"choices": [], "usage": usage}))
        writer.write(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
        await writer.drain()


@dataclass
class Discovery:
    """The service of the list: a watch waits for a change, or for as long as it says."""

    targets: list[dict[str, Any]]
    port: int = 0
    rev: int = 1
    changes: dict[int, list[dict[str, Any]]] = field(default_factory=dict)  # by version
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    written: dict[int, float] = field(default_factory=dict)  # when each version was first written on a watch

    async def start(self) -> Discovery:
        """Listen."""
        server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)
        self.port = int(server.sockets[0].getsockname()[1])
        return self

    def change(self, *entries: dict[str, Any]) -> int:
        """Publish new entries of replicas; returns the version of the list."""
        names = {entry["uid"] for entry in entries}
        self.targets = [target for target in self.targets if target["uid"] not in names] + list(entries)
        self.rev += 1
        self.changes[self.rev] = list(entries)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.rev

    def _list(self, version: str) -> dict[str, Any]:
        """The changes since a version, or the complete list."""
        if not version.isdigit() or not 1 <= int(version) <= self.rev:
            return {"rev": self.rev, "all": True, "targets": self.targets}
        entries: dict[str, dict[str, Any]] = {}
        for rev in range(int(version) + 1, self.rev + 1):
            entries |= {entry["uid"]: entry for entry in self.changes[rev]}
        return {"rev": self.rev, "all": False, "targets": list(entries.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, path, _ = await read_head(reader)
                query = dict(part.partition("=")[::2] for part in path.partition("?")[2].split("&"))
                version = query.get("from", "")
                if version == str(self.rev):
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(int(query.get("hold_ms", "0")) / 1000):
                            await self.changed.wait()
                body = json.dumps(self._list(version)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                self.written.setdefault(self.rev, time.monotonic())
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def chunk(event: dict[str, Any]) -> bytes:
    """An event of a stream as a chunk."""
    data = b"data: " + json.dumps(event).encode() + b"\n\n"
    return b"%x\r\n%b\r\n" % (len(data), data)


def marker(body: bytes) -> str:
    """The text of a request's last message, by which its copies are recognised."""
    try:
        return str(json.loads(body)["messages"][-1]["content"])
    except (ValueError, KeyError, IndexError, TypeError):
        return "?"


async def read_head(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str]]:
    """The first two words of a message's first line, and its header fields."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    words = lines[0].split(" ")
    fields = (line.partition(":") for line in lines[1:] if line)
    return words[0], words[1], {name.lower(): value.strip() for name, _, value in fields}


@dataclass
class Gateway:
    """One gateway, across the restarts of its process, started by `run` of the deploy file."""

    folder: Path
    record: Record
    settings: dict[str, Any]
    known: list[dict[str, Any]]
    options: str = ""  # added to the command
    discovery: int = 1
    port: int = field(default_factory=free_port)
    operator: int = 0  # the port of the operators' address; 0 for none
    shared_tmp: Path | None = None  # a TMPDIR that is kept; by default each start gets an empty one
    name: str = "gateway"  # of the log files
    process: asyncio.subprocess.Process | None = None
    starts: int = 0

    @property
    def config(self) -> Path:
        """The configuration file."""
        return self.folder / "config.json"

    @property
    def log(self) -> Path:
        """The log of the latest process."""
        return self.folder / f"{self.name}{self.starts}.log"

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        self.starts += 1
        targets = {"rev": 1, "all": True, "targets": self.known}
        self.config.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": f"{HOST}:{self.port}",
                    "discovery": f"{HOST}:{self.discovery}",
                    "seed": f"8c1f30d27a5be96{self.starts}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "known": targets,
                    "settings": self.settings,
                }
            )
        )
        private = self.shared_tmp or self.folder / f"tmp{self.starts}"
        private.mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "NODE_NAME": "n1",
            "NODE_LISTEN": f"{HOST}:{self.port}",
            "NODE_DISCOVERY": f"{HOST}:{self.discovery}",
            "NODE_CONFIG": str(self.config),
            "TMPDIR": str(private),
            "PYTHONPATH": str(EXTRAS),
        }
        if self.operator:
            environment["NODE_OPERATOR"] = f"{HOST}:{self.operator}"
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                f"{command} {self.options}",
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )
        self.record.write(f"{self.name} started, process {self.process.pid}")
        await until(self._is_ready, 30.0, "the gateway is not ready")

    async def _is_ready(self) -> bool:
        if self.process is None or self.process.returncode is not None:
            raise CaseError(f"the gateway has ended: {self.log.read_text()[-2000:]}")
        try:
            if self.operator:
                return (await call(self.operator, "GET", "/control/ready", seconds=2.0)).status == 200
            return (await call(self.port, "GET", "/up", seconds=2.0)).status == 200
        except OSError:
            return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is None:
            raise CaseError("the gateway was not started")
        self.record.write(f"{number.name} to process {self.process.pid}")
        self.process.send_signal(number)

    async def ended(self, kill_after: float | None = None) -> None:
        """Wait for the end of the process; send SIGKILL after some seconds, as the platform does."""
        if self.process is None:
            raise CaseError("the gateway was not started")
        try:
            async with asyncio.timeout(kill_after or 30.0):
                await self.process.wait()
        except TimeoutError:
            if kill_after is None:
                raise CaseError("the gateway does not end") from None
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.record.write(f"process {self.process.pid} has ended with {self.process.returncode}")

    async def stop(self) -> None:
        """End the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def _end_with_parent() -> None:
    """Have the system end a child that this process leaves behind."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass
class Answer:
    """An answer: its status, 0 if the connection ended before its end."""

    status: int
    body: bytes = b""

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


def encode(method: str, path: str, body: bytes, headers: dict[str, str]) -> bytes:
    """A request."""
    fields = {"Host": "origin.svc", "Content-Length": str(len(body))} | headers
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


async def call(
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    seconds: float = 30.0,
    sent: asyncio.Event | None = None,
) -> Answer:
    """One request on a connection of its own; `sent` is set once its last byte is written."""
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.transport.set_write_buffer_limits(0)  # `drain` waits until the system has all bytes.
            writer.write(encode(method, path, body, headers or {}))
            await writer.drain()
            if sent is not None:
                sent.set()
            return await read_answer(reader)
        finally:
            writer.close()


async def send_requests(port: int, client: int, pause: float, stop: asyncio.Event) -> int:
    """Send one `docs` request after another, each on a new connection; returns how many were served."""
    served = number = 0
    body = b'{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}'
    while not stop.is_set():
        number += 1
        headers = {"Req-Id": f"{client:04x}{number:012x}", "Req-Kind": "docs", "Req-Deadline-Ms": "4000"}
        try:
            answer = await call(
                port, "POST", ENDPOINT, body, headers | {"Req-Extra": "prompt_len=9,max_out=9"}
            )
            served += answer.status == 200
        except OSError:
            pass  # The front would send the client elsewhere.
        await asyncio.sleep(pause)
    return served


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """An answer to its end; the status is 0 if the connection ends before that."""
    try:
        _, status, headers = await read_head(reader)
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Answer(0)
    return Answer(int(status), body)


async def until(condition: Callable[[], Awaitable[bool]], seconds: float, failure: str) -> None:
    """Wait until a condition holds."""
    deadline = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > deadline:
            raise CaseError(failure)
        await asyncio.sleep(0.02)


# The batch API


def batch_file(folder: Path, port: int, **more: Any) -> Path:
    """The settings of the batch front."""
    values = {"listen": f"{HOST}:{port}", "store": str(folder / "store"), "kind": "bulk"} | more
    path = folder / "batch.toml"
    path.write_text("".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items()))
    return path


def form(name: str, data: bytes) -> tuple[bytes, dict[str, str]]:
    """A file as a form, and its header field."""
    body = b'--b\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
    body += b'--b\r\nContent-Disposition: form-data; name="%b"; filename="in.jsonl"\r\n\r\n' % name.encode()
    return body + data + b"\r\n--b--\r\n", {"Content-Type": "multipart/form-data; boundary=b"}


def input_lines(count: int) -> bytes:
    """Lines with the ids and texts line-0, line-1, ..."""
    rows = []
    for number in range(count):
        messages = [{"role": "user", "content": f"line-{number}"}]
        body = {"model": "m", "messages": messages, "max_tokens": 200}
        row = {"custom_id": f"line-{number}", "method": "POST", "url": ENDPOINT, "body": body}
        rows.append(json.dumps(row).encode() + b"\n")
    return b"".join(rows)


async def create_batch(port: int, lines: bytes, record: Record) -> str:
    """Send a file and create a batch of it; returns its id."""
    body, headers = form("file", lines)
    answer = await call(port, "POST", "/v1/files", body, headers)
    if answer.status != 200:
        raise CaseError(f"the file was not taken: {answer}")
    request = {
        "input_file_id": answer.json["id"],
        "endpoint": ENDPOINT,
        "completion_window": "24h",
    }
    answer = await call(port, "POST", "/v1/batches", json.dumps(request).encode())
    if answer.status != 200:
        raise CaseError(f"the batch was not taken: {answer}")
    record.write(f"batch accepted: {answer.json['id']} {answer.json['status']}")
    return str(answer.json["id"])


async def get_batch(port: int, batch: str) -> Any:
    """The batch as its client sees it."""
    answer = await call(port, "GET", f"/v1/batches/{batch}")
    if answer.status != 200:
        raise CaseError(f"the batch is not there: {answer}")
    return answer.json


async def final_batch(port: int, batch: str, seconds: float, record: Record) -> Any:
    """The batch once its status is final."""
    final = ("completed", "failed", "expired", "cancelled")

    async def is_final() -> bool:
        return (await get_batch(port, batch))["status"] in final

    await until(is_final, seconds, "the batch does not end")
    found = await get_batch(port, batch)
    record.write(
        f"batch is {found['status']}: counts {found['request_counts']}, output {found['output_file_id']}, "
        f"errors {found['error_file_id']}, {found.get('errors')}"
    )
    return found


async def results(port: int, batch: Any) -> dict[str, str]:
    """By line, how it ended: `served` or the code of its error."""
    ends: dict[str, str] = {}
    for key in ("output_file_id", "error_file_id"):
        if batch[key]:
            content = await call(port, "GET", f"/v1/files/{batch[key]}/content")
            for row in map(json.loads, content.body.splitlines()):
                ends[row["custom_id"]] = "served" if row["response"] else row["error"]["code"]
    return ends


# The frame of a case

Case = Callable[[Path, Record, bool], Awaitable[bool]]


def main(case: Case) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

    The case gets a temporary folder, the record and whether to bring about the disruption; it returns whether
    the rule held.
    """
    folder = Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.write(f"case {folder.name}, {'with' if trouble else 'without'} the disruption")
    code = NOT_RUN
    try:
        code = HELD if asyncio.run(_limited(case, record, trouble)) else BROKEN
    except CaseError as error:
        record.write(f"the case could not run: {error}")
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}")
    record.write({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "no result"}[code])
    sys.exit(code)


async def _limited(case: Case, record: Record, trouble: bool) -> bool:
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        if task is not None:
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    if not (EXTRAS / ".built").exists():
        raise CaseError("run review/build-2.sh first")
    with tempfile.TemporaryDirectory() as name:
        async with asyncio.timeout(TIME_LIMIT):
            return await case(Path(name), record, trouble)
