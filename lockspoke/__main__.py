"""`python -m lockspoke` is the gateway; with a command before anything else it is one of the tools."""

import sys

TOOLS = ("address", "inventory", "config", "completion")


def main() -> int:
    """Run the gateway, or the tool that the first argument names."""
    if sys.argv[1:2] and sys.argv[1] in TOOLS:
        # Imported only here: the gateway lives in little memory and needs nothing of it.
        try:
            from .cli.main import run
        except ModuleNotFoundError as error:
            print(f"lockspoke: {error.name} is not installed; pip install 'lockspoke[cli]'", file=sys.stderr)
            return 2
        return run(sys.argv[1:])
    import signal

    # A new configuration may be told while the program still starts: unblocked once it can be taken up.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from .lifecycle.program import main as gateway

    return gateway()


if __name__ == "__main__":
    sys.exit(main())
