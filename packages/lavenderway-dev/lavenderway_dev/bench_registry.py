"""Registry of benchmarks by name."""

from __future__ import annotations

from collections.abc import Callable

Benchmark = Callable[[], None]
BENCHMARKS: dict[str, Benchmark] = {}


def benchmark(name: str) -> Callable[[Benchmark], Benchmark]:
    """Return a decorator that registers a benchmark under a name."""

    def register(function: Benchmark) -> Benchmark:
        BENCHMARKS[name] = function
        return function

    return register


def quantile(values: list[float], ratio: float) -> float:
    """Return the nearest-rank quantile of values; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))]
