"""Clocks of the node.

Deadlines and leases use a monotonic clock that, where the system has one, keeps
counting while the host is suspended: they then expire as they do on other hosts.
"""

from __future__ import annotations

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_clock() -> float:
    """Return the monotonic time in seconds since an arbitrary epoch."""
    return time.clock_gettime(_CLOCK)


def read_wall_clock_ms() -> int:
    """Return the Unix time in milliseconds; used for IDs, never for durations."""
    return time.time_ns() // 1_000_000
