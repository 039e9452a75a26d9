"""The command that runs a gateway.

It imports few modules because a gateway has to run in little memory: it uses argparse instead of click and
imports the reader of the edge file only if there is such a file.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from collections.abc import Mapping, Sequence
from functools import partial
from pathlib import Path

import structlog

from .composition import build_gateway
from .config import ConfigError, GatewayConfig
from .config_file import read_config
from .event_loop import ArrivalTrackingLoop
from .logging_setup import start_logging
from .operator_state_file import operator_state_path
from .program import Program
from .reload import ConfigReloader, SectionReader
from .subsystems import SubsystemContext

EXIT_FAILED = 1  # A system call failed, such as binding the listen address.
EXIT_INVALID_CONFIG = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one gateway until a signal stops it; returns the exit code."""
    options = _parse(arguments)
    start_logging()
    try:
        config = read_config(os.environ)
        structlog.contextvars.bind_contextvars(gateway=config.name)
        with asyncio.Runner(loop_factory=ArrivalTrackingLoop) as runner:
            runner.run(_run(config, os.environ, options.edge, options.batch))
    except ConfigError as error:
        print(f"lockspoke: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIG
    except OSError as error:
        print(f"lockspoke: {error}", file=sys.stderr)
        return EXIT_FAILED
    return 0


def _parse(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="lockspoke",
        description="A gateway for language-model replicas.",
        epilog="See also: lockspoke inventory --help, lockspoke config --help.",
    )
    files = parser.add_mutually_exclusive_group()
    files.add_argument(
        "--edge", type=Path, metavar="FILE", help="edge file, with a section for each subsystem to run"
    )
    files.add_argument(
        "--batch", type=Path, metavar="FILE", help="configuration file of only the batch front"
    )
    return parser.parse_args(arguments)


async def _run(
    config: GatewayConfig, environment: Mapping[str, str], edge: Path | None, batch: Path | None
) -> None:
    read_sections = _section_reader(edge, batch)
    context = SubsystemContext(config, environment, (edge or batch or Path()).parent)
    subsystems = [section.create(section.settings, context) for section in read_sections()]
    gateway = build_gateway(config, subsystems, operator_state_path(environment, config.name))
    reloader = ConfigReloader(gateway, environment, read_sections)
    await Program(gateway, reloader).run()


def _section_reader(edge: Path | None, batch: Path | None) -> SectionReader:
    if edge is None and batch is None:
        return tuple  # no sections
    from .edge_file import (  # noqa: PLC0415 - imports msgspec, which is needed only with such a file
        read_batch_file,
        read_edge,
    )

    if edge is not None:
        return partial(read_edge, edge)
    return partial(read_batch_file, batch or Path())
