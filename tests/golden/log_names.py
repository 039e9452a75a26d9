"""The one table from the log's names at the recording to its names now.

`data/log_lines.json` and the golden files hold the names of the recording. Where an event, a field or a
named value of the log is renamed on purpose, it gets a row here, and a page of the change says so; the
recorded files stay as they are.
"""

from __future__ import annotations

from typing import Any

# By event at the recording, its name now.
EVENTS: dict[str, str] = {
    "registry_changed": "endpoint_list_changed",
    "discovery_back": "discovery_recovered",
    "discovery_silent": "discovery_watch_lost",
    "discovery_went_back": "discovery_version_regressed",
}
FIELDS: dict[str, str] = {}  # by field at the recording, its name now
# By event and field at the recording, the name now of a field that is called otherwise elsewhere.
FIELDS_OF_EVENTS: dict[tuple[str, str], str] = {
    ("registry_changed", "whole"): "complete",
    ("discovery_went_back", "asked"): "requested_version",
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
