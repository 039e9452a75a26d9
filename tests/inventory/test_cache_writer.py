"""CacheWriter: a failed write is repeated without a new request."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor

import pytest

from lockspoke.inventory import cache_writer
from lockspoke.inventory.cache_writer import CacheWriter
from tests.standins import until


def test_failed_write_is_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(cache_writer, "RETRY_INTERVAL_SECONDS", 0.02)
    monkeypatch.setattr(cache_writer, "WRITE_INTERVAL_SECONDS", 0.02)
    results = [False, False, True]

    def write() -> bool:
        return results.pop(0)

    async def scenario() -> None:
        writer = CacheWriter(write, ThreadPoolExecutor(1))
        writer.start()
        writer.request()
        await until(lambda: not results)
        await asyncio.sleep(0.1)  # A further write would fail, as `results` is empty.

    asyncio.run(scenario())
