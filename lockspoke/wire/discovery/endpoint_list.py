"""Decodes endpoint lists, without any input or output.

An entry that cannot be decoded does not affect the others: its replica keeps the state that it had.
"""

from __future__ import annotations

import json
import math
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica_set import UNKNOWN_VERSION, EndpointListReplica, ReplicaListUpdate

STATES = {"up": ReplicaState.READY, "draining": ReplicaState.DRAINING, "removed": ReplicaState.REMOVED}


class EndpointListError(ValueError):
    """A list, or an entry of it, cannot be decoded; the message names the field and its value."""


@dataclass(frozen=True, slots=True)
class EndpointListResponse:
    """The update from the entries of a list that could be decoded, and the errors in the others."""

    update: ReplicaListUpdate
    errors: tuple[str, ...] = ()  # Each message names the field of an entry.

    def require_complete(self) -> ReplicaListUpdate:
        """Return the update; raise EndpointListError if any entry could not be decoded."""
        if self.errors:
            raise EndpointListError(self.errors[0])
        return self.update


def decode_endpoint_list(text: bytes) -> EndpointListResponse:
    """Decode a list from JSON; raise EndpointListError if none of it can be used."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise EndpointListError(f"not JSON: {error}") from None
    return read_endpoint_list(raw)


def read_endpoint_list(raw: Any) -> EndpointListResponse:
    """Read a list from a decoded JSON value; raise EndpointListError if none of it can be used."""
    if not isinstance(raw, dict):
        raise EndpointListError("want an object")
    version, complete, targets = raw.get("rev"), raw.get("all"), raw.get("targets")
    if isinstance(version, bool) or not isinstance(version, int) or version < 0:
        raise EndpointListError(f"rev is {version!r}")
    if not isinstance(complete, bool) or not isinstance(targets, list):
        raise EndpointListError("all or targets is missing")
    reader = _EntryReader(complete)
    for index, target in enumerate(targets):
        reader.read(target, index)
    if reader.complete:
        reader.drop_duplicates()
    update = ReplicaListUpdate(
        version, reader.complete, tuple(reader.entries), frozenset(reader.unreadable_uids)
    )
    return EndpointListResponse(update, tuple(reader.errors))


def without_ready_replicas(update: ReplicaListUpdate) -> ReplicaListUpdate:
    """Return only the drains and removals of an update, which make no replica eligible for requests."""
    entries = tuple(entry for entry in update.entries if entry.state != ReplicaState.READY)
    return replace(update, version=UNKNOWN_VERSION, complete=False, entries=entries)


def decode_address(text: str, min_port: int = 1) -> tuple[str, int]:
    """Decode `host:port`; raise EndpointListError for another form or a port out of range."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and min_port <= int(port) < 65536):
        raise EndpointListError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


class _EntryReader:
    """Collects the entries of one list and the errors in it."""

    def __init__(self, complete: bool) -> None:
        self.complete = complete  # Whether a replica that is not listed counts as removed.
        self.entries: list[EndpointListReplica] = []
        self.errors: list[str] = []
        self.unreadable_uids: set[str] = set()

    def read(self, target: Any, index: int) -> None:
        """Read the entry at an index of the list."""
        try:
            self.entries.append(_decode_entry(target, index))
        except EndpointListError as error:
            self.errors.append(str(error))
            self._add_unreadable(target)

    def _add_unreadable(self, target: Any) -> None:
        """Collect the uid and the state of an entry that could not be decoded, if they are valid."""
        uid = _entry_uid(target)
        if uid is None:
            # The entry may be that of any replica, so a replica that is not listed may still exist.
            self.complete = False
            return
        state = STATES.get(str(target.get("state")), ReplicaState.READY)
        if state is ReplicaState.READY:
            self.unreadable_uids.add(uid)
        else:
            # Whatever the error is, the replica must not get new requests.
            self.entries.append(EndpointListReplica(uid, state, endpoint=None))

    def drop_duplicates(self) -> None:
        """Drop the ready entries of replicas that are listed more than once; drains and removals stay."""
        counts = Counter(entry.uid for entry in self.entries)
        duplicates = [uid for uid, count in counts.items() if count > 1]
        self.entries = [
            entry
            for entry in self.entries
            if entry.uid not in duplicates or entry.state != ReplicaState.READY
        ]
        self.errors += [f"targets: uid {uid!r} is listed twice; name each replica once" for uid in duplicates]
        self.unreadable_uids.update(duplicates)


def _entry_uid(target: Any) -> str | None:
    """Return the uid of an entry, even if other fields cannot be decoded."""
    uid = target.get("uid") if isinstance(target, dict) else None
    return uid if isinstance(uid, str) and uid else None


def _decode_entry(target: Any, index: int) -> EndpointListReplica:
    if not isinstance(target, dict):
        raise EndpointListError(f"targets[{index}] is {target!r}")
    uid, state_name = _text_field(target, "uid", index), _text_field(target, "state", index)
    state = STATES.get(state_name)
    if state is None:
        raise EndpointListError(f"targets[{index}].state is {state_name!r}; it can be {', '.join(STATES)}")
    # A removed replica may have no address any more; any other replica must have one.
    endpoint = (
        None if state is ReplicaState.REMOVED else decode_address(_text_field(target, "endpoint", index))
    )
    zone, machine_kind = target.get("az", ""), target.get("model", "")
    return EndpointListReplica(
        uid=uid,
        state=state,
        endpoint=endpoint,
        zone=zone if isinstance(zone, str) else "",
        cell=int(_number_field(target, "pod_group", 0, index)),
        weight=float(_number_field(target, "capacity_hint", 1.0, index)),
        boot_ms=int(_number_field(target, "boot_ms", 0, index)),
        machine_kind=machine_kind if isinstance(machine_kind, str) else "",
    )


def _text_field(target: dict[str, Any], name: str, index: int) -> str:
    """Return a required field, whose value must be a string that is not empty."""
    value = target.get(name)
    if not isinstance(value, str) or not value:
        raise EndpointListError(f"targets[{index}].{name} is {value!r}")
    return value


def _number_field(target: dict[str, Any], name: str, default: float, index: int) -> float:
    """Return an optional field, whose value must be a finite number that is not negative."""
    value = target.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
        raise EndpointListError(f"targets[{index}].{name} is {value!r}")
    return value
