"""Counters, gauges and latency histograms as text for a metrics collector."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

PREFIX = "lavenderway"
# Upper bounds in seconds, from one hop to the longest deadline.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)

Labels = tuple[tuple[str, str], ...]


_ANSWERED = ("requests", (("outcome", "answered"),))


class Metrics:
    """Metrics of one node, in the text format of Prometheus."""

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, Labels]] = Counter()
        self._gauges: dict[str, Callable[[], float]] = {}
        self._histograms: dict[tuple[str, str], list[int]] = {}
        self._sums: Counter[tuple[str, str]] = Counter()

    def count(self, name: str, **labels: str) -> None:
        """Raise a counter by one."""
        self._counters[name, tuple(labels.items())] += 1

    def count_answered(self) -> None:
        """Raise the counter of answered requests by one."""
        self._counters[_ANSWERED] += 1

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read when the metrics are collected."""
        self._gauges[name] = read

    def observe(self, workspace: str, importance: str, elapsed_s: float) -> None:
        """Add the duration of a request that was answered."""
        key = (workspace, importance)
        counts = self._histograms.get(key)
        if counts is None:
            counts = self._histograms[key] = [0] * (len(BUCKETS_S) + 1)
        counts[bisect_left(BUCKETS_S, elapsed_s)] += 1
        self._sums[key] += elapsed_s  # type: ignore[assignment]

    def render(self) -> bytes:
        """Return all metrics as text."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(f"{PREFIX}_{name}_total{_braces(labels)} {value}")
        for name, read in sorted(self._gauges.items()):
            lines.append(f"{PREFIX}_{name} {read():g}")
        for (workspace, importance), counts in sorted(self._histograms.items()):
            labels = (("workspace", workspace), ("importance", importance))
            lines += self._render_histogram(labels, counts)
        return ("\n".join(lines) + "\n").encode()

    def _render_histogram(self, labels: Labels, counts: list[int]) -> list[str]:
        name = f"{PREFIX}_request_seconds"
        lines = []
        total = 0
        for bound, count in zip((*BUCKETS_S, "+Inf"), counts, strict=True):
            total += count
            braces = _braces((*labels, ("le", str(bound))))
            lines.append(f"{name}_bucket{braces} {total}")
        key = (labels[0][1], labels[1][1])
        lines.append(f"{name}_sum{_braces(labels)} {self._sums[key]:.6f}")
        lines.append(f"{name}_count{_braces(labels)} {total}")
        return lines


def _braces(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in labels) + "}"
