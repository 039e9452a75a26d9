"""The commands `lockspoke inventory check`, `codes` and `show`: problems and replicas of an inventory."""

from __future__ import annotations

import json
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any

import click
from rich.markup import escape
from rich.table import Table

from lockspoke.inventory import reports
from lockspoke.inventory.problems import CODES
from lockspoke.inventory.snapshot import SnapshotReport

from .inventory_options import inventory_reader, paths_argument, reading_options
from .output import console, print_replicas, problem_style, source_texts


@click.command()
@paths_argument
@reading_options
@click.option("--json", "as_json", is_flag=True, help="print workers and problems as JSON")
@click.option("--sarif", "as_sarif", is_flag=True, help="print problems as SARIF 2.1.0")
@click.option("--strict", is_flag=True, help="exit with 1 for warnings too")
def check(paths: tuple[Path, ...], as_json: bool, as_sarif: bool, strict: bool, **options: Any) -> int:
    """Check sources and print all problems.

    Exits with 0 if there are no errors, 1 if there are some, and 2 on wrong usage. Each problem has its
    file, line and column, a code that `lockspoke inventory codes` explains, and a suggested correction.

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
    return 1 if any(problem.is_error or strict for problem in problems) else 0


def _version() -> str:
    try:
        return version("lockspoke")
    except PackageNotFoundError:
        return "0"


@click.command()
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def codes(as_json: bool) -> None:
    """List the codes of problems with their meanings."""
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


@click.command()
@paths_argument
@reading_options
@click.option("--json", "as_json", is_flag=True, help="print JSON")
@click.option("--host", metavar="NAME", help="one host, with the place of each of its values")
@click.option("--groups", is_flag=True, help="show groups with their hosts")
def show(paths: tuple[Path, ...], as_json: bool, host: str | None, groups: bool, **options: Any) -> int:
    """Show the workers in sources as a gateway would load them.

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
    entries = [entry for entry in report.checked_rows if entry.row.name == name]
    if not entries:
        raise click.UsageError(f"no source names the host {name!r}")
    for entry in entries:
        values = {key: (value.text, str(value.place)) for key, value in sorted(entry.row.values.items())}
        record = entry.record.as_json() if entry.record is not None else None
        if as_json:
            shown = {key: {"value": text, "place": place} for key, (text, place) in values.items()}
            click.echo(json.dumps({"worker": record, "groups": entry.row.groups, "values": shown}, indent=2))
            continue
        groups = " ".join(entry.row.groups) or "none"
        click.echo(f"{name}, first at {entry.row.place}; groups, lowest precedence first: {groups}")
        table = Table("variable", "value", "from", box=None, pad_edge=False)
        for key, (text, place) in values.items():
            table.add_row(escape(key), escape(text), escape(place))
        console().print(table)
        if record is None:
            click.echo(f"not loaded: {entry.reason}")
    return 0
