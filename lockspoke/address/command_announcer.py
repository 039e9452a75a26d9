"""An announcer that runs an operator's command, which moves the address as the network there requires."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Sequence

import structlog

from lockspoke.units import MILLISECOND

CLAIM, WITHDRAW = "claim", "withdraw"  # One of them is the last argument of the command.

log = structlog.get_logger()


class CommandAnnouncer:
    """Runs `command claim` and `command withdraw`, one after another, each with a timeout.

    The environment has LOCKSPOKE_TOKEN (the fencing token, which only grows), LOCKSPOKE_ADDRESS, and
    LOCKSPOKE_LEASE_MS, the remaining time of the lease in milliseconds. A command that fails or times out is
    logged; one that times out is also killed. A pending action is replaced by a later one.
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
        """Start the command that moves the address here."""
        self._token, self._lease_until = token, lease_until
        self._request(CLAIM)

    def withdraw(self, reason: str) -> None:  # noqa: ARG002 - the protocol of announcers has it
        """Start the command that withdraws the address. The lease has ended, so nothing waits for it."""
        self._request(WITHDRAW)

    def _request(self, action: str) -> None:
        self._pending = action
        if self._running is None:
            self._running = asyncio.ensure_future(self._run_pending())

    async def _run_pending(self) -> None:
        try:
            while self._pending is not None:
                action, self._pending = self._pending, None
                remaining_ms = (self._lease_until() - self.clock()) // MILLISECOND
                if action == CLAIM and remaining_ms <= 0:
                    continue  # The lease has ended in the meantime.
                await self._run(action, max(0, remaining_ms))
        finally:
            self._running = None

    async def _run(self, action: str, remaining_ms: int) -> None:
        variables = {
            "LOCKSPOKE_TOKEN": str(self._token),
            "LOCKSPOKE_ADDRESS": self.address,
            "LOCKSPOKE_LEASE_MS": str(remaining_ms),
        }
        try:
            process = await asyncio.create_subprocess_exec(
                *self.command,
                action,
                env=os.environ | variables,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
            )
        except OSError as error:
            self._record_failure(action, str(error))
            return
        try:
            async with asyncio.timeout(self.timeout):
                exit_code = await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
            self._record_failure(action, f"killed after {self.timeout:g} s")
            return
        if exit_code:
            self._record_failure(action, f"exit code {exit_code}")

    def _record_failure(self, action: str, reason: str) -> None:
        self.failures += 1
        log.error("address_command_failed", action=action, reason=reason)

    async def wait_idle(self) -> None:
        """Wait until no command is running or pending."""
        while self._running is not None:
            await asyncio.shield(self._running)
