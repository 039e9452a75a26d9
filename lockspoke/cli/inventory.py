"""The group `lockspoke inventory` with its commands."""

from __future__ import annotations

import click

from .inventory_compare import convert, diff, plan
from .inventory_gateway import accept, status, watch
from .inventory_show import check, codes, show


@click.group()
def inventory() -> None:
    """Check, show, compare and convert lists of workers in files."""


for _command in (check, codes, show, diff, plan, convert, status, accept, watch):
    inventory.add_command(_command)
