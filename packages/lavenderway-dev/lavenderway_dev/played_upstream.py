"""Plays arrivals on one upstream behind a concurrency limit, in virtual time."""

from __future__ import annotations

import heapq
import math
import random
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable

SLOTS = 60
RUN_S = 0.1
CALLER_PATIENCE_S = 2.0


class LimitPolicy(Protocol):
    """Decides how many requests run at once."""

    @property
    def limit(self) -> float:
        """Requests that may run at once."""

    def record_run(self, own_s: float, *, concurrency: float, kind: Hashable) -> None:
        """Record a run that has ended."""

    def update(self, now: float, *, waiting: bool) -> bool:
        """Change the limit; return whether it has changed."""


class PlayedUpstream:
    """Plays arrivals on an upstream with a limit.

    Args:
        policy: Limits the concurrency.
        slow_down: Returns the factor of the run time, by concurrency and time.
        rate: Returns the requests per second, by time.
        seed: Seed of the arrivals and run times.
        patience_s: Longest wait in the queue, in seconds.

    """

    def __init__(
        self,
        *,
        policy: LimitPolicy,
        slow_down: Callable[[int, float], float],
        rate: Callable[[float], float],
        seed: int,
        patience_s: float = CALLER_PATIENCE_S,
    ) -> None:
        self.policy = policy
        self.now = 0.0
        self.arrivals = 0
        self.latencies: list[tuple[float, float]] = []  # begin, time until the end
        self.limits: list[tuple[float, float]] = []
        self._random = random.Random(seed)
        self._patience_s = patience_s
        self._slow_down = slow_down
        self._rate = rate
        self._running: list[tuple[float, float, float, float]] = []
        self._queue: list[float] = []

    def play(self, seconds: float) -> None:
        """Play arrivals for a while."""
        end = self.now + seconds
        arrival = self.now + self._random.expovariate(self._rate(self.now))
        while self.now < end:
            next_end = self._running[0][0] if self._running else math.inf
            self.now = min(arrival, next_end)
            if arrival <= next_end:
                self.arrivals += 1
                self._queue.append(arrival)
                arrival = self.now + self._random.expovariate(self._rate(self.now))
            else:
                _, began, arrived, before = heapq.heappop(self._running)
                self.policy.record_run(
                    self.now - began, concurrency=before, kind="root"
                )
                self.latencies.append((arrived, self.now - arrived))
            limit = max(1, int(self.policy.limit))
            while self._queue and len(self._running) < limit:
                self._start(self._queue.pop(0))
            while self._queue and self.now - self._queue[0] > self._patience_s:
                self._queue.pop(0)
            if self.policy.update(self.now, waiting=bool(self._queue)):
                self.limits.append((self.now, self.policy.limit))

    def _start(self, arrived: float) -> None:
        running = len(self._running) + 1
        factor = self._slow_down(running, self.now)
        run_s = RUN_S * factor * self._random.uniform(0.7, 1.3)
        heapq.heappush(self._running, (self.now + run_s, self.now, arrived, running))

    def served_in_time(self, limit_s: float, *, since: float) -> int:
        """Return the requests that arrived since then and ended within a time."""
        return sum(
            latency <= limit_s for arrived, latency in self.latencies if arrived > since
        )


def make_knee(at: float) -> Callable[[int, float], float]:
    """Slow down in proportion to the concurrency above a part of the slots."""
    return lambda running, _: max(1.0, (running / (at * SLOTS)) ** 1.3)


def wave(low: float, high: float) -> Callable[[float], float]:
    """Return a rate that swings between two values every four seconds."""
    middle, swing = (low + high) / 2, (high - low) / 2
    return lambda now: middle + swing * math.sin(now * math.tau / 4.0)
