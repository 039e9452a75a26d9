"""`lockspoke address`: who holds the service address, moves of it, and a witness."""

from __future__ import annotations

import asyncio
import json
import secrets
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import click
import structlog
from rich.table import Table

from lockspoke.address.control import JsonObject, send_command
from lockspoke.address.health import HealthMetrics
from lockspoke.address.member import Member
from lockspoke.address.settings import AddressSettings
from lockspoke.lifecycle.config import ConfigError
from lockspoke.lifecycle.edge_file import read_edge
from lockspoke.lifecycle.logging_setup import start_logging

from .output import console

HEALTH_INTERVAL = 0.1  # seconds between two health updates of a witness

# A witness serves no requests, so it is always healthy.
WITNESS_METRICS = HealthMetrics(
    ready_replicas=sys.maxsize,
    loop_lag=0.0,
    failure_share=0.0,
    requests=0,
    descriptor_share=0.0,
    memory_share=0.0,
)

log = structlog.get_logger()


@click.group()
def address() -> None:
    """The service address that moves between instances."""


def _read_settings(edge: Path) -> AddressSettings:
    try:
        sections = read_edge(edge)
    except ConfigError as error:
        raise click.UsageError(str(error)) from None
    for section in sections:
        if isinstance(section.settings, AddressSettings):
            return section.settings
    raise click.UsageError(f"{edge} has no section [address]")


def _send_command(edge: Path | None, control: Path | None, command: JsonObject) -> JsonObject:
    if control is None:
        if edge is None:
            raise click.UsageError("name --edge or --control")
        settings = _read_settings(edge)
        if not settings.control:
            raise click.UsageError(f"{edge}: address.control names no socket, so nobody listens to this")
        control = Path(settings.control)
    try:
        return send_command(control, command)
    except OSError as error:
        raise click.UsageError(f"{control}: no instance listens there ({error.strerror or error})") from None
    except ValueError as error:
        raise click.ClickException(str(error)) from None


_edge_option = click.option("--edge", type=click.Path(path_type=Path), help="the instance's edge file")
_control_option = click.option("--control", type=click.Path(path_type=Path), help="the socket that it names")


@address.command()
@_edge_option
@_control_option
@click.option("--json", "as_json", is_flag=True, help="as JSON")
def status(edge: Path | None, control: Path | None, as_json: bool) -> int:
    """Show who holds the address, by which token and votes, and why not this instance.

    Exits 0 if somebody holds it, 1 if nobody does as far as this instance knows, 2 where none listens.

    \b
    Example:
      lockspoke address status --edge deploy/edge.toml
    """
    found = _send_command(edge, control, {"do": "status"})
    if as_json:
        click.echo(json.dumps(found, indent=2))
    else:
        _print_status(found)
    return 0 if found["holder"] else 1


def _print_status(status: JsonObject) -> None:
    table = Table.grid(padding=(0, 2))
    for name, value in _status_rows(status):
        if value not in (None, ""):
            table.add_row(name, str(value))
    console().print(table)


def _status_rows(status: JsonObject) -> list[tuple[str, object]]:
    health, lease_left_ms = status["health"], status["lease_left_ms"]
    return [
        ("instance", f"{status['name']} ({status['role']}, for {status['since_ms'] / 1000:.0f} s)"),
        ("holder", status["holder"] or "nobody that it knows of"),
        ("token", status["token"]),
        ("term", status["term"]),
        ("lease left", f"{lease_left_ms} ms" if lease_left_ms is not None else None),
        ("votes", ", ".join(status["votes"])),
        ("why not here", "; ".join(status["why_not"])),
        ("fit", f"{'yes' if health['fit'] else 'no'}, penalty {health['penalty']:g}"),
        ("members", ", ".join(status["members"])),
        ("witnesses", ", ".join(status["witnesses"])),
        ("survives", status["survives"]),
        ("generation", f"{status['generation']}, {'settled' if status['settled'] else 'not settled yet'}"),
        *(("mismatch", f"{name} {reason}") for name, reason in status["mismatches"].items()),
        ("record", status["record_failing"]),
        ("refused", ", ".join(f"{count} {reason}" for reason, count in status["refused"].items())),
    ]


@address.command()
@_edge_option
@_control_option
@click.option("--to", "successor", required=True, help="the member that is to have it")
def move(edge: Path | None, control: Path | None, successor: str) -> None:
    """Hand the address from this instance, which holds it, to another that is ready.

    \b
    Example:
      lockspoke address move --to gw2 --edge deploy/edge.toml
    """
    click.echo(_send_command(edge, control, {"do": "move", "to": successor})["done"])


@address.command("hold-down")
@_edge_option
@_control_option
@click.option("--for", "seconds", type=click.FloatRange(0, 86400), default=3600.0, show_default=True)
@click.option("--off", is_flag=True, help="let it stand again")
def hold_down(edge: Path | None, control: Path | None, seconds: float, off: bool) -> None:
    """Keep this instance from holding the address for some seconds; it votes on.

    \b
    Example:
      lockspoke address hold-down --for 600 --edge deploy/edge.toml
    """
    click.echo(_send_command(edge, control, {"do": "hold-down", "seconds": 0 if off else seconds})["done"])


@address.command()
def key() -> None:
    """Print a new key for `address.keys`.

    \b
    Example:
      umask 077; lockspoke address key > address.key
    """
    click.echo(secrets.token_hex(32))


class _WitnessAnnouncer:
    """A witness never holds the address, so it has nothing to announce."""

    def claim(self, token: int, lease_until: Callable[[], int]) -> None:
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
    settings = _read_settings(edge)
    name = name or settings.name
    if name not in settings.witnesses:
        raise click.UsageError(f"{name!r} is none of address.witnesses ({', '.join(settings.witnesses)})")
    start_logging()
    try:
        member = Member(settings, name, _WitnessAnnouncer())
        asyncio.run(_run_witness(member, edge))
    except (ValueError, OSError) as error:
        click.echo(f"lockspoke: address.{error}", err=True)
        return 2
    return 0


async def _run_witness(member: Member, edge: Path) -> None:
    stop, loop = asyncio.Event(), asyncio.get_running_loop()

    def reload() -> None:
        try:
            member.prepare_reload(_read_settings(edge))()
        except (ValueError, click.UsageError) as error:
            log.error("reload_rejected", reason=getattr(error, "message", str(error)))

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await member.start()
    while not stop.is_set():
        member.update_health(WITNESS_METRICS)
        member.save_record()
        try:
            async with asyncio.timeout(HEALTH_INTERVAL):
                await stop.wait()
        except TimeoutError:
            continue
    member.stop()
