"""Stand-in replicas that run lines and answer, decline, lose their answer, cut it off or hang."""

from __future__ import annotations

import asyncio
import json
import random
import time
from enum import Enum
from typing import Any

from lockspoke.wire.http.messages import Request
from tests.standins import EVENTS, STREAM_HEAD, STREAM_TAIL, Server, chunk

from .observations import ObservedRun

HANG_TIME = 8.0  # seconds without an answer; longer than the deadline of the lines' class
ANSWER_TIME = 0.03  # seconds at most for an answer


class Behaviour(Enum):
    """How a replica answers one request."""

    SERVE = "serve"
    DECLINE = "decline"  # rejected without running it
    LOSE = "lose"  # run, and the connection ends without a byte
    CUT = "cut"  # run, and the connection ends within the answer
    HANG = "hang"  # run, and silence


BEHAVIOUR_WEIGHTS = {
    Behaviour.SERVE: 0.90,
    Behaviour.DECLINE: 0.04,
    Behaviour.LOSE: 0.025,
    Behaviour.CUT: 0.025,
    Behaviour.HANG: 0.01,
}


class LineReplica(Server):
    """One replica; it records each request that it runs."""

    def __init__(self, index: int, seed: int, runs: list[ObservedRun]) -> None:
        super().__init__()
        self.index = index
        self.zone = f"zone-{index % 2}"
        self.cell = index % 3
        self.hangs = False  # whether it answers nothing for now
        self._rng = random.Random(f"{seed}:replica {index}")
        self._runs = runs

    def listed(self) -> dict[str, Any]:
        """Its entry in an endpoint list."""
        return {
            "uid": f"replica-{self.index}",
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self.zone,
            "pod_group": self.cell,
            "state": "up",
            "boot_ms": 0,
        }

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one request as the generator draws."""
        behaviour = self._rng.choices(list(BEHAVIOUR_WEIGHTS), list(BEHAVIOUR_WEIGHTS.values()))[0]
        if behaviour is Behaviour.DECLINE:
            writer.write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            return
        self._record(request)
        if self.hangs or behaviour is Behaviour.HANG:
            await asyncio.sleep(HANG_TIME)
        await asyncio.sleep(self._rng.uniform(0.0, ANSWER_TIME))
        if behaviour is Behaviour.SERVE:
            writer.write(STREAM_HEAD + b"".join(map(chunk, [*EVENTS, STREAM_TAIL])) + chunk(b""))
        elif behaviour is Behaviour.CUT:
            writer.write(STREAM_HEAD + chunk(EVENTS[0]))
        if behaviour is not Behaviour.SERVE:
            writer.close()

    def _record(self, request: Request) -> None:
        line = json.loads(request.body)["messages"][-1]["content"]
        request_id = request.head.headers.get("req-id")
        self._runs.append(ObservedRun(line, request_id, time.monotonic(), self.zone, self.cell))
