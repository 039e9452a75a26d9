"""Reads balancer settings from a parsed JSON document, such as the gateway's configuration file.

Keys are given by their path, as in `limits.attemptsCap`. Unknown keys are ignored.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any, TypeVar

from .settings import BalancerSettings, DeduplicationScope, Idempotency, RequestClass, Tenant

IDEMPOTENCY_BY_SETTING = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENT_WITH_KEY,
    "single_shot": Idempotency.NOT_IDEMPOTENT,
}
SCOPE_BY_SETTING = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
DEFAULT_LATENCY_OBJECTIVE = 1_000_000_000
DEFAULT_POLL_INTERVAL = 10_000_000_000
MAX_NUMBER = 2**63
UTILIZATION_NAME = "busy"  # The name of the load report's field that holds the utilization.

MemberT = TypeVar("MemberT", bound=Enum)
Document = Mapping[str, Any]


class SettingsError(ValueError):
    """The settings lack a required key or have an invalid value; the message names the key."""


def read_settings(document: object) -> BalancerSettings:
    """Return the settings in a parsed JSON document.

    Raises:
        SettingsError: A required key is missing, or a value is of the wrong type or out of range.
    """
    if not isinstance(document, dict):
        raise SettingsError("settings: want a JSON object")
    profiles = _list(document, "profiles")
    if not profiles:
        raise SettingsError("settings: profiles is missing or empty")
    polls = _value_at(document, "discovery") == "subscribe"
    tenants = tuple(_tenant(tenant, index) for index, tenant in enumerate(_list(document, "tenants")))
    return BalancerSettings(
        classes=tuple(_request_class(profile, index, document) for index, profile in enumerate(profiles)),
        max_attempts=int(_number(document, "limits.attemptsCap", low=1)),
        hedging_allowed=_flag(document, "limits.mayDuplicate"),
        slow_start_initial_share=float(_number(document, "contract.coldShare", low=0, high=1)),
        slow_start_duration=int(_number(document, "contract.warmUp")),
        overload_multiple=float(_number(document, "contract.fallMultiple")),
        overload_duration=int(_number(document, "contract.fall", low=1)),
        tenants=tenants,
        zone=int(_number(document, "zone", 0)),
        gateway_count=int(_number(document, "peersTotal", 1, low=1)),
        gateway_index=int(_number(document, "index", 0, low=0)),
        polls_endpoint_list=polls,
        utilization_field=_utilization_field(document),
        poll_interval=int(
            _number(document, "contract.askEvery", None if polls else DEFAULT_POLL_INTERVAL, low=1)
        ),
        cross_zone_cost=float(_number(document, "prices.crossZone", 0.0)),
    )


def _request_class(profile: object, index: int, document: Document) -> RequestClass:
    path = f"profiles[{index}]"
    if not isinstance(profile, dict):
        raise SettingsError(f"settings: {path} is {profile!r}, want an object")
    idempotency = _choice(profile, "effect", path, IDEMPOTENCY_BY_SETTING)
    has_key = idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    # Microseconds per 1000 tokens equal nanoseconds per token.
    per_1000_tokens = _list(document, "familyInfo.aimUsPer1000PromptTokens")
    default_scope = None if has_key else DeduplicationScope.ALL
    return RequestClass(
        idempotency=idempotency,
        deduplication_scope=_choice(profile, "dedupScope", path, SCOPE_BY_SETTING, default_scope),
        deduplication_window=int(_number(profile, "window", None if has_key else 0)),
        latency_objective=int(_number(profile, "aim", DEFAULT_LATENCY_OBJECTIVE)),
        latency_objective_per_token=float(per_1000_tokens[index]) if index < len(per_1000_tokens) else 0.0,
    )


def _tenant(tenant: object, index: int) -> Tenant:
    if not isinstance(tenant, dict):
        raise SettingsError(f"settings: tenants[{index}] is {tenant!r}, want an object")
    return Tenant(quota=float(_number(tenant, "share", 0.0)))


def _utilization_field(document: Document) -> int | None:
    """Return the index of the utilization in load reports, if answers carry load reports that contain it."""
    if _value_at(document, "loadInfo.via", "piggyback") != "piggyback":
        return None  # Load is reported to health checks only, and this balancer makes none.
    names = _value_at(document, "loadInfo.fields")
    return names.index(UTILIZATION_NAME) if isinstance(names, list) and UTILIZATION_NAME in names else None


def _value_at(document: Document, path: str, default: object = None) -> Any:
    """Return the value at a path, or the default if it is missing or null."""
    found: Any = document
    for key in path.split("."):
        found = found.get(key) if isinstance(found, dict) else None
        if found is None:
            return default
    return found


def _number(
    document: Document, path: str, default: float | None = None, low: float = 0, high: float = MAX_NUMBER
) -> float:
    """Return the number at a path. Without a default, the key is required."""
    value = _value_at(document, path, default)
    if value is None:
        raise SettingsError(f"settings: {path} is missing")
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise SettingsError(f"settings: {path} is {value!r}, want a number from {low:g} to {high:g}")
    return value


def _flag(document: Document, path: str) -> bool:
    value = _value_at(document, path)
    if value is None:
        raise SettingsError(f"settings: {path} is missing")
    if not isinstance(value, bool):
        raise SettingsError(f"settings: {path} is {value!r}, want true or false")
    return value


def _list(document: Document, path: str) -> list[Any]:
    """Return the list at a path, or an empty one if it is missing."""
    value = _value_at(document, path, [])
    if not isinstance(value, list):
        raise SettingsError(f"settings: {path} is {value!r}, want a list")
    return value


def _choice(
    document: Document,
    key: str,
    path: str,
    choices: Mapping[str, MemberT],
    default: MemberT | None = None,
) -> MemberT:
    """Return the enum member for the string at a key. Without a default, the key is required."""
    value = document.get(key)
    if value is None and default is not None:
        return default
    if not isinstance(value, str) or value not in choices:
        raise SettingsError(f"settings: {path}.{key} is {value!r}, want one of {', '.join(choices)}")
    return choices[value]
