"""What the inventory commands share: options that say how sources are read, and tables."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import click
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from lockspoke.inventory.decisions import Action, Decision
from lockspoke.inventory.files import read_files
from lockspoke.inventory.format_detection import FORMATS
from lockspoke.inventory.model import ReplicaRecord
from lockspoke.inventory.parse_cache import ParseCache
from lockspoke.inventory.settings import InventorySettings
from lockspoke.inventory.snapshot import SnapshotReport, take_snapshot
from lockspoke.lifecycle.config import ConfigError
from lockspoke.lifecycle.edge_file import read_edge

F = TypeVar("F", bound=Callable[..., Any])
_COLORS = {
    Action.ADD: "green",
    Action.CHANGE: "cyan",
    Action.DRAIN: "yellow",
    Action.REMOVE: "red",
    Action.HOLD: "magenta",
    Action.KEEP_OUT: "magenta",
    Action.GUARD: "bold red",
    Action.ACCEPT: "bold yellow",
}
_STYLES = {"error": "red", "warning": "yellow", "place": "bold", "mend": "green"}


@dataclass(slots=True)
class InventoryReader:
    """How a command reads: settings from the edge file, with the options of the command before them."""

    settings: InventorySettings
    zones: tuple[str, ...]

    def read(self, paths: tuple[Path, ...], memory: ParseCache | None = None) -> SnapshotReport:
        """Read sources."""
        return take_snapshot(read_files(paths or self.paths), self.settings.read_options(self.zones), memory)

    @property
    def paths(self) -> tuple[Path, ...]:
        """The sources that the edge file names."""
        return tuple(Path(path) for path in self.settings.paths)


def reading_options(command: F) -> F:
    """Options of every command that reads sources."""
    for option in reversed(
        [
            click.option(
                "--edge", type=click.Path(path_type=Path), help="take the section [inventory] of this file"
            ),
            click.option("--zone", "zones", multiple=True, help="a zone that is known; more may be given"),
            click.option(
                "--kind", "kinds", multiple=True, metavar="NAME[=WEIGHT]", help="a kind that is known"
            ),
            click.option(
                "--form", type=click.Choice(FORMATS), help="where a file's name does not tell its form"
            ),
            click.option("--select", metavar="PATTERN", help="only hosts of a pattern, as lis-1:&gen_c:!w3"),
            click.option("--port", type=click.IntRange(1, 65535), help="for hosts that give none"),
            click.option("--lookups/--no-lookups", default=None, help="take host names beside IP addresses"),
        ]
    ):
        command = option(command)
    return command


def inventory_reader(
    edge: Path | None,
    zones: tuple[str, ...],
    kinds: tuple[str, ...],
    form: str | None,
    select: str | None,
    port: int | None,
    lookups: bool | None,
    paths: tuple[Path, ...] = (),
) -> InventoryReader:
    """Settings from the edge file and options. Raises a usage error that names what is wrong."""
    values: dict[str, Any] = {"paths": [str(path) for path in paths] or ["."]}
    if edge is not None:
        try:
            sections = [section for section in read_edge(edge) if section.name == "inventory"]
        except ConfigError as error:
            raise click.UsageError(str(error)) from None
        if not sections:
            raise click.UsageError(f"{edge} has no section [inventory]")
        section_settings = sections[0].settings
        values = {name: getattr(section_settings, name) for name in section_settings.__struct_fields__}
    elif not paths:
        raise click.UsageError("name a file or folder, or --edge")
    if zones:
        values["zones"] = list(zones)
    if kinds:
        weights = {}
        for option in kinds:
            name, _, weight = option.partition("=")
            try:
                weights[name] = float(weight or 1.0)
            except ValueError:
                raise click.UsageError(f"--kind {option}: {weight!r} is no weight") from None
        values["kinds"] = weights
    for name, value in (("form", form), ("select", select), ("port", port), ("lookups", lookups)):
        if value is not None:
            values[name] = value
    try:
        return InventoryReader(InventorySettings(**values), tuple(values.get("zones", ())))
    except ValueError as error:
        raise click.UsageError(str(error)) from None


def console() -> Console:
    """Where tables go: with colour on a terminal, plain and unbroken when piped."""
    terminal = Console(highlight=False, soft_wrap=False)
    return terminal if terminal.is_terminal else Console(highlight=False, width=240, no_color=True)


def paths_argument(command: F) -> F:
    """The sources that a command names."""
    return click.argument("paths", nargs=-1, type=click.Path(path_type=Path))(command)


def problem_style(out: Console) -> Callable[[str, str], str]:
    """How problems are dressed: with colour on a terminal."""
    if not out.is_terminal:
        return lambda text, _: text
    return lambda text, style: click.style(
        text, bold=style == "place", fg=_STYLES[style].replace("bold", "white")
    )


def source_texts(paths: tuple[Path, ...]) -> dict[str, str]:
    """The sources as text, for showing lines of them."""
    return {file.path: (file.data or b"").decode("utf-8-sig", "replace") for file in read_files(paths)}


def print_replicas(replicas: list[ReplicaRecord], hold_reasons: dict[str, str] | None = None) -> None:
    """A table of workers; `more` says why each is held."""
    names = ("name", "host", "port", "zone", "kind", "cell", "weight", "state", "labels")
    table = Table(*names, *(["held"] if hold_reasons is not None else []), box=None, pad_edge=False)
    colors = {"up": "green", "draining": "yellow", "removed": "red"}
    for replica in replicas:
        labels = " ".join(f"{name}={value}" for name, value in replica.labels)
        cells = [
            *map(escape, (replica.name, replica.host, str(replica.port), replica.zone, replica.kind)),
            *(
                str(replica.cell),
                f"{replica.weight:g}",
                f"[{colors[replica.state]}]{replica.state}[/]",
                escape(labels),
            ),
        ]
        table.add_row(
            *cells, *([escape(hold_reasons.get(replica.name, ""))] if hold_reasons is not None else [])
        )
    console().print(table)


def print_decisions(decisions: tuple[Decision, ...]) -> None:
    """A line a decision."""
    out = console()
    for one in decisions:
        out.print(
            f"[{_COLORS[one.action]}]{one.action.value:>8}[/] {escape(one.host or '*')}: {escape(one.reason)}",
            soft_wrap=True,
        )
