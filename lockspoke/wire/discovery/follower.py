"""Requests the complete endpoint list from one discovery service, then watches it for changes."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Protocol

import structlog

from lockspoke.core.endpoint_list import EndpointListListener
from lockspoke.core.replica_set import UNKNOWN_VERSION, ReplicaSet

from .connection import DiscoveryConnection, RequestError, WatchLostError
from .endpoint_list import (
    EndpointListError,
    EndpointListResponse,
    decode_endpoint_list,
    without_ready_replicas,
)
from .messages import EndpointListRequest

UNCHANGED_RETRY_DELAY_SECONDS = 0.1  # Delay after a watch that got a premature response.

log = structlog.get_logger()


class FollowerOwner(Protocol):
    """The owner of a follower, which receives its responses; implemented by `DiscoveryWatch`."""

    hold_ms: int
    listener: EndpointListListener

    async def wait_for_former_followers(self, follower: EndpointListFollower) -> None:
        """Return once former followers have applied their last responses."""

    def apply(self, follower: EndpointListFollower, response: EndpointListResponse) -> None:
        """Apply a response; raise EndpointListError if an entry of it could not be decoded."""

    def report_failing(self, reason: str) -> None:
        """Log that discovery is failing."""

    def follower_ended(self, follower: EndpointListFollower, reason: str | None) -> None:
        """Handle the end of a follower; the reason is None unless it failed."""


class EndpointListFollower:
    """Follows the list of one discovery service until a request fails or the follower is stopped."""

    def __init__(self, connection: DiscoveryConnection, owner: FollowerOwner) -> None:
        self._connection = connection
        self._owner = owner
        self._stopping = False
        self._last_list_empty = False  # Whether the last response was a complete list without replicas.
        self._applying = False  # Whether a response has been read but not applied yet.
        self._task = asyncio.ensure_future(self._run())

    @property
    def has_unread_changes(self) -> bool:
        """Whether the service has sent changes that are not applied yet."""
        return self._applying or self._connection.has_unread_data

    def stop_after_response(self) -> bool:
        """Send no more requests; return whether a response is still expected. If not, close the follower."""
        self._stopping = True
        if not self.has_unread_changes and not self._connection.awaiting_response:
            self.close()
            return False
        return True

    def close(self) -> None:
        """Stop at once."""
        self._task.cancel()
        self._connection.close()

    async def _run(self) -> None:
        reason = None
        try:
            await self._follow()
        except (RequestError, EndpointListError) as error:
            reason = str(error)
        except Exception:
            # This is a bug in the gateway. The list may have been applied only in part, so the complete list
            # is requested next. A reason is needed because an end without one is not retried.
            log.exception("discovery_watch_failed")
            self._replica_set.version = UNKNOWN_VERSION
            reason = "internal error of the gateway; see discovery_watch_failed"
        self._connection.close()
        self._owner.follower_ended(self, reason)

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        # Watch only after a valid response: a request without a hold detects a failing service sooner.
        may_watch = False
        while not self._stopping:
            request = EndpointListRequest(self._replica_set.version, self._owner.hold_ms if may_watch else 0)
            requested_at = loop.time()
            try:
                body = await self._connection.request(request)
            except WatchLostError as error:
                log.info("discovery_watch_lost", reason=str(error))
                may_watch = False
                continue
            response, may_watch = await self._process(request, body)
            while _is_premature(request, response, loop.time() - requested_at):
                # Avoids a tight loop of requests to a service that keeps responding at once. If this was the
                # last response once more, the one to this request may arrive at any moment.
                further = await self._connection.read_further_response(UNCHANGED_RETRY_DELAY_SECONDS)
                if further is None:
                    break
                response, may_watch = await self._process(request, further)
            # Otherwise the next request is written in the same iteration of the event loop, because discovery
            # counts a change between a response and the next request as notified.

    async def _process(self, request: EndpointListRequest, body: bytes) -> tuple[EndpointListResponse, bool]:
        """Decode and apply a response; return it and whether it was applied unchanged."""
        self._applying = True
        try:
            await self._owner.wait_for_former_followers(self)
            response = decode_endpoint_list(body)
            is_acceptable = self._check_response(request, response)
            if is_acceptable:
                self._owner.apply(self, response)
            return response, is_acceptable
        finally:
            self._applying = False

    @property
    def _replica_set(self) -> ReplicaSet:
        return self._owner.listener.replica_set

    def _check_response(self, request: EndpointListRequest, response: EndpointListResponse) -> bool:
        """Return whether a response can be applied unchanged.

        If not, at most its drains and removals are applied, and the complete list is requested next.
        """
        update = response.update
        if request.version != UNKNOWN_VERSION and update.version < request.version:
            # The response is stale, or the service has restarted. Replicas that it lists as ready may have
            # been drained since, and it lacks the changes since the requested version.
            log.info("discovery_version_regressed", requested_version=request.version, rev=update.version)
            self._owner.apply(self, replace(response, update=without_ready_replicas(update)))
            return False
        empty = update.complete and not update.entries and self._replica_set.ready_count > 0
        if empty and not self._last_list_empty:
            # A brief failure of discovery may cause an empty list, so only a second one in a row is applied.
            self._last_list_empty = True
            self._owner.report_failing("an empty list; asked for again before it is believed")
            self._replica_set.version = UNKNOWN_VERSION
            return False
        self._last_list_empty = False
        return True


def _is_premature(request: EndpointListRequest, response: EndpointListResponse, elapsed: float) -> bool:
    """Return whether a watch got a response without changes long before the end of its hold.

    Discovery holds a watch until there is a newer version or the hold ends, so such a response may belong to
    an earlier request.

    Args:
        request: The request.
        response: The response that was read after it.
        elapsed: Seconds from the request to the response.
    """
    is_unchanged = request.is_watch and response.update.version == request.version
    return is_unchanged and elapsed < request.hold_ms / 2000
