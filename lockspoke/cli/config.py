"""`lockspoke config`: whether a gateway's own file and the edge file can be started with."""

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
    around: GatewayConfig | None = None
    if gateway is not None:
        try:
            around = read_config({"NODE_CONFIG": str(gateway), "NODE_LISTEN": "127.0.0.1:0"})
            click.echo(
                f"{gateway}: classes {', '.join(around.classes)}; zones {', '.join(around.zones) or 'none'}"
            )
        except (ConfigError, OSError) as error:
            faults.append(f"{gateway}: {error}")
    for path, read in ((edge, read_edge), (batch, read_batch_file)):
        if path is None:
            continue
        try:
            sections = read(path)
            names = ", ".join(f"[{section.name}]" for section in sections) or "no section"
            if around is not None:
                for section in sections:
                    section.create(section.settings, SubsystemContext(around, {}, path.parent))
            click.echo(f"{path}: {names}")
        except ConfigError as error:
            faults.append(str(error))
    for fault in faults:
        click.echo(fault, err=True)
    return 1 if faults else 0
