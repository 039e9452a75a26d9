"""The commands `lockspoke address`: show and move the service address, and run a witness."""

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
    """Show and move the service address of a group of instances, or run a witness."""


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
            raise click.UsageError("--edge or --control is required")
        settings = _read_settings(edge)
        if not settings.control:
            raise click.UsageError(
                f"{edge}: address.control is not set, so the instance has no control socket"
            )
        control = Path(settings.control)
    try:
        return send_command(control, command)
    except OSError as error:
        raise click.UsageError(
            f"{control}: no instance listens on this socket ({error.strerror or error})"
        ) from None
    except ValueError as error:
        raise click.ClickException(str(error)) from None


_edge_option = click.option("--edge", type=click.Path(path_type=Path), help="the instance's edge file")
_control_option = click.option(
    "--control", type=click.Path(path_type=Path), help="the instance's control socket, instead of --edge"
)


@address.command()
@_edge_option
@_control_option
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def status(edge: Path | None, control: Path | None, as_json: bool) -> int:
    """Show who holds the address, with its token and votes, and why this instance does not.

    Exits with 0 if this instance knows of a holder, 1 if not, and 2 if no instance can be reached.

    \b
    Example:
      lockspoke address status --edge deploy/edge.toml
    """
    answer = _send_command(edge, control, {"do": "status"})
    if as_json:
        click.echo(json.dumps(answer, indent=2))
    else:
        _print_status(answer)
    return 0 if answer["holder"] else 1


def _print_status(status: JsonObject) -> None:
    table = Table.grid(padding=(0, 2))
    for name, value in _status_rows(status):
        if value not in (None, ""):
            table.add_row(name, str(value))
    console().print(table)


def _status_rows(status: JsonObject) -> list[tuple[str, object]]:
    health, remaining_lease_ms = status["health"], status["lease_left_ms"]
    return [
        ("instance", f"{status['name']} ({status['role']}, for {status['since_ms'] / 1000:.0f} s)"),
        ("holder", status["holder"] or "none known"),
        ("token", status["token"]),
        ("term", status["term"]),
        ("lease left", f"{remaining_lease_ms} ms" if remaining_lease_ms is not None else None),
        ("votes", ", ".join(status["votes"])),
        ("why not holder", "; ".join(status["why_not"])),
        ("healthy", f"{'yes' if health['fit'] else 'no'}, penalty {health['penalty']:g}"),
        ("members", ", ".join(status["members"])),
        ("witnesses", ", ".join(status["witnesses"])),
        ("fault tolerance", status["survives"]),
        ("generation", f"{status['generation']}, {'settled' if status['settled'] else 'not settled yet'}"),
        *(("mismatch", f"{name} {reason}") for name, reason in status["mismatches"].items()),
        ("record error", status["record_failing"]),
        ("refused", ", ".join(f"{count} {reason}" for reason, count in status["refused"].items())),
    ]


@address.command()
@_edge_option
@_control_option
@click.option("--to", "successor", required=True, help="the member that becomes the holder")
def move(edge: Path | None, control: Path | None, successor: str) -> None:
    """Move the address from this instance, which must hold it, to another member that is ready.

    \b
    Example:
      lockspoke address move --to gw2 --edge deploy/edge.toml
    """
    click.echo(_send_command(edge, control, {"do": "move", "to": successor})["done"])


@address.command("hold-down")
@_edge_option
@_control_option
@click.option("--for", "seconds", type=click.FloatRange(0, 86400), default=3600.0, show_default=True)
@click.option("--off", is_flag=True, help="end the hold-down")
def hold_down(edge: Path | None, control: Path | None, seconds: float, off: bool) -> None:
    """Keep this instance from holding the address for some seconds; it still votes.

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
    """The announcer of a witness. A witness never holds the address, so it announces nothing."""

    def claim(self, token: int, lease_until: Callable[[], int]) -> None:
        """Never called."""

    def withdraw(self, reason: str) -> None:
        """Never called."""


@address.command()
@click.option("--edge", type=click.Path(path_type=Path), required=True, help="the edge file of the witness")
@click.option("--name", default="", help="the witness's name among the members, instead of that in the file")
def witness(edge: Path, name: str) -> int:
    """Run a witness: a member without a gateway that votes but never holds the address.

    SIGHUP reloads the edge file; SIGTERM stops the witness.

    \b
    Example:
      lockspoke address witness --edge deploy/witness.toml --name third
    """
    settings = _read_settings(edge)
    name = name or settings.name
    if name not in settings.witnesses:
        raise click.UsageError(f"{name!r} is not in address.witnesses ({', '.join(settings.witnesses)})")
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

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
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
