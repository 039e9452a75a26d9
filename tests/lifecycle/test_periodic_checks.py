"""Tests that periodic work never delays an event by 0.3 s, even in a fleet of the maximum size."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable

import pytest

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica_set import EndpointListReplica
from lockspoke.lifecycle.memory import return_free_memory
from lockspoke.wire.discovery.endpoint_list import decode_endpoint_list
from tests.peers import Gateway, ScriptedServer

REPLICA_COUNT = 1024
MAX_CPU_TIME = 0.3  # In seconds of CPU time, so that the result doesn't depend on other processes.


def endpoint_list_body(boot_ms: int) -> bytes:
    """Return a complete, indented list, as discovery may send it."""
    replicas = [
        {"uid": f"s-{n}", "endpoint": f"127.0.0.1:{n + 1}", "az": "z", "state": "up", "boot_ms": boot_ms}
        for n in range(REPLICA_COUNT)
    ]
    return json.dumps({"rev": boot_ms + 1, "all": True, "targets": replicas}, indent=2).encode()


def all_replicas_restart(gateway: Gateway) -> None:
    gateway.core.endpoint_list_changed(decode_endpoint_list(endpoint_list_body(10**12)).require_complete())


def all_replicas_are_removed(gateway: Gateway) -> None:
    gateway.core.endpoint_list_changed(decode_endpoint_list(endpoint_list_body(0)).require_complete())
    gateway.update_replicas(
        *(EndpointListReplica(f"s-{n}", ReplicaState.REMOVED, None) for n in range(REPLICA_COUNT))
    )


def periodic_checks(gateway: Gateway) -> None:
    gateway.core.open_request_checks.run()
    gateway.transport.run_periodic_checks()
    gateway.front.run_periodic_checks()
    return_free_memory()


@pytest.mark.parametrize("work", [all_replicas_restart, all_replicas_are_removed, periodic_checks])
def test_periodic_work_takes_less_time_than_an_event_may_be_delayed(
    work: Callable[[Gateway], None],
) -> None:
    async def cpu_time() -> float:
        async with Gateway(ScriptedServer()) as gateway:
            gateway.core.endpoint_list_changed(decode_endpoint_list(endpoint_list_body(0)).require_complete())
            started = time.process_time()
            work(gateway)
            return time.process_time() - started

    assert asyncio.run(cpu_time()) < MAX_CPU_TIME
