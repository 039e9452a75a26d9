"""The log of a scripted run: events, fields and values, in order, under the names of log_names.py."""

from __future__ import annotations

import asyncio
import json
import re
import tempfile
from pathlib import Path
from typing import Any

from . import transcripts
from .gateway import (
    ONE,
    Gateway,
    RawDiscovery,
    RawReplica,
    call,
    connected,
    exchange,
    listed,
    target,
    until,
)
from .log_names import event_now, field_now, line_now
from .test_wire_batch import Front, ask, edge_file, form, line
from .test_wire_operators import OPERATOR, operate

RECORDED = Path(__file__).parent / "data" / "log_lines.json"
# The program tells these of its own accord every 10 s; of these lines only the last, at the end, is fixed.
TIMED = "totals"
# A busy machine decides whether and when these come.
LATENESS_EVENTS = {"event_loop_late", "discovery_request_delayed", "client_counts"}
LATENESS_FIELD = "loop_late_ms"


def normalised(raw: dict[str, Any], words: dict[str, str]) -> dict[str, Any]:
    """A line without its time, and with names for ports, paths and the ids that the batch front draws."""
    text = json.dumps({name: value for name, value in raw.items() if name != "timestamp"})
    for found, name in words.items():
        if found.isdigit():
            text = re.sub(rf": {found}\b", f': "{name}"', text)
            text = re.sub(rf"(?<![0-9]){found}(?![0-9])", name, text)
        else:
            text = text.replace(found, name)
    return dict(json.loads(re.sub(r"\b(batch|file)([-_])[0-9a-f]{24}(?![0-9a-f])", r"<\1\2id>", text)))


async def run() -> list[dict[str, Any]]:
    with tempfile.TemporaryDirectory() as scratch:
        async with RawReplica() as replica, RawDiscovery() as first, RawDiscovery() as second:
            row = target(replica)
            first.go.clear()  # the answers begin once the gateway is ready
            first.answers = [
                listed(5, row),
                listed(4, row),  # from before the last one
                listed(6, row),
                b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                listed(7, row, whole=False),
                listed(8),  # empty: not believed at once
                listed(8, row),
                listed(9, {"uid": 5}, whole=False),
                listed(9, row, row | {"uid": "s-2", "endpoint": "127.0.0.1:1", "state": "draining"}),
                None,
                listed(10, row),
            ]
            second.answers = [listed(2, row)]
            gateway = Gateway(replica, discovery=first, options=edge_file(scratch), config=OPERATOR)
            async with gateway:
                await gateway.ready()
                await until(lambda: gateway.log("batch_listening"))
                first.go.set()
                await until(lambda: len(first.seen) == 12)
                await play(gateway, replica, second)
                assert await gateway.terminate() == 0
                await gateway.reading
                words = {str(port): name for name, port in ports(gateway, first, second, replica).items()}
                words |= {scratch: "<scratch>", gateway.folder: "<folder>"}
                lines = [one for one in gateway.logs if one["event"] not in LATENESS_EVENTS]
                for one in lines:
                    one.pop(LATENESS_FIELD, None)
                at = [number for number, one in enumerate(lines) if one["event"] == event_now(TIMED)]
                lines = [one for number, one in enumerate(lines) if number not in at[:-1]]
                return [normalised(one, words) for one in lines]


def ports(gateway: Gateway, first: RawDiscovery, second: RawDiscovery, replica: RawReplica) -> dict[str, int]:
    return {
        "<clients' port>": gateway.port,
        "<operators' port>": gateway.port_of("operators_listening"),
        "<batch port>": gateway.port_of("batch_listening"),
        "<first discovery's port>": first.port,
        "<second discovery's port>": second.port,
        "<replica's port>": replica.port,
    }


async def play(gateway: Gateway, replica: RawReplica, second: RawDiscovery) -> None:
    """Calls, operators' calls, reloads and batches, one after another."""
    operators = gateway.port_of("operators_listening")
    for path in (f"replicas/s-{replica.port}/offline", f"replicas/s-{replica.port}/online"):
        await exchange(operators, operate(path))
    for path in ("out-of-service", "in-service", "nothing"):
        await exchange(operators, operate(path))
    async with connected(gateway.port) as client:
        for number in range(3):
            client.send(call(number))
            assert ONE in await client.answer()
    gateway.reload("{")
    await until(lambda: gateway.log("reload_refused"))
    gateway.reload()
    await until(lambda: gateway.log("reloaded", discovery_moved=False))
    gateway.reload(discovery=f"127.0.0.1:{second.port}")
    await until(lambda: gateway.log("reloaded", discovery_moved=True))
    await until(lambda: len(second.seen) == 2)
    front = Front(gateway.port_of("batch_listening"))
    for data in (line(1) + line(2), b"{\n"):
        file = await front.ask(f"file {data!r}", form("/v1/files", data))
        wanted = {"input_file_id": file["id"], "endpoint": "/v1/chat/completions", "completion_window": "24h"}
        batch = await front.ask(f"batch {data!r}", ask("POST", "/v1/batches", wanted))
        await front.finished(f"end {data!r}", batch["id"])


def test_log_lines_are_those_recorded_under_their_names_of_now() -> None:
    got = asyncio.run(run())
    if transcripts.RECORDING:
        RECORDED.write_text(json.dumps(got, indent=1) + "\n")
        return
    assert got == [line_now(one) for one in json.loads(RECORDED.read_text())]
    assert field_now("event") == "event" and field_now("level") == "level"
