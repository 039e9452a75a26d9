"""Output of the commands: tables of replicas, decisions, and the style of problems."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import click
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from lockspoke.inventory.decisions import Action, Decision
from lockspoke.inventory.files import read_files
from lockspoke.inventory.model import ReplicaRecord

PIPED_WIDTH = 240  # characters per line if the output is not a terminal

_ACTION_COLORS = {
    Action.ADD: "green",
    Action.CHANGE: "cyan",
    Action.DRAIN: "yellow",
    Action.REMOVE: "red",
    Action.HOLD: "magenta",
    Action.KEEP_OUT: "magenta",
    Action.GUARD: "bold red",
    Action.ACCEPT: "bold yellow",
}
_STATE_COLORS = {"up": "green", "draining": "yellow", "removed": "red"}
_STYLES = {"error": "red", "warning": "yellow", "place": "bold", "mend": "green"}


def console() -> Console:
    """A console for tables: with colours on a terminal, otherwise without colours and with long lines."""
    terminal = Console(highlight=False, soft_wrap=False)
    return terminal if terminal.is_terminal else Console(highlight=False, width=PIPED_WIDTH, no_color=True)


def problem_style(out: Console) -> Callable[[str, str], str]:
    """A function that styles the parts of a problem: with colours on a terminal, otherwise unchanged."""
    if not out.is_terminal:
        return lambda text, _: text
    return lambda text, style: click.style(
        text, bold=style == "place", fg=_STYLES[style].replace("bold", "white")
    )


def source_texts(paths: tuple[Path, ...]) -> dict[str, str]:
    """The text of each source by path, for excerpts in problems."""
    return {file.path: (file.data or b"").decode("utf-8-sig", "replace") for file in read_files(paths)}


def print_replicas(replicas: list[ReplicaRecord], deferral_reasons: dict[str, str] | None = None) -> None:
    """Print a table of replicas, with a column for `deferral_reasons` (by host) if they are given."""
    names = ("name", "host", "port", "zone", "kind", "cell", "weight", "state", "labels")
    table = Table(*names, *(["held"] if deferral_reasons is not None else []), box=None, pad_edge=False)
    for replica in replicas:
        row = _replica_row(replica)
        if deferral_reasons is not None:
            row.append(escape(deferral_reasons.get(replica.name, "")))
        table.add_row(*row)
    console().print(table)


def _replica_row(replica: ReplicaRecord) -> list[str]:
    labels = " ".join(f"{name}={value}" for name, value in replica.labels)
    return [
        escape(replica.name),
        escape(replica.host),
        str(replica.port),
        escape(replica.zone),
        escape(replica.kind),
        str(replica.cell),
        f"{replica.weight:g}",
        f"[{_STATE_COLORS[replica.state]}]{replica.state}[/]",
        escape(labels),
    ]


def print_decisions(decisions: tuple[Decision, ...]) -> None:
    """Print one line for each decision."""
    out = console()
    for decision in decisions:
        action = f"[{_ACTION_COLORS[decision.action]}]{decision.action.value:>8}[/]"
        out.print(f"{action} {escape(decision.host or '*')}: {escape(decision.reason)}", soft_wrap=True)
