"""The one table from the log's names at the recording to its names now.

`data/log_lines.json` and the golden files hold the names of the recording. Where an event, a field or a
named value of the log is renamed on purpose, it gets a row here, and a page of the change says so; the
recorded files stay as they are.
"""

from __future__ import annotations

from typing import Any

# By event at the recording, its name now.
EVENTS: dict[str, str] = {
    "bans_not_kept": "bans_write_failed",
    "bans_not_read": "bans_read_failed",
    "discovery_back": "discovery_recovered",
    "discovery_silent": "discovery_watch_lost",
    "discovery_went_back": "discovery_version_regressed",
    "operator_call": "operator_request",
    "registry_changed": "endpoint_list_changed",
    "reload_refused": "reload_rejected",
}
# By field at the recording, its name now.
FIELDS: dict[str, str] = {
    "bad_lines": "invalid_lines",
    "calls": "requests",
    "list_failed": "endpoint_list_polls_failed",
    "open": "open_lines",
    "open_calls": "open_requests",
    "spoilt": "malformed_responses",
}
# By event and field at the recording, the field's name now, where other events keep the field's name.
FIELDS_OF_EVENTS: dict[tuple[str, str], str] = {
    ("discovery_went_back", "asked"): "requested_version",
    ("listening", "workers"): "replicas",
    ("operator_call", "asked"): "command",
    ("operator_call", "worker"): "replica",
    ("registry_changed", "whole"): "complete",
    ("totals", "workers"): "replica_connections",
}
VALUES: dict[tuple[str, str], str] = {}  # by field and word at the recording, the word now


def event_now(event: str) -> str:
    """What an event of the recording is called now."""
    return EVENTS.get(event, event)


def field_now(field: str) -> str:
    """What a field of the recording is called now."""
    return FIELDS.get(field, field)


def value_now(field: str, value: Any) -> Any:
    """What a field's value of the recording is now."""
    return VALUES.get((field, value), value) if isinstance(value, str) else value


def line_now(line: dict[str, Any]) -> dict[str, Any]:
    """A log line of the recording, with its names as they are now."""
    event = line["event"]
    renamed = {
        FIELDS_OF_EVENTS.get((event, field), field_now(field)): value_now(field, value)
        for field, value in line.items()
    }
    assert len(renamed) == len(line), "two fields have one name now"
    return renamed | {"event": event_now(event)}
