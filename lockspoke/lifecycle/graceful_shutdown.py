"""Graceful shutdown: finishes open requests, and hands off to other gateways what SIGKILL would cut off."""

from __future__ import annotations

import asyncio

from lockspoke.wire.clients.admission import AdmissionMode

from .composition import Gateway
from .phases import ProgramPhase

# All durations are in seconds. "The kill" is the earliest time at which the platform may send SIGKILL.

# Requests that are still open this long before the kill are handed off to other gateways.
HANDOFF_BEFORE_KILL = 0.3
# From this long before the kill, streams with unread data are handed off as well.
IMMEDIATE_HANDOFF_BEFORE_KILL = 0.15
# The gateway accepts connections for at least and at most this long after SIGTERM, because clients learn of
# the shutdown with a delay.
MIN_ACCEPT_TIME = 0.7
MAX_ACCEPT_TIME = 2.0
# The gateway stops accepting once no connection has arrived for this long. Client connections that have been
# idle for this long are closed.
IDLE_TIME = 0.3
# The next two are counted from SIGTERM and apply where clients don't resume streams, so that no stream may be
# cut off. New connections arrive for at most 0.4 s after SIGTERM. A request that arrives later than 0.7 s
# after it is lost if it has no response by the kill.
MAX_ACCEPT_TIME_WITHOUT_RESUME = 0.45
REJECT_TIME_WITHOUT_RESUME = 0.65
ACCEPT_POLL_INTERVAL = 0.05  # The listener is checked for new connections at this interval.
FINISH_POLL_INTERVAL = 0.02  # Short enough that requests are handed off on time before the kill.


class GracefulShutdown:
    """Shuts one gateway down, from SIGTERM to the last response."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._started_at = asyncio.get_running_loop().time()
        self._kill_at = self._started_at + gateway.config.shutdown_time  # the earliest time of SIGKILL
        self._finished = False

    async def run(self) -> None:
        """Serve open and newly arriving requests; returns when all connections are closed."""
        gateway = self._gateway
        gateway.state.enter(ProgramPhase.DRAINING)
        gateway.clients.admission_mode = AdmissionMode.ACCEPT_AND_CLOSE
        drains = [asyncio.ensure_future(subsystem.drain()) for subsystem in gateway.subsystems]
        # Starts rejecting exactly on time. The polling loops below notice a reload that changes the setting.
        asyncio.get_running_loop().call_at(
            self._started_at + REJECT_TIME_WITHOUT_RESUME, self._update_admission
        )
        await self._accept_late_connections()
        await self._stop_listening()
        await self._finish_open_requests()
        for drain in drains:
            await drain
        self._finished = True

    @property
    def _clients_resume_streams(self) -> bool:
        # Read on every use because a reload may change it during the shutdown.
        return self._gateway.config.clients_resume_streams

    async def _accept_late_connections(self) -> None:
        loop, listener = asyncio.get_running_loop(), self._gateway.clients.listener
        while loop.time() < self._accept_deadline():
            await asyncio.sleep(ACCEPT_POLL_INTERVAL)
            self._update_admission()
            listener.close_idle(IDLE_TIME)
            is_quiet = loop.time() - listener.last_accept >= IDLE_TIME
            if is_quiet and loop.time() - self._started_at >= MIN_ACCEPT_TIME:
                return

    async def _stop_listening(self) -> None:
        """Stop listening once the kernel's accept queue is empty, even if accept() fails for a while."""
        loop, listener = asyncio.get_running_loop(), self._gateway.clients.listener
        while not listener.accept_waiting() and loop.time() < self._kill_at - HANDOFF_BEFORE_KILL:
            self._update_admission()
            await asyncio.sleep(ACCEPT_POLL_INTERVAL)
        listener.stop()

    def _accept_deadline(self) -> float:
        """Return when to stop accepting connections, according to the current configuration."""
        end = min(self._started_at + MAX_ACCEPT_TIME, self._kill_at - HANDOFF_BEFORE_KILL)
        if not self._clients_resume_streams:
            end = min(end, self._started_at + MAX_ACCEPT_TIME_WITHOUT_RESUME)
        return end

    async def _finish_open_requests(self) -> None:
        gateway, loop = self._gateway, asyncio.get_running_loop()
        listener = gateway.clients.listener
        while listener.connections or gateway.core.requests:
            self._update_admission()
            listener.close_idle(IDLE_TIME)
            now = loop.time()
            if now >= self._kill_at - HANDOFF_BEFORE_KILL:
                # A request that is open at the kill is lost. If it is handed off in time, its client gets the
                # rest from another gateway. Repeated because requests still arrive on open connections.
                gateway.core.hand_off(
                    include_streams=self._clients_resume_streams,
                    immediately=now >= self._kill_at - IMMEDIATE_HANDOFF_BEFORE_KILL,
                )
            await asyncio.sleep(FINISH_POLL_INTERVAL)

    def _update_admission(self) -> None:
        """Reject late requests if clients don't resume streams, so that the clients use other gateways.

        Without resumption no stream may be cut off, and a new stream may not end before the kill because its
        replica may be slow or hang.
        """
        if self._finished:
            return
        is_late = asyncio.get_running_loop().time() >= self._started_at + REJECT_TIME_WITHOUT_RESUME
        rejects = is_late and not self._clients_resume_streams
        mode = AdmissionMode.REJECT if rejects else AdmissionMode.ACCEPT_AND_CLOSE
        if mode is not self._gateway.clients.admission_mode:
            self._gateway.clients.admission_mode = mode
            self._gateway.state.enter(ProgramPhase.REJECTING if rejects else ProgramPhase.DRAINING)
