"""Decides which part of its token buckets a host may issue from.

Each host derives the token owners from its own view of the fleet. Views differ while a
host joins, and for longer at hosts that are cut off, frozen or without the store, so
that two hosts may both derive that they own the tokens of a workspace. Two rules keep
their sum within one part:

- A host that joins issues nothing before the hosts that may own tokens without it have
  acknowledged its record, after which they own them no longer. If one of them does not
  respond, it waits for `LEASE_S` and then issues half, for each such host.
- A host issues half of its part while its view of the hosts has not been confirmed for
  `LEASE_S`. The other half is that of a host it may not know.

The wait and the lease start at the same moment at the latest: a view confirmed after
the joining host has stored its record includes that record. A host that restarts has
joined already, unless it had left.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.ids import FailureDomainId, HostId

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from lavenderway_relay.model import HostRecord

# Longer than a store that rejects some hosts, or all, is usually away.
LEASE_S = 12.0
# Part that a host without a confirmed view, or a host that could not reach another one
# in time, leaves to that other host.
SPLIT_SHARE = 0.5
FIRST_HOST_WAIT_S = 1.0


class Acknowledgement(NamedTuple):
    """Statement of a host that it knows a joining host as a member.

    Attributes:
        host: The host that knows the joining one.
        failure_domain: Its failure domain.
        established: Whether the hosts of the other failure domains know that its own
            one exists, and thus own smaller parts.

    """

    host: HostId
    failure_domain: FailureDomainId
    established: bool


class TokenRole:
    """Part of the token buckets that one process may issue from.

    Args:
        host: Host of the process.
        failure_domain: Failure domain of the host.

    Attributes:
        joined: Whether all hosts concerned have acknowledged this one.
        established: Whether the hosts of other failure domains know of this host's.

    """

    def __init__(self, *, host: HostId, failure_domain: FailureDomainId) -> None:
        self.joined = False
        self.established = False
        self._host = host
        self._failure_domain = failure_domain
        self._acknowledged_by: set[HostId] = set()
        self._requested_at: float | None = None
        self._released = False

    def request(self, now: float) -> None:
        """Start to join; the wait for hosts that do not respond begins.

        Call this once the own record is stored, and the view of the hosts includes
        every record that was stored before it.
        """
        if self._requested_at is None:
            self._requested_at = now

    def restore(self) -> None:
        """Resume the role of an earlier process of this host that had joined."""
        self.joined = self.established = True

    def record_acknowledgement(self, acknowledgement: Acknowledgement) -> None:
        """Record that another host knows this one as a member."""
        self._acknowledged_by.add(acknowledgement.host)
        if acknowledgement.failure_domain == self._failure_domain:
            self.established = self.established or acknowledgement.established

    def release(self) -> None:
        """Issue nothing any more, as this host leaves the fleet."""
        self._released = True

    def hosts_to_ask(
        self,
        members: Collection[HostRecord],
        *,
        is_reachable: Callable[[HostId], bool],
        now: float,
    ) -> list[HostRecord]:
        """Return the hosts to ask for an acknowledgement.

        Unreachable hosts are left to the probes of the load balancer.
        Hosts of other failure domains are asked by the first reachable host of a
        failure domain, for all of its hosts, and by the others only if that one takes
        longer than `FIRST_HOST_WAIT_S`. Until then, they ask it for the outcome.

        Args:
            members: All hosts of the fleet, with or without this one.
            is_reachable: Returns whether a host is believed to be reachable.
            now: Current monotonic time in seconds.

        """
        missing = [
            record for record in self._missing(members) if is_reachable(record.host)
        ]
        nearby = [record for record in missing if self._is_nearby(record)]
        if self.established:
            return nearby
        first = min(
            (
                record
                for record in members
                if self._is_nearby(record) and is_reachable(record.host)
            ),
            key=lambda record: record.host,
            default=None,
        )
        requested_at = now if self._requested_at is None else self._requested_at
        waits_for_first = now - requested_at < FIRST_HOST_WAIT_S
        if first is None or self._host <= first.host or not waits_for_first:
            return missing
        return nearby if first in nearby else [first, *nearby]

    def share(self, members: Collection[HostRecord], now: float) -> float:
        """Return the share of this host's part that it may issue.

        Does not consider the lease, which `LEASE_S` after the last confirmation of the
        view reduces the result to `SPLIT_SHARE`.

        Args:
            members: All hosts of the fleet, with or without this one.
            now: Current monotonic time in seconds.

        Returns:
            The share, from 0 to 1.

        """
        if self._released:
            return 0.0
        if self.joined:
            return 1.0
        if self._requested_at is None:
            return 0.0
        missing = self._missing(members)
        nearby = sum(self._is_nearby(record) for record in missing)
        waited = now - self._requested_at >= LEASE_S
        self.established = self.established or waited or nearby == len(missing)
        if not self.established:
            return 0.0
        self.joined = nearby == 0
        if self.joined:
            return 1.0
        return SPLIT_SHARE**nearby if waited else 0.0

    def _missing(self, members: Collection[HostRecord]) -> list[HostRecord]:
        """Return the other hosts that have not acknowledged this one."""
        return [
            record
            for record in members
            if record.host != self._host and record.host not in self._acknowledged_by
        ]

    def _is_nearby(self, record: HostRecord) -> bool:
        return record.failure_domain == self._failure_domain
