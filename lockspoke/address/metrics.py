"""The election's numbers for Prometheus, on a port of their own."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector


class AddressCollector(Collector):
    """Makes metrics from a member's status when they are asked for."""

    def __init__(self, status: Callable[[], dict[str, Any]]) -> None:
        self.status = status

    def collect(self) -> Iterable[Metric]:
        """All of them."""
        now = self.status()
        for name, what, value in (
            ("holds", "1 while this instance has the address.", float(now["role"] == "holding")),
            ("fit", "1 while this instance can serve.", float(now["health"]["fit"])),
            ("penalty", "Flap damping's penalty.", now["health"]["penalty"]),
            ("term", "The highest term known.", now["term"]),
            ("generation", "The generation of the list of members.", now["generation"]),
            ("lease_left_seconds", "What is left of its lease.", (now["lease_left_ms"] or 0) / 1000),
            ("mismatched_members", "Members whose list does not go with this one.", len(now["mismatches"])),
        ):
            yield GaugeMetricFamily(f"lockspoke_address_{name}", what, value=value)
        for name, what, value in (
            ("moves", "Times that the address has come here.", now["moves"]),
            ("datagrams_sent", "Datagrams sent to members.", now["sent"]),
            ("datagrams_received", "Datagrams proven to be a member's.", now["received"]),
        ):
            yield CounterMetricFamily(f"lockspoke_address_{name}", what, value=value)
        refused = CounterMetricFamily(
            "lockspoke_address_datagrams_refused", "Datagrams not taken, by reason.", labels=["reason"]
        )
        for reason, count in now["refused"].items():
            refused.add_metric([reason], count)
        yield refused


def serve(address: tuple[str, int], status: Callable[[], dict[str, Any]]) -> Callable[[], None]:
    """Answer `GET /metrics` from a thread; gives what ends it. Raises OSError."""
    registry = CollectorRegistry()
    registry.register(AddressCollector(status))
    server, thread = start_http_server(address[1], address[0], registry)

    def end() -> None:
        server.shutdown()
        server.server_close()
        thread.join(5)

    return end
