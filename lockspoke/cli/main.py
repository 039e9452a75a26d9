"""The command-line tools of `lockspoke`. Without one of these commands, `lockspoke` runs a gateway."""

from __future__ import annotations

import sys

import click
from click.shell_completion import BashComplete, FishComplete, ShellComplete, ZshComplete

from .address import address
from .config import config
from .inventory import inventory

EXIT_ABORTED = 130  # after Ctrl-C, as in shells

_COMPLETE_CLASSES: dict[str, type[ShellComplete]] = {
    "bash": BashComplete,
    "zsh": ZshComplete,
    "fish": FishComplete,
}


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
def cli() -> None:
    """Tools for use with a gateway.

    Without a command, `lockspoke` runs a gateway; see `lockspoke --help`.
    """


@cli.command()
@click.argument("shell", type=click.Choice(list(_COMPLETE_CLASSES)))
def completion(shell: str) -> None:
    """Print a script that makes a shell complete these commands.

    \b
    Example:
      lockspoke completion bash >> ~/.bashrc
    """
    shell_complete = _COMPLETE_CLASSES[shell](cli, {}, "lockspoke", "_LOCKSPOKE_COMPLETE")
    click.echo(shell_complete.source())


cli.add_command(address)
cli.add_command(inventory)
cli.add_command(config)


def run(arguments: list[str]) -> int:
    """Run a command and return its exit code."""
    try:
        result = cli.main(arguments, prog_name="lockspoke", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.exceptions.Abort:
        return EXIT_ABORTED
    except BrokenPipeError:  # the process that reads the output has exited
        sys.stderr.close()
        return 0
    return result if isinstance(result, int) else 0
