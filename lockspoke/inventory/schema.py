"""The schema of a replica in an inventory: its fields, their synonyms, and the rules of the settings."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

FIELDS = frozenset(
    {"name", "endpoint", "host", "port", "zone", "kind", "cell", "weight", "state", "labels", "groups"}
)
# Ansible's variables for the address and port of a host, used if the fields themselves are not set.
ANSIBLE_VARIABLES = MappingProxyType({"host": "ansible_host", "port": "ansible_port"})
LABEL_PREFIXES = ("label.", "label_")
STATE_SYNONYMS = MappingProxyType(
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
_STATES_BY_RESTRICTIVENESS = ("up", "draining", "removed")


@dataclass(frozen=True, slots=True)
class ReplicaRules:
    """What the settings require of the fields of a replica.

    Attributes:
        zones: The allowed zones; empty allows any.
        kinds: The allowed kinds and their default weights; empty allows any kind.
        lookups: Whether host names are allowed, to be resolved later, and not only IP addresses.
        port: The port of rows without one; 0 means that each row must have one.
        require: The fields that each row must set.
        names: Maps the name of a column or variable to that of a field.
        implied_groups: Whether a group named after a kind or zone sets it for its hosts.
    """

    zones: tuple[str, ...] = ()
    kinds: Mapping[str, float] = field(default_factory=dict)
    lookups: bool = False
    port: int = 0
    require: tuple[str, ...] = ()
    names: Mapping[str, str] = field(default_factory=dict)
    implied_groups: bool = True

    @property
    def canonical_names(self) -> dict[str, str]:
        """Maps the name of a variable to that of the field that it sets."""
        own_names = {name: name for name in FIELDS - {"name", "groups"}}
        return (
            own_names
            | {variable: schema_name for schema_name, variable in ANSIBLE_VARIABLES.items()}
            | dict(self.names)
        )

    @property
    def implied_values(self) -> dict[str, tuple[str, str]]:
        """Maps the name of a group to the field and value that it implies for its hosts.

        The zone `lis-1` is implied by groups named `lis-1`, `lis_1` and `zone_lis_1`, and likewise for kinds.
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


def more_restrictive(first: str, second: str) -> str:
    """Return the state in which a host gets less traffic."""
    return max(first, second, key=_STATES_BY_RESTRICTIVENESS.index)


def is_ip(text: str) -> bool:
    """Return whether a text is an IPv4 or IPv6 address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
