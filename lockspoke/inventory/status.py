"""The status document of a running gateway, which `lockspoke inventory status` shows."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Any

from .decision_log import DecisionLog
from .model import Snapshot
from .reconciler import Reconciler

RECENT_DECISIONS = 20


@dataclass(frozen=True, slots=True)
class LoadedSnapshot:
    """A snapshot, the Unix time at which it was loaded, and how long the loading took."""

    snapshot: Snapshot
    loaded_at_ms: int
    duration_ms: float


def status_document(
    paths: list[str],
    loaded: LoadedSnapshot | None,
    reconciler: Reconciler,
    decisions: DecisionLog,
    now_ms: int,
) -> dict[str, Any]:
    """The state of each host, the reason why any is held, and the latest decisions, as JSON objects."""
    snapshot = loaded.snapshot if loaded is not None else None
    pending = reconciler.pending_removal
    return {
        "at_ms": now_ms,
        "pid": os.getpid(),
        "paths": paths,
        "fingerprint": snapshot.fingerprint if snapshot is not None else "",
        "read_at_ms": loaded.loaded_at_ms if loaded is not None else 0,
        "took_ms": loaded.duration_ms if loaded is not None else 0.0,
        "problems": len(snapshot.problems) if snapshot is not None else 0,
        "doubtful": dict(snapshot.incomplete_sources) if snapshot is not None else {},
        "guard": None
        if pending is None
        else {"since_ms": pending.since_ms, "hosts": pending.hosts, "accept": pending.fingerprint},
        "workers": [
            known.record.as_json() | {"held": known.hold_reason, "boot_ms": known.boot_ms}
            for known in list(reconciler.known.values())  # A copy, as this may run in a thread.
        ],
        "kept_out": dict(reconciler.excluded),
        "decisions": decisions.recent(RECENT_DECISIONS),
    }
