"""ParserProcess: a read that is cancelled does not leave its snapshot to the next one."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from lockspoke.inventory.parser_process import ParserProcess
from lockspoke.inventory.settings import InventorySettings

HOSTS = 2000  # Enough for the answer to take several messages.


def inventory(folder: Path, name: str, hosts: int) -> InventorySettings:
    """Settings of an inventory whose hosts are called after it."""
    path = folder / f"{name}.csv"
    lines = [f"{name}{number},10.0.{number // 250}.{number % 250 + 1},9000" for number in range(hosts)]
    path.write_text("\n".join(["name,host,port", *lines]) + "\n")
    return InventorySettings(paths=[str(path)])


@pytest.mark.parametrize("at_once", [False, True], ids=["after its end", "at once"])
@pytest.mark.parametrize("cancel_after", [0.0, 0.005, 0.02, 0.05])
def test_a_read_after_a_cancelled_one_gets_its_own_snapshot(
    tmp_path: Path, cancel_after: float, at_once: bool
) -> None:
    """Guards against: each read got the snapshot of the one before, so that a removed host stayed."""
    old, new = inventory(tmp_path, "old", HOSTS), inventory(tmp_path, "new", 3)

    async def scenario() -> list[list[str]]:
        parser = ParserProcess()
        try:
            await parser.read(new, (), {})
            cancelled = asyncio.ensure_future(parser.read(old, (), {}))
            await asyncio.sleep(cancel_after)
            cancelled.cancel()
            if not at_once:
                await asyncio.wait([cancelled])
            return [sorted((await parser.read(new, (), {})).replicas) for _ in range(3)]
        finally:
            parser.close()
            await asyncio.sleep(0.1)  # The event loop notices the end of the processes.

    assert asyncio.run(scenario()) == 3 * [["new0", "new1", "new2"]]
