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

from .connection import DiscoveryConnection, RequestError, WatchLostError
from .messages import (
    EndpointListError,
    EndpointListRequest,
    EndpointListResponse,
    decode_endpoint_list,
    without_ready_replicas,
)

MIN_HOLD_MS = 1500  # the shortest hold: how long a watch waits for a change
HOLD_STEP_MS = 10  # by how much one gateway's hold is longer than the next's: a change makes all ask at once
MAX_HOLD_SPREAD_MS = 2000  # and by how much the longest is longer than the shortest, at most
UNCHANGED_PAUSE = 0.1  # seconds before a watch that brought nothing, and too soon, is repeated

log = structlog.get_logger()


def hold_duration_ms(index: int, gateways: int) -> int:
    """How long this gateway lets a watch wait, in milliseconds: each of many a little longer than another."""
    spread = min(MAX_HOLD_SPREAD_MS, HOLD_STEP_MS * gateways)
    return MIN_HOLD_MS + spread * (index % gateways) // gateways


class DiscoveryWatch:
    """The list as discovery has it: the service in use is followed, a former one to its last answer."""

    def __init__(self, endpoint: Address, hold_ms: int = MIN_HOLD_MS, dial: Dial = dial) -> None:
        self.endpoint = endpoint
        self.hold_ms = hold_ms
        self._dial = dial
        self._current_follower: EndpointListFollower | None = None
        self._former_followers: list[EndpointListFollower] = []
        self._failing = False
        self.first_poll_finished = False  # whether the first request has ended, in whatever way

    def attach(self, listener: EndpointListListener) -> None:
        """Report changes of the list to this listener; called once, before `watch`."""
        self.listener = listener

    @property
    def has_unread_changes(self) -> bool:
        """Whether discovery has written what is not in force yet."""
        return any(follower.has_unread_changes for follower in self._followers())

    def _followers(self) -> list[EndpointListFollower]:
        return (
            [*self._former_followers, self._current_follower]
            if self._current_follower is not None
            else self._former_followers
        )

    def watch(self, enable: bool) -> None:
        """Begin to watch, or end that; a watch that runs goes on."""
        if not enable:
            self.close()
        elif self._current_follower is None:
            link = DiscoveryConnection(self.endpoint, self._dial)
            self._current_follower = EndpointListFollower(link, self)

    def change_endpoint(self, endpoint: Address) -> None:
        """Watch at another address from now on: at once, since the old one may close any moment.

        What the old service has written, or is about to, counts as told, so its last answer is still taken.
        """
        log.info("discovery_moved", host=endpoint[0], port=endpoint[1])
        if self._current_follower is not None and self._current_follower.stop_after_response():
            self._former_followers.append(self._current_follower)
        self._current_follower = None
        self.endpoint = endpoint
        # Versions are the word of the service that gave them: the first request asks for the whole list.
        self.listener.replica_set.version = UNKNOWN_VERSION
        self.watch(True)

    def close(self) -> None:
        """End the watch."""
        for follower in self._followers():
            follower.close()
        self._current_follower, self._former_followers = None, []

    # What followers say

    async def former_followers_done(self, follower: EndpointListFollower) -> None:
        """Before the service in use has its first word: those left behind have had their last one.

        One that is left behind itself meanwhile waits for no other.
        """
        while follower is self._current_follower and any(
            former.has_unread_changes for former in self._former_followers
        ):
            await asyncio.sleep(0)
        if follower is self._current_follower:
            for former in self._former_followers:
                former.close()
            self._former_followers = []

    def apply(self, follower: EndpointListFollower, response: EndpointListResponse) -> None:
        """An answer takes effect; raises ListError if it could not be read as a whole."""
        self.first_poll_finished = True
        listener, update = self.listener, response.update
        if follower is not self._current_follower or response.faults:
            # Its version says nothing about this service's list, or more of this version has to be asked for.
            update = replace(update, version=listener.replica_set.version)
        if update.entries or update.complete:
            log.info(
                "endpoint_list_changed",
                rev=update.version,
                complete=update.complete,
                entries=len(update.entries),
            )
        if self._failing and not response.faults:
            log.info("discovery_recovered", rev=update.version)
            self._failing = False
        listener.endpoint_list_changed(update, completes_poll=follower is self._current_follower)
        response.require_complete()

    def follower_ended(self, follower: EndpointListFollower, reason: str | None) -> None:
        """A follower has ended; with a reason, it failed: the decisions say when to ask again."""
        if follower is not self._current_follower:
            self._former_followers = [one for one in self._former_followers if one is not follower]
            return
        self._current_follower = None
        self.first_poll_finished = True
        if reason is not None:
            self.report_failing(reason)
            self.listener.endpoint_list_failed()

    def report_failing(self, reason: str) -> None:
        """Discovery does not answer as it should; told once until it does."""
        if not self._failing:
            log.warning("discovery_failing", reason=reason)
        self._failing = True


class EndpointListFollower:
    """Follows the list of one service until a request fails, or to its present answer if it is retired."""

    def __init__(self, connection: DiscoveryConnection, watch: DiscoveryWatch) -> None:
        self._connection = connection
        self._watch = watch
        self._stopping = False
        self._last_list_empty = False  # whether the last answer was a whole list with nobody in it
        self._applying = False  # an answer has been read, and is not in force yet
        self._task = asyncio.ensure_future(self._run())

    @property
    def has_unread_changes(self) -> bool:
        """Whether the service has written what is not in force yet."""
        return self._applying or self._connection.has_unread_data

    def stop_after_response(self) -> bool:
        """Ask nothing more; whether an answer is still awaited. If none is, this is the end."""
        self._stopping = True
        if not self.has_unread_changes and not self._connection.awaiting_response:
            self.close()
            return False
        return True

    def close(self) -> None:
        """End at once."""
        self._task.cancel()
        self._connection.close()

    async def _run(self) -> None:
        reason = None
        try:
            await self._follow()
        except (RequestError, EndpointListError) as error:
            reason = str(error)
        except Exception:
            # A fault of ours: the list may be half taken; nobody asks again after a watch that just ended.
            log.exception("discovery_watch_failed")
            self._replicas.version = UNKNOWN_VERSION
            reason = "a fault of the gateway; see discovery_watch_failed"
        self._connection.close()
        self._watch.follower_ended(self, reason)

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        may_wait = False  # only after an answer in order: one that does not wait shows trouble sooner
        while not self._stopping:
            request = EndpointListRequest(self._replicas.version, self._watch.hold_ms if may_wait else 0)
            asked_at = loop.time()
            try:
                body = await self._connection.request(request)
            except WatchLostError as lost:
                log.info("discovery_watch_lost", reason=str(lost))
                may_wait = False
                continue
            self._applying = True
            try:
                await self._watch.former_followers_done(self)
                answer = decode_endpoint_list(body)
                may_wait = self._is_trustworthy(request, answer)
                if may_wait:
                    self._watch.apply(self, answer)
            finally:
                self._applying = False
            if request.is_watch and answer.update.version == request.version:
                # Guards against a service that answers at once, again and again.
                early = loop.time() - asked_at < request.hold_ms / 2000
                await asyncio.sleep(UNCHANGED_PAUSE if early else 0)

    @property
    def _replicas(self) -> ReplicaSet:
        return self._watch.listener.replica_set

    def _is_trustworthy(self, request: EndpointListRequest, answer: EndpointListResponse) -> bool:
        """Whether an answer can take effect as it is; if not, the whole list is asked for next, at once."""
        update = answer.update
        if request.version != UNKNOWN_VERSION and update.version < request.version:
            # An answer from before the last one, or a service begun anew: what it puts into use may be long
            # past, and what has changed since can't be told from it.
            log.info("discovery_version_regressed", requested_version=request.version, rev=update.version)
            self._watch.apply(self, replace(answer, update=without_ready_replicas(update)))
            return False
        empty = update.complete and not update.entries and self._replicas.ready_count > 0
        if empty and not self._last_list_empty:
            # Guards against one bad moment of discovery: all replicas are gone only if it says so twice.
            self._last_list_empty = True
            self._watch.report_failing("an empty list; asked for again before it is believed")
            self._replicas.version = UNKNOWN_VERSION
            return False
        self._last_list_empty = False
        return True
