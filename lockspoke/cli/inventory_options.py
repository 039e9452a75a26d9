"""The options of the commands that read inventories, and the reader that uses them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import click

from lockspoke.inventory.files import read_files
from lockspoke.inventory.format_detection import FORMATS
from lockspoke.inventory.parse_cache import ParseCache
from lockspoke.inventory.settings import InventorySettings
from lockspoke.inventory.snapshot import SnapshotReport, take_snapshot
from lockspoke.lifecycle.config import ConfigError
from lockspoke.lifecycle.edge_file import read_edge

F = TypeVar("F", bound=Callable[..., Any])


@dataclass(slots=True)
class InventoryReader:
    """Reads inventories with the settings of the edge file and the options of a command."""

    settings: InventorySettings
    zones: tuple[str, ...]

    def read(self, paths: tuple[Path, ...], cache: ParseCache | None = None) -> SnapshotReport:
        """Read these sources, or those of the settings if there are none."""
        return take_snapshot(read_files(paths or self.paths), self.settings.read_options(self.zones), cache)

    @property
    def paths(self) -> tuple[Path, ...]:
        """The sources in the settings."""
        return tuple(Path(path) for path in self.settings.paths)


def reading_options(command: F) -> F:
    """Add the options of every command that reads sources."""
    for option in reversed(
        [
            click.option(
                "--edge",
                type=click.Path(path_type=Path),
                help="an edge file; its section [inventory] is used",
            ),
            click.option("--zone", "zones", multiple=True, help="a known zone; may be given several times"),
            click.option(
                "--kind",
                "kinds",
                multiple=True,
                metavar="NAME[=WEIGHT]",
                help="a known kind; may be given several times",
            ),
            click.option("--form", type=click.Choice(FORMATS), help="the format, instead of that detected"),
            click.option("--select", metavar="PATTERN", help="only hosts that match, e.g. lis-1:&gen_c:!w3"),
            click.option("--port", type=click.IntRange(1, 65535), help="the port of hosts without one"),
            click.option(
                "--lookups/--no-lookups", default=None, help="allow host names as well as IP addresses"
            ),
        ]
    ):
        command = option(command)
    return command


def inventory_reader(
    edge: Path | None = None,
    zones: tuple[str, ...] = (),
    kinds: tuple[str, ...] = (),
    form: str | None = None,
    select: str | None = None,
    port: int | None = None,
    lookups: bool | None = None,
    paths: tuple[Path, ...] = (),
) -> InventoryReader:
    """The reader for the options of a command, which override the edge file.

    Raises:
        click.UsageError: The options or the edge file are invalid, or there are no sources.
    """
    if edge is not None:
        values = _edge_settings(edge)
    elif paths:
        values = {"paths": [str(path) for path in paths]}
    else:
        raise click.UsageError("a file, a folder or --edge is required")
    if zones:
        values["zones"] = list(zones)
    if kinds:
        values["kinds"] = dict(map(_parse_kind, kinds))
    overrides = {"form": form, "select": select, "port": port, "lookups": lookups}
    values |= {name: value for name, value in overrides.items() if value is not None}
    try:
        return InventoryReader(InventorySettings(**values), tuple(values.get("zones", ())))
    except ValueError as error:
        raise click.UsageError(str(error)) from None


def _edge_settings(edge: Path) -> dict[str, Any]:
    """The section `[inventory]` of an edge file, by key."""
    try:
        sections = [section for section in read_edge(edge) if section.name == "inventory"]
    except ConfigError as error:
        raise click.UsageError(str(error)) from None
    if not sections:
        raise click.UsageError(f"{edge} has no section [inventory]")
    settings = sections[0].settings
    return {name: getattr(settings, name) for name in settings.__struct_fields__}


def _parse_kind(option: str) -> tuple[str, float]:
    """The name and weight of `NAME[=WEIGHT]`."""
    name, _, weight = option.partition("=")
    try:
        return name, float(weight or 1.0)
    except ValueError:
        raise click.UsageError(f"--kind {option}: {weight!r} is not a weight") from None


def paths_argument(command: F) -> F:
    """Add the argument for the sources that a command reads."""
    return click.argument("paths", nargs=-1, type=click.Path(path_type=Path))(command)
