"""The node's clock: monotonic, and running on while the host is suspended."""

from __future__ import annotations

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_clock() -> float:
    """Return the present time in seconds since an arbitrary start."""
    return time.clock_gettime(_CLOCK)


def read_wall_clock_ms() -> int:
    """Return the time of day in milliseconds since 1970, for ids only."""
    return time.time_ns() // 1_000_000
