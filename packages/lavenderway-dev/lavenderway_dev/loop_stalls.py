"""Record of the periods in which the event loop of a test run did not run.

What clients in the process observe during a stall, such as the end of a connection, is
dated to its end.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import asyncio

POLL_INTERVAL_S = 0.02
MIN_STALL_S = 0.05


class Stall(NamedTuple):
    """A period in which the event loop did not run its timers.

    Attributes:
        started_at: Time of the event loop, in seconds.
        ended_at: Time of the event loop, in seconds.
        processor_s: Processor time that the process used meanwhile, in seconds.

    """

    started_at: float
    ended_at: float
    processor_s: float


class StallRecorder:
    """Records the stalls of an event loop from `start` to `stop`.

    Args:
        loop: The event loop.

    Attributes:
        stalls: Recorded stalls, in order of time.

    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self.stalls: list[Stall] = []
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start recording."""
        self._schedule(self._loop.time())

    def stop(self) -> None:
        """Stop recording."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self, now: float) -> None:
        due = now + POLL_INTERVAL_S
        self._timer = self._loop.call_at(due, self._poll, due, time.process_time())

    def _poll(self, due: float, processor_s: float) -> None:
        now = self._loop.time()
        if now - due >= MIN_STALL_S:
            self.stalls.append(Stall(due, now, time.process_time() - processor_s))
        self._schedule(now)


def find_stalls(stalls: list[Stall], since: float, until: float) -> list[Stall]:
    """Return the parts of the stalls in a period, in order of time."""
    return [
        stall._replace(
            started_at=max(stall.started_at, since), ended_at=min(stall.ended_at, until)
        )
        for stall in stalls
        if stall.started_at < until and stall.ended_at > since
    ]


def measure_stalls(stalls: list[Stall], since: float, until: float) -> float:
    """Return the time in a period that passed in stalls, in seconds."""
    parts = find_stalls(stalls, since, until)
    return sum(part.ended_at - part.started_at for part in parts)
