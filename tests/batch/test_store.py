"""The batch store and runner without a socket: what is kept, and that each line ends exactly once."""

from __future__ import annotations

import asyncio
import json
from array import array
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lockspoke.balancing.events import Outcome
from lockspoke.batch.journal import Journal, StoreError
from lockspoke.batch.lines import BatchLines
from lockspoke.batch.runner import ENDING, LIVE_PAUSE, BatchRunner
from lockspoke.batch.store import Batch, BatchStore, LineStatus
from lockspoke.units import SECOND
from tests.batch.test_api import LINE
from tests.core.test_core import World
from tests.properties import reproducible
from tests.standins import EVENTS, STREAM_TAIL, until

ANSWER = b"".join(EVENTS) + STREAM_TAIL


def journal_at(path: Path) -> Journal:
    return Journal(path, ThreadPoolExecutor(1))


def test_records_are_read_back_and_a_torn_tail_is_cut(tmp_path: Path) -> None:
    path = tmp_path / "j"

    async def write() -> list[int]:
        journal = journal_at(path)
        assert list(journal.load()) == []
        places = await asyncio.gather(*(journal.append({"n": n, "é": "x" * 5000}) for n in range(5)))
        journal.close()
        return list(places)

    places = asyncio.run(write())
    whole = path.read_bytes()
    journal = None
    for lost in (1, 2, 4000):
        path.write_bytes(whole + whole[: places[1]][:-lost])
        if journal is not None:
            journal.close()
        journal = journal_at(path)
        assert [(at, record["n"]) for at, record in journal.load()] == list(
            zip(places, range(5), strict=True)
        )
        assert path.read_bytes() == whole
        assert [journal.read(at)["n"] for at in places] == list(range(5))
    with pytest.raises(StoreError):
        journal.read(1)


def test_damage_amid_records_is_no_torn_tail(tmp_path: Path) -> None:
    path = tmp_path / "j"

    async def write() -> None:
        journal = journal_at(path)
        await asyncio.gather(*(journal.append({"n": n}) for n in range(3)))
        journal.close()

    asyncio.run(write())
    data = bytearray(path.read_bytes())
    data[12] ^= 1
    path.write_bytes(data)
    with pytest.raises(StoreError):
        list(journal_at(path).load())


@reproducible
@given(st.binary(max_size=200))
def test_a_journal_of_garbage_is_never_taken_for_records(data: bytes) -> None:
    path = Path("/dev/shm") / "lockspoke-garbage"
    path.write_bytes(data)
    try:
        journal = journal_at(path)
        assert list(journal.load()) == []
        journal.close()
    finally:
        path.unlink()


def test_a_record_that_cannot_be_written_is_told_and_leaves_no_half(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        journal = journal_at(tmp_path / "j")
        await journal.append({"n": 1})

        def full(*_: object) -> None:
            raise OSError("no space")

        with monkeypatch.context() as patch:
            patch.setattr("lockspoke.batch.journal.os.fsync", full)
            with pytest.raises(StoreError):
                await journal.append({"n": 2})
        await journal.append({"n": 3})
        journal.close()

    asyncio.run(play())
    assert [record["n"] for _, record in journal_at(tmp_path / "j").load()] == [1, 3]


class Bench:
    """A store, a runner and a core whose workers the test plays."""

    def __init__(self, folder: Path, concurrency: int = 2, tries: int = 2) -> None:
        self.world = World()
        self.clock = 1_000_000.0
        self.store = BatchStore(folder, lambda: self.clock)
        lines = BatchLines(self.store, "bulk", 0, 12 * SECOND, 100)
        self.runner = BatchRunner(self.store, self.world.core, lines, concurrency, tries, lambda: self.clock)

    async def batch(self, *lines: Any, window: int = 60) -> Batch:
        path, file = self.store.scratch()
        with file:
            file.write(
                b"".join((x if isinstance(x, bytes) else json.dumps(x).encode()) + b"\n" for x in lines)
            )
        made = await self.store.add_file(path, "in.jsonl", "batch", "sha")
        batch = await self.store.add_batch(
            "",
            "",
            input_file_id=made.id,
            endpoint="/v1/chat/completions",
            completion_window="60s",
            expires_at=int(self.clock) + window,
            metadata={},
        )
        self.runner.begin(batch)
        return batch

    def out(self) -> list[Any]:
        return [d for d in self.world.started if d.outcome is None]

    def serve(self, attempt: Any) -> None:
        attempt.streamed(ANSWER)
        attempt.ended(Outcome.OK)

    async def close(self) -> None:
        await self.runner.stop()
        self.store.close()

    def results(self, batch: Batch) -> dict[str, Any]:
        """What both result files say, by `custom_id`; each line in one of them once."""
        rows = []
        for file_id in (batch.output_file_id, batch.error_file_id):
            if file_id:
                rows += [json.loads(line) for line in self.store.path(file_id).read_bytes().splitlines()]
        found = {row["custom_id"]: row["error"]["code"] if row["error"] else "served" for row in rows}
        assert len(found) == len(rows)
        return found


def lines(count: int, **more: Any) -> list[dict[str, Any]]:
    return [LINE | {"custom_id": f"c{n}"} | more for n in range(count)]


def play(bench: Bench, test: Any) -> None:
    async def whole() -> None:
        bench.runner.start()
        async with asyncio.timeout(30):
            await test()
        await bench.close()

    asyncio.run(whole())


def test_lines_run_within_the_bound_and_fill_the_result_files(tmp_path: Path) -> None:
    bench = Bench(tmp_path)

    async def test() -> None:
        batch = await bench.batch(*lines(5))
        while not batch.final:
            await until(lambda: bool(bench.out()) or batch.final)
            assert len(bench.out()) <= 2
            if bench.out():
                bench.serve(bench.out()[0])
        assert batch.status == "completed" and len(bench.world.started) == 5
        assert bench.results(batch) == {f"c{n}": "served" for n in range(5)}
        sent = json.loads(bench.world.started[0].request.body or b"{}")
        assert sent in ({}, LINE["body"] | {"stream": True, "stream_options": {"include_usage": True}})

    play(bench, test)


def test_a_file_with_bad_lines_fails_and_names_them(tmp_path: Path) -> None:
    bench = Bench(tmp_path)

    async def test() -> None:
        batch = await bench.batch(LINE, b"", b"{", LINE, LINE | {"custom_id": "b", "method": "GET"})
        empty = await bench.batch(b"", b"  ")
        many = await bench.batch(*lines(101))
        await until(lambda: batch.final and empty.final and many.final)
        errors = [(error["line"], error["code"]) for error in batch.errors]
        assert errors == [(3, "invalid_json_line"), (4, "duplicate_custom_id"), (5, "invalid_method")]
        assert [error["code"] for error in empty.errors] == ["empty_file"]
        assert [error["code"] for error in many.errors] == ["too_many_lines"]
        assert {batch.status, empty.status, many.status} == {"failed"} and not bench.world.started

    play(bench, test)


def test_an_overload_reply_waits_as_told_and_is_no_failed_try(tmp_path: Path) -> None:
    bench = Bench(tmp_path, tries=1)

    async def test() -> None:
        batch = await bench.batch(*lines(1))
        await until(lambda: len(bench.out()) == 1)
        call = bench.out()[0].request
        bench.world.core.transport.cancel(bench.out()[0])
        bench.out()[0].outcome = Outcome.OVERLOADED
        call.answered = True
        call.sink.refuse(5 * SECOND)
        await until(lambda: not bench.runner.running)
        bench.clock += 4
        await asyncio.sleep(0.15)
        assert len(bench.world.started) == 1, "not before the time it was told"
        bench.clock += 2
        await until(lambda: len(bench.out()) == 1)
        bench.serve(bench.out()[0])
        await until(lambda: batch.final)
        assert bench.results(batch) == {"c0": "served"}

    play(bench, test)


def test_a_line_that_fails_is_tried_so_often_and_no_more(tmp_path: Path) -> None:
    bench = Bench(tmp_path, tries=2)

    async def test() -> None:
        batch = await bench.batch(*lines(1))
        for _ in range(2):
            await until(lambda: bool(bench.out()))
            bench.out()[0].streamed(EVENTS[0])
            bench.out()[0].ended(Outcome.RESET)  # half an answer is none
            await until(lambda: not bench.runner.running)
            bench.clock += 2
        await until(lambda: batch.final)
        assert bench.results(batch) == {"c0": "upstream_failed"} and batch.status == "completed"

    play(bench, test)


def test_a_cancel_ends_what_waits_and_lets_run_what_is_out(tmp_path: Path) -> None:
    bench = Bench(tmp_path, concurrency=1)

    async def test() -> None:
        batch = await bench.batch(*lines(3))
        await until(lambda: len(bench.out()) == 1)
        await bench.store.set_status(batch, "cancelling")
        bench.runner.poke()
        await until(lambda: batch.counts.get(LineStatus.CANCELLED) == 2)
        bench.serve(bench.out()[0])
        await until(lambda: batch.final)
        assert batch.status == "cancelled"
        assert bench.results(batch) == {"c0": "served", "c1": "batch_cancelled", "c2": "batch_cancelled"}

    play(bench, test)


def test_a_line_nobody_waits_for_any_more_is_not_run(tmp_path: Path) -> None:
    """Its client has given up: by its own deadline, or by that of the whole batch."""
    bench = Bench(tmp_path, concurrency=1)

    async def test() -> None:
        batch = await bench.batch(LINE, *lines(2, deadline_ms=5000), LINE | {"custom_id": "z"})
        await until(lambda: len(bench.out()) == 1)
        bench.clock += 6
        await until(lambda: batch.counts.get(LineStatus.EXPIRED) == 2)
        bench.clock += 60
        await until(lambda: batch.counts.get(LineStatus.EXPIRED) == 3)
        bench.serve(bench.out()[0])
        await until(lambda: batch.final)
        assert batch.status == "expired" and len(bench.world.started) == 1
        assert bench.results(batch) == dict.fromkeys(("c0", "c1", "z"), "batch_expired") | {"a": "served"}

    play(bench, test)


def test_live_calls_go_first(tmp_path: Path) -> None:
    bench = Bench(tmp_path)

    async def test() -> None:
        bench.world.core.interactive_rejected_at = bench.world.now()
        batch = await bench.batch(*lines(1))
        await until(lambda: batch.status == "in_progress")
        await asyncio.sleep(0.15)
        assert not bench.world.started, "a live call was turned away a moment ago"
        bench.world.time += LIVE_PAUSE
        await until(lambda: len(bench.out()) == 1)
        bench.serve(bench.out()[0])
        await until(lambda: batch.final)

    play(bench, test)


def test_a_restart_finishes_the_rest_and_answers_nothing_twice(tmp_path: Path) -> None:
    first, batch_id = Bench(tmp_path, concurrency=3), ""

    async def begin() -> None:
        nonlocal batch_id
        batch = await first.batch(*lines(6))
        batch_id = batch.id
        for n in range(1, 3):
            await until(lambda: len(first.out()) == 3)
            first.serve(first.out()[0])
            await until(lambda n=n: batch.counts.get(LineStatus.SERVED) == n)  # type: ignore[misc]

    async def crash() -> None:
        first.runner.start()
        await begin()  # and then nothing is closed in good order

    asyncio.run(crash())
    with pytest.raises(StoreError):  # two programs on one store would both answer its lines
        BatchStore(tmp_path, lambda: 0.0)
    first.store.journal.close()  # as the system does for a program that was killed
    second = Bench(tmp_path, concurrency=3)

    async def test() -> None:
        batch = second.store.batches[batch_id]
        assert batch.counts == {LineStatus.SERVED: 2}
        while not batch.final:
            await until(lambda: bool(second.out()) or batch.final)
            for attempt in second.out():
                second.serve(attempt)
        assert second.results(batch) == {f"c{n}": "served" for n in range(6)}
        assert len(second.world.started) == 4

    play(second, test)
    third = BatchStore(tmp_path, lambda: 0.0)
    assert third.batches[batch_id].status == "completed"
    third.close()


def test_a_line_cannot_end_twice_in_the_store(tmp_path: Path) -> None:
    bench = Bench(tmp_path)

    async def test() -> None:
        batch = await bench.batch(*lines(1))
        await until(lambda: batch.status == "in_progress")
        await bench.store.end_line(batch, 0, LineStatus.FAILED, {})
        with pytest.raises(StoreError):
            await bench.store.end_line(batch, 0, LineStatus.SERVED, {})
        assert isinstance(batch.places, array)

    asyncio.run(_started(bench, test))


async def _started(bench: Bench, test: Any) -> None:
    batchless = bench.runner
    batchless.stopping = True  # no line is begun
    await test()


def test_uploads_expire_and_their_parts_go(tmp_path: Path) -> None:
    bench = Bench(tmp_path)

    async def test() -> None:
        fields = {"filename": "a", "purpose": "batch", "bytes": 3, "mime_type": "text/plain"}
        upload = await bench.store.add_upload("", "", 60, **fields)
        path, file = bench.store.scratch()
        with file:
            file.write(b"abc")
        part = await bench.store.add_part(upload, path, "", "")
        await bench.store.expire_uploads()
        assert upload.status == "pending" and (tmp_path / "parts" / part).read_bytes() == b"abc"
        bench.clock += 61
        await bench.store.expire_uploads()
        assert upload.status == "expired" and not list((tmp_path / "parts").iterdir())

    play(bench, test)


def test_a_cancel_of_a_long_file_leaves_the_loop_to_others(tmp_path: Path) -> None:
    """Thousands of ends at once would hold up live calls: they are written a few at a time."""
    bench = Bench(tmp_path, concurrency=1)

    async def test() -> None:
        batch = await bench.batch(*lines(100))
        await until(lambda: len(bench.out()) == 1)
        await bench.store.set_status(batch, "cancelling")
        bench.runner.poke()
        most = 0
        while batch.counts.get(LineStatus.CANCELLED, 0) < 99:
            most = max(most, bench.runner.ending)
            await asyncio.sleep(0)
        assert 0 < most <= ENDING
        bench.serve(bench.out()[0])
        await until(lambda: batch.final)
        assert len(bench.results(batch)) == 100

    play(bench, test)


def test_a_long_overload_sets_a_few_lines_waiting_and_not_the_whole_file(tmp_path: Path) -> None:
    bench = Bench(tmp_path, concurrency=2)

    async def test() -> None:
        batch = await bench.batch(*lines(50))
        for _ in range(6):
            await asyncio.sleep(0.06)
            for attempt in bench.out():
                attempt.outcome, attempt.request.answered = Outcome.OVERLOADED, True
                attempt.request.sink.refuse(60 * SECOND)
        assert bench.runner.waiting == 4 and len(bench.world.started) == 4
        await bench.store.set_status(batch, "cancelling")
        await until(lambda: batch.final)
        assert set(bench.results(batch).values()) == {"batch_cancelled"}

    play(bench, test)
