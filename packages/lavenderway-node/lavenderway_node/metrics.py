"""Counters for statsd and latency histograms by workspace and importance."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import statsd
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from lavenderway_core.importance import Importance

    from lavenderway_node.settings import Address

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
STATSD_PREFIX = "lavenderway"


class HistogramKey(NamedTuple):
    """Labels that identify a histogram."""

    workspace: str
    importance: str
    outcome: str


class HistogramSummary(NamedTuple):
    """Summary of one histogram.

    Attributes:
        total: Number of recorded requests.
        quantiles_ms: Latency in milliseconds by percentile, such as `p99`.

    """

    workspace: str
    importance: str
    outcome: str
    total: int
    quantiles_ms: dict[str, float]


class Metrics:
    """Counters and histograms of a node.

    Args:
        address: Address of the statsd server; if None, the counters are not sent.

    """

    def __init__(self, *, address: Address | None) -> None:
        self.counters: Counter[str] = Counter()
        self._histograms: dict[HistogramKey, HdrHistogram] = {}
        self._unflushed: Counter[str] = Counter()
        self._client = None
        if address is not None:
            self._client = statsd.StatsClient(
                host=address.ip, port=address.port, prefix=STATSD_PREFIX
            )

    def count(self, metric: str, amount: int = 1) -> None:
        """Increment a counter."""
        self.counters[metric] += amount
        if self._client is not None:
            self._unflushed[metric] += amount

    def record_latency(
        self,
        workspace: str | None,
        importance: Importance,
        outcome: str,
        elapsed_s: float,
    ) -> None:
        """Record the latency of one request in its histogram."""
        key = HistogramKey(workspace or "-", importance.label, outcome)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        histogram.record_value(max(MIN_LATENCY_US, int(elapsed_s * 1e6)))

    def flush(self) -> None:
        """Send the increments since the last flush to statsd."""
        if self._client is None or not self._unflushed:
            return
        with self._client.pipeline() as pipeline:
            for metric, amount in self._unflushed.items():
                pipeline.incr(metric, amount)
        self._unflushed.clear()

    def summarize(self) -> list[HistogramSummary]:
        """Return a summary of every histogram."""
        return [
            HistogramSummary(
                key.workspace,
                key.importance,
                key.outcome,
                histogram.get_total_count(),
                {
                    f"p{percentile:g}": histogram.get_value_at_percentile(percentile)
                    / 1000
                    for percentile in PERCENTILES
                },
            )
            for key, histogram in sorted(self._histograms.items())
        ]
