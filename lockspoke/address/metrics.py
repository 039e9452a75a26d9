"""Serves the metrics of a member in the Prometheus format on a separate port."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from .control import JsonObject

STOP_TIMEOUT_SECONDS = 5


class AddressCollector(Collector):
    """Creates metrics from the status of a member at each scrape."""

    def __init__(self, status: Callable[[], JsonObject]) -> None:
        self.status = status

    def collect(self) -> Iterable[Metric]:
        """Return all metrics."""
        status = self.status()
        yield from _gauges(status)
        for name, description, value in (
            ("moves", "Times that the address has come here.", status["moves"]),
            ("datagrams_sent", "Datagrams sent to members.", status["sent"]),
            ("datagrams_received", "Datagrams proven to be a member's.", status["received"]),
        ):
            yield CounterMetricFamily(f"lockspoke_address_{name}", description, value=value)
        rejected = CounterMetricFamily(
            "lockspoke_address_datagrams_refused", "Datagrams not taken, by reason.", labels=["reason"]
        )
        for reason, count in status["refused"].items():
            rejected.add_metric([reason], count)
        yield rejected


def _gauges(status: JsonObject) -> Iterable[Metric]:
    remaining_seconds = (status["lease_left_ms"] or 0) / 1000
    mismatches = len(status["mismatches"])
    for name, description, value in (
        ("holds", "1 while this instance has the address.", float(status["role"] == "holding")),
        ("fit", "1 while this instance can serve.", float(status["health"]["fit"])),
        ("penalty", "Flap damping's penalty.", status["health"]["penalty"]),
        ("term", "The highest term known.", status["term"]),
        ("generation", "The generation of the list of members.", status["generation"]),
        ("lease_left_seconds", "What is left of its lease.", remaining_seconds),
        ("mismatched_members", "Members whose list does not go with this one.", mismatches),
    ):
        yield GaugeMetricFamily(f"lockspoke_address_{name}", description, value=value)


def serve(address: tuple[str, int], status: Callable[[], JsonObject]) -> Callable[[], None]:
    """Serve `GET /metrics` from a thread; returns the function that stops it. Raises OSError."""
    collectors = CollectorRegistry()
    collectors.register(AddressCollector(status))
    server, thread = start_http_server(address[1], address[0], collectors)

    def stop() -> None:
        server.shutdown()
        server.server_close()
        thread.join(STOP_TIMEOUT_SECONDS)

    return stop
