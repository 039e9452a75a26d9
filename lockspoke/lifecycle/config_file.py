"""Reads a gateway's configuration from environment variables and the JSON file that NODE_CONFIG names."""

from __future__ import annotations

import json
import resource
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from lockspoke.balancing.settings_reader import read_settings
from lockspoke.units import MILLISECOND
from lockspoke.wire.discovery.endpoint_list import decode_address, read_endpoint_list

from .config import ConfigError, GatewayConfig, InvalidValueError

MAX_NUMBER = 2**63
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
DEFAULT_DEADLINE = 10_000 * MILLISECOND
DEFAULT_CONNECT_TIMEOUT = 100 * MILLISECOND
DEFAULT_KEEPALIVE = 10_000 * MILLISECOND

# The keys without which a reload takes nothing, beside those that the balancer's settings require.
REQUIRED_PATHS = ("limits", "settings.discovery")
CLASS_KEYS = ("name", "deadline")

Json = Any  # any JSON value


def read_config(environment: Mapping[str, str], current: GatewayConfig | None = None) -> GatewayConfig:
    """Read the file that NODE_CONFIG names; other environment variables take precedence over its keys.

    On a reload the file has to be complete: an incomplete one may still be being written.

    Args:
        environment: The environment variables of the process.
        current: On a reload, the current configuration. If the discovery address in the file has changed, it
            then takes precedence over the variable, because the environment of a running process can't be
            updated.

    Raises:
        ConfigError: The file can't be read, a value is invalid, or a key is missing.
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
        config = _gateway_config(raw, environment, current)
        if current is not None:
            _check_complete(raw)
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        # Values of an unexpected type can raise any of these, and a reload must never end the program.
        raise ConfigError(f"{path}: {error}") from None
    return config


def _check_complete(raw: dict[str, Json]) -> None:
    """Check that no key is missing for which a default would take the place of what is in force.

    Raises:
        ConfigError: A key is missing; the message names it.
    """
    profiles = _value_at(raw, "settings.profiles", [])
    class_keys = [(profile, index, key) for index, profile in enumerate(profiles) for key in CLASS_KEYS]
    missing = [path for path in REQUIRED_PATHS if _value_at(raw, path, None) is None]
    missing += [
        f"settings.profiles[{index}].{key}"
        for profile, index, key in class_keys
        if _value_at(profile, key, None) is None
    ]
    if missing:
        raise ConfigError(f"{missing[0]} is missing")


def _gateway_config(
    raw: dict[str, Json], environment: Mapping[str, str], current: GatewayConfig | None
) -> GatewayConfig:
    settings = _value_at(raw, "settings", {})
    class_names = _names_of(settings, "profiles")
    known = raw.get("known")
    discovery_in_file = str(raw.get("discovery") or "")
    discovery = _discovery_address(discovery_in_file, environment, current)
    operator = environment.get("NODE_OPERATOR") or str(raw.get("operator") or "")
    return GatewayConfig(
        name=environment.get("NODE_NAME") or str(raw.get("name", "")),
        listen=decode_address(environment.get("NODE_LISTEN") or str(raw.get("listen", "")), 0),
        discovery=discovery,
        discovery_in_file=discovery_in_file or (current.discovery_in_file if current is not None else ""),
        seed=_seed(raw.get("seed", "0")),
        sockets=_max_sockets(raw),
        memory_mb=_integer_at(raw, "limits.memory_mb", DEFAULT_MEMORY_MB),
        initial_list=None if known is None else read_endpoint_list(known).require_complete(),
        settings=read_settings(settings),
        classes=_indexes(class_names),
        tenants=_indexes(_names_of(settings, "tenants")),
        deadlines=_deadlines(settings),
        zones=_strings_at(settings, "zones"),
        load_report_fields=_strings_at(settings, "loadInfo.fields"),
        clients_resume_streams=_value_at(settings, "familyInfo.resume", False) is True,
        connect_timeout=_integer_at(settings, "limits.connectTimeout", DEFAULT_CONNECT_TIMEOUT),
        keepalive=_integer_at(settings, "limits.keepalive", DEFAULT_KEEPALIVE, minimum=0),
        operator=decode_address(operator, 0) if operator else None,
    )


def _discovery_address(
    in_file: str, environment: Mapping[str, str], current: GatewayConfig | None
) -> tuple[str, int] | None:
    if current is None:
        text = environment.get("NODE_DISCOVERY") or in_file
    elif in_file in ("", current.discovery_in_file):
        return current.discovery
    else:
        text = in_file
    return decode_address(text) if text else None


def _max_sockets(raw: Json) -> int:
    # The system's own limit may be lower. Beyond it, accept() would fail and be retried forever.
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return min(_integer_at(raw, "limits.sockets", DEFAULT_SOCKETS), system_limit)


def _deadlines(settings: Json) -> tuple[int, ...]:
    profiles = _value_at(settings, "profiles", [])
    return tuple(_integer_at(profile, "deadline", DEFAULT_DEADLINE) for profile in profiles)


def _seed(value: Json) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(value)
    except (TypeError, ValueError):
        raise InvalidValueError("seed", value, "a hexadecimal number") from None


def _value_at(raw: Json, path: str, default: Json) -> Json:
    """Return the value at a dotted path of keys; the default if a key is missing or null."""
    for key in path.split("."):
        raw = raw.get(key) if isinstance(raw, dict) else None
    return default if raw is None else raw


def _strings_at(raw: Json, path: str) -> tuple[str, ...]:
    value = _value_at(raw, path, [])
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise InvalidValueError(path, value, "a list of names")
    return tuple(value)


def _integer_at(raw: Json, path: str, default: int, minimum: int = 1) -> int:
    value = _value_at(raw, path, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= MAX_NUMBER:
        raise InvalidValueError(path, value, f"a number from {minimum} to {MAX_NUMBER:g}")
    return int(value)


def _names_of(settings: Json, path: str) -> list[str]:
    """Return the names of the objects in a list, in the order of the list."""
    items = _value_at(settings, path, [])
    return [str(item.get("name", "")) if isinstance(item, dict) else "" for item in items]


def _indexes(names: list[str]) -> dict[str, int]:
    return {name: index for index, name in enumerate(names)}
