"""Decides whether a request looks for a free slot before it waits for one.

Each host runs one upstream with a limited number of slots. The load balancer of an
entry node knows the load of a host only from its last response. With many entry nodes
and few slots a host, that says little about the present, and requests queue at some
hosts while others have free slots. A request may therefore ask a host to return it at
once if it would have to queue (`ConcurrencyLimiter.is_busy`), and is then sent to
another host. It waits at the last one.

Designed for services with free slots that are hard to find. If a service has none, each
search only adds hops, so searches pause after several have found none.
"""

from __future__ import annotations

MAX_BUSY_HOSTS = 2  # hosts that may return a request before it waits
MAX_FAILED_SEARCHES = 3  # in a row; then searches pause
SEARCH_PAUSE_S = 0.5  # an overloaded service sheds or drains its queues meanwhile
# A larger body is not sent again and again, as traffic between failure domains is
# expensive.
MAX_SEARCH_BODY_BYTES = 8_192


class SlotSearch:
    """Searches of one entry node for free slots of one service."""

    def __init__(self) -> None:
        self._failed = 0
        self._paused_until = float("-inf")

    def may_search(self, now: float, *, busy_hosts: int, body_bytes: int) -> bool:
        """Return whether the next host may return a request instead of queueing it.

        Args:
            now: Current monotonic time in seconds.
            busy_hosts: Number of hosts that have returned the request.
            body_bytes: Size of the request's body.

        """
        return (
            busy_hosts < MAX_BUSY_HOSTS
            and body_bytes <= MAX_SEARCH_BODY_BYTES
            and now >= self._paused_until
        )

    def record_search(self, now: float, *, found: bool) -> None:
        """Record whether a request that one host had returned was taken by another."""
        self._failed = 0 if found else self._failed + 1
        if self._failed >= MAX_FAILED_SEARCHES:
            self._failed = 0
            self._paused_until = now + SEARCH_PAUSE_S
