"""Replicas that send a second answer some milliseconds behind the first, and what the next client gets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import re
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import (  # noqa: E402
    BROKEN,
    HELD,
    STREAM_HEAD,
    TROUBLE,
    Discovery,
    Gateway,
    Record,
    Replica,
    Run,
    chunk,
    completion,
    free_port,
    http,
    run_case,
    settings,
)

SECONDS = 45.0
CLIENTS = 24
PAUSE = (
    0.3  # Seconds, in the mean, from a client's answer to its next request: some tens of requests a second.
)
SPOILT_EVERY = 10  # One in ten answers has a second one behind it.
LATE_BY = 0.012  # Seconds from the end of an answer to the second one.


def answer_to(request_id: str) -> list[bytes]:
    """The chunks of the stream that answers a request, whose text names the request."""
    text = f"this is the answer to {request_id}"
    events = [
        {"choices": [{"index": 0, "delta": {"content": text}, "finish_reason": None}]},
        {"choices": [{"index": 0, "delta": {"content": ""}, "finish_reason": "stop"}]},
        {"choices": [], "usage": {"prompt_tokens": 9, "completion_tokens": 2}},
    ]
    lines = [json.dumps(event).encode() for event in events] + [b"[DONE]"]
    return [chunk(b"data: " + line + b"\n\n") for line in lines]


async def stream(run: Run, writer: asyncio.StreamWriter) -> None:
    """Send one answer as it is made."""
    writer.write(STREAM_HEAD)
    for piece in answer_to(run.request_id):
        await asyncio.sleep(0.01)
        writer.write(piece)
    writer.write(chunk(b""))


class LateAnswers:
    """How the replicas answer: every tenth answer comes again, some milliseconds behind its end."""

    def __init__(self) -> None:
        self._ended = 0

    async def __call__(self, run: Run, writer: asyncio.StreamWriter) -> bool:
        """Answer a request."""
        await stream(run, writer)
        await writer.drain()
        run.outcome = "answered in full"
        self._ended += 1
        if TROUBLE and self._ended % SPOILT_EVERY == 0:
            await asyncio.sleep(LATE_BY)
            writer.write(STREAM_HEAD + b"".join(answer_to(run.request_id)) + chunk(b""))
            run.outcome = f"answered in full, and again {LATE_BY * 1000:g} ms later"
        return True


class Askers:
    """Clients that ask again a while after each answer, and compare it with what they asked."""

    def __init__(self, port: int, record: Record) -> None:
        self.sent = 0
        self.answers: Counter[str] = Counter()
        self.foreign: list[str] = []
        self._port = port
        self._record = record

    async def ask(self, pauses: random.Random) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(2 * PAUSE * pauses.random())
            await self._ask_once()

    async def _ask_once(self) -> None:
        self.sent += 1
        request_id, sent_at = f"{self.sent:016x}", time.monotonic()
        body = json.dumps({"messages": [{"role": "user", "content": request_id}]}).encode()
        headers = completion(request_id)
        got = await http(self._port, "POST", "/v1/chat/completions", body, headers, 6.0)
        self.answers[f"{got.status}{'' if got.complete else ', cut off'}"] += 1
        named = re.search(rb"answer to ([0-9a-f]{16})", got.body)
        given = named[1].decode() if named is not None else "none"
        self._record(
            f"{request_id} sent; answered {got.status}, whole: {got.complete}, answer to {given}", sent_at
        )
        if got.status == 200 and got.complete and given != request_id:
            self.foreign.append(f"{request_id} got the answer to {given}")


async def case(folder: Path, record: Record, gateways: list[Gateway]) -> int:
    """Let clients ask for a while, and see whether each gets the answer to its own request."""
    answer = LateAnswers()
    replicas = [Replica(f"s-{number}", before=answer) for number in range(3)]
    discovery = Discovery(replicas)
    for server in (*replicas, discovery):
        await server.start()
    port = free_port()
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.complete(),
        "settings": settings(),
    }
    gateway = Gateway(folder, "n1", config)
    await gateway.start()
    gateways.append(gateway)
    await gateway.wait_until_up(port)

    askers = Askers(port, record)
    seeds = [random.Random(number) for number in range(CLIENTS)]  # noqa: S311
    clients = [asyncio.ensure_future(askers.ask(pauses)) for pauses in seeds]
    await asyncio.sleep(SECONDS)
    for client in clients:
        client.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await client

    for run in sorted((run for replica in replicas for run in replica.runs), key=lambda run: run.at):
        record(f"{run.replica} ran {run.request_id}: {run.outcome}", run.at)
    for line in askers.foreign:
        record(f"with 200 and to the last chunk, {line}")
    outcomes = Counter(run.outcome for replica in replicas for run in replica.runs)
    record(f"the replicas ran {sum(outcomes.values())} requests: {dict(outcomes)}")
    record(f"{askers.sent} requests were sent; answers by status: {dict(askers.answers)}")
    if askers.foreign:
        found = f"{len(askers.foreign)} of {askers.sent}"
        record.conclude(f"BROKEN: {found} clients got the answer to another client's request")
        return BROKEN
    record.conclude(f"held: each of {askers.answers['200']} whole answers was the one to its request")
    return HELD


if __name__ == "__main__":
    run_case(case, HERE, 90.0)
