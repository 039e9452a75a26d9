"""Commands of `lockspoke inventory` beside a running gateway: status, accept, watch."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click

from lockspoke.inventory import reports, store
from lockspoke.inventory.files import folders, signature
from lockspoke.inventory.model import WorkerRecord
from lockspoke.inventory.problems import Problem
from lockspoke.inventory.reconcile import Reconciler
from lockspoke.inventory.snapshot import Memory
from lockspoke.inventory.store import ACCEPT_NAME, STATUS_NAME

from .inventory import inventory
from .reading import (
    console,
    looking,
    paths_argument,
    print_decisions,
    print_workers,
    reading_options,
    styled,
    texts,
)

LOOK = 500  # milliseconds between two looks at the files where no notice comes


def _folder(edge: Path | None, keep: Path | None) -> Path:
    if keep is not None:
        return keep
    if edge is None:
        raise click.UsageError("name --edge or --keep")
    settings = looking(edge, (), (), None, None, None, None).settings
    if not settings.keep:
        raise click.UsageError(f"{edge}: inventory.keep names no folder, so the gateway leaves no status")
    return Path(settings.keep)


@inventory.command()
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
    path = _folder(edge, keep) / STATUS_NAME
    try:
        raw = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise click.UsageError(f"{path}: {error}") from None
    held = {row["name"]: row["held"] for row in raw["workers"] if row["held"]}
    if as_json:
        click.echo(json.dumps(raw, indent=2))
        return 1 if held or raw["guard"] or raw["kept_out"] else 0
    age = max(0.0, time.time() - raw["at_ms"] / 1000)
    click.echo(f"written {age:.0f} s ago by process {raw['pid']}; files {raw['fingerprint']}")
    click.echo(f"{raw['problems']} problems in them")
    fields = ("name", "host", "port", "zone", "kind", "cell", "weight", "state")
    workers = [
        WorkerRecord(**{name: row[name] for name in fields}, labels=tuple(row["labels"].items()))
        for row in raw["workers"]
    ]
    print_workers(workers, held)
    for name, reason in raw["kept_out"].items():
        click.echo(f"kept out {name}: {reason}")
    if raw["guard"]:
        click.echo(f"{raw['guard']['hosts']} removals wait; to take them:")
        click.echo(f"  lockspoke inventory accept {raw['guard']['accept']}")
    return 1 if held or raw["guard"] or raw["kept_out"] else 0


@inventory.command()
@click.argument("fingerprint")
@click.option("--edge", type=click.Path(path_type=Path), help="the gateway's edge file")
@click.option("--keep", type=click.Path(path_type=Path), help="the folder that inventory.keep names there")
def accept(fingerprint: str, edge: Path | None, keep: Path | None) -> None:
    """Accept a mass removal that a gateway holds, by the fingerprint that its log and status name.

    It counts for the files as they are now: another change of them needs another word.
    """
    if not fingerprint.isalnum():
        raise click.UsageError(f"{fingerprint!r} is no fingerprint")
    folder = _folder(edge, keep)
    try:
        store.save(folder, fingerprint.encode(), ACCEPT_NAME)
    except OSError as error:
        raise click.UsageError(f"{folder}: {error}") from None
    click.echo(f"left for the gateway in {folder}")


@inventory.command()
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
    from watchfiles import watch as notice

    look = looking(paths=paths, **options)
    paths = paths or look.paths
    reconciler, memory, told = Reconciler(look.settings.caution()), Memory(), set[Problem]()

    def once() -> None:
        snapshot = look.report(paths, memory).snapshot
        decisions = reconciler.step(snapshot, time.time_ns() // 1_000_000).decisions
        new = [one for one in snapshot.problems if one not in told]
        told.clear()
        told.update(snapshot.problems)
        if as_json:
            rows = [{"act": one.act.value, "host": one.host, "reason": one.reason} for one in decisions]
            line = {
                "workers": len(reconciler.known),
                "problems": list(map(reports.problem_json, new)),
                "decisions": rows,
            }
            click.echo(json.dumps(line))
            return
        if new:
            click.echo(reports.as_text(new, texts(paths), styled(console())))
        print_decisions(decisions)
        click.echo(f"{time.strftime('%H:%M:%S')} {reports.summary(len(reconciler.known), snapshot.problems)}")

    seen = signature(paths)
    once()
    count = 1
    if count == rounds:
        return 0
    # The notice begins only when it is first waited for, so what was written until then is seen by a look.
    for _ in notice(
        *folders(paths), step=10, debounce=50, recursive=False, rust_timeout=LOOK, yield_on_timeout=True
    ):
        now = signature(paths)
        if now == seen:
            continue
        seen, count = now, count + 1
        once()
        if count == rounds:
            break
    return 0
