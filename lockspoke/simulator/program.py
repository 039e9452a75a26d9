"""Runs many gateway instances in one process for the simulator, over standard input and output.

Each instance has a `Balancer` of its own; instances share nothing. Standard output carries replies only.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from lockspoke.balancing import Balancer
from lockspoke.balancing.events import Event
from lockspoke.balancing.settings_reader import SettingsError

from .decoder import decode_batch
from .encoder import encode_action, encode_crash, encode_reply
from .framing import WireError, read_frame
from .messages import InstanceRecord, Provision, Teardown


class SimulatedGateways:
    """The gateway instances of this process, by number."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}

    def handle(self, now: int, records: list[InstanceRecord]) -> list[bytes]:
        """Apply one batch; return the encoded actions.

        They are grouped by instance, in the order of the first event of each instance.
        """
        replies: list[bytes] = []
        for instance, events in self._collect_events(records).items():
            try:
                actions = self.balancers[instance].handle(now, events)
                replies.extend([encode_action(instance, action) for action in actions])
            except Exception as error:  # the protocol has a record for the crash of one instance
                replies.append(encode_crash(instance, f"{type(error).__name__}: {error}"))
        return replies

    def _collect_events(self, records: list[InstanceRecord]) -> dict[int, list[Event]]:
        """Start and stop instances; return the events of each instance that runs at the end of the batch."""
        events: dict[int, list[Event]] = {}
        for instance, event in records:
            if isinstance(event, Teardown):
                # Earlier events are dropped: the actions for them would name requests that no longer exist.
                events.pop(instance, None)
                self.balancers.pop(instance, None)
            elif isinstance(event, Provision):
                events.pop(instance, None)
                self.balancers[instance] = Balancer(event.settings, event.seed)
            elif instance in self.balancers:
                events.setdefault(instance, []).append(event)
        return events


def run(source: BinaryIO, destination: BinaryIO) -> None:
    """Answer batches until the input ends.

    Raises:
        WireError: The input does not follow the protocol.
        SettingsError: The settings of an instance are invalid.
    """
    gateways = SimulatedGateways()
    while (frame := read_frame(source)) is not None:
        batch = decode_batch(frame)
        destination.write(encode_reply(batch.number, gateways.handle(batch.now, batch.records)))
        destination.flush()


def main() -> int:
    """Run on standard input and output; return the exit code.

    Malformed input ends the run with exit code 1 and one line on standard error.
    """
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, SettingsError) as error:
        print(f"lockspoke: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 0
    return 0
