"""`python -m bench.faults ...`: runs the gateway with the injected faults that FAULT_SETTINGS configures.

The arguments are those of `python -m lockspoke`.
"""

from __future__ import annotations

import os
import sys

from . import machine, network
from .settings import SETTINGS_VARIABLE, decode_settings


def main() -> None:
    """Install the faults, then run the gateway."""
    settings = decode_settings(os.environ[SETTINGS_VARIABLE])
    network.install(settings)
    machine.install_clock(settings)
    machine.install_disk(settings)
    # Imported after the faults are installed, because modules keep the functions that they import.
    from lockspoke.__main__ import main as run_gateway  # noqa: PLC0415

    sys.exit(run_gateway())


if __name__ == "__main__":
    main()
