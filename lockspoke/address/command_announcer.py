"""An announcer that runs an operator's command: it moves the address by whatever means the site has."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Sequence

import structlog

log = structlog.get_logger()


class CommandAnnouncer:
    """Runs `command claim` and `command withdraw`, one after another, each within a time limit.

    The environment has LOCKSPOKE_TOKEN (the fencing token, which only grows), LOCKSPOKE_ADDRESS, and for a
    claim LOCKSPOKE_LEASE_MS, how long the lease surely lasts from now. A command that fails or hangs is told
    in the log; one that hangs is killed. What waits is dropped when a later word takes its place.
    """

    def __init__(
        self, command: Sequence[str], address: str, timeout: float, clock: Callable[[], int]
    ) -> None:
        if not command:
            raise ValueError("command is empty, want a program and its arguments")
        self.command, self.address, self.timeout, self.clock = list(command), address, timeout, clock
        self.failures = 0
        self._token = 0
        self._lease_until: Callable[[], int] = lambda: 0
        self._pending: str | None = None
        self._running: asyncio.Task[None] | None = None

    def claim(self, token: int, lease_until: Callable[[], int]) -> None:
        """Have the address brought here."""
        self._token, self._lease_until = token, lease_until
        self._request("claim")

    def withdraw(self, reason: str) -> None:
        """Have it taken away. The lease has ended already: nobody waits for this."""
        self._request("withdraw")

    def _request(self, action: str) -> None:
        self._pending = action
        if self._running is None:
            self._running = asyncio.ensure_future(self._run_pending())

    async def _run_pending(self) -> None:
        try:
            while self._pending is not None:
                word, self._pending = self._pending, None
                left = (self._lease_until() - self.clock()) // 1_000_000
                if word == "claim" and left <= 0:
                    continue  # it took too long to come to it: the address is not ours any more
                await self._run(word, max(0, left))
        finally:
            self._running = None

    async def _run(self, action: str, left_ms: int) -> None:
        told = {"LOCKSPOKE_TOKEN": str(self._token), "LOCKSPOKE_ADDRESS": self.address}
        told["LOCKSPOKE_LEASE_MS"] = str(left_ms)
        try:
            process = await asyncio.create_subprocess_exec(
                *self.command,
                action,
                env=os.environ | told,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
            )
        except OSError as error:
            self.failures += 1
            log.error("address_command_failed", word=action, reason=str(error))
            return
        try:
            async with asyncio.timeout(self.timeout):
                code = await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
            self.failures += 1
            log.error("address_command_failed", word=action, reason=f"killed after {self.timeout:g} s")
            return
        if code:
            self.failures += 1
            log.error("address_command_failed", word=action, reason=f"exit code {code}")

    async def wait_idle(self) -> None:
        """Until no command runs or waits."""
        while self._running is not None:
            await asyncio.shield(self._running)
