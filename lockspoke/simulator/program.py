"""The loop that plays many instances over standard input and output, for the bench.

One `Balancer` an instance; instances share nothing. Standard output carries replies and nothing else.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from lockspoke.balancing.balancer import Balancer
from lockspoke.balancing.events import Event

from .protocol import (
    LENGTH,
    Provision,
    Record,
    SettingsError,
    Teardown,
    WireError,
    decode_batch,
    encode_action,
    encode_crash,
    encode_reply,
)


class Drill:
    """Keeps the instances that live in this process and hands each its own events."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}

    def play(self, now: int, records: list[Record]) -> list[bytes]:
        """One batch: every instance with events answers them together, in order of its first event."""
        waiting: dict[int, list[Event]] = {}
        for instance, event in records:
            if isinstance(event, Teardown):
                # What came before the kill in this batch is void: answering it would name dead requests.
                waiting.pop(instance, None)
                self.balancers.pop(instance, None)
            elif isinstance(event, Provision):
                waiting.pop(instance, None)
                self.balancers[instance] = Balancer(event.settings, event.seed)
            elif instance in self.balancers:
                waiting.setdefault(instance, []).append(event)
        replies: list[bytes] = []
        for instance, events in waiting.items():
            try:
                actions = self.balancers[instance].handle(now, events)
                replies.extend([encode_action(instance, action) for action in actions])
            except Exception as error:  # the wire asks for every failure of the decisions to be told
                replies.append(encode_crash(instance, f"{type(error).__name__}: {error}"))
        return replies


def _read_exactly(stream: BinaryIO, count: int, what: str) -> bytes:
    data = stream.read(count)
    if data and len(data) < count:
        raise WireError(f"{what} cut short: {len(data)} of {count} bytes")
    return data


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    drill = Drill()
    while head := _read_exactly(source, LENGTH.size, "frame length"):
        (size,) = LENGTH.unpack(head)
        body = _read_exactly(source, size, "frame")
        if len(body) < size:
            raise WireError(f"frame cut short: 0 of {size} bytes")
        now, number, records = decode_batch(body)
        sink.write(encode_reply(number, drill.play(now, records)))
        sink.flush()


def main() -> int:
    """Run on standard input and output; bad input ends it with one plain line and exit code 1."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, SettingsError) as error:
        print(f"lockspoke: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 0
    return 0
