"""Collects counters, gauges and latency histograms in the Prometheus text format."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

METRIC_PREFIX = "lavenderway"
# Upper bounds of the buckets, from the latency of one hop to the longest deadline.
BUCKET_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)

Labels = tuple[tuple[str, str], ...]


_ANSWERED_KEY = ("requests", (("outcome", "answered"),))


class Metrics:
    """Metrics of one node."""

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, Labels]] = Counter()
        self._gauges: dict[str, Callable[[], float]] = {}
        self._histograms: dict[tuple[str, str], list[int]] = {}
        self._sums: Counter[tuple[str, str]] = Counter()

    def count(self, name: str, **labels: str) -> None:
        """Increment a counter."""
        self._counters[name, tuple(labels.items())] += 1

    def count_answered(self) -> None:
        """Increment the counter of answered requests.

        Uses a precomputed key, as this runs for every successful request.
        """
        self._counters[_ANSWERED_KEY] += 1

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge, whose value is read when the metrics are rendered."""
        self._gauges[name] = read

    def observe_latency(
        self, workspace: str, importance: str, elapsed_s: float
    ) -> None:
        """Record the latency of an answered request in the histograms."""
        key = (workspace, importance)
        counts = self._histograms.get(key)
        if counts is None:
            counts = self._histograms[key] = [0] * (len(BUCKET_BOUNDS_S) + 1)
        counts[bisect_left(BUCKET_BOUNDS_S, elapsed_s)] += 1
        self._sums[key] += elapsed_s  # type: ignore[assignment]

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(
                f"{METRIC_PREFIX}_{name}_total{_format_labels(labels)} {value}"
            )
        for name, read in sorted(self._gauges.items()):
            lines.append(f"{METRIC_PREFIX}_{name} {read():g}")
        for (workspace, importance), counts in sorted(self._histograms.items()):
            labels = (("workspace", workspace), ("importance", importance))
            lines += self._render_histogram(labels, counts)
        return ("\n".join(lines) + "\n").encode()

    def _render_histogram(self, labels: Labels, counts: list[int]) -> list[str]:
        name = f"{METRIC_PREFIX}_request_seconds"
        lines = []
        total = 0
        for bound, count in zip((*BUCKET_BOUNDS_S, "+Inf"), counts, strict=True):
            total += count
            label_text = _format_labels((*labels, ("le", str(bound))))
            lines.append(f"{name}_bucket{label_text} {total}")
        key = (labels[0][1], labels[1][1])
        lines.append(f"{name}_sum{_format_labels(labels)} {self._sums[key]:.6f}")
        lines.append(f"{name}_count{_format_labels(labels)} {total}")
        return lines


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in labels) + "}"
