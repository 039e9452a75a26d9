"""The commands `lockspoke inventory status`, `accept` and `watch`.

The first two use the folder `inventory.keep` of a running gateway; `watch` needs no gateway and shows what
one would decide.
"""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click

from lockspoke.inventory import reports, store
from lockspoke.inventory.decisions import Decision
from lockspoke.inventory.files import file_signature
from lockspoke.inventory.model import ReplicaRecord
from lockspoke.inventory.parse_cache import ParseCache
from lockspoke.inventory.problems import Problem
from lockspoke.inventory.reconciler import Reconciler
from lockspoke.inventory.store import ACCEPT_NAME, STATUS_NAME
from lockspoke.inventory.watched_folders import WatchedFolders

from .inventory_options import InventoryReader, inventory_reader, paths_argument, reading_options
from .output import console, print_decisions, print_replicas, problem_style, source_texts

POLL_INTERVAL_MS = 500  # time between two polls of the files
NOTIFICATION_STEP_MS = 10
NOTIFICATION_DEBOUNCE_MS = 50


def _status_folder(edge: Path | None, keep: Path | None) -> Path:
    if keep is not None:
        return keep
    if edge is None:
        raise click.UsageError("--edge or --keep is required")
    settings = inventory_reader(edge).settings
    if not settings.keep:
        raise click.UsageError(f"{edge}: inventory.keep is not set, so the gateway writes no status")
    return Path(settings.keep)


@click.command()
@click.option("--edge", type=click.Path(path_type=Path), help="the gateway's edge file")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="the folder set in inventory.keep, instead of --edge"
)
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def status(edge: Path | None, keep: Path | None, as_json: bool) -> int:
    """Show the state of each host at a running gateway, and where and why it differs from the files.

    Exits with 0 if nothing is held or kept out, 1 if something is, and 2 if there is no status.

    \b
    Example:
      lockspoke inventory status --edge deploy/edge.toml
    """
    path = _status_folder(edge, keep) / STATUS_NAME
    try:
        status_document = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise click.UsageError(f"{path}: {error}") from None
    deferral_reasons = {row["name"]: row["held"] for row in status_document["workers"] if row["held"]}
    if as_json:
        click.echo(json.dumps(status_document, indent=2))
        return 1 if deferral_reasons or status_document["guard"] or status_document["kept_out"] else 0
    age_seconds = max(0.0, time.time() - status_document["at_ms"] / 1000)
    click.echo(
        f"written {age_seconds:.0f} s ago by process {status_document['pid']}; "
        f"fingerprint {status_document['fingerprint']}"
    )
    click.echo(f"{status_document['problems']} problems in the files")
    fields = ("name", "host", "port", "zone", "kind", "cell", "weight", "state")
    replicas = [
        ReplicaRecord(**{name: row[name] for name in fields}, labels=tuple(row["labels"].items()))
        for row in status_document["workers"]
    ]
    print_replicas(replicas, deferral_reasons)
    for name, reason in status_document["kept_out"].items():
        click.echo(f"kept out {name}: {reason}")
    if status_document["guard"]:
        click.echo(f"{status_document['guard']['hosts']} removals are held back; to accept them:")
        click.echo(f"  lockspoke inventory accept {status_document['guard']['accept']}")
    return 1 if deferral_reasons or status_document["guard"] or status_document["kept_out"] else 0


@click.command()
@click.argument("fingerprint")
@click.option("--edge", type=click.Path(path_type=Path), help="the gateway's edge file")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="the folder set in inventory.keep, instead of --edge"
)
def accept(fingerprint: str, edge: Path | None, keep: Path | None) -> None:
    """Accept a mass removal that a gateway holds back, by the fingerprint in its log and status.

    This applies to the files as they are now: after a further change, accept the new fingerprint.
    """
    if not fingerprint.isalnum():
        raise click.UsageError(f"{fingerprint!r} is not a fingerprint")
    folder = _status_folder(edge, keep)
    try:
        store.write_atomically(folder, fingerprint.encode(), ACCEPT_NAME)
    except OSError as error:
        raise click.UsageError(f"{folder}: {error}") from None
    click.echo(f"acceptance for the gateway written to {folder}")


@click.command()
@paths_argument
@reading_options
@click.option("--json", "as_json", is_flag=True, help="print one JSON object per line")
@click.option(
    "--rounds", type=click.IntRange(0), default=0, help="exit after this many reads; 0: run until Ctrl-C"
)
def watch(paths: tuple[Path, ...], as_json: bool, rounds: int, **options: Any) -> int:
    """Watch sources as a gateway does, and print what it would decide at each change.

    \b
    Example:
      lockspoke inventory watch inventory/ --kind gen-a --kind gen-b
    """
    # Imported here because it is slow to import and no other command needs it.
    from watchfiles import watch as watch_files  # noqa: PLC0415 - see above

    reader = inventory_reader(paths=paths, **options)
    paths = paths or reader.paths
    preview = _Preview(reader, paths, as_json)
    last_signature = file_signature(paths)
    preview.read()
    reads = 1
    if reads == rounds:
        return 0
    # File notifications start only with the first wait; polling finds changes made before that.
    for _ in watch_files(
        *WatchedFolders(paths).by_path,
        step=NOTIFICATION_STEP_MS,
        debounce=NOTIFICATION_DEBOUNCE_MS,
        recursive=False,
        rust_timeout=POLL_INTERVAL_MS,
        yield_on_timeout=True,
    ):
        signature = file_signature(paths)
        if signature == last_signature:
            continue
        last_signature, reads = signature, reads + 1
        preview.read()
        if reads == rounds:
            break
    return 0


class _Preview:
    """Reads sources repeatedly and prints what a gateway would decide."""

    def __init__(self, reader: InventoryReader, paths: tuple[Path, ...], as_json: bool) -> None:
        self.reader = reader
        self.paths = paths
        self.as_json = as_json
        self.reconciler = Reconciler(reader.settings.reconcile_policy())
        self.cache = ParseCache()
        self.reported: set[Problem] = set()

    def read(self) -> None:
        """Read the sources and print new problems and decisions."""
        snapshot = self.reader.read(self.paths, self.cache).snapshot
        decisions = self.reconciler.reconcile(snapshot, time.time_ns() // 1_000_000).decisions
        new_problems = [problem for problem in snapshot.problems if problem not in self.reported]
        self.reported = set(snapshot.problems)
        if self.as_json:
            self._print_json(new_problems, decisions)
            return
        if new_problems:
            click.echo(reports.as_text(new_problems, source_texts(self.paths), problem_style(console())))
        print_decisions(decisions)
        summary = reports.summary(len(self.reconciler.known), snapshot.problems)
        click.echo(f"{time.strftime('%H:%M:%S')} {summary}")

    def _print_json(self, problems: Sequence[Problem], decisions: Sequence[Decision]) -> None:
        document = {
            "workers": len(self.reconciler.known),
            "problems": list(map(reports.problem_json, problems)),
            "decisions": [decision.as_json() for decision in decisions],
        }
        click.echo(json.dumps(document))
