"""Command that runs the benchmarks named as arguments, or all of them."""

from __future__ import annotations

import sys

from lavenderway_dev import (
    bench_control,
    bench_hops,
    bench_learned,
    bench_limits,
    bench_overload,
    bench_rates,
    bench_shares,
    bench_views,
)
from lavenderway_dev.bench_registry import BENCHMARKS

MODULES = (
    bench_hops,
    bench_rates,
    bench_control,
    bench_overload,
    bench_limits,
    bench_views,
    bench_learned,
    bench_shares,
)


def main() -> int:
    """Run the selected benchmarks; return the exit code, 2 for unknown names."""
    names = sys.argv[1:] or list(BENCHMARKS)
    unknown = [name for name in names if name not in BENCHMARKS]
    if unknown:
        print(f"unknown: {', '.join(unknown)}; expected: {', '.join(BENCHMARKS)}")
        return 2
    for name in names:
        print(f"== {name}")
        BENCHMARKS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
