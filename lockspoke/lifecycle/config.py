"""What the gateway is told at its start: the environment and the file that it names."""

from __future__ import annotations

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lockspoke.balancing.settings import BalancerSettings
from lockspoke.balancing.settings_reader import read_settings
from lockspoke.core.replica_set import ReplicaListUpdate
from lockspoke.units import MEBIBYTE, MILLISECOND
from lockspoke.wire.discovery.messages import decode_address, read_endpoint_list

OWN_MEMORY_MB = 26  # what the program takes with its connections open and no request held
LARGEST = 2**63  # no number of the settings is larger
OWN_SOCKETS = 64  # descriptors for discovery, listeners, files, logs and what the interpreter needs


class ConfigError(ValueError):
    """A configuration that cannot be started with; the text names the key."""


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """One gateway's configuration."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None  # none where an inventory feeds the replica set
    named: str  # the discovery that the file itself names
    seed: int
    sockets: int
    memory_mb: int
    known: ReplicaListUpdate | None
    settings: BalancerSettings
    classes: dict[str, int]  # by name, their place in the settings
    tenants: dict[str, int]  # by name, their place in the settings
    deadlines: tuple[int, ...]  # by class
    zones: tuple[str, ...]
    load_names: tuple[str, ...]
    resumes: bool  # clients ask for the rest of a stream that ends early
    connect_timeout: int
    keepalive: int
    operator: tuple[str, int] | None = None  # where operators call; none: they can't

    @property
    def max_buffered_bytes(self) -> int:
        """The bytes of requests that may be held, as a part of what the interpreter leaves of the memory."""
        return max(1, min(48, (self.memory_mb - OWN_MEMORY_MB) // 3)) * MEBIBYTE

    @property
    def stop_time(self) -> float:
        """Seconds that the platform surely leaves between SIGTERM and SIGKILL."""
        return min(max(self.deadlines, default=3_000 * MILLISECOND) / 1e9, 3.0) + 0.7

    def connections(self, others: int = 0) -> int:
        """The connections that each side, clients and replicas, may take of the descriptors."""
        return max(8, (self.sockets - OWN_SOCKETS - others) // 2)


def _dig(raw: Any, path: str, default: Any) -> Any:
    for step in path.split("."):
        raw = raw.get(step) if isinstance(raw, dict) else None
    return default if raw is None else raw


def _words(raw: Any, path: str) -> tuple[str, ...]:
    value = _dig(raw, path, [])
    if not isinstance(value, list) or not all(isinstance(word, str) for word in value):
        raise ConfigError(f"{path} is {value!r}, want a list of names")
    return tuple(value)


def _names(settings: Any, path: str) -> list[str]:
    """The names of the objects of a list, in its order."""
    return [str(one.get("name", "")) if isinstance(one, dict) else "" for one in _dig(settings, path, [])]


def _whole(raw: Any, path: str, default: int, lowest: int = 1) -> int:
    value = _dig(raw, path, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not lowest <= value <= LARGEST:
        raise ConfigError(f"{path} is {value!r}, want a number from {lowest} to {LARGEST:g}")
    return int(value)


def _seed(value: Any) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(value)
    except (TypeError, ValueError):
        raise ConfigError(f"seed is {value!r}, want a hexadecimal number") from None


def read_config(environment: Mapping[str, str], before: GatewayConfig | None = None) -> GatewayConfig:
    """Read the file that NODE_CONFIG names; the other variables go before what it says.

    Read again, with the configuration that holds so far, a discovery that the file now names goes before
    the variable: a process's environment cannot follow a change.
    """
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        raw = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: want an object")
    try:
        return _config(raw, environment, before)
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        # Whatever is wrong with a file, it is told in one line: a reload must never end a running program.
        raise ConfigError(f"{path}: {error}") from None


def _config(
    raw: dict[str, Any], environment: Mapping[str, str], before: GatewayConfig | None
) -> GatewayConfig:
    settings = _dig(raw, "settings", {})
    names = _names(settings, "profiles")
    known = raw.get("known")
    named = str(raw.get("discovery") or "")
    if before is not None and named in ("", before.named):
        discovery = before.discovery
    else:
        told = named if before is not None else environment.get("NODE_DISCOVERY") or named
        discovery = decode_address(told) if told else None
    operator = environment.get("NODE_OPERATOR") or str(raw.get("operator") or "")
    return GatewayConfig(
        name=environment.get("NODE_NAME") or str(raw.get("name", "")),
        listen=decode_address(environment.get("NODE_LISTEN") or str(raw.get("listen", "")), 0),
        discovery=discovery,
        named=named or (before.named if before is not None else ""),
        seed=_seed(raw.get("seed", "0")),
        # The system's own limit may be lower: past it, accepting would fail and be tried for ever.
        sockets=min(_whole(raw, "limits.sockets", 1024), resource.getrlimit(resource.RLIMIT_NOFILE)[0]),
        memory_mb=_whole(raw, "limits.memory_mb", 192),
        known=None if known is None else read_endpoint_list(known).complete(),
        settings=read_settings(settings),
        classes={name: index for index, name in enumerate(names)},
        tenants={name: index for index, name in enumerate(_names(settings, "tenants"))},
        deadlines=tuple(
            _whole(profile, "deadline", 10_000 * MILLISECOND) for profile in _dig(settings, "profiles", [])
        ),
        zones=_words(settings, "zones"),
        load_names=_words(settings, "loadInfo.fields"),
        resumes=_dig(settings, "familyInfo.resume", False) is True,
        connect_timeout=_whole(settings, "limits.connectTimeout", 100 * MILLISECOND),
        keepalive=_whole(settings, "limits.keepalive", 10_000 * MILLISECOND, lowest=0),  # 0: none is kept
        operator=decode_address(operator, 0) if operator else None,
    )
