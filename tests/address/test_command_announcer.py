"""The announcer that runs an operator's command, and its limits."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import pytest

from lockspoke.address.command_announcer import CommandAnnouncer


def announcer(tmp_path: Path, body: str, limit: float = 20.0) -> tuple[CommandAnnouncer, Path]:
    log, script = tmp_path / "log", tmp_path / "move.py"
    script.write_text(f"import os, sys, time\nlog = open({str(log)!r}, 'a')\n{body}\n")
    return CommandAnnouncer([sys.executable, str(script)], "10.0.0.9:80", limit, lambda: 0), log


LOG_INVOCATION = (
    "log.write(f\"{sys.argv[1]} {os.environ['LOCKSPOKE_TOKEN']} {os.environ['LOCKSPOKE_LEASE_MS']}\\n\")"
)


def test_command_gets_token_lease_and_actions_in_order(tmp_path: Path) -> None:
    async def run_test() -> None:
        command, log = announcer(tmp_path, LOG_INVOCATION)
        command.claim(7, lambda: 400_000_000)
        await command.wait_idle()
        command.withdraw("it stops")
        await command.wait_idle()
        command.claim(9, lambda: 0)  # The lease has ended before the command could run.
        await command.wait_idle()
        assert log.read_text().splitlines() == ["claim 7 400", "withdraw 7 400"] and not command.failures

    asyncio.run(run_test())


def test_hanging_command_is_killed_and_the_latest_action_wins(tmp_path: Path) -> None:
    async def run_test() -> None:
        command, log = announcer(
            tmp_path, f"{LOG_INVOCATION}\nlog.flush()\nsys.argv[1] == 'claim' and time.sleep(600)", limit=1.0
        )
        command.claim(7, lambda: 10**12)
        command.withdraw("unhealthy")
        command.claim(8, lambda: 10**12)
        command.withdraw("unhealthy again")
        await command.wait_idle()
        assert [line.split()[0] for line in log.read_text().splitlines()] in (
            ["withdraw"],
            ["claim", "withdraw"],
        )
        command.claim(9, lambda: 10**12)
        await command.wait_idle()
        assert command.failures >= 1
        missing = CommandAnnouncer([str(tmp_path / "nothing")], "a", 1.0, lambda: 0)
        missing.withdraw("it stops")
        await missing.wait_idle()
        assert missing.failures == 1

    asyncio.run(run_test())
    with pytest.raises(ValueError, match="command is empty"):
        CommandAnnouncer([], "a", 1.0, lambda: 0)
