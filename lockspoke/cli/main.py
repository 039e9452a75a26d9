"""The command `lockspoke` with its groups of commands. Without a command, the gateway itself runs."""

from __future__ import annotations

import sys

import click
from click.shell_completion import BashComplete, FishComplete, ShellComplete, ZshComplete

from .address import address
from .config import config
from .inventory import inventory

ABORTED = 130  # the exit code after Ctrl-C, as shells have it

_COMPLETE_CLASSES: dict[str, type[ShellComplete]] = {
    "bash": BashComplete,
    "zsh": ZshComplete,
    "fish": FishComplete,
}


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
def cli() -> None:
    """Tools beside the gateway.

    Without a command, `lockspoke` is the gateway; see its --help with no command before it.
    """


@cli.command()
@click.argument("shell", type=click.Choice(list(_COMPLETE_CLASSES)))
def completion(shell: str) -> None:
    """Print what makes a shell complete these commands.

    \b
    Example:
      lockspoke completion bash >> ~/.bashrc
    """
    complete = _COMPLETE_CLASSES[shell](cli, {}, "lockspoke", "_LOCKSPOKE_COMPLETE")
    click.echo(complete.source())


cli.add_command(address)
cli.add_command(inventory)
cli.add_command(config)


def run(arguments: list[str]) -> int:
    """Run a command and return its exit code."""
    try:
        done = cli.main(arguments, prog_name="lockspoke", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.exceptions.Abort:
        return ABORTED
    except BrokenPipeError:  # the reader of the pipe has ended
        sys.stderr.close()
        return 0
    return done if isinstance(done, int) else 0
