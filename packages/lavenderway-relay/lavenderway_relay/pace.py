"""Measures whether a client keeps pace with what it has begun.

Designed for clients that stop, or send or read a byte now and then, to keep memory or a
connection that others need. The same measure decides who gives way for memory and for
connections.
"""

from __future__ import annotations

import math

# Bytes a second of a slow mobile line; a client below it is stalled.
MIN_PROGRESS_BYTES_PER_S = 8_192
STALL_GRACE_S = 2.0  # a pause of a live connection is shorter
MAX_DEBT_S = 10.0  # a client that goes on at a good pace is on pace again soon
# Longest time between two ticks that counts; in a longer one, the process did not run.
MAX_STEP_S = 0.25


class Pace:
    """Progress of one client against the time that it has taken.

    Args:
        now: Time of the `PaceClock` in seconds.

    Attributes:
        on_pace_until: Time until which the client is fast enough, even without any
            further progress, in seconds.
        progress_bytes: Bytes that the client has sent or taken since it began.

    """

    __slots__ = ("on_pace_until", "progress_bytes")

    def __init__(self, *, now: float) -> None:
        self.on_pace_until = now + STALL_GRACE_S
        self.progress_bytes = 0

    def restart(self, now: float) -> None:
        """Begin anew, as the client had nothing to do, or had to wait for this node."""
        self.on_pace_until = max(self.on_pace_until, now + STALL_GRACE_S)
        self.progress_bytes = 0

    def record_progress(self, byte_count: int, now: float) -> None:
        """Record bytes that the client has sent or taken.

        What it did not do in time stays owed, up to a maximum, so that a byte now and
        then does not make a client look fast.
        """
        self.progress_bytes += byte_count
        earned_s = byte_count / MIN_PROGRESS_BYTES_PER_S
        until = max(self.on_pace_until, now - MAX_DEBT_S) + earned_s
        self.on_pace_until = min(until, now + STALL_GRACE_S)

    def stalled_s(self, now: float) -> float:
        """Return for how long the client has been too slow; 0.0 if it is not."""
        return max(0.0, now - self.on_pace_until)


class PaceClock:
    """Time in which clients can make progress.

    Stands still while the process does not run, for example as it was suspended: what
    clients sent or took meanwhile is not known yet.

    Attributes:
        now: Time in seconds, since any moment.

    """

    __slots__ = ("_ticked_at", "now")

    def __init__(self) -> None:
        self._ticked_at = math.inf
        self.now = 0.0

    def advance(self, loop_now: float) -> None:
        """Record a tick.

        Args:
            loop_now: Time of the event loop in seconds.

        """
        self.now += min(max(0.0, loop_now - self._ticked_at), MAX_STEP_S)
        self._ticked_at = loop_now
