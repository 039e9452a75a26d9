"""The command `lockspoke` with its groups; the gateway itself is what runs without one."""

from __future__ import annotations

import sys

import click
from click.shell_completion import get_completion_class

from . import gateway_inventory  # noqa: F401 - adds its commands to the group
from .address import address
from .config import config
from .inventory import inventory


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
def cli() -> None:
    """Tools beside the gateway.

    Without a command, `lockspoke` is the gateway; see its --help with no command before it.
    """


@cli.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print what makes a shell complete these commands.

    \b
    Example:
      lockspoke completion bash >> ~/.bashrc
    """
    found = get_completion_class(shell)
    assert found is not None
    click.echo(found(cli, {}, "lockspoke", "_LOCKSPOKE_COMPLETE").source())


cli.add_command(address)
cli.add_command(inventory)
cli.add_command(config)


def run(arguments: list[str]) -> int:
    """Run a command; gives the exit code."""
    try:
        done = cli.main(arguments, prog_name="lockspoke", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.exceptions.Abort:
        return 130
    except BrokenPipeError:  # the reader of a pipe has seen enough
        sys.stderr.close()
        return 0
    return done if isinstance(done, int) else 0
