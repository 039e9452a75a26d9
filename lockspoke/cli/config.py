"""`lockspoke config`: checks the gateway's own file, the edge file and the batch file."""

from __future__ import annotations

from pathlib import Path

import click

from lockspoke.lifecycle.config import ConfigError, GatewayConfig
from lockspoke.lifecycle.config_file import read_config
from lockspoke.lifecycle.edge_file import read_batch_file, read_edge
from lockspoke.lifecycle.subsystems import SubsystemContext


@click.group()
def config() -> None:
    """Look at configurations."""


@config.command()
@click.option("--edge", type=click.Path(path_type=Path), help="the edge file")
@click.option("--batch", type=click.Path(path_type=Path), help="a file of the batch front alone")
@click.option(
    "--gateway", type=click.Path(path_type=Path), help="the gateway's JSON file, as NODE_CONFIG names it"
)
@click.pass_context
def check(context: click.Context, edge: Path | None, batch: Path | None, gateway: Path | None) -> int:
    """Check configuration files; all that is wrong is told, with the key and its line.

    With --gateway, the sections are also held against the gateway's classes and zones. Exits 0 if nothing
    is wrong, 1 if something is, 2 on wrong usage.

    \b
    Examples:
      lockspoke config check --edge deploy/edge.toml
      lockspoke config check --edge deploy/edge.toml --gateway /run/balancer/config.json
    """
    if edge is None and batch is None and gateway is None:
        raise click.UsageError("name at least one of --edge, --batch and --gateway", context)
    faults: list[str] = []
    gateway_config = _check_gateway(gateway, faults) if gateway is not None else None
    for path, read in ((edge, read_edge), (batch, read_batch_file)):
        if path is None:
            continue
        try:
            sections = read(path)
            names = ", ".join(f"[{section.name}]" for section in sections) or "no section"
            if gateway_config is not None:
                for section in sections:
                    section.create(section.settings, SubsystemContext(gateway_config, {}, path.parent))
            click.echo(f"{path}: {names}")
        except ConfigError as error:
            faults.append(str(error))
    for fault in faults:
        click.echo(fault, err=True)
    return 1 if faults else 0


def _check_gateway(path: Path, faults: list[str]) -> GatewayConfig | None:
    """Read the gateway's own file and print a summary; None, with a fault added, if it is not valid."""
    try:
        gateway_config = read_config({"NODE_CONFIG": str(path), "NODE_LISTEN": "127.0.0.1:0"})
    except (ConfigError, OSError) as error:
        faults.append(f"{path}: {error}")
        return None
    zones = ", ".join(gateway_config.zones) or "none"
    click.echo(f"{path}: classes {', '.join(gateway_config.classes)}; zones {zones}")
    return gateway_config
