"""The command `lockspoke config check`: checks the gateway's JSON file, edge files and batch files."""

from __future__ import annotations

from pathlib import Path

import click

from lockspoke.lifecycle.config import ConfigError, GatewayConfig
from lockspoke.lifecycle.config_file import read_config
from lockspoke.lifecycle.edge_file import read_batch_file, read_edge
from lockspoke.lifecycle.subsystems import SubsystemContext


@click.group()
def config() -> None:
    """Check configuration files."""


@config.command()
@click.option("--edge", type=click.Path(path_type=Path), help="the edge file")
@click.option("--batch", type=click.Path(path_type=Path), help="a file that configures only the batch front")
@click.option("--gateway", type=click.Path(path_type=Path), help="the gateway's JSON file, as in NODE_CONFIG")
@click.pass_context
def check(context: click.Context, edge: Path | None, batch: Path | None, gateway: Path | None) -> int:
    """Check configuration files and print each error with its key and line.

    With --gateway, the sections are also checked against the gateway's classes and zones. Exits with 0 if
    there are no errors, 1 if there are some, and 2 on wrong usage.

    \b
    Examples:
      lockspoke config check --edge deploy/edge.toml
      lockspoke config check --edge deploy/edge.toml --gateway /run/balancer/config.json
    """
    if edge is None and batch is None and gateway is None:
        raise click.UsageError("at least one of --edge, --batch and --gateway is required", context)
    errors: list[str] = []
    gateway_config = _check_gateway(gateway, errors) if gateway is not None else None
    for path, read in ((edge, read_edge), (batch, read_batch_file)):
        if path is None:
            continue
        try:
            sections = read(path)
            section_names = ", ".join(f"[{section.name}]" for section in sections) or "no section"
            if gateway_config is not None:
                for section in sections:
                    section.create(section.settings, SubsystemContext(gateway_config, {}, path.parent))
            click.echo(f"{path}: {section_names}")
        except ConfigError as error:
            errors.append(str(error))
    for message in errors:
        click.echo(message, err=True)
    return 1 if errors else 0


def _check_gateway(path: Path, errors: list[str]) -> GatewayConfig | None:
    """Read the gateway's JSON file and print a summary; if it is invalid, add to `errors` and return None."""
    try:
        gateway_config = read_config({"NODE_CONFIG": str(path), "NODE_LISTEN": "127.0.0.1:0"})
    except (ConfigError, OSError) as error:
        errors.append(f"{path}: {error}")
        return None
    zones = ", ".join(gateway_config.zones) or "none"
    click.echo(f"{path}: classes {', '.join(gateway_config.classes)}; zones {zones}")
    return gateway_config
