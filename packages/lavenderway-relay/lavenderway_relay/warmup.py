"""Decides when an upstream is cold, and how many requests it then takes.

Designed for upstreams that have just started, or come back all at once when their
failure domain returns, under a load that they carry only when they are warm. The node
beside an upstream is its only client, so it keeps the pace over all hosts.
"""

from __future__ import annotations

MAX_WARMUP_S = 60.0  # bounds what a wrong announcement can do


class Warmup:
    """Whether the upstream of this host is cold.

    It counts as cold until its first announcement, as a node that has just started does
    not know what was before.
    """

    def __init__(self) -> None:
        self._cold_until = float("-inf")
        self._suspected = True

    def announce(self, left_s: float, now: float) -> None:
        """Follow an announcement.

        The time left counts from its arrival, so the upstream is warm a little sooner.

        Args:
            left_s: Time for which the upstream stays cold, in seconds; 0.0 if it is
                warm.
            now: Current monotonic time in seconds.

        """
        self._suspected = False
        self._cold_until = now + min(left_s, MAX_WARMUP_S)

    def suspect(self) -> None:
        """Take the upstream for cold until its next announcement.

        It may have restarted, or been without requests, since the last one.
        """
        self._suspected = True

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream has to be taken for cold."""
        return self._suspected or now < self._cold_until

    def limit_per_s(self, cold_per_s: float | None, now: float) -> float | None:
        """Return the requests per second that the upstream takes now.

        Args:
            cold_per_s: What the upstreams of its service take while they are cold, in
                requests per second; None if they do not warm up.
            now: Current monotonic time in seconds.

        Returns:
            The limit; None without one.

        """
        if cold_per_s is None or not self.is_cold(now):
            return None
        return cold_per_s
