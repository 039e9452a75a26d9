"""The commands `lockspoke inventory diff`, `plan` and `convert`: compare and convert inventories."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

import click
from rich.markup import escape

from lockspoke.inventory import reports, store, writing
from lockspoke.inventory.decisions import Action, Decision, ReconcilePolicy
from lockspoke.inventory.model import ReplicaRecord, Snapshot
from lockspoke.inventory.reconciler import Reconciler

from .inventory_options import InventoryReader, inventory_reader, paths_argument, reading_options
from .output import console, print_decisions, source_texts

_SIGN_COLORS = {"+": "green", "-": "red", "~": "cyan"}


@dataclass(frozen=True, slots=True)
class _InventoryPair:
    """Two inventories, read with the same options."""

    reader: InventoryReader
    old: Snapshot
    new: Snapshot


def _read_pair(old: Path, new: Path, options: dict[str, Any]) -> _InventoryPair:
    reader = inventory_reader(paths=(old,), **options)
    return _InventoryPair(reader, reader.read((old,)).snapshot, reader.read((new,)).snapshot)


@dataclass(frozen=True, slots=True)
class _Difference:
    """A host that differs: `sign` is + for a new one, - for a removed one and ~ for a changed one."""

    host: str
    sign: str
    changed: dict[str, tuple[Any, Any]]  # the old and the new value of each field

    @classmethod
    def between(cls, host: str, old: ReplicaRecord | None, new: ReplicaRecord | None) -> _Difference:
        before, after = old.as_json() if old else {}, new.as_json() if new else {}
        changed = {
            key: (before.get(key), after.get(key))
            for key in before | after
            if before.get(key) != after.get(key)
        }
        sign = "+" if old is None else "-" if new is None else "~"
        return cls(host, sign, changed)

    def __str__(self) -> str:
        text = f"{self.sign} {self.host}"
        if self.sign != "~" or not self.changed:
            return text
        changes = (f"{key} {before!r} -> {after!r}" for key, (before, after) in self.changed.items())
        return f"{text}: {', '.join(changes)}"


@click.command()
@click.argument("old", type=click.Path(exists=True, path_type=Path))
@click.argument("new", type=click.Path(exists=True, path_type=Path))
@reading_options
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def diff(old: Path, new: Path, as_json: bool, **options: Any) -> int:
    """Compare the workers of two inventories, whatever their formats.

    Exits with 0 if the workers are the same, 1 if not.

    \b
    Example:
      lockspoke inventory diff workers.csv workers.yaml
    """
    pair = _read_pair(old, new, options)
    before, after = pair.old.replicas, pair.new.replicas
    hosts = sorted(before.keys() | after.keys())
    differences = [
        _Difference.between(host, before.get(host), after.get(host))
        for host in hosts
        if before.get(host) != after.get(host)
    ]
    if as_json:
        click.echo(json.dumps([asdict(difference) for difference in differences], indent=2))
    else:
        out = console()
        for difference in differences:
            out.print(f"[{_SIGN_COLORS[difference.sign]}]{escape(str(difference))}[/]", soft_wrap=True)
        click.echo(f"{len(differences)} of {len(hosts)} workers differ")
    return 1 if differences else 0


@click.command()
@click.argument("old", type=click.Path(exists=True, path_type=Path))
@click.argument("new", type=click.Path(exists=True, path_type=Path))
@reading_options
@click.option("--json", "as_json", is_flag=True, help="print JSON")
@click.option("--accept", is_flag=True, help="as if an operator had accepted a mass removal")
def plan(old: Path, new: Path, as_json: bool, accept: bool, **options: Any) -> int:
    """Show what a gateway that has loaded OLD would do with NEW, for each host, and why.

    It adds, changes, drains or removes a host, holds it at its last valid state, or keeps it out. It holds
    back a mass removal as a whole. Exits with 0 if all changes would be applied, 1 if any would be held or
    kept out.

    \b
    Example:
      lockspoke inventory plan workers.csv workers.new.csv
    """
    pair = _read_pair(old, new, options)
    policy = pair.reader.settings.reconcile_policy()
    decisions = plan_decisions(policy, pair.old, _relocate(old, new, pair.new), accept)
    blocked = [
        decision for decision in decisions if decision.action in (Action.HOLD, Action.KEEP_OUT, Action.GUARD)
    ]
    if as_json:
        click.echo(json.dumps([decision.as_json() for decision in decisions], indent=2))
    else:
        print_decisions(decisions)
        click.echo(f"{len(decisions)} decisions, {len(blocked)} of them hold something back")
    return 1 if blocked else 0


def _relocate(old: Path, new: Path, snapshot: Snapshot) -> Snapshot:
    """Return the snapshot of `new` as if it had been read from `old`, the path that it would replace."""

    def relocate_file(file: str) -> str:
        if file == str(new):
            return str(old)
        return str(old / Path(file).relative_to(new)) if file.startswith(f"{new}/") else file

    return replace(
        snapshot,
        files={host: tuple(map(relocate_file, files)) for host, files in snapshot.files.items()},
        incomplete_sources={
            relocate_file(file): reason for file, reason in snapshot.incomplete_sources.items()
        },
        unterminated_sources=frozenset(map(relocate_file, snapshot.unterminated_sources)),
    )


def plan_decisions(
    policy: ReconcilePolicy, old: Snapshot, new: Snapshot, accept: bool
) -> tuple[Decision, ...]:
    """The decisions of a gateway that reads `new` long after `old`, when all time windows have passed.

    With `accept`, an operator has accepted a mass removal.
    """
    # Both files are taken as complete, so a missing newline at the end suspends no removals.
    reconciler = Reconciler(replace(policy, unterminated_grace_ms=0))
    reconciler.reconcile(old, 0)
    if accept:
        reconciler.accept(new.fingerprint)
    return reconciler.reconcile(new, 10 * max(policy.removal_window_ms, policy.flap_half_life_ms)).decisions


@click.command()
@paths_argument
@reading_options
@click.option("--to", "target", required=True, type=click.Choice(writing.FORMATS), help="the format to write")
@click.option(
    "-o", "--output", type=click.Path(path_type=Path), help="the file to write, replaced atomically"
)
def convert(paths: tuple[Path, ...], target: str, output: Path | None, **options: Any) -> int:
    """Write the workers of sources in another format; if the sources have errors, nothing is written.

    \b
    Examples:
      lockspoke inventory convert workers.ini --to csv
      lockspoke inventory convert inventory/ --to yaml -o workers.yaml
    """
    reader = inventory_reader(paths=paths, **options)
    report = reader.read(paths)
    errors = [problem for problem in report.snapshot.problems if problem.is_error]
    if errors:
        click.echo(reports.as_text(errors, source_texts(paths or reader.paths)), err=True)
        click.echo("nothing was written: correct these errors first", err=True)
        return 1
    text = writing.write_inventory(report.snapshot.replicas.values(), target)
    if output is None:
        click.echo(text, nl=False)
    else:
        store.write_atomically(output.resolve().parent, text.encode(), output.name)
    return 0
