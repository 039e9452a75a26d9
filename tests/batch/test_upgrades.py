"""A new version with the batch front starts beside the old one, and takes the store over when that ends."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections import Counter
from contextlib import AsyncExitStack, suppress
from itertools import pairwise
from pathlib import Path

import pytest

from bench.line_soak.observations import Effect, Rules, Scope
from bench.line_soak.run import gateway_settings, input_file
from tests.address.relay import free_port
from tests.standins import FakeReplica, Program, until

from .api_client import Api, batch_config, connect

LINES = 300
REPLICA_DELAY = 0.05  # seconds
LEAD = 0.5  # seconds for which the old version runs lines beside the new one
MAX_STOP_TIME = 3.7  # seconds from SIGTERM to SIGKILL
TAKE_OVER_TIME = 1.0  # seconds from the end of the old version until the new one answers
UPLOAD_INTERVAL = 0.02  # seconds


class Uploader:
    """Uploads one small file after another at the address of the batch front, whoever listens there."""

    def __init__(self, program: Program) -> None:
        self.program = program
        self.file_ids: list[str] = []
        self.answered_at = [time.monotonic()]

    @property
    def longest_gap(self) -> float:
        """The longest time without an answer, in seconds."""
        times = [*self.answered_at, time.monotonic()]
        return max(later - earlier for earlier, later in pairwise(times))

    async def run(self) -> None:
        while True:
            with suppress(OSError, EOFError, AssertionError):
                api = await connect(self.program)
                try:
                    file = await api.send_form("/v1/files", "file", input_file(1))
                    self.file_ids.append(file["id"])
                    self.answered_at.append(time.monotonic())
                finally:
                    await api.client.__aexit__()
            await asyncio.sleep(UPLOAD_INTERVAL)


def runs_by_line(*replicas: FakeReplica) -> Counter[str]:
    requests = [request for replica in replicas for request in replica.seen]
    return Counter(json.loads(request.body)["messages"][0]["content"] for request in requests)


async def upgrade(folder: Path, effect: Effect, by_kill: bool) -> None:
    host, port = free_port()
    options = ("--batch", batch_config(folder, listen=f"{host}:{port}"))
    settings = gateway_settings(Rules(effect, Scope.ALL, 5.0))
    async with AsyncExitStack() as stack:
        replicas = [await stack.enter_async_context(FakeReplica(pause=REPLICA_DELAY)) for _ in range(2)]
        old = await stack.enter_async_context(Program(*replicas, options=options, operator=True, **settings))
        batch_id = await (await connect(old)).create_batch(input_file(LINES))
        uploader = Uploader(old)
        uploads = asyncio.ensure_future(uploader.run())
        env = {"NODE_LISTEN": f"127.0.0.1:{old.port}", "TMPDIR": old.folder.name}
        new = await stack.enter_async_context(
            Program(*replicas, options=options, operator=True, env=env, **settings)
        )
        await until(lambda: new.log("batch_store_in_use") is not None)
        await until(lambda: new.log("phase", now="ready") is not None)
        await asyncio.sleep(LEAD)
        assert new.log("batch_listening") is None and uploader.file_ids, "the old version serves"
        old.process.kill() if by_kill else old.process.terminate()
        stopped_at = time.monotonic()
        assert await old.process.wait() == (-9 if by_kill else 0)
        took = time.monotonic() - stopped_at
        await until(lambda: new.log("batch_listening") is not None)
        api = await connect(new)
        batch = await api.wait_until_final(batch_id)
        uploads.cancel()
        await check_results(api, batch, uploader)
        assert uploader.longest_gap < min(took, MAX_STOP_TIME) + TAKE_OVER_TIME
        runs = runs_by_line(*replicas)
        if effect is Effect.SINGLE_SHOT:
            assert set(runs.values()) == {1}, "a line that may run once ran again"
        if effect is Effect.FREE or not by_kill:
            assert batch["request_counts"]["completed"] == LINES
        assert await new.terminate() == 0


async def check_results(api: Api, batch: dict[str, object], uploader: Uploader) -> None:
    """Each line has one result, and each file that was confirmed is there."""
    names = []
    for file_id in (batch["output_file_id"], batch["error_file_id"]):
        if file_id:
            names += [row["custom_id"] for row in await api.results(str(file_id))]
    assert len(names) == len(set(names)) == LINES
    for file_id in uploader.file_ids:
        await api.request("GET", f"/v1/files/{file_id}")


@pytest.mark.parametrize("by_kill", [False, True])
@pytest.mark.parametrize("effect", [Effect.FREE, Effect.SINGLE_SHOT])
def test_a_new_version_takes_the_store_over(tmp_path: Path, effect: Effect, by_kill: bool) -> None:
    """Guards against: the new version ended with exit code 2, since the old one had the store."""
    asyncio.run(upgrade(tmp_path, effect, by_kill))


def test_settings_that_change_while_the_old_version_has_the_store_hold_after_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        host, port = free_port()
        options = ("--batch", batch_config(tmp_path, listen=f"{host}:{port}"))
        async with FakeReplica() as replica, Program(replica, options=options, operator=True) as old:
            env = {"NODE_LISTEN": f"127.0.0.1:{old.port}", "TMPDIR": old.folder.name}
            async with Program(replica, options=options, operator=True, env=env) as new:
                await until(lambda: new.log("batch_store_in_use") is not None)
                batch_config(tmp_path, listen=f"{host}:{port}", max_lines=1)
                new.process.send_signal(signal.SIGHUP)
                await until(lambda: new.log("reloaded") is not None)
                assert await old.terminate() == 0
                api = await connect(new)
                batch = await api.wait_until_final(await api.create_batch(input_file(2)))
                assert [error["code"] for error in batch["errors"]["data"]] == ["too_many_lines"]

    asyncio.run(scenario())


def test_a_store_in_use_ends_the_start_of_a_gateway_without_an_address_for_operators(tmp_path: Path) -> None:
    """Nobody could tell when it has started beside another, so it is a mistake."""

    async def scenario() -> None:
        options = ("--batch", batch_config(tmp_path))
        async with FakeReplica() as replica, Program(replica, options=options) as first:
            await until(lambda: first.log("batch_listening") is not None)
            second = Program(replica, options=options)
            with pytest.raises(AssertionError):
                await second.__aenter__()
            await second.reading
            assert second.process.returncode == 2
            assert any("another program uses this store" in line for line in second.raw_logs)
            second.folder.cleanup()

    asyncio.run(scenario())
