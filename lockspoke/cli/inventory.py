"""The command group `lockspoke inventory`."""

from __future__ import annotations

import click

from .inventory_compare import convert, diff, plan
from .inventory_gateway import accept, status, watch
from .inventory_show import check, codes, show


@click.group()
def inventory() -> None:
    """Check, show, compare, convert and watch files that list workers."""


for _command in (check, codes, show, diff, plan, convert, status, accept, watch):
    inventory.add_command(_command)
