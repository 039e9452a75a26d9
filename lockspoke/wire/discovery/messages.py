"""Discovery's protocol: requests for the replica list, and their answers. No socket and no clock."""

from __future__ import annotations

import json
import math
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica_set import UNKNOWN_VERSION, ListedReplica, ReplicaListUpdate
from lockspoke.wire.http.messages import BodyChunk, HttpError, MessageEnd, ResponseHead
from lockspoke.wire.http.response_parser import ResponseParser

LIST_PATH = "/discovery/hosts"
LIST_LIMIT = 4 * 1024 * 1024  # bytes
STATES = {"up": ReplicaState.READY, "draining": ReplicaState.DRAINING, "removed": ReplicaState.REMOVED}


class EndpointListError(ValueError):
    """An answer, or a part of it, that cannot be read; the text names the field and what is wrong."""


@dataclass(frozen=True, slots=True)
class EndpointListRequest:
    """One request for the list."""

    version: int  # for what has changed since; UNKNOWN_VERSION: for the whole list
    hold_ms: int = 0  # for how long discovery may wait for a change

    @property
    def target(self) -> str:
        """Its path and query."""
        if self.version == UNKNOWN_VERSION:
            return LIST_PATH
        return f"{LIST_PATH}?from={self.version}&hold_ms={self.hold_ms}"

    @property
    def waits(self) -> bool:
        """Whether it is a watch: the answer may take as long as nothing changes."""
        return self.version != UNKNOWN_VERSION and self.hold_ms > 0


@dataclass(frozen=True, slots=True)
class EndpointListResponse:
    """What could be read of an answer, and what could not."""

    update: ReplicaListUpdate
    faults: tuple[str, ...] = ()  # each names an entry's field

    def complete(self) -> ReplicaListUpdate:
        """The update; raises ListError if any of it could not be read."""
        if self.faults:
            raise EndpointListError(self.faults[0])
        return self.update


class ResponseReader:
    """Reads one answer from its bytes, cut anywhere."""

    def __init__(self) -> None:
        self.begun = False  # whether any byte has come
        self.reusable = False  # whether the connection can carry another request, once the answer is whole
        self._parser = ResponseParser()
        self._body = bytearray()
        self._head: ResponseHead | None = None

    def feed(self, data: bytes) -> bytes | None:
        """The body once it is whole; raises HttpError, or ListError for a status that brings no list."""
        self.begun = True
        for piece in self._parser.feed(data):
            if isinstance(piece, ResponseHead):
                self._head = piece
            elif isinstance(piece, BodyChunk):
                self._body += piece.data
                if len(self._body) > LIST_LIMIT:
                    raise HttpError(502, f"a list of more than {LIST_LIMIT} bytes")
            elif isinstance(piece, MessageEnd) and self._head is not None:
                self.reusable = self._head.keep_alive and self._parser.ended_cleanly
                if self._head.status != 200:
                    raise EndpointListError(f"status {self._head.status}")
                return bytes(self._body)
        return None


def decode_endpoint_list(text: bytes) -> EndpointListResponse:
    """Read the body of an answer; raises ListError where nothing of it can be used."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise EndpointListError(f"not JSON: {error}") from None
    return read_endpoint_list(raw)


def read_endpoint_list(raw: Any) -> EndpointListResponse:
    """Read a list that has been decoded from JSON already; an entry that cannot be read costs no other one.

    What an unreadable entry speaks of stays as it is. Where it does not even name a replica, nothing can be
    concluded from a replica's absence, so such a list counts as changes only.
    """
    if not isinstance(raw, dict):
        raise EndpointListError("want an object")
    version, whole, targets = raw.get("rev"), raw.get("all"), raw.get("targets")
    if isinstance(version, bool) or not isinstance(version, int) or version < 0:
        raise EndpointListError(f"rev is {version!r}")
    if not isinstance(whole, bool) or not isinstance(targets, list):
        raise EndpointListError("all or targets is missing")
    entries: list[ListedReplica] = []
    faults: list[str] = []
    unread: set[str] = set()
    for at, target in enumerate(targets):
        try:
            entries.append(_entry(target, at))
        except EndpointListError as error:
            faults.append(str(error))
            uid = _uid(target)
            if uid is None:
                whole = False
            elif (
                state := STATES.get(str(target.get("state")), ReplicaState.READY)
            ) is not ReplicaState.READY:
                entries.append(
                    ListedReplica(uid, state, endpoint=None)
                )  # whatever else it says: nothing new goes there
            else:
                unread.add(uid)
    if whole:
        entries, twice = _without_contradictions(entries)
        faults += [f"targets: uid {uid!r} is listed twice; name each replica once" for uid in twice]
        unread.update(twice)
    update = ReplicaListUpdate(version, whole, tuple(entries), frozenset(unread))
    return EndpointListResponse(update, tuple(faults))


def out_of_use_only(update: ReplicaListUpdate) -> ReplicaListUpdate:
    """The part of an update that can lead to no send: drains and removals that it names."""
    entries = tuple(entry for entry in update.entries if entry.state != ReplicaState.READY)
    return replace(update, version=UNKNOWN_VERSION, complete=False, entries=entries)


def _without_contradictions(entries: list[ListedReplica]) -> tuple[list[ListedReplica], list[str]]:
    """A whole list's entries, and the uids named twice: of these only what takes them out of use is kept."""
    twice = [uid for uid, count in Counter(entry.uid for entry in entries).items() if count > 1]
    return [entry for entry in entries if entry.uid not in twice or entry.state != ReplicaState.READY], twice


def _number(target: dict[str, Any], name: str, default: float, at: int) -> float:
    value = target.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
        raise EndpointListError(f"targets[{at}].{name} is {value!r}")
    return value


def _text(target: dict[str, Any], name: str, at: int) -> str:
    value = target.get(name)
    if not isinstance(value, str) or not value:
        raise EndpointListError(f"targets[{at}].{name} is {value!r}")
    return value


def decode_address(text: str, lowest: int = 1) -> tuple[str, int]:
    """A host and a port, written with a colon between them."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and lowest <= int(port) < 65536):
        raise EndpointListError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


def _uid(target: Any) -> str | None:
    """The replica that an entry names, whatever else of it can't be read."""
    uid = target.get("uid") if isinstance(target, dict) else None
    return uid if isinstance(uid, str) and uid else None


def _entry(target: Any, at: int) -> ListedReplica:
    if not isinstance(target, dict):
        raise EndpointListError(f"targets[{at}] is {target!r}")
    uid, named = _text(target, "uid", at), _text(target, "state", at)
    state = STATES.get(named)
    if state is None:
        raise EndpointListError(f"targets[{at}].state is {named!r}; it can be {', '.join(STATES)}")
    # An entry that is gone may have lost its address; every other must have one.
    endpoint = None if state is ReplicaState.REMOVED else decode_address(_text(target, "endpoint", at))
    zone, kind = target.get("az", ""), target.get("model", "")
    return ListedReplica(
        uid=uid,
        state=state,
        endpoint=endpoint,
        zone=zone if isinstance(zone, str) else "",
        cell=int(_number(target, "pod_group", 0, at)),
        weight=float(_number(target, "capacity_hint", 1.0, at)),
        boot_ms=int(_number(target, "boot_ms", 0, at)),
        machine_kind=kind if isinstance(kind, str) else "",
    )
