"""The schema of a replica in an inventory: its fields, their synonyms, and the rules from the settings."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

FIELDS = frozenset(
    {"name", "endpoint", "host", "port", "zone", "kind", "cell", "weight", "state", "labels", "groups"}
)
# Ansible's names of a host's address and port: used where the schema's own are not given.
FALLBACKS = MappingProxyType({"host": "ansible_host", "port": "ansible_port"})
LABEL_PREFIXES = ("label.", "label_")
STATES = MappingProxyType(
    {
        "": "up",
        "up": "up",
        "ready": "up",
        "active": "up",
        "draining": "draining",
        "drain": "draining",
        "removed": "removed",
        "gone": "removed",
        "down": "removed",
    }
)
_STATES_BY_CAUTION = ("up", "draining", "removed")


@dataclass(frozen=True, slots=True)
class ReplicaRules:
    """The settings that concern replicas; empty `zones` or `kinds` allow any."""

    zones: tuple[str, ...] = ()
    kinds: Mapping[str, float] = field(default_factory=dict)  # the weight of each kind
    lookups: bool = False  # host names are allowed and will be resolved
    port: int = 0  # the port of rows that give none; 0: each row must give one
    require: tuple[str, ...] = ()  # fields that each row must give
    names: Mapping[str, str] = field(default_factory=dict)  # by column or variable, the schema's name
    implied_groups: bool = True  # a group named like a kind or zone implies it for its hosts

    @property
    def canonical_names(self) -> dict[str, str]:
        """By the name of a variable, the schema's name for it."""
        own = {name: name for name in FIELDS - {"name", "groups"}}
        return own | {theirs: ours for ours, theirs in FALLBACKS.items()} | dict(self.names)

    @property
    def implied_values(self) -> dict[str, tuple[str, str]]:
        """By the name of a group, the field and value that it implies.

        Names of groups have `_` where those of kinds and zones have `-`.
        """
        implied: dict[str, tuple[str, str]] = {}
        if not self.implied_groups:
            return implied
        for key, values in (("zone", self.zones), ("kind", tuple(self.kinds))):
            for value in values:
                underscored = value.replace("-", "_")
                for name in (value, underscored, f"{key}_{underscored}"):
                    implied[name] = (key, value)
        return implied


def more_restrictive(one: str, other: str) -> str:
    """Of two states of a host, the one with less traffic."""
    return max(one, other, key=_STATES_BY_CAUTION.index)


def is_ip(text: str) -> bool:
    """Whether a text is an IP address, of either version."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
