"""Graceful shutdown: open requests finish; what would be open at the kill is handed off to other gateways."""

from __future__ import annotations

import asyncio

from lockspoke.wire.clients.admission import AdmissionMode

from .composition import Gateway
from .phases import ProgramPhase

# All times are in seconds.

# Before the platform may kill the process: what is still open is handed off to other gateways from then on.
HANDOFF_BEFORE_KILL = 0.3
# Before the kill: from then on streams with unread data are handed off, too.
IMMEDIATE_HANDOFF_BEFORE_KILL = 0.15
# After SIGTERM. Clients learn with a delay that this gateway stops, so it goes on accepting connections.
MIN_ACCEPT_TIME = 0.7
MAX_ACCEPT_TIME = 2.0
# Accepting ends after so long without a new connection; connections idle for as long are closed.
IDLE_TIME = 0.3
# After SIGTERM, where clients don't resume streams, so that none may be cut off. New connections arrive for
# 0.4 s at most, and a request that arrived later than 0.7 s is lost if the kill finds it unanswered.
MAX_ACCEPT_TIME_WITHOUT_RESUME = 0.45
REJECT_TIME_WITHOUT_RESUME = 0.65
ACCEPT_POLL_INTERVAL = 0.05  # between two checks for new connections
FINISH_POLL_INTERVAL = 0.02  # between two checks for open requests: the time of the hand-off must be met


class GracefulShutdown:
    """One shutdown, from SIGTERM to the last response."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._started_at = asyncio.get_running_loop().time()
        self._kill_at = self._started_at + gateway.config.shutdown_time  # at the earliest
        self._finished = False

    async def run(self) -> None:
        """Serve what is open and what still arrives; returns when all connections are closed."""
        gateway = self._gateway
        gateway.state.enter(ProgramPhase.DRAINING)
        gateway.clients.admission_mode = AdmissionMode.ACCEPT_AND_CLOSE
        drains = [asyncio.ensure_future(subsystem.drain()) for subsystem in gateway.subsystems]
        # At its exact time; a reload that changes it later is noticed by the polls below.
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
        # Read at each use: a reload may change it during the shutdown.
        return self._gateway.config.clients_resume_streams

    async def _accept_late_connections(self) -> None:
        loop, listener = asyncio.get_running_loop(), self._gateway.clients.listener
        while loop.time() < self._accept_end():
            await asyncio.sleep(ACCEPT_POLL_INTERVAL)
            self._update_admission()
            listener.close_idle(IDLE_TIME)
            is_quiet = loop.time() - listener.last_accept >= IDLE_TIME
            if is_quiet and loop.time() - self._started_at >= MIN_ACCEPT_TIME:
                return

    async def _stop_listening(self) -> None:
        """Stop listening once the kernel's queue is empty, also if the system cannot accept for a while."""
        loop, listener = asyncio.get_running_loop(), self._gateway.clients.listener
        while not listener.accept_waiting() and loop.time() < self._kill_at - HANDOFF_BEFORE_KILL:
            self._update_admission()
            await asyncio.sleep(ACCEPT_POLL_INTERVAL)
        listener.stop()

    def _accept_end(self) -> float:
        """When no new connections are accepted any more, by the configuration in force."""
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
                # A request that is open at the kill is lost; handed off in time, clients get the rest from
                # another gateway. Requests can still arrive on open connections, so this is repeated.
                gateway.core.hand_off(
                    include_streams=self._clients_resume_streams,
                    immediately=now >= self._kill_at - IMMEDIATE_HANDOFF_BEFORE_KILL,
                )
            await asyncio.sleep(FINISH_POLL_INTERVAL)

    def _update_admission(self) -> None:
        """Reject late requests where clients do not resume streams, so that they use other gateways.

        No stream may be cut off there, and none is sure to end in time: its replica may be slow or hang.
        """
        if self._finished:
            return
        is_late = asyncio.get_running_loop().time() >= self._started_at + REJECT_TIME_WITHOUT_RESUME
        rejects = is_late and not self._clients_resume_streams
        mode = AdmissionMode.REJECT if rejects else AdmissionMode.ACCEPT_AND_CLOSE
        if mode is not self._gateway.clients.admission_mode:
            self._gateway.clients.admission_mode = mode
            self._gateway.state.enter(ProgramPhase.REJECTING if rejects else ProgramPhase.DRAINING)
