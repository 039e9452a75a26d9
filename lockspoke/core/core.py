"""The core: the one object through which fronts, discovery and subsystems use this package.

It passes events to the balancer, carries out its actions, and ensures that each request gets exactly one
answer. Fronts submit a `ClientRequest` together with the writer of its response. Replicas, discovery and the
clock are accessed through the protocols in `transport.py` and `interfaces.py`.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import structlog

from lockspoke.balancing import Balancer
from lockspoke.balancing.events import (
    ClientDisconnected,
    EarlierRun,
    EndpointListKind,
    EndpointListUpdate,
    Outcome,
    RequestArrived,
)
from lockspoke.balancing.repeat_rules import may_be_repeated, restricts_repeats
from lockspoke.balancing.settings import BalancerSettings
from lockspoke.units import MILLISECOND, SECOND

from .actions import ActionExecutor
from .interfaces import Clock, Discovery
from .open_request_checks import OpenRequestChecks
from .process_start import ClockReading
from .replica import Replica
from .replica_set import ReplicaListUpdate, ReplicaSet, ReplicaSetChange
from .request_lifecycle import RequestLifecycle
from .request_log import RequestLog
from .requests import Attempt, ClientRequest, PossibleRun
from .totals import RequestOutcome, Totals
from .transport import Transport

log = structlog.get_logger()

# The delay after a failed poll if the balancer does not schedule the polls.
WATCH_RETRY_DELAY = SECOND


class Core:
    """The state of one gateway: its requests, their attempts, the replicas and the balancer."""

    def __init__(
        self,
        settings: BalancerSettings,
        seed: int,
        replica_set: ReplicaSet,
        clock: Clock,
        transport: Transport,
        discovery: Discovery,
    ) -> None:
        self.balancer = Balancer(settings, seed)
        self.replica_set = replica_set
        self.clock = clock
        self.transport = transport
        self.discovery = discovery
        self.request_lifecycle = RequestLifecycle(RequestLog(clock))
        self.requests = self.request_lifecycle.open_requests
        executor = ActionExecutor(
            self.balancer, self.request_lifecycle, replica_set, clock, transport, discovery
        )
        self._post = executor.post
        self.attempts = executor.attempts
        self.open_request_checks = OpenRequestChecks(
            self.request_lifecycle, self.attempts, clock, transport, self._post
        )
        self._polls_endpoint_list = settings.polls_endpoint_list

    @property
    def totals(self) -> Totals:
        """The counters since the process started."""
        return self.request_lifecycle.totals

    @property
    def interactive_rejected_at(self) -> int:
        """When the balancer last rejected an interactive request, by the core's clock; 0: never."""
        return self.request_lifecycle.interactive_rejected_at

    def start(self) -> None:
        """Start the periodic checks and the watch of the endpoint list."""
        self.open_request_checks.run()
        if not self._polls_endpoint_list:
            # The balancer starts the watch only if its settings let it poll the list. Otherwise it expects
            # discovery to push the list; discovery only responds to polls, so the watch is started here.
            self.discovery.watch(True)

    def reconfigure(self, settings: BalancerSettings, zones: Sequence[str]) -> bool:
        """Apply new settings. Returns whether a full endpoint list is needed because the zones changed."""
        self._polls_endpoint_list = settings.polls_endpoint_list
        self.balancer.reconfigure(settings)
        return self.replica_set.set_zones(zones)

    # Requests

    def submit(self, request: ClientRequest) -> None:
        """Accept a request. It gets exactly one answer, unless its client disconnects first."""
        request.number = self.replica_set.identifiers.request()
        now = self.clock.now()
        request.deadline = (request.arrived_at or now) + request.time_remaining
        request.class_settings = self.balancer.settings.classes[request.request_class]
        self.request_lifecycle.register(request)
        self._post(
            RequestArrived(
                request=request.number,
                time_remaining=max(0, request.deadline - now),
                request_class=request.request_class,
                tenant=request.tenant,
                session=request.session,
                prefix=request.prefix,
                prompt_tokens=request.prompt_tokens,
                prefix_tokens=request.prefix_tokens,
                max_tokens=request.max_tokens,
                client_retry=request.client_retry,
                earlier_runs=self._earlier_runs(request.earlier_runs)
                if restricts_repeats(request.class_settings)
                else (),
            )
        )

    def request_id_is_taken(self, request_id: str) -> bool:
        """Return whether a request with this ID is open, or must not run again."""
        return self.request_lifecycle.request_ids.is_taken(request_id)

    def restricts_repeats(self, request_class: int) -> bool:
        """Return whether a request of a class that may have run must not be submitted again at will."""
        return restricts_repeats(self.balancer.settings.classes[request_class])

    def may_be_repeated(self, request_class: int, runs: Iterable[PossibleRun]) -> bool:
        """Return whether a request of a class may be submitted again after these attempts."""
        settings = self.balancer.settings.classes[request_class]
        return may_be_repeated(self.clock.now(), settings, self._earlier_runs(runs))

    def _earlier_runs(self, runs: Iterable[PossibleRun]) -> tuple[EarlierRun, ...]:
        return tuple(
            EarlierRun(run.sent_at, self.replica_set.zone_index(run.location.zone), run.location.cell)
            for run in runs
        )

    def client_disconnected(self, request: ClientRequest) -> None:
        """Complete a request whose client has disconnected.

        Its attempts continue: a replica does not stop generating when the client disconnects, and by reading
        the stream to its end the balancer learns how long the replica is busy with it.
        """
        if request.answered:
            return
        self.request_lifecycle.complete(request, RequestOutcome.CLIENT_DISCONNECTED)
        self._post(ClientDisconnected(request.number))

    def interactive_request_waiting(self) -> bool:
        """Return whether an interactive request is queued because no replica has capacity."""
        return self.request_lifecycle.interactive_request_waiting()

    # Hand-off

    def hand_off(
        self,
        requests: Iterable[ClientRequest] | None = None,
        include_streams: bool = True,
        immediately: bool = True,
    ) -> None:
        """End requests at this gateway so that their clients continue at other gateways.

        A stream is aborted, and its client requests the rest at another gateway. A request that has not
        started to stream is rejected if a retry is safe, and failed otherwise. The attempts are cancelled,
        since their responses are no longer needed.

        Args:
            requests: The requests to hand off; None for all.
            include_streams: Whether to abort streams too.
            immediately: If False, a stream with received data that is not forwarded yet continues for now,
                since its replica may already have finished it; it no longer waits for a slow client.
        """
        for request in list(self.requests.values() if requests is None else requests):
            stream = request.streaming_attempt
            if stream is not None and stream.outcome is None and not request.answered:
                if not include_streams:
                    continue
                request.handing_off = True
                self.attempts.resume_reading(stream)
                if not immediately and self.transport.has_unread_response(stream):
                    continue
            if not request.answered:
                self._end_for_hand_off(request, stream)
            for attempt in request.attempts:
                self.attempts.cancel_if_open(attempt, Outcome.CANCELLED)

    def _end_for_hand_off(self, request: ClientRequest, stream: Attempt | None) -> None:
        if stream is not None:
            self.request_lifecycle.complete(request, RequestOutcome.HANDED_OFF)
            request.response.abort()
        else:
            self.request_lifecycle.reject_or_fail(request)
        self._post(ClientDisconnected(request.number))

    # The endpoint list

    def endpoint_list_changed(
        self, update: ReplicaListUpdate, cached: bool = False, completes_poll: bool = True
    ) -> None:
        """Apply a full endpoint list, or changes to it.

        Args:
            update: The list or changes.
            cached: Whether an earlier process stored it and discovery has not confirmed it yet.
            completes_poll: Whether it is the response to the poll that the balancer waits for.
        """
        clock_reading = ClockReading(self.clock.now(), self.clock.wall_time())
        self._apply(self.replica_set.apply(update, clock_reading, cached, completes_poll))
        # Without pruning, every replica that discovery has ever listed would stay in memory.
        self.replica_set.prune(self.balancer.replicas)

    def set_banned(self, uid: str, banned: bool) -> bool:
        """Ban a replica from new attempts, or lift the ban. Returns False if the replica is unknown."""
        change = self.replica_set.set_banned(uid, banned)
        if change is None:
            return False
        if change.event.entries:
            self._apply(change)
        return True

    def _apply(self, change: ReplicaSetChange) -> None:
        for replica in change.replicas_to_disconnect:
            self.transport.close_idle_connections(replica)
        self._log_last_attempt(change.replicas_to_disconnect)
        self._post(change.event)

    def _log_last_attempt(self, disconnected: Iterable[Replica]) -> None:
        """Log when the replicas that no longer accept requests last got an attempt.

        The line reveals a drain that reached one of many gateways late, without logging every request.
        """
        last_attempt_times = [
            replica.last_attempt_at
            for replica in disconnected
            if replica.last_attempt_at and not self.replica_set.accepts_requests(replica)
        ]
        if last_attempt_times:
            elapsed_ms = (self.clock.now() - max(last_attempt_times)) // MILLISECOND
            log.info(
                "replicas_left_service", replicas=len(last_attempt_times), last_attempt_ms_ago=elapsed_ms
            )

    def endpoint_list_failed(self) -> None:
        """Record that a poll of the endpoint list has failed; the last list remains in use."""
        self.totals.endpoint_list_polls_failed += 1
        self._post(EndpointListUpdate(EndpointListKind.FAILED))
        if not self._polls_endpoint_list:
            self.clock.call_later(WATCH_RETRY_DELAY, lambda: self.discovery.watch(True))
