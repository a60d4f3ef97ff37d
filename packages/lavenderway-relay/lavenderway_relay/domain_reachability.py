"""Infers from the loss of single hosts that a failure domain cannot be reached.

Designed for partitions of a failure domain in fleets with many hosts. A node finds a
host unreachable by a request that fails after a timeout, so finding each host of the
domain by its own request delays as many requests as there are hosts. Once several hosts
are lost and none of the domain has responded since, the node avoids all of them until
one responds again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderway_core.ids import FailureDomainId, HostId

# Fewer lost hosts are taken for failures of their own.
MIN_LOST_HOSTS = 3
# A loss longer ago says nothing about the present state of the domain.
LOSS_MAX_AGE_S = 5.0
PROBE_INTERVAL_S = 0.4  # between probes of a domain that cannot be reached


class DomainReachability:
    """Reachability of the failure domains, as observed by one node.

    Args:
        own_domain: Failure domain of the node, which always counts as reachable.

    """

    def __init__(self, *, own_domain: FailureDomainId) -> None:
        self._own_domain = own_domain
        # Times of the losses since the last response, in seconds.
        self._lost: dict[FailureDomainId, dict[HostId, float]] = {}
        self._probe_at: dict[FailureDomainId, float] = {}

    def record_loss(self, domain: FailureDomainId, host: HostId, now: float) -> None:
        """Record that a host could not be reached."""
        if domain != self._own_domain:
            self._lost.setdefault(domain, {})[host] = now

    def record_response(self, domain: FailureDomainId) -> None:
        """Record that a host has responded."""
        self._lost.pop(domain, None)

    def is_reachable(self, domain: FailureDomainId, now: float) -> bool:
        """Return whether the hosts of a failure domain can be expected to respond.

        Args:
            domain: Failure domain to look up.
            now: Current monotonic time in seconds.

        """
        lost = self._lost.get(domain)
        if lost is None or len(lost) < MIN_LOST_HOSTS:
            return True
        recent = sum(now - lost_at <= LOSS_MAX_AGE_S for lost_at in lost.values())
        return recent < MIN_LOST_HOSTS

    def due_probes(self, now: float) -> list[FailureDomainId]:
        """Return the domains of which one more host is to be probed now.

        The lost hosts are probed anyway, but may all have failed by themselves.
        """
        due = [
            domain
            for domain in self._lost
            if not self.is_reachable(domain, now)
            and now >= self._probe_at.get(domain, now)
        ]
        self._probe_at |= dict.fromkeys(due, now + PROBE_INTERVAL_S)
        return due
