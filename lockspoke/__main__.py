"""The command `lockspoke`, which runs the gateway or, if the first argument names a tool, that tool."""

import signal
import sys

TOOLS = ("address", "inventory", "config", "completion")
EXIT_USAGE_ERROR = 2


def main() -> int:
    """Run the gateway or a tool; returns the exit code."""
    if sys.argv[1:2] and sys.argv[1] in TOOLS:
        return _run_tool(sys.argv[1:])
    return _run_gateway()


def _run_tool(arguments: list[str]) -> int:
    try:
        from .cli.main import run  # noqa: PLC0415 - the gateway runs without the libraries of the tools
    except ModuleNotFoundError as error:
        print(f"lockspoke: {error.name} is not installed; pip install 'lockspoke[cli]'", file=sys.stderr)
        return EXIT_USAGE_ERROR
    return run(arguments)


def _run_gateway() -> int:
    # SIGHUP requests a reload and may arrive during the imports. It is unblocked when its handler is set.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from .lifecycle.command_line import main as run_gateway  # noqa: PLC0415 - only after SIGHUP is blocked

    return run_gateway()


if __name__ == "__main__":
    sys.exit(main())
