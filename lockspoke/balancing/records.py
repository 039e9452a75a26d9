"""What the balancer remembers: plain records without a decision. `policy.py` reads and writes them."""

from __future__ import annotations

import math
from collections import Counter, OrderedDict, defaultdict, deque
from collections.abc import Iterable
from typing import TYPE_CHECKING

from lockspoke.units import SECOND

from .events import Outcome, ReplicaState, RequestArrived
from .settings import BalancerSettings, RequestClass

CACHED_KEYS = 2048  # sessions and prefixes remembered a replica; more than a replica's memory can hold
KIND_MEMORY = 64  # reports over which a kind of machine is judged
KIND_PRIOR = 1.5  # reports that a kind's listed size counts for beside those that have told how busy it was
NOISE = 0.02  # the least that a report counts for where kinds are judged
ALL = -1  # the band that holds every request
MOST_HALF_LIVES = 300  # for which weights double, before they begin anew at one
NEGLIGIBLE = 1e-9  # of a request
_MASK = (1 << 64) - 1
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT)

if TYPE_CHECKING:
    from .breaker import Breaker


class DecayingSum:
    """A sum that halves with each half-life: what has come of late weighs most."""

    def __init__(self, half_life: int) -> None:
        self.half_life = half_life
        self._sum = 0.0
        self._summed_at = 0

    def add(self, now: int, amount: float) -> None:
        """Add an amount that came at `now`."""
        self._sum, self._summed_at = self.value(now) + amount, now

    def value(self, now: int) -> float:
        """What is left of the sum at `now`."""
        return self._sum * float(0.5 ** ((now - self._summed_at) / self.half_life))

    def rate(self, now: int) -> float:
        """Amounts per second, if they have come at one pace for many half-lives."""
        return self.value(now) * math.log(2) * SECOND / self.half_life


class Recent:
    """The keys of the latest requests, and how often each of them came."""

    def __init__(self, most: int) -> None:
        self._latest: deque[int] = deque(maxlen=most)
        self._counts: Counter[int] = Counter()

    def __len__(self) -> int:
        """How many requests it holds."""
        return len(self._latest)

    def add(self, key: int) -> None:
        """One more request; past the bound the oldest is forgotten."""
        if len(self._latest) == self._latest.maxlen:
            oldest = self._latest[0]
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]
        self._latest.append(key)
        self._counts[key] += 1

    def share(self, key: int, at_least: int) -> float:
        """The key's share of the latest requests; judged as if there were so many, where there are fewer."""
        return self._counts[key] / max(at_least, len(self._latest))


class PromptBands:
    """How requests fared of late by the length of their prompts: each band is twice as long as the last.

    Old ones count less by counting new ones for more: shares then need no arithmetic but a division.
    """

    def __init__(self, half_life: int) -> None:
        self.half_life = half_life
        self._since: int | None = None  # when the present weights begin at one
        self._sent = defaultdict[int, float](float)
        self._ended = defaultdict[int, float](float)

    def note(self, now: int, prompt_tokens: float, sent: bool) -> None:
        """One has been sent to a replica for the first time, or has ended without that."""
        if self._since is None:
            self._since = now
        age = (now - self._since) / self.half_life
        if age > MOST_HALF_LIVES:
            self._fade(0.5**age)
            self._since, age = now, 0.0
        weight = 2.0**age
        for band in (_band(prompt_tokens), ALL):
            self._sent[band] += weight * sent
            self._ended[band] += weight

    def _fade(self, part: float) -> None:
        """Bring all counts down to the weights that begin at one now; what is as good as nothing goes."""
        kept = [band for band, count in self._ended.items() if count * part > NEGLIGIBLE]
        self._sent = defaultdict(float, {band: self._sent[band] * part for band in kept})
        self._ended = defaultdict(float, {band: self._ended[band] * part for band in kept})

    def share_sent(self, prompt_tokens: float | None = None) -> float:
        """The share that was sent of those with about this length, or of all; 1 where none is known."""
        band = ALL if prompt_tokens is None else _band(prompt_tokens)
        return self._sent[band] / self._ended[band] if band in self._ended else 1.0


def _band(prompt_tokens: float) -> int:
    return int(prompt_tokens).bit_length()


class MachineKind:
    """One kind of machine, as answers from its replicas have shown it of late."""

    def __init__(self) -> None:
        self.listed = 0.0  # listed size of its ready replicas together
        self.seen = 0.0  # answers that told how busy a replica was, and the sum of what they told; both fade
        self.busy = 0.0
        self.mean = 0.0  # share of slots taken at its replicas, as far as known
        self.factor = 1.0  # what its replicas can do, as a part of what their listed size promises

    def reported(self, busy: float) -> None:
        """One of its replicas, a warm one, has told what share of its slots is taken."""
        self.seen += 1.0
        self.busy += max(busy, NOISE)


class TrackedReplica:
    """One replica as this balancer knows it."""

    def __init__(self, number: int, breaker: Breaker) -> None:
        self.number = number
        self.breaker = breaker
        self.state = ReplicaState.REMOVED
        self.zone = 0
        self.cell = 0
        self.kind = MachineKind()
        self.listed = 1.0
        self.busy = 0.0  # the share of its slots that was taken when it was last heard of
        self.busy_at = 0
        self.nominal = 1e-9  # the greatest size listed: live weights sink with the load
        self.started_at = 0  # 0: long ago
        self.warm_at = 0  # surely warm from then on
        self.told_at = 0  # when the list last spoke of it
        self.in_flight = 0
        self.work = 0.0  # own tokens in flight: prompts to be read, and answers
        self.cached: OrderedDict[int, float] = OrderedDict()  # prompt tokens by session or prefix
        self.cold_sends: deque[tuple[int, float]] = deque()  # (when, work) within the warm-up budget's window
        self.turn = -1  # the latest turn in its warm-up, and the luck drawn for it
        self.luck = 0.0
        self.limit = math.inf  # of own requests in flight; none until the first sign of a jam
        self.cut_at = 0  # when the concurrency limit was last lowered
        self.floor = 0.0  # own requests that its last report has room for
        self.least = 0  # the fewest own requests in flight since that report: it may speak of any time since
        self.turned: dict[int, int] = {}  # by class, how often in a row it has turned requests away
        self.class_until: dict[int, int] = {}  # by class, not asked again before this time
        self.full_until = 0  # not asked again before this time

    @property
    def size(self) -> float:
        """What it can do beside the others, in the unit of the list."""
        return self.listed * self.kind.factor

    def share_of_warm(self, now: int, settings: BalancerSettings) -> float:
        """The capacity it surely has by now, as a share of its warm one."""
        if now >= self.warm_at:
            return 1.0
        # No cold phase at all, and a machine whose clock is ahead of ours: it has just begun.
        age = max(0, now - self.started_at) / max(1, settings.slow_start_duration)
        return settings.slow_start_initial_share + (1.0 - settings.slow_start_initial_share) * age

    def unread(self, arrived: RequestArrived) -> float:
        """Prompt tokens that this replica would have to read, as far as own sends tell."""
        prefix = self.cached.get(arrived.prefix, 0.0)
        prefix = min(prefix, arrived.prefix_tokens)
        session = self.cached.get(arrived.session, 0.0)
        left = arrived.prompt_tokens - (session if session > prefix else prefix)
        return left if left > 0.0 else 0.0

    def take(self, arrived: RequestArrived, work: float) -> None:
        """Count a sent request, and remember what its prompt leaves behind; the oldest is forgotten first."""
        self.in_flight += 1
        self.work += work
        both = ((arrived.prefix, arrived.prefix_tokens), (arrived.session, arrived.prompt_tokens))
        for key, tokens in both:
            if key:
                self.cached[key] = tokens
                self.cached.move_to_end(key)
        while len(self.cached) > CACHED_KEYS:
            self.cached.popitem(last=False)

    def rank(self, key: int) -> float:
        """Rendezvous hashing: every gateway finds the same replica for a key without a word to the others."""
        mixed = ((key ^ (self.number * 0x9E3779B97F4A7C15)) * 0xD6E8FEB86659FD93) & _MASK
        mixed = ((mixed ^ (mixed >> 32)) * 0xD6E8FEB86659FD93) & _MASK
        return -math.log(((mixed >> 11) + 1) / (1 << 53)) / self.nominal


def tally(kinds: dict[int, MachineKind], ready: Iterable[TrackedReplica]) -> dict[int, MachineKind]:
    """The kinds that have ready replicas, with the listed sizes of these summed up anew."""
    for kind in kinds.values():
        kind.listed = 0.0
    for replica in ready:
        replica.kind.listed += replica.listed
    return {number: kind for number, kind in kinds.items() if kind.listed}


def appraise(kinds: list[MachineKind], by_slots: bool) -> None:
    """Judge what the kinds' replicas can do: answers against slots taken. Of one alone too few answers come.

    Where reports don't tell slots taken (`by_slots` false), what they stand for does not grow evenly with the
    number of answers, and the kinds' paces are left out.
    """
    seen, listed = sum(kind.seen for kind in kinds), sum(kind.listed for kind in kinds)
    mean = sum(kind.busy for kind in kinds) / max(seen, 1e-9)
    for kind in kinds:
        prior = KIND_PRIOR * kind.listed / listed
        kind.mean = (kind.busy + prior * mean) / (kind.seen + prior)
        pace = (kind.seen + prior) / kind.listed * listed / (seen + KIND_PRIOR)  # beside that of all
        pace = pace if by_slots else 1.0
        kind.factor = min(4.0, max(0.25, pace * mean / max(kind.mean, 1e-9)))
        kind.seen, kind.busy = kind.seen * (1.0 - 1.0 / KIND_MEMORY), kind.busy * (1.0 - 1.0 / KIND_MEMORY)


class TrackedAttempt:
    """One attempt of a request."""

    def __init__(self, replica: TrackedReplica, now: int, work: float, unread: float = 0.0) -> None:
        self.replica = replica
        self.sent_at = now
        self.work = work
        self.unread = unread  # prompt tokens it was thought to need read
        self.outcome: Outcome | None = None  # None: it is still out
        self.streaming = False

    @property
    def out(self) -> bool:
        """Whether its outcome has not come."""
        return self.outcome is None

    @property
    def maybe_ran(self) -> bool:
        """Whether it may have had an effect: unless its outcome proves that it never ran."""
        return self.outcome not in NEVER_RAN


class TrackedRequest:
    """One request, kept until it has its final answer and the outcomes of all its attempts."""

    def __init__(self, arrived: RequestArrived, now: int, kind: RequestClass) -> None:
        self.arrived = arrived
        self.kind = kind
        self.arrived_at = now
        self.deadline = now + arrived.time_remaining
        self.aim = kind.latency_objective + int(
            kind.latency_objective_per_token * arrived.prompt_tokens
        )  # for the first token
        self.attempts: list[TrackedAttempt] = []
        self.open = True

    @property
    def ran(self) -> list[TrackedAttempt]:
        """Its attempts that may have had an effect, those still out among them."""
        return [attempt for attempt in self.attempts if attempt.maybe_ran]
