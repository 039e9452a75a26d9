"""Tests of operator requests to the program in a separate process."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest

from bench.faults.settings import SETTINGS_VARIABLE, FaultSettings
from lockspoke.lifecycle.operator_state import OperatorState
from lockspoke.lifecycle.operator_state_file import load_state, write_state
from tests.lifecycle.support import run
from tests.standins import Client, FakeDiscovery, FakeReplica, Program, request_bytes, until

GRACE_SECONDS = 0.25  # After this time a ban must be obeyed.


async def send_command(program: Program, path: str, method: str = "POST") -> int:
    """Send one operator request and return the status of its response."""
    # Both events are logged after the client address, which is all that starting a `Program` waits for.
    await until(lambda: program.log("operators_listening") is not None)
    await until(lambda: program.log("phase", now="ready") is not None)
    started = program.log("operators_listening")
    assert started is not None
    async with Client(started["port"]) as operator, asyncio.timeout(10):
        raw = f"{method} /control/{path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
        status, fields, _, complete = await operator.request(raw.encode())
        assert complete and fields["connection"] == "close"
        return status


def banned_in(file: Path) -> list[str]:
    state = load_state(file)
    return sorted(state.banned) if state is not None else []


async def send_requests(program: Program, first: int, count: int = 12) -> None:
    async with Client(program.port) as client:
        for number in range(first, first + count):
            assert (await client.request(request_bytes(number)))[0] == 200


@run
async def test_requests_are_answered_while_other_connections_stay_incomplete() -> None:
    async with FakeReplica() as replica, Program(replica, operator=True) as program:
        assert await send_command(program, "ready", "GET") == 200
        port = program.log("operators_listening")["port"]  # type: ignore[index]  # `send_command` has waited for this line.
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(12)]
        for _, writer in silent[::2]:
            writer.write(b"GET /control/rea")
        assert await send_command(program, "ready", "GET") == 200
        for path, method, status in (
            ("nothing", "POST", 404),
            ("ready", "POST", 405),
            ("in-service", "GET", 405),
            ("replicas/s-none/offline", "POST", 404),
            ("replicas/s-none/sideways", "POST", 404),
            (f"replicas/s-{replica.port}/online", "POST", 200),
        ):
            assert await send_command(program, path, method) == status, path
        for _, writer in silent:
            writer.close()
        await send_requests(program, 1)


@run
async def test_ban_survives_repetition_and_list_changes_until_one_request_ends_it() -> None:
    async with (
        FakeReplica() as one,
        FakeReplica() as two,
        FakeDiscovery() as discovery,
        Program(one, two, discovery=discovery, operator=True) as program,
    ):
        await send_requests(program, 1, 30)
        uid = f"replicas/s-{one.port}"
        assert [await send_command(program, f"{uid}/offline") for _ in range(2)] == [200, 200]
        before = len(one.seen)
        assert before and len(two.seen)
        await send_requests(program, 100)
        discovery.change(two)  # The list omits the banned replica, then names it again.
        await until(lambda: program.log("endpoint_list_changed", rev=discovery.rev) is not None)
        discovery.change(one, two)
        await until(lambda: program.log("endpoint_list_changed", rev=discovery.rev) is not None)
        await send_requests(program, 200)
        assert len(one.seen) == before, "the banned replica gets no new request"
        assert await send_command(program, f"{uid}/online") == 200
        await send_requests(program, 300, 30)
        assert len(one.seen) > before


@run
async def test_request_is_rejected_with_every_replica_offline_and_served_once_online() -> None:
    async with FakeReplica() as replica, Program(replica, operator=True) as program:
        assert await send_command(program, f"replicas/s-{replica.port}/offline") == 200
        async with Client(program.port) as client:
            assert (await client.request(request_bytes(1, deadline=400)))[0] == 503
        assert await send_command(program, f"replicas/s-{replica.port}/online") == 200
        await send_requests(program, 2)


@run
async def test_out_of_service_serves_requests_and_closes_idle_connections() -> None:
    async with FakeReplica() as replica, Program(replica, operator=True) as program:
        readiness_check = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
        async with Client(program.port) as idle, Client(program.port) as late:
            assert (await idle.request(readiness_check))[0] == 200
            assert await send_command(program, "out-of-service") == 200
            status, fields, _, complete = await late.request(request_bytes(1))
            assert (status, complete, fields["connection"]) == (200, True, "close")
            assert await asyncio.wait_for(idle.reader.read(), 10) == b"", "the idle connection is closed"
        async with Client(program.port) as client:
            assert (await client.request(readiness_check))[0] == 503
        assert await send_command(program, "ready", "GET") == 200, "the process still serves requests"
        assert await send_command(program, "in-service") == 200
        async with Client(program.port) as client:
            assert (await client.request(readiness_check))[0] == 200
            assert (await client.request(request_bytes(2)))[0] == 200 and (
                await client.request(readiness_check)
            )[0] == 200
        assert await program.terminate() == 0


@run
async def test_new_version_takes_over_under_load_and_keeps_the_bans() -> None:
    async with FakeReplica() as one, FakeReplica() as two, Program(one, two, operator=True) as old:
        await send_requests(old, 1, 30)
        assert await send_command(old, f"replicas/s-{one.port}/offline") == 200
        before = len(one.seen)
        environment = {"NODE_LISTEN": f"127.0.0.1:{old.port}", "TMPDIR": old.folder.name}
        async with Program(one, two, operator=True, env=environment) as new:
            assert await send_command(new, "ready", "GET") == 200
            termination, number, unanswered = asyncio.ensure_future(old.terminate()), 100, 0
            while not termination.done():
                number += 1
                status = 0  # A connection may arrive between the last accept and the close of the listener.
                with contextlib.suppress(ConnectionError):
                    async with Client(old.port) as client:
                        status = (await client.request(request_bytes(number)))[0]
                assert status in (0, 200)
                unanswered += status == 0
            assert await termination == 0 and unanswered <= 2, "the documented maximum"
            await send_requests(new, 5000, 30)
            assert len(one.seen) == before, "the ban survives the upgrade"
            assert await send_command(new, f"replicas/s-{one.port}/online") == 200
            await send_requests(new, 6000, 30)
            assert len(one.seen) > before


@run
async def test_a_ban_given_to_the_old_version_during_an_upgrade_holds_in_the_new_one() -> None:
    """Guards against: the new version had read the file at its start, and sent the replica its full share."""
    async with FakeReplica() as one, FakeReplica() as two, Program(one, two, operator=True) as old:
        environment = {"NODE_LISTEN": f"127.0.0.1:{old.port}", "TMPDIR": old.folder.name}
        async with Program(one, two, operator=True, env=environment) as new:
            assert await send_command(new, "ready", "GET") == 200
            assert await send_command(old, f"replicas/s-{one.port}/offline") == 200
            await asyncio.sleep(GRACE_SECONDS)
            before = len(one.seen)
            assert await old.terminate() == 0
            await send_requests(new, 100, 30)
            assert len(one.seen) == before, "the new version has taken up the ban"
            # A ban of its own must not undo the one that it has taken up, and a call back ends it.
            assert await send_command(new, f"replicas/s-{two.port}/offline") == 200
            assert set(banned_in(Path(old.folder.name, "t1.bans.json"))) == {
                f"s-{one.port}",
                f"s-{two.port}",
            }
            assert await send_command(new, f"replicas/s-{one.port}/online") == 200
            await send_requests(new, 200, 10)
            assert len(one.seen) == before + 10


@run
async def test_a_ban_that_the_old_version_ends_during_an_upgrade_ends_in_the_new_one() -> None:
    """Guards against: a replica that was put back stayed unused by the new version."""
    async with FakeReplica() as one, FakeReplica() as two, Program(one, two, operator=True) as old:
        assert await send_command(old, f"replicas/s-{one.port}/offline") == 200
        environment = {"NODE_LISTEN": f"127.0.0.1:{old.port}", "TMPDIR": old.folder.name}
        async with Program(one, two, operator=True, env=environment) as new:
            assert await send_command(new, "ready", "GET") == 200
            assert await send_command(old, f"replicas/s-{one.port}/online") == 200
            await asyncio.sleep(GRACE_SECONDS)
            assert await old.terminate() == 0
            await send_requests(new, 100, 60)
            assert one.seen


def test_truncated_or_changed_bans_file_is_ignored(tmp_path: Path) -> None:
    file = tmp_path / "n1.bans.json"
    assert banned_in(file) == []
    write_state(file, OperatorState(banned=frozenset(["s-2", "s-1"])))
    complete = file.read_bytes()
    assert banned_in(file) == ["s-1", "s-2"] and [one.name for one in tmp_path.iterdir()] == [file.name]
    for end in range(len(complete)):
        file.write_bytes(complete[:end])
        assert banned_in(file) == [], end
    file.write_bytes(complete.replace(b"s-1", b"s-3"))
    assert banned_in(file) == []


def test_failure_to_write_bans_is_only_logged(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    write_state(tmp_path / "missing" / "n1.bans.json", OperatorState(banned=frozenset(["s-1"])))
    assert "bans_write_failed" in capsys.readouterr().out


@run
async def test_accepted_ban_is_stored_once_the_disk_works_again() -> None:
    """Otherwise the next version would send requests to a replica that operators have taken offline."""
    faults = FaultSettings(disk_share=1.0, disk_period=12.0)  # Writes fail for the first three seconds.
    env = {SETTINGS_VARIABLE: faults.encode()}
    async with (
        FakeReplica() as replica,
        Program(replica, operator=True, module="bench.faults", env=env) as program,
    ):
        assert await send_command(program, f"replicas/s-{replica.port}/offline") == 200
        file = Path(program.folder.name, "t1.bans.json")
        assert not file.exists(), "writes to the disk fail at this time"
        await until(file.exists)
        assert banned_in(file) == [f"s-{replica.port}"]
