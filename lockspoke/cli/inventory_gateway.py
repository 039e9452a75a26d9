"""`lockspoke inventory status`, `accept` and `watch`: commands beside a running gateway."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click

from lockspoke.inventory import reports, store
from lockspoke.inventory.decisions import Decision
from lockspoke.inventory.files import file_signature, watched_folders
from lockspoke.inventory.model import ReplicaRecord
from lockspoke.inventory.parse_cache import ParseCache
from lockspoke.inventory.problems import Problem
from lockspoke.inventory.reconciler import Reconciler
from lockspoke.inventory.store import ACCEPT_NAME, STATUS_NAME

from .inventory_options import InventoryReader, inventory_reader, paths_argument, reading_options
from .output import console, print_decisions, print_replicas, problem_style, source_texts

POLL_MS = 500  # between two polls of the files
NOTIFICATION_STEP_MS = 10
NOTIFICATION_DEBOUNCE_MS = 50


def _status_folder(edge: Path | None, keep: Path | None) -> Path:
    if keep is not None:
        return keep
    if edge is None:
        raise click.UsageError("name --edge or --keep")
    settings = inventory_reader(edge).settings
    if not settings.keep:
        raise click.UsageError(f"{edge}: inventory.keep names no folder, so the gateway leaves no status")
    return Path(settings.keep)


@click.command()
@click.option("--edge", type=click.Path(path_type=Path), help="the gateway's edge file")
@click.option("--keep", type=click.Path(path_type=Path), help="the folder that inventory.keep names there")
@click.option("--json", "as_json", is_flag=True, help="as JSON")
def status(edge: Path | None, keep: Path | None, as_json: bool) -> int:
    """Show how each host stands at a running gateway, what it holds against the files, and why.

    Exits 0 if nothing is held, 1 if something is, 2 where there is no status.

    \b
    Example:
      lockspoke inventory status --edge deploy/edge.toml
    """
    path = _status_folder(edge, keep) / STATUS_NAME
    try:
        status_document = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise click.UsageError(f"{path}: {error}") from None
    held = {row["name"]: row["held"] for row in status_document["workers"] if row["held"]}
    if as_json:
        click.echo(json.dumps(status_document, indent=2))
        return 1 if held or status_document["guard"] or status_document["kept_out"] else 0
    age = max(0.0, time.time() - status_document["at_ms"] / 1000)
    click.echo(
        f"written {age:.0f} s ago by process {status_document['pid']}; files {status_document['fingerprint']}"
    )
    click.echo(f"{status_document['problems']} problems in them")
    fields = ("name", "host", "port", "zone", "kind", "cell", "weight", "state")
    replicas = [
        ReplicaRecord(**{name: row[name] for name in fields}, labels=tuple(row["labels"].items()))
        for row in status_document["workers"]
    ]
    print_replicas(replicas, held)
    for name, reason in status_document["kept_out"].items():
        click.echo(f"kept out {name}: {reason}")
    if status_document["guard"]:
        click.echo(f"{status_document['guard']['hosts']} removals wait; to take them:")
        click.echo(f"  lockspoke inventory accept {status_document['guard']['accept']}")
    return 1 if held or status_document["guard"] or status_document["kept_out"] else 0


@click.command()
@click.argument("fingerprint")
@click.option("--edge", type=click.Path(path_type=Path), help="the gateway's edge file")
@click.option("--keep", type=click.Path(path_type=Path), help="the folder that inventory.keep names there")
def accept(fingerprint: str, edge: Path | None, keep: Path | None) -> None:
    """Accept a mass removal that a gateway holds, by the fingerprint that its log and status name.

    It counts for the files as they are now: another change of them needs another word.
    """
    if not fingerprint.isalnum():
        raise click.UsageError(f"{fingerprint!r} is no fingerprint")
    folder = _status_folder(edge, keep)
    try:
        store.write_atomically(folder, fingerprint.encode(), ACCEPT_NAME)
    except OSError as error:
        raise click.UsageError(f"{folder}: {error}") from None
    click.echo(f"left for the gateway in {folder}")


@click.command()
@paths_argument
@reading_options
@click.option("--json", "as_json", is_flag=True, help="a JSON object a line")
@click.option("--rounds", type=click.IntRange(0), default=0, help="end after so many reads; 0: on Ctrl-C")
def watch(paths: tuple[Path, ...], as_json: bool, rounds: int, **options: Any) -> int:
    """Watch sources as a gateway does and print what it would decide, as they change.

    \b
    Example:
      lockspoke inventory watch inventory/ --kind gen-a --kind gen-b
    """
    # Imported here, as it takes long and no other command needs it.
    from watchfiles import watch as watch_files  # noqa: PLC0415 - see above

    reader = inventory_reader(paths=paths, **options)
    paths = paths or reader.paths
    preview = _Preview(reader, paths, as_json)
    last_signature = file_signature(paths)
    preview.read()
    reads = 1
    if reads == rounds:
        return 0
    # Notifications begin only when the first one is waited for: polling finds what changed before.
    for _ in watch_files(
        *watched_folders(paths),
        step=NOTIFICATION_STEP_MS,
        debounce=NOTIFICATION_DEBOUNCE_MS,
        recursive=False,
        rust_timeout=POLL_MS,
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
    """Reads sources again and again, and prints what a gateway would decide."""

    def __init__(self, reader: InventoryReader, paths: tuple[Path, ...], as_json: bool) -> None:
        self.reader = reader
        self.paths = paths
        self.as_json = as_json
        self.reconciler = Reconciler(reader.settings.reconcile_policy())
        self.cache = ParseCache()
        self.reported: set[Problem] = set()

    def read(self) -> None:
        """Read the sources and print what is new."""
        snapshot = self.reader.read(self.paths, self.cache).snapshot
        decisions = self.reconciler.step(snapshot, time.time_ns() // 1_000_000).decisions
        new = [problem for problem in snapshot.problems if problem not in self.reported]
        self.reported = set(snapshot.problems)
        if self.as_json:
            self._print_json(new, decisions)
            return
        if new:
            click.echo(reports.as_text(new, source_texts(self.paths), problem_style(console())))
        print_decisions(decisions)
        summary = reports.summary(len(self.reconciler.known), snapshot.problems)
        click.echo(f"{time.strftime('%H:%M:%S')} {summary}")

    def _print_json(self, problems: Sequence[Problem], decisions: Sequence[Decision]) -> None:
        line = {
            "workers": len(self.reconciler.known),
            "problems": list(map(reports.problem_json, problems)),
            "decisions": [one.as_json() for one in decisions],
        }
        click.echo(json.dumps(line))
