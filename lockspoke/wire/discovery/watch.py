"""Watches discovery for changes of the endpoint list; the address of discovery may change meanwhile.

Once discovery has written a change to the connection, the gateway must read and apply it before it sends
another request to a replica. Each change must also take effect at most 6 s after it reached discovery, while
discovery is reachable. The timeouts here and in the balancer are chosen to stay within this limit in the
following case: a watch gets no response, which is detected `WATCH_GRACE_SECONDS` after its hold; one more
request fails, after at most `RESPONSE_TIMEOUT_SECONDS`; the balancer backs off; and the next request gets a
response.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import structlog

from lockspoke.core.endpoint_list import EndpointListListener
from lockspoke.core.replica_set import UNKNOWN_VERSION
from lockspoke.wire.tcp.dialing import Address, Dial, dial

from .connection import DiscoveryConnection
from .endpoint_list import EndpointListResponse
from .follower import EndpointListFollower

# A hold is the time that discovery waits for a change before it responds without one.
MIN_HOLD_MS = 1500
HOLD_STEP_MS = 10  # Successive holds differ by this much, so that gateways do not all poll at the same time.
MAX_HOLD_SPREAD_MS = 2000  # The longest hold exceeds the shortest one by at most this much.

log = structlog.get_logger()


def max_wait_ms(index: int, gateway_count: int) -> int:
    """Return the hold of the gateway with this index; the holds of all gateways are spread evenly."""
    stagger_ms = min(MAX_HOLD_SPREAD_MS, HOLD_STEP_MS * gateway_count)
    return MIN_HOLD_MS + stagger_ms * (index % gateway_count) // gateway_count


class DiscoveryWatch:
    """Watches the current discovery service, and still reads the last responses of former ones."""

    def __init__(self, endpoint: Address, hold_ms: int = MIN_HOLD_MS, dial: Dial = dial) -> None:
        self.endpoint = endpoint
        self.hold_ms = hold_ms
        self.first_poll_finished = False  # Whether the first request has either succeeded or failed.
        self._dial = dial
        self._current_follower: EndpointListFollower | None = None
        self._former_followers: list[EndpointListFollower] = []
        self._failing = False

    def attach(self, listener: EndpointListListener) -> None:
        """Report changes of the list to this listener; must be called once, before `watch`."""
        self.listener = listener

    @property
    def has_unread_changes(self) -> bool:
        """Whether discovery has sent changes that are not applied yet."""
        return any(follower.has_unread_changes for follower in self._followers())

    def _followers(self) -> list[EndpointListFollower]:
        if self._current_follower is None:
            return self._former_followers
        return [*self._former_followers, self._current_follower]

    def watch(self, enable: bool) -> None:
        """Start or stop the watch; starting has no effect on a watch that is already running."""
        if not enable:
            self.close()
        elif self._current_follower is None:
            connection = DiscoveryConnection(self.endpoint, self._dial)
            self._current_follower = EndpointListFollower(connection, self)

    def change_endpoint(self, endpoint: Address) -> None:
        """Watch another address at once, since the old service may stop at any moment.

        Changes that the old service has sent or is still sending take effect, so its last response is still
        read and applied.
        """
        log.info("discovery_moved", host=endpoint[0], port=endpoint[1])
        if self._current_follower is not None and self._current_follower.stop_after_response():
            self._former_followers.append(self._current_follower)
        self._current_follower = None
        self.endpoint = endpoint
        # A version means nothing to another service, so the complete list is requested first.
        self.listener.replica_set.version = UNKNOWN_VERSION
        self.watch(True)

    def close(self) -> None:
        """Stop the watch."""
        for follower in self._followers():
            follower.close()
        self._current_follower, self._former_followers = None, []

    # The methods below implement FollowerOwner.

    async def wait_for_former_followers(self, follower: EndpointListFollower) -> None:
        """Wait until former followers have applied their responses, so that the newer list is applied last.

        Returns early if the waiting follower is itself replaced.
        """
        while follower is self._current_follower:
            if not any(former.has_unread_changes for former in self._former_followers):
                for former in self._former_followers:
                    former.close()
                self._former_followers = []
                return
            await asyncio.sleep(0)

    def apply(self, follower: EndpointListFollower, response: EndpointListResponse) -> None:
        """Apply a response; raise EndpointListError if an entry of it could not be decoded."""
        self.first_poll_finished = True
        is_current = follower is self._current_follower
        update = response.update
        if not is_current or response.errors:
            # The version of a former service means nothing to the current one, and a list with errors has to
            # be requested again.
            update = replace(update, version=self.listener.replica_set.version)
        if update.entries or update.complete:
            log.info(
                "endpoint_list_changed",
                rev=update.version,
                complete=update.complete,
                entries=len(update.entries),
            )
        if self._failing and not response.errors:
            log.info("discovery_recovered", rev=update.version)
            self._failing = False
        self.listener.endpoint_list_changed(update, completes_poll=is_current)
        response.require_complete()

    def follower_ended(self, follower: EndpointListFollower, reason: str | None) -> None:
        """Remove a follower; if the current one has failed, the balancer decides when to poll again."""
        if follower is not self._current_follower:
            self._former_followers = [other for other in self._former_followers if other is not follower]
            return
        self._current_follower = None
        self.first_poll_finished = True
        if reason is not None:
            self.report_failing(reason)
            self.listener.endpoint_list_failed()

    def report_failing(self, reason: str) -> None:
        """Log that discovery is failing, but only once until it recovers."""
        if not self._failing:
            log.warning("discovery_failing", reason=reason)
        self._failing = True
