"""How a gateway stops: it answers what it has taken and hands over what a kill would cut."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from lockspoke.core.core import Core
from lockspoke.wire.clients.admission import AdmissionMode
from lockspoke.wire.clients.front import ClientFront

from .config import GatewayConfig
from .phases import ProgramPhase
from .subsystems import Subsystem

HAND_OVER = 0.3  # seconds before the platform may kill: what is still open goes to other gateways
AT_ONCE = 0.15  # seconds before it may: until then streams are let go on of which more has come already
KEEP_ACCEPTING = 0.7  # seconds after SIGTERM: clients hear late that this gateway stops
QUIET = 0.3  # seconds without a new connection, or of an idle one, before it is closed
LONGEST_ACCEPTING = 2.0
# Where no stream may be cut, in seconds after SIGTERM: new connections come for 0.4 s at most, and what came
# later than 0.7 s is lost if the kill finds it unanswered.
LAST_CONNECTIONS = 0.45
LAST_CALLS = 0.65
POLL = 0.05  # seconds between two looks at new connections
FINE_POLL = 0.02  # the same once none is accepted: the time to hand over has to be met


class GracefulShutdown:
    """One stop, from SIGTERM to the last answer."""

    def __init__(
        self,
        core: Core,
        clients: ClientFront,
        parts: Sequence[Subsystem],
        config: Callable[[], GatewayConfig],
        enter: Callable[[ProgramPhase], None],
    ) -> None:
        self.core = core
        self.clients = clients
        self.parts = parts
        self.config = config  # a reload may come in the middle of a stop
        self.enter = enter
        self.began = asyncio.get_running_loop().time()
        self.kill = self.began + config().stop_time  # the platform's, at the earliest
        self._over = False

    async def run(self) -> None:
        """Answer all that was taken, and all that comes while clients still come here."""
        self.enter(ProgramPhase.DRAINING)
        self.clients.admission_mode = AdmissionMode.ACCEPT_AND_CLOSE
        ending = [asyncio.ensure_future(part.drain()) for part in self.parts]
        if not self.config().resumes:
            # No stream may be cut then, and none is sure to end in time: its replica may be slow, or hang.
            asyncio.get_running_loop().call_at(self.began + LAST_CALLS, self._turn_away)
        await self._accept_while_clients_come()
        self.clients.listener.stop()
        await self._answer_what_is_open()
        for part in ending:
            await part
        self._over = True

    async def _accept_while_clients_come(self) -> None:
        loop, listener = asyncio.get_running_loop(), self.clients.listener
        last = min(self.began + LONGEST_ACCEPTING, self.kill - HAND_OVER)
        if not self.config().resumes:
            last = min(last, self.began + LAST_CONNECTIONS)
        while loop.time() < last:
            await asyncio.sleep(POLL)
            listener.close_idle(QUIET)
            quiet = loop.time() - listener.last_accept >= QUIET
            if quiet and loop.time() - self.began >= KEEP_ACCEPTING:
                return

    async def _answer_what_is_open(self) -> None:
        loop, listener = asyncio.get_running_loop(), self.clients.listener
        while listener.connections or self.core.requests:
            listener.close_idle(QUIET)
            if (now := loop.time()) >= self.kill - HAND_OVER:
                # What a kill finds open is lost; given away in time, clients ask for the rest elsewhere. Not
                # sooner, though nothing may be open by then: a request can still come on what is connected.
                self.core.hand_off(
                    include_streams=self.config().resumes, immediately=now >= self.kill - AT_ONCE
                )
            await asyncio.sleep(FINE_POLL)

    def _turn_away(self) -> None:
        """Take no more requests: connections that clients still have here lead on to other gateways."""
        if not self._over:
            self.enter(ProgramPhase.REJECTING)
            self.clients.admission_mode = AdmissionMode.REJECT
