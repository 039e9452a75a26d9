"""The balancer's records of replicas, requests and attempts. They hold state and decide nothing.

Times are integer nanoseconds; work is counted in tokens.
"""

from __future__ import annotations

from collections import OrderedDict

from .breaker import Breaker, Trial
from .concurrency_limit import ConcurrencyLimit
from .events import NEVER_RAN, Outcome, ReplicaState, RequestArrived
from .load_reports import MachineKind, ReportedLoad
from .overload_backoff import OverloadBackoff
from .repeat_rules import PossibleRun
from .settings import BalancerSettings, RequestClass
from .slow_start import SlowStart

ANSWER_TOKENS = 200.0  # An answer takes about as much work as reading a prompt of this length.
# Sessions and prefixes remembered for each replica: more than fit into a replica's memory.
MAX_CACHED_KEYS = 2048
MIN_CAPACITY = 1e-9


class TrackedReplica:
    """What this gateway knows about one replica."""

    __slots__ = (
        "backoff",
        "breaker",
        "cached",
        "cell",
        "concurrency",
        "declared_capacity",
        "machine_statistics",
        "max_declared_capacity",
        "number",
        "reported_load",
        "slow_start",
        "state",
        "state_updated_at",
        "work_in_flight",
        "zone",
    )

    def __init__(self, number: int) -> None:
        self.number = number
        self.state = ReplicaState.REMOVED
        self.state_updated_at = 0  # The time of the last update that listed or removed it.
        self.zone = 0
        self.cell = 0
        self.machine_statistics = MachineKind()
        self.declared_capacity = 1.0
        self.max_declared_capacity = MIN_CAPACITY  # The highest so far: weights may fall under load.
        self.breaker = Breaker()
        self.concurrency = ConcurrencyLimit()
        self.backoff = OverloadBackoff()
        self.slow_start = SlowStart()
        self.reported_load = ReportedLoad()
        self.work_in_flight = 0.0  # In tokens, of own requests: unread prompts, and answers.
        self.cached: OrderedDict[int, float] = OrderedDict()  # Prompt tokens, by session or prefix.

    @property
    def capacity(self) -> float:
        """The capacity that it has after its slow start, in the unit of the endpoint list's weights."""
        return self.declared_capacity * self.machine_statistics.capacity_factor

    def has_capacity(self, now: int) -> bool:
        """Whether its backoff and its concurrency limit allow one more request."""
        concurrency = self.concurrency
        return concurrency.in_flight < concurrency.limit and now >= self.backoff.until

    def uncached_tokens(self, arrived: RequestArrived) -> float:
        """Return the prompt tokens that the replica would have to read, as far as this gateway knows."""
        prefix = self.cached.get(arrived.prefix, 0.0)
        prefix = min(prefix, arrived.prefix_tokens)
        session = self.cached.get(arrived.session, 0.0)
        tokens = arrived.prompt_tokens - (session if session > prefix else prefix)
        return tokens if tokens > 0.0 else 0.0

    def work_for(self, arrived: RequestArrived) -> float:
        """Return the work of a request at this replica, in tokens: the uncached prompt and the answer."""
        return self.uncached_tokens(arrived) + ANSWER_TOKENS

    def record_send(self, arrived: RequestArrived, work: float) -> None:
        """Count a request that was sent, and record its keys as cached; the oldest keys are dropped."""
        self.concurrency.in_flight += 1
        self.work_in_flight += work
        added = ((arrived.prefix, arrived.prefix_tokens), (arrived.session, arrived.prompt_tokens))
        for key, tokens in added:
            if key:
                self.cached[key] = tokens
                self.cached.move_to_end(key)
        while len(self.cached) > MAX_CACHED_KEYS:
            self.cached.popitem(last=False)

    def restart(self, now: int, started_at: int, settings: BalancerSettings) -> None:
        """Begin a slow start; reset what belonged to the old process: breaker, cache, concurrency limit."""
        self.slow_start.begin(started_at, settings.slow_start_duration)
        self.breaker = Breaker()
        self.cached.clear()
        self.concurrency.reset(limited=self.slow_start.in_progress(now))


class TrackedAttempt:
    """One attempt of a request."""

    __slots__ = ("outcome", "replica", "sent_at", "streaming", "trial", "uncached_tokens", "work")

    def __init__(
        self, replica: TrackedReplica, sent_at: int, uncached_tokens: float, trial: Trial | None = None
    ) -> None:
        self.replica = replica
        self.sent_at = sent_at
        self.uncached_tokens = uncached_tokens  # Prompt tokens that the replica was expected to read.
        self.work = uncached_tokens + ANSWER_TOKENS  # The remaining work, in tokens.
        self.trial = trial
        self.outcome: Outcome | None = None  # None while it is in progress.
        self.streaming = False

    @property
    def zone(self) -> int:
        """The zone of its replica."""
        return self.replica.zone

    @property
    def cell(self) -> int:
        """The cell of its replica."""
        return self.replica.cell

    @property
    def in_progress(self) -> bool:
        """Whether it has no outcome yet."""
        return self.outcome is None

    @property
    def may_have_run(self) -> bool:
        """Whether the replica may have run it; false only if its outcome proves that it did not."""
        return self.outcome not in NEVER_RAN


class TrackedRequest:
    """One request, kept until it has its final answer and the outcomes of all its attempts."""

    __slots__ = (
        "arrived",
        "arrived_at",
        "attempts",
        "deadline",
        "is_open",
        "latency_objective",
        "request_class",
    )

    def __init__(self, arrived: RequestArrived, now: int, request_class: RequestClass) -> None:
        self.arrived = arrived
        self.request_class = request_class
        self.arrived_at = now
        self.deadline = now + arrived.time_remaining
        self.latency_objective = request_class.latency_objective + int(
            request_class.latency_objective_per_token * arrived.prompt_tokens
        )
        self.attempts: list[TrackedAttempt] = []
        self.is_open = True  # It has no final answer yet.

    @property
    def has_earlier_attempts(self) -> bool:
        """Whether any attempt has been made, under this number or an earlier one."""
        return bool(self.attempts or self.arrived.earlier_runs)

    @property
    def attempt_count(self) -> int:
        """The number of attempts; of those under earlier numbers the ones that may have run."""
        return len(self.attempts) + len(self.arrived.earlier_runs)

    @property
    def possible_runs(self) -> list[PossibleRun]:
        """The attempts that may have run on a replica, including those in progress."""
        runs: list[PossibleRun] = [attempt for attempt in self.attempts if attempt.may_have_run]
        runs += self.arrived.earlier_runs
        return runs

    @property
    def has_attempt_in_progress(self) -> bool:
        """Whether any attempt has no outcome yet."""
        return any(attempt.outcome is None for attempt in self.attempts)

    @property
    def is_streaming(self) -> bool:
        """Whether the answer of an attempt in progress has begun."""
        return any(attempt.streaming and attempt.outcome is None for attempt in self.attempts)
