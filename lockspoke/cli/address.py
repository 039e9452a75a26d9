"""`lockspoke address`: who holds the service address, moves of it, and a witness."""

from __future__ import annotations

import asyncio
import json
import secrets
import signal
import sys
from pathlib import Path
from typing import Any

import click
from rich.table import Table

from lockspoke.address.control import ask
from lockspoke.address.health import Vitals
from lockspoke.address.member import Member
from lockspoke.address.settings import AddressSettings
from lockspoke.lifecycle.config import ConfigError
from lockspoke.lifecycle.edge_file import read_edge
from lockspoke.lifecycle.logging_setup import start_logging

from .output import console

PULSE = 0.1  # seconds between two looks of a witness


@click.group()
def address() -> None:
    """The service address that moves between instances."""


def _settings(edge: Path) -> AddressSettings:
    try:
        found = [section.settings for section in read_edge(edge) if section.name == "address"]
    except ConfigError as error:
        raise click.UsageError(str(error)) from None
    if not found:
        raise click.UsageError(f"{edge} has no section [address]")
    return found[0]  # type: ignore[no-any-return]


def _ask(edge: Path | None, control: Path | None, word: dict[str, Any]) -> dict[str, Any]:
    if control is None:
        if edge is None:
            raise click.UsageError("name --edge or --control")
        settings = _settings(edge)
        if not settings.control:
            raise click.UsageError(f"{edge}: address.control names no socket, so nobody listens to this")
        control = Path(settings.control)
    try:
        return ask(control, word)
    except OSError as error:
        raise click.UsageError(f"{control}: no instance listens there ({error.strerror or error})") from None
    except ValueError as error:
        raise click.ClickException(str(error)) from None


_edge = click.option("--edge", type=click.Path(path_type=Path), help="the instance's edge file")
_control = click.option("--control", type=click.Path(path_type=Path), help="the socket that it names")


@address.command()
@_edge
@_control
@click.option("--json", "as_json", is_flag=True, help="as JSON")
def status(edge: Path | None, control: Path | None, as_json: bool) -> int:
    """Show who holds the address, by which token and votes, and why not this instance.

    Exits 0 if somebody holds it, 1 if nobody does as far as this instance knows, 2 where none listens.

    \b
    Example:
      lockspoke address status --edge deploy/edge.toml
    """
    found = _ask(edge, control, {"do": "status"})
    code = 0 if found["holder"] else 1
    if as_json:
        click.echo(json.dumps(found, indent=2))
        return code
    table = Table.grid(padding=(0, 2))
    health = found["health"]
    rows: list[tuple[str, object]] = [
        ("instance", f"{found['name']} ({found['role']}, for {found['since_ms'] / 1000:.0f} s)"),
        ("holder", found["holder"] or "nobody that it knows of"),
        ("token", found["token"]),
        ("term", found["term"]),
        ("lease left", f"{found['lease_left_ms']} ms" if found["lease_left_ms"] is not None else None),
        ("votes", ", ".join(found["votes"])),
        ("why not here", "; ".join(found["why_not"])),
        ("fit", f"{'yes' if health['fit'] else 'no'}, penalty {health['penalty']:g}"),
        ("members", ", ".join(found["members"])),
        ("witnesses", ", ".join(found["witnesses"])),
        ("survives", found["survives"]),
        ("generation", f"{found['generation']}, {'settled' if found['settled'] else 'not settled yet'}"),
        *(("mismatch", f"{name} {why}") for name, why in found["mismatches"].items()),
        ("record", found["record_failing"]),
        ("refused", ", ".join(f"{count} {reason}" for reason, count in found["refused"].items())),
    ]
    for name, value in rows:
        if value not in (None, ""):
            table.add_row(name, str(value))
    console().print(table)
    return code


@address.command()
@_edge
@_control
@click.option("--to", "heir", required=True, help="the member that is to have it")
def move(edge: Path | None, control: Path | None, heir: str) -> None:
    """Hand the address from this instance, which holds it, to another that is ready.

    \b
    Example:
      lockspoke address move --to gw2 --edge deploy/edge.toml
    """
    click.echo(_ask(edge, control, {"do": "move", "to": heir})["done"])


@address.command("hold-down")
@_edge
@_control
@click.option("--for", "seconds", type=click.FloatRange(0, 86400), default=3600.0, show_default=True)
@click.option("--off", is_flag=True, help="let it stand again")
def hold_down(edge: Path | None, control: Path | None, seconds: float, off: bool) -> None:
    """Keep this instance from holding the address for some seconds; it votes on.

    \b
    Example:
      lockspoke address hold-down --for 600 --edge deploy/edge.toml
    """
    click.echo(_ask(edge, control, {"do": "hold-down", "seconds": 0 if off else seconds})["done"])


@address.command()
def key() -> None:
    """Print a new key for `address.keys`.

    \b
    Example:
      umask 077; lockspoke address key > address.key
    """
    click.echo(secrets.token_hex(32))


class _Nothing:
    """A witness announces nothing, for it never holds."""

    def claim(self, token: int, until: Any) -> None:
        """Never called."""

    def withdraw(self, reason: str) -> None:
        """Never called."""


@address.command()
@click.option("--edge", type=click.Path(path_type=Path), required=True, help="its edge file")
@click.option("--name", default="", help="which of the members it is, where the file doesn't say")
def witness(edge: Path, name: str) -> int:
    """Run a witness: a member without a gateway that votes and never holds.

    SIGHUP reads the file again; SIGTERM ends it.

    \b
    Example:
      lockspoke address witness --edge deploy/witness.toml --name third
    """
    settings = _settings(edge)
    name = name or settings.name
    if name not in settings.witnesses:
        raise click.UsageError(f"{name!r} is none of address.witnesses ({', '.join(settings.witnesses)})")
    start_logging()
    try:
        member = Member(settings, name, _Nothing())
        asyncio.run(_witness(member, edge))
    except (ValueError, OSError) as error:
        click.echo(f"lockspoke: address.{error}", err=True)
        return 2
    return 0


async def _witness(member: Member, edge: Path) -> None:
    import structlog

    log, stop, loop = structlog.get_logger(), asyncio.Event(), asyncio.get_running_loop()

    def reload() -> None:
        try:
            member.prepare(_settings(edge))()
        except (ValueError, click.UsageError) as error:
            log.error("reload_refused", reason=getattr(error, "message", str(error)))

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await member.start()
    while not stop.is_set():
        member.judge(Vitals(sys.maxsize, 0.0, 0.0, 0, 0.0, 0.0))
        member.keep_record()
        try:
            async with asyncio.timeout(PULSE):
                await stop.wait()
        except TimeoutError:
            continue
    member.stop()
