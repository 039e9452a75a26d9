"""Discovery as the source of the replica list: one request after another, at one address after another.

The rule on drains holds a gateway to each change once discovery has written it, read or not, and at the
latest 6 s after discovery had it and could be reached. The times here and those of the decisions follow from
this: a watch that has fallen silent at its beginning is noticed (hold and `GRACE`), one more request may fail
(`ANSWER_TIME`), the decisions pause, and the next request is answered.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import structlog

from lockspoke.core.endpoint_list import EndpointListListener
from lockspoke.core.replica_set import UNKNOWN_VERSION, ReplicaSet
from lockspoke.wire.tcp.dialing import Address, Dial, dial

from .connection import DiscoveryLink, RequestError, WatchLostError
from .messages import (
    EndpointListError,
    EndpointListRequest,
    EndpointListResponse,
    decode_endpoint_list,
    out_of_use_only,
)

HOLD_MS = 1500  # the shortest hold: how long a watch waits for a change
GATEWAY_MS = 10  # by how much one gateway's hold is longer than the next's: a change makes all ask at once
SPREAD_MS = 2000  # and by how much the longest is longer than the shortest, at most
NOTHING_NEW_PAUSE = 0.1  # seconds before a watch that brought nothing, and too soon, is repeated

log = structlog.get_logger()


def hold_duration_ms(index: int, gateways: int) -> int:
    """How long this gateway lets a watch wait, in milliseconds: each of many a little longer than another."""
    spread = min(SPREAD_MS, GATEWAY_MS * gateways)
    return HOLD_MS + spread * (index % gateways) // gateways


class DiscoveryWatch:
    """The list as discovery has it: the service in use is followed, a former one to its last answer."""

    def __init__(self, endpoint: Address, hold_ms: int = HOLD_MS, dial: Dial = dial) -> None:
        self.endpoint = endpoint
        self.hold_ms = hold_ms
        self._dial = dial
        self._current: Follower | None = None
        self._former: list[Follower] = []
        self._failing = False
        self.first_poll_finished = False  # whether the first request has ended, in whatever way

    def attach(self, listener: EndpointListListener) -> None:
        """Report changes of the list to this listener; called once, before `watch`."""
        self.listener = listener

    @property
    def has_unread_changes(self) -> bool:
        """Whether discovery has written what is not in force yet."""
        return any(follower.unread for follower in self._followers())

    def _followers(self) -> list[Follower]:
        return [*self._former, self._current] if self._current is not None else self._former

    def watch(self, enable: bool) -> None:
        """Begin to watch, or end that; a watch that runs goes on."""
        if not enable:
            self.close()
        elif self._current is None:
            link = DiscoveryLink(self.endpoint, self._dial)
            self._current = Follower(link, self)

    def move(self, endpoint: Address) -> None:
        """Watch at another address from now on: at once, since the old one may close any moment.

        What the old service has written, or is about to, counts as told, so its last answer is still taken.
        """
        log.info("discovery_moved", host=endpoint[0], port=endpoint[1])
        if self._current is not None and self._current.retire():
            self._former.append(self._current)
        self._current = None
        self.endpoint = endpoint
        # Versions are the word of the service that gave them: the first request asks for the whole list.
        self.listener.replica_set.version = UNKNOWN_VERSION
        self.watch(True)

    def close(self) -> None:
        """End the watch."""
        for follower in self._followers():
            follower.close()
        self._current, self._former = None, []

    # What followers say

    async def settle_former(self, follower: Follower) -> None:
        """Before the service in use has its first word: those left behind have had their last one.

        One that is left behind itself meanwhile waits for no other.
        """
        while follower is self._current and any(former.unread for former in self._former):
            await asyncio.sleep(0)
        if follower is self._current:
            for former in self._former:
                former.close()
            self._former = []

    def take(self, follower: Follower, answer: EndpointListResponse) -> None:
        """An answer takes effect; raises ListError if it could not be read as a whole."""
        self.first_poll_finished = True
        listener, update = self.listener, answer.update
        if follower is not self._current or answer.faults:
            # Its version says nothing about this service's list, or more of this version has to be asked for.
            update = replace(update, version=listener.replica_set.version)
        if update.entries or update.complete:
            log.info(
                "registry_changed", rev=update.version, whole=update.complete, entries=len(update.entries)
            )
        if self._failing and not answer.faults:
            log.info("discovery_back", rev=update.version)
            self._failing = False
        listener.endpoint_list_changed(update, completes_poll=follower is self._current)
        answer.complete()

    def end(self, follower: Follower, reason: str | None) -> None:
        """A follower has ended; with a reason, it failed: the decisions say when to ask again."""
        if follower is not self._current:
            self._former = [one for one in self._former if one is not follower]
            return
        self._current = None
        self.first_poll_finished = True
        if reason is not None:
            self.doubt(reason)
            self.listener.endpoint_list_failed()

    def doubt(self, reason: str) -> None:
        """Discovery does not answer as it should; told once until it does."""
        if not self._failing:
            log.warning("discovery_failing", reason=reason)
        self._failing = True


class Follower:
    """Follows the list of one service until a request fails, or to its present answer if it is retired."""

    def __init__(self, link: DiscoveryLink, watch: DiscoveryWatch) -> None:
        self._link = link
        self._watch = watch
        self._retired = False
        self._empty_before = False  # whether the last answer was a whole list with nobody in it
        self._taking = False  # an answer has been read, and is not in force yet
        self._task = asyncio.ensure_future(self._run())

    @property
    def unread(self) -> bool:
        """Whether the service has written what is not in force yet."""
        return self._taking or self._link.unread

    def retire(self) -> bool:
        """Ask nothing more; whether an answer is still awaited. If none is, this is the end."""
        self._retired = True
        if not self.unread and not self._link.awaiting:
            self.close()
            return False
        return True

    def close(self) -> None:
        """End at once."""
        self._task.cancel()
        self._link.close()

    async def _run(self) -> None:
        reason = None
        try:
            await self._follow()
        except (RequestError, EndpointListError) as error:
            reason = str(error)
        except Exception:
            # A fault of ours: the list may be half taken; nobody asks again after a watch that just ended.
            log.exception("watch_failed")
            self._replicas.version = UNKNOWN_VERSION
            reason = "a fault of the gateway; see watch_failed"
        self._link.close()
        self._watch.end(self, reason)

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        may_wait = False  # only after an answer in order: one that does not wait shows trouble sooner
        while not self._retired:
            request = EndpointListRequest(self._replicas.version, self._watch.hold_ms if may_wait else 0)
            asked_at = loop.time()
            try:
                body = await self._link.ask(request)
            except WatchLostError as lost:
                log.info("discovery_silent", reason=str(lost))
                may_wait = False
                continue
            self._taking = True
            try:
                await self._watch.settle_former(self)
                answer = decode_endpoint_list(body)
                may_wait = self._believed(request, answer)
                if may_wait:
                    self._watch.take(self, answer)
            finally:
                self._taking = False
            if request.waits and answer.update.version == request.version:
                # Guards against a service that answers at once, again and again.
                early = loop.time() - asked_at < request.hold_ms / 2000
                await asyncio.sleep(NOTHING_NEW_PAUSE if early else 0)

    @property
    def _replicas(self) -> ReplicaSet:
        return self._watch.listener.replica_set

    def _believed(self, request: EndpointListRequest, answer: EndpointListResponse) -> bool:
        """Whether an answer can take effect as it is; if not, the whole list is asked for next, at once."""
        update = answer.update
        if request.version != UNKNOWN_VERSION and update.version < request.version:
            # An answer from before the last one, or a service begun anew: what it puts into use may be long
            # past, and what has changed since can't be told from it.
            log.info("discovery_went_back", asked=request.version, rev=update.version)
            self._watch.take(self, replace(answer, update=out_of_use_only(update)))
            return False
        empty = update.complete and not update.entries and self._replicas.ready_count > 0
        if empty and not self._empty_before:
            # Guards against one bad moment of discovery: all replicas are gone only if it says so twice.
            self._empty_before = True
            self._watch.doubt("an empty list; asked for again before it is believed")
            self._replicas.version = UNKNOWN_VERSION
            return False
        self._empty_before = False
        return True
