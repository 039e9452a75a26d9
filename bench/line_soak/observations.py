"""What a run of the soak observes: the runs of lines at replicas, and the results that the client gets."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Effect(StrEnum):
    """The effect of the lines' class, as the settings name it."""

    FREE = "free"
    GUARDED = "guarded"
    SINGLE_SHOT = "single_shot"


class Scope(StrEnum):
    """The replicas that discard repeats of a guarded class, as the settings name them."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class Rules:
    """What the class of the lines allows."""

    effect: Effect
    scope: Scope = Scope.ALL
    window: float = 5.0  # seconds


@dataclass(frozen=True, slots=True)
class ObservedRun:
    """A request that has reached a replica to its last byte, and that the replica did not decline."""

    line: str
    request_id: str
    at: float  # seconds of the monotonic clock
    zone: str
    cell: int


@dataclass(frozen=True, slots=True)
class LineResult:
    """The result of a line: served, or an error."""

    error_code: str = ""  # empty if the line was served
    message: str = ""

    @property
    def served(self) -> bool:
        """Whether the line was served."""
        return not self.error_code

    @property
    def says_it_may_have_run(self) -> bool:
        """Whether the message of the error says that the line may have run."""
        return "may have run" in self.message


@dataclass(slots=True)
class Observations:
    """Everything that one run has observed."""

    rules: Rules
    lines: int
    concurrency: int
    kills: int = 0
    stops: int = 0
    cancelled: bool = False
    faults: list[str] = field(default_factory=list)  # exceptions of the stand-ins
    runs: list[ObservedRun] = field(default_factory=list)
    results: dict[str, list[LineResult]] = field(default_factory=dict)  # by line
