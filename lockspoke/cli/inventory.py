"""`lockspoke inventory`: look at inventories as the gateway does."""

from __future__ import annotations

import json
from dataclasses import replace
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any

import click
from rich.markup import escape
from rich.table import Table

from lockspoke.inventory import reports, store, writing
from lockspoke.inventory.decisions import Action, Decision, ReconcilePolicy
from lockspoke.inventory.model import Snapshot
from lockspoke.inventory.problems import CODES
from lockspoke.inventory.reconciler import Reconciler
from lockspoke.inventory.snapshot import SnapshotReport

from .inventory_io import (
    InventoryReader,
    console,
    inventory_reader,
    paths_argument,
    print_decisions,
    print_replicas,
    problem_style,
    reading_options,
    source_texts,
)


@click.group()
def inventory() -> None:
    """Check, show, compare and convert lists of workers in files."""


@inventory.command()
@paths_argument
@reading_options
@click.option("--json", "as_json", is_flag=True, help="workers and problems as JSON")
@click.option("--sarif", "as_sarif", is_flag=True, help="problems as SARIF 2.1.0")
@click.option("--strict", is_flag=True, help="exit 1 for warnings too")
def check(paths: tuple[Path, ...], as_json: bool, as_sarif: bool, strict: bool, **options: Any) -> int:
    """Check sources and tell all that is wrong with them.

    Exits 0 if they are clean, 1 if something is wrong, 2 on wrong usage. Each problem has its file, line
    and column, a code that `lockspoke inventory codes` explains, and what to write instead.

    \b
    Examples:
      lockspoke inventory check workers.csv --zone lis-1 --zone lis-2 --kind gen-a --kind gen-b
      lockspoke inventory check --edge deploy/edge.toml --json
      lockspoke inventory check inventory/ --sarif > inventory.sarif
    """
    reader = inventory_reader(paths=paths, **options)
    report = reader.read(paths)
    problems = report.snapshot.problems
    if as_sarif:
        click.echo(json.dumps(reports.as_sarif(problems, _version()), indent=2))
    elif as_json:
        click.echo(json.dumps(reports.as_json(report.snapshot.replicas.values(), problems), indent=2))
    else:
        if problems:
            click.echo(
                reports.as_text(problems, source_texts(paths or reader.paths), problem_style(console()))
            )
        click.echo(reports.summary(len(report.snapshot.replicas), problems))
    return 1 if any(entry.is_error or strict for entry in problems) else 0


def _version() -> str:
    try:
        return version("lockspoke")
    except PackageNotFoundError:
        return "0"


@inventory.command()
@click.option("--json", "as_json", is_flag=True, help="as JSON")
def codes(as_json: bool) -> None:
    """List the codes of problems and what each means."""
    if as_json:
        rows = [
            {
                "code": entry.id,
                "name": entry.name,
                "severity": entry.severity.value,
                "says": entry.description,
            }
            for entry in CODES.values()
        ]
        click.echo(json.dumps(rows, indent=2))
        return
    table = Table("code", "name", "severity", "what it means", box=None, pad_edge=False)
    for code in CODES.values():
        table.add_row(code.id, code.name, code.severity.value, escape(code.description))
    console().print(table)


@inventory.command()
@paths_argument
@reading_options
@click.option("--json", "as_json", is_flag=True, help="as JSON")
@click.option("--host", metavar="NAME", help="one host, with where each of its values stands")
@click.option("--groups", is_flag=True, help="the groups with their hosts")
def show(paths: tuple[Path, ...], as_json: bool, host: str | None, groups: bool, **options: Any) -> int:
    """Show the workers that sources give, as the gateway would take them.

    \b
    Examples:
      lockspoke inventory show workers.yaml --select 'lis-1:&gen_c'
      lockspoke inventory show --edge deploy/edge.toml --host w3
    """
    report = inventory_reader(paths=paths, **options).read(paths)
    if host is not None:
        return _show_host_values(report, host, as_json)
    if groups:
        members: dict[str, list[str]] = {}
        for entry in report.checked_rows:
            for group in entry.row.groups:
                members.setdefault(group, []).append(entry.row.name)
        if as_json:
            click.echo(json.dumps(members, indent=2))
        else:
            table = Table("group", "hosts", box=None, pad_edge=False)
            for group, names in sorted(members.items()):
                table.add_row(escape(group), escape(" ".join(names)))
            console().print(table)
        return 0
    replicas = list(report.snapshot.replicas.values())
    if as_json:
        click.echo(json.dumps([replica.as_json() for replica in replicas], indent=2))
    else:
        print_replicas(replicas)
        click.echo(reports.summary(len(replicas), report.snapshot.problems))
    return 0


def _show_host_values(report: SnapshotReport, name: str, as_json: bool) -> int:
    found = [entry for entry in report.checked_rows if entry.row.name == name]
    if not found:
        raise click.UsageError(f"no source names the host {name!r}")
    for entry in found:
        values = {key: (value.text, str(value.place)) for key, value in sorted(entry.row.values.items())}
        record = entry.record.as_json() if entry.record is not None else None
        if as_json:
            shown = {key: {"value": text, "place": place} for key, (text, place) in values.items()}
            click.echo(json.dumps({"worker": record, "groups": entry.row.groups, "values": shown}, indent=2))
            continue
        click.echo(
            f"{name}, first at {entry.row.place}; groups, weakest first: {' '.join(entry.row.groups) or 'nentry'}"
        )
        table = Table("variable", "value", "from", box=None, pad_edge=False)
        for key, (text, place) in values.items():
            table.add_row(escape(key), escape(text), escape(place))
        console().print(table)
        if record is None:
            click.echo(f"not taken: {entry.reason}")
    return 0


def _read_two(old: Path, new: Path, options: dict[str, Any]) -> tuple[InventoryReader, Snapshot, Snapshot]:
    reader = inventory_reader(paths=(old,), **options)
    return reader, reader.read((old,)).snapshot, reader.read((new,)).snapshot


@inventory.command()
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


@inventory.command()
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
        unnamed_addresses=snapshot.unnamed_addresses,
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


@inventory.command()
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
