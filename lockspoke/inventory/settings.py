"""The section `[inventory]` of the edge file, and the policies and options that follow from it."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from .decisions import ReconcilePolicy
from .parse_cache import ReadOptions
from .patterns import PatternError, parse_pattern
from .schema import FIELDS, ReplicaRules

Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=7 * 86400.0)]
Weight = Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class GuardSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The section `[inventory.guard]`: limits for applying changes of the files, with times in seconds.

    `ReconcilePolicy` describes each of them; `reconcile_policy` maps the settings to its fields.
    """

    removed_share: Fraction = 0.3
    removed_least: NonNegativeInt = 3
    window: Seconds = 60.0
    settle: Seconds = 0.0  # With 0, a mass removal waits for an operator.
    unfinished: Seconds = 5.0
    flap_limit: Annotated[float, msgspec.Meta(ge=1.0)] = 4.0
    flap_half_life: Annotated[float, msgspec.Meta(ge=0.1)] = 60.0
    blink: Seconds = 1.0
    new_is_cold: bool = True
    accept: str = ""  # The fingerprint of the snapshot whose mass removal an operator accepts.


class InventorySettings(msgspec.Struct, frozen=True, kw_only=True):
    """The section `[inventory]`."""

    paths: list[str]  # Files and folders, merged in this order.
    form: Literal["", "csv", "yaml", "json", "ini"] = ""
    select: str = ""  # A host pattern for the hosts that this gateway uses; empty for all.
    # Two sources with different values for a host are an error, or the later source takes precedence.
    merge: Literal["strict", "later"] = "strict"
    zones: list[str] = []  # If empty, the zones of the gateway's own settings are used.
    kinds: dict[str, Weight] = {}  # The weight of each kind.
    names: dict[str, str] = {}  # The schema's field for each column or variable named differently.
    require: list[str] = []
    port: Port = 0
    lookups: bool = False
    lookup_every: Annotated[float, msgspec.Meta(ge=1.0)] = 30.0
    implied_groups: bool = True
    watch: Literal["notice", "poll"] = "notice"
    poll: Annotated[float, msgspec.Meta(ge=0.01, le=3600.0)] = 1.0
    # Seconds without a write after which a file that is written in place counts as complete.
    quiet: Annotated[float, msgspec.Meta(ge=0.0, le=10.0)] = 0.1
    # Seconds for which a file may be missing before this counts as a change.
    missing: Annotated[float, msgspec.Meta(ge=0.0, le=60.0)] = 1.0
    inline_kb: NonNegativeInt = 8  # Larger inventories are parsed by the parser process.
    keep: str = ""  # A persistent folder for the cached list and the status; if empty, none are stored.
    guard: GuardSettings = GuardSettings()

    def __post_init__(self) -> None:
        """Check what the types can't express. Raises ValueError."""
        if not self.paths or not all(self.paths):
            raise ValueError("paths is empty, want at least one file or folder")
        for field_name in self.names.values():
            if field_name not in FIELDS and not field_name.startswith("label."):
                raise ValueError(f"names maps to {field_name!r}, want one of {', '.join(sorted(FIELDS))}")
        for required_field in self.require:
            if required_field not in FIELDS:
                raise ValueError(f"require has {required_field!r}, want any of {', '.join(sorted(FIELDS))}")
        if self.select:
            try:
                parse_pattern(self.select)
            except PatternError as error:
                raise ValueError(f"select is wrong: {error}") from None

    def read_options(self, zones: tuple[str, ...] = ()) -> ReadOptions:
        """The options for reading sources; `zones` are the gateway's, used if none are set here."""
        rules = ReplicaRules(
            zones=tuple(self.zones) or zones,
            kinds=self.kinds,
            lookups=self.lookups,
            port=self.port,
            require=tuple(self.require),
            names=self.names,
            implied_groups=self.implied_groups,
        )
        select = parse_pattern(self.select) if self.select else None
        return ReadOptions(rules, self.form, select, self.merge == "later")

    def reconcile_policy(self) -> ReconcilePolicy:
        """The limits for the reconciler."""
        guard = self.guard
        return ReconcilePolicy(
            max_removed_share=guard.removed_share,
            min_allowed_removals=guard.removed_least,
            removal_window_ms=_to_ms(guard.window),
            removal_settle_ms=_to_ms(guard.settle),
            unterminated_grace_ms=_to_ms(guard.unfinished),
            flap_penalty_limit=guard.flap_limit,
            flap_half_life_ms=_to_ms(guard.flap_half_life),
            brief_absence_ms=_to_ms(guard.blink),
            assume_new_hosts_just_started=guard.new_is_cold,
        )


def _to_ms(seconds: float) -> int:
    return round(seconds * 1000)
