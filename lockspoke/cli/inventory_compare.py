"""`lockspoke inventory diff`, `plan` and `convert`: inventories against each other, and in other formats."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
from rich.markup import escape

from lockspoke.inventory import reports, store, writing
from lockspoke.inventory.decisions import Action, Decision, ReconcilePolicy
from lockspoke.inventory.model import Snapshot
from lockspoke.inventory.reconciler import Reconciler

from .inventory_options import InventoryReader, inventory_reader, paths_argument, reading_options
from .output import console, print_decisions, source_texts


def _read_two(old: Path, new: Path, options: dict[str, Any]) -> tuple[InventoryReader, Snapshot, Snapshot]:
    reader = inventory_reader(paths=(old,), **options)
    return reader, reader.read((old,)).snapshot, reader.read((new,)).snapshot


@click.command()
@click.argument("old", type=click.Path(exists=True, path_type=Path))
@click.argument("new", type=click.Path(exists=True, path_type=Path))
@reading_options
@click.option("--json", "as_json", is_flag=True, help="as JSON")
def diff(old: Path, new: Path, as_json: bool, **options: Any) -> int:
    """Compare the workers of two inventories, whatever their forms.

    Exits 0 if they give the same workers, 1 if not.

    \b
    Example:
      lockspoke inventory diff workers.csv workers.yaml
    """
    _, old_snapshot, new_snapshot = _read_two(old, new, options)
    rows: list[dict[str, Any]] = []
    for name in sorted(old_snapshot.replicas.keys() | new_snapshot.replicas.keys()):
        entry, other = old_snapshot.replicas.get(name), new_snapshot.replicas.get(name)
        if entry == other:
            continue
        left, right = entry.as_json() if entry else {}, other.as_json() if other else {}
        changed = {
            key: [left.get(key), right.get(key)] for key in left | right if left.get(key) != right.get(key)
        }
        sign = "+" if entry is None else "-" if other is None else "~"
        rows.append({"host": name, "sign": sign, "changed": changed})
    if as_json:
        click.echo(json.dumps(rows, indent=2))
        return 1 if rows else 0
    out = console()
    colors = {"+": "green", "-": "red", "~": "cyan"}
    for row in rows:
        parts = [
            f"{key} {was!r} -> {now!r}" for key, (was, now) in row["changed"].items() if row["sign"] == "~"
        ]
        text = f"{row['sign']} {row['host']}" + (f": {', '.join(parts)}" if parts else "")
        out.print(f"[{colors[row['sign']]}]{escape(text)}[/]", soft_wrap=True)
    click.echo(
        f"{len(rows)} of {len(old_snapshot.replicas.keys() | new_snapshot.replicas.keys())} workers differ"
    )
    return 1 if rows else 0


@click.command()
@click.argument("old", type=click.Path(exists=True, path_type=Path))
@click.argument("new", type=click.Path(exists=True, path_type=Path))
@reading_options
@click.option("--json", "as_json", is_flag=True, help="as JSON")
@click.option("--accept", is_flag=True, help="as if an operator had accepted a mass removal")
def plan(old: Path, new: Path, as_json: bool, accept: bool, **options: Any) -> int:
    """Say what a gateway that has OLD would do with NEW, host by host, and why.

    It would add, change, drain, remove, hold hosts at their last good state, or keep them out; a mass
    removal it would hold altogether. Exits 0 if all would be taken, 1 if something would be held or kept out.

    \b
    Example:
      lockspoke inventory plan workers.csv workers.new.csv
    """
    reader, old_snapshot, new_snapshot = _read_two(old, new, options)
    decisions = plan_decisions(
        reader.settings.reconcile_policy(), old_snapshot, _as_if_in_place_of(new_snapshot, new, old), accept
    )
    held = [entry for entry in decisions if entry.action in (Action.HOLD, Action.KEEP_OUT, Action.GUARD)]
    if as_json:
        rows = [
            {"act": entry.action.value, "host": entry.host, "reason": entry.reason} for entry in decisions
        ]
        click.echo(json.dumps(rows, indent=2))
    else:
        print_decisions(decisions)
        click.echo(f"{len(decisions)} decisions, {len(held)} of them hold something back")
    return 1 if held else 0


def _as_if_in_place_of(snapshot: Snapshot, new: Path, old: Path) -> Snapshot:
    """A snapshot as if its one source stood where the old one stands: NEW takes the place of OLD."""

    def name(file: str) -> str:
        if file == str(new):
            return str(old)
        return str(old / Path(file).relative_to(new)) if file.startswith(f"{new}/") else file

    return Snapshot(
        replicas=snapshot.replicas,
        files={host: tuple(map(name, files)) for host, files in snapshot.files.items()},
        invalid_hosts=snapshot.invalid_hosts,
        requested_states=snapshot.requested_states,
        incomplete_sources={name(file): why for file, why in snapshot.incomplete_sources.items()},
        invalid_row_addresses=snapshot.invalid_row_addresses,
        unterminated_sources=frozenset(map(name, snapshot.unterminated_sources)),
        problems=snapshot.problems,
        fingerprint=snapshot.fingerprint,
    )


def plan_decisions(
    caution: ReconcilePolicy, old_snapshot: Snapshot, new_snapshot: Snapshot, accept: bool
) -> tuple[Decision, ...]:
    """The decisions that lead from one snapshot to the other, a while later."""
    # What is compared is taken as done: nobody is writing it any more.
    reconciler = Reconciler(replace(caution, unfinished_ms=0))
    reconciler.step(old_snapshot, 0)
    if accept:
        reconciler.accept(new_snapshot.fingerprint)
    return reconciler.step(new_snapshot, 10 * max(caution.window_ms, caution.flap_half_life_ms)).decisions


@click.command()
@paths_argument
@reading_options
@click.option("--to", "target", required=True, type=click.Choice(writing.FORMATS), help="the form to write")
@click.option("-o", "--output", type=click.Path(path_type=Path), help="a file, put in place whole")
def convert(paths: tuple[Path, ...], target: str, output: Path | None, **options: Any) -> int:
    """Write the workers of sources in another form; with an error in them, nothing is written.

    \b
    Examples:
      lockspoke inventory convert workers.ini --to csv
      lockspoke inventory convert inventory/ --to yaml -o workers.yaml
    """
    reader = inventory_reader(paths=paths, **options)
    report = reader.read(paths)
    errors = [entry for entry in report.snapshot.problems if entry.is_error]
    if errors:
        click.echo(reports.as_text(errors, source_texts(paths or reader.paths)), err=True)
        click.echo("nothing is written: mend these first", err=True)
        return 1
    text = writing.write_inventory(report.snapshot.replicas.values(), target)
    if output is None:
        click.echo(text, nl=False)
    else:
        store.write_atomically(output.resolve().parent, text.encode(), output.name)
    return 0
