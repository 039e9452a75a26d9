"""Reading the balancer's settings: all keys, the defaults, and errors that name the key."""

from __future__ import annotations

import json
from typing import Any

import pytest

from lockspoke.balancing.settings import DeduplicationScope, Idempotency, Tenant
from lockspoke.balancing.settings_reader import SettingsError
from lockspoke.simulator.decoder import decode_settings
from tests.simulator.test_codec import MINIMAL_SETTINGS


def with_value(path: str, value: Any) -> bytes:
    settings = json.loads(json.dumps(MINIMAL_SETTINGS))
    *parents, key = path.split(".")
    parent = settings
    for step in parents:
        parent = parent[int(step)] if isinstance(parent, list) else parent.setdefault(step, {})
    if value is None:
        del parent[key]
    else:
        parent[key] = value
    return json.dumps(settings).encode()


@pytest.mark.parametrize(
    ("text", "key"),
    [
        (b"{", "not JSON"),
        (b"[]", "JSON object"),
        (with_value("profiles", []), "profiles"),
        (with_value("profiles.0.effect", "sometimes"), "effect"),
        (with_value("profiles.0.effect", "guarded"), "dedupScope"),
        (with_value("limits.attemptsCap", None), "limits.attemptsCap"),
        (with_value("limits.attemptsCap", 0), "limits.attemptsCap"),
        (with_value("limits.mayDuplicate", None), "limits.mayDuplicate"),
        (with_value("limits.mayDuplicate", 1), "limits.mayDuplicate"),
        (with_value("contract.coldShare", 1.5), "contract.coldShare"),
        (with_value("contract.warmUp", "soon"), "contract.warmUp"),
        (with_value("contract.fall", None), "contract.fall"),
        (with_value("discovery", "subscribe"), "contract.askEvery"),
        (with_value("tenants", ["a"]), "tenants"),
    ],
)
def test_errors_of_invalid_settings_name_the_key(text: bytes, key: str) -> None:
    with pytest.raises(SettingsError, match=key):
        decode_settings(text)


def test_required_settings_and_unknown_keys() -> None:
    settings = decode_settings(with_value("brandNew", {"x": [1]}))
    assert settings.tenants == () and settings.gateway_count == 1


def test_all_settings() -> None:
    full = json.loads(with_value("limits.retryAfter", True))
    full["limits"] |= {"maxRetryAfter": 2000, "probes": True, "peers": True, "cancel": True}
    full["discovery"], full["contract"]["askEvery"] = "subscribe", 10_000
    full["familyInfo"] = {"aimUsPer1000PromptTokens": [60000.0], "resume": True, "tokenAim": [60]}
    full["profiles"] = [{"effect": "guarded", "dedupScope": "cell", "window": 9, "aim": 4, "stream": True}]
    full["tenants"] = [{"name": "a", "share": 0.5, "quotaPerS": 2}]
    full["loadInfo"] = {"fields": ["rif", "x0"], "via": "pull"}
    full["weights"], full["peersTotal"], full["prices"] = "live", 4, {"crossZone": 0.02}
    settings = decode_settings(json.dumps(full).encode())
    request_class = settings.classes[0]
    assert request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    assert request_class.deduplication_scope is DeduplicationScope.CELL
    assert request_class.deduplication_window == 9
    # 60,000 us per 1,000 tokens are as many ns per token.
    assert request_class.latency_objective_per_token == 60_000.0
    assert settings.polls_endpoint_list and settings.poll_interval == 10_000
    assert settings.tenants == (Tenant(0.5),)
    assert settings.utilization_field is None
    full["loadInfo"] = {"fields": ["rif", "busy"], "via": "pull"}
    assert decode_settings(json.dumps(full).encode()).utilization_field is None, (
        "reported to health checks only"
    )
    full["loadInfo"]["via"] = "piggyback"
    assert decode_settings(json.dumps(full).encode()).utilization_field == 1
    assert settings.gateway_count == 4 and settings.cross_zone_cost == 0.02
