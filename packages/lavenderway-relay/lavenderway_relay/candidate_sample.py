"""Picks the hosts that are compared for one request.

Designed for services of many hosts: the cost of a choice stays the same from ten to
hundreds of hosts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from lavenderway_core.ids import FailureDomainId

    from lavenderway_relay.model import HostRecord

# Hosts compared per choice, in the local and in all other failure domains. If there are
# no more candidates than the sum, or no host of the sample is usable, all are compared.
LOCAL_SAMPLE_SIZE = 6
REMOTE_SAMPLE_SIZE = 3
MAX_SPLITS = 32  # collections of candidates whose division by domain is kept


class CandidateSampler:
    """Samples of the hosts of a service, as seen from one failure domain.

    Args:
        own_domain: Failure domain of this node.
        random: Returns a random number in [0, 1).

    """

    def __init__(
        self, *, own_domain: FailureDomainId, random: Callable[[], float]
    ) -> None:
        self._own_domain = own_domain
        self._random = random
        self._splits: dict[
            int,
            tuple[Collection[HostRecord], int, list[HostRecord], list[HostRecord]],
        ] = {}

    def sample(self, candidates: Collection[HostRecord]) -> Collection[HostRecord]:
        """Return a sample of the hosts, which bounds the cost of one choice."""
        if len(candidates) <= LOCAL_SAMPLE_SIZE + REMOTE_SAMPLE_SIZE:
            return candidates
        local, remote = self._split_by_distance(candidates)
        return [
            *self._pick_evenly(local, LOCAL_SAMPLE_SIZE),
            *self._pick_evenly(remote, REMOTE_SAMPLE_SIZE),
        ]

    def _split_by_distance(
        self, candidates: Collection[HostRecord]
    ) -> tuple[list[HostRecord], list[HostRecord]]:
        """Return the hosts of the own failure domain, and those of all others.

        The last results are kept, as the registry returns the same collection for a
        service until a host changes.
        """
        known = self._splits.get(id(candidates))
        if known is not None and known[0] is candidates and known[1] == len(candidates):
            return known[2], known[3]
        local: list[HostRecord] = []
        remote: list[HostRecord] = []
        for record in candidates:
            is_local = record.failure_domain == self._own_domain
            (local if is_local else remote).append(record)
        if len(self._splits) >= MAX_SPLITS:
            self._splits.clear()
        self._splits[id(candidates)] = (candidates, len(candidates), local, remote)
        return local, remote

    def _pick_evenly(self, records: list[HostRecord], count: int) -> list[HostRecord]:
        """Return evenly spaced records, starting at a random one."""
        if len(records) <= count:
            return records
        first = int(self._random() * len(records))
        step = len(records) / count
        indices = (first + int(index * step) for index in range(count))
        return [records[index % len(records)] for index in indices]
