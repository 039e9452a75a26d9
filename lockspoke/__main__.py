"""The command `lockspoke`: runs the gateway, or one of the tools if the first argument names one."""

import signal
import sys

TOOLS = ("address", "inventory", "config", "completion")
EXIT_WRONG_USAGE = 2


def main() -> int:
    """Run the gateway or a tool; returns the exit code."""
    if sys.argv[1:2] and sys.argv[1] in TOOLS:
        return _run_tool(sys.argv[1:])
    return _run_gateway()


def _run_tool(arguments: list[str]) -> int:
    try:
        from .cli.main import run  # noqa: PLC0415 - a gateway has to run without the tools' libraries
    except ModuleNotFoundError as error:
        print(f"lockspoke: {error.name} is not installed; pip install 'lockspoke[cli]'", file=sys.stderr)
        return EXIT_WRONG_USAGE
    return run(arguments)


def _run_gateway() -> int:
    # A reload may be requested while the program is still loading; it is unblocked once it can be handled.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from .lifecycle.command_line import main as run_gateway  # noqa: PLC0415 - only after SIGHUP is blocked

    return run_gateway()


if __name__ == "__main__":
    sys.exit(main())
