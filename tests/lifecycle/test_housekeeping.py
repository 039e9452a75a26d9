"""What the loop does beside its calls never holds an event back for 0.3 s, in a fleet of the largest size."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable

import pytest

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica_set import ListedReplica
from lockspoke.lifecycle.program import give_back
from lockspoke.wire.discovery.messages import decode_endpoint_list
from tests.peers import Gateway, ScriptedServer

WORKERS = 1024
LONGEST = 0.3  # seconds of CPU: a busy machine must not decide the test


def listed(boot_ms: int) -> bytes:
    """A whole list as discovery may write it, indented."""
    workers = [
        {"uid": f"s-{n}", "endpoint": f"127.0.0.1:{n + 1}", "az": "z", "state": "up", "boot_ms": boot_ms}
        for n in range(WORKERS)
    ]
    return json.dumps({"rev": boot_ms + 1, "all": True, "targets": workers}, indent=2).encode()


def all_begin_anew(gateway: Gateway) -> None:
    gateway.core.endpoint_list_changed(decode_endpoint_list(listed(10**12)).complete())


def all_go(gateway: Gateway) -> None:
    gateway.core.endpoint_list_changed(decode_endpoint_list(listed(0)).complete())
    gateway.update_replicas(*(ListedReplica(f"s-{n}", ReplicaState.REMOVED, None) for n in range(WORKERS)))


def sweeps(gateway: Gateway) -> None:
    gateway.core._sweep()
    gateway.transport.run_periodic_checks()
    gateway.front.run_periodic_checks()
    give_back()


@pytest.mark.parametrize("work", [all_begin_anew, all_go, sweeps])
def test_housekeeping_is_done_within_the_time_an_event_may_be_held(work: Callable[[Gateway], None]) -> None:
    async def whole() -> float:
        async with Gateway(ScriptedServer()) as gateway:
            gateway.core.endpoint_list_changed(decode_endpoint_list(listed(0)).complete())
            began = time.process_time()
            work(gateway)
            return time.process_time() - began

    assert asyncio.run(whole()) < LONGEST
