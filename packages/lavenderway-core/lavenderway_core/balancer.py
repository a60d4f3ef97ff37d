"""Load balancing: chooses the upstream for an attempt.

The choice depends on the utilization of each upstream's concurrency limit and prefers
upstreams on this node's host, then those in its failure domain. Upstreams that fail
repeatedly are ejected for a time that doubles with each ejection (outlier ejection).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.admission import LoadReport
from lavenderway_core.ids import (
    FailureDomainId,
    HostId,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from random import Random

from lavenderway_core.importance import Importance
from lavenderway_core.shedding import ADMIT_ALL_MARGIN

REPORT_MAX_AGE_S = 0.5
EJECT_AFTER_FAILURES = 3
EJECTION_BASE_S = 0.5
EJECTION_MAX_S = 30.0
MAX_EJECTED_RATIO = 0.5  # with more candidates ejected, ejections are ignored
OTHER_HOST_PENALTY = 0.1  # added to the utilization
OTHER_DOMAIN_PENALTY = 1.0  # added to the utilization
ASSUMED_LIMIT = 8.0  # until an upstream has reported its limit
PROBE_PROBABILITY = 0.02


class Candidate(NamedTuple):
    """An upstream that may take an attempt."""

    host: HostId
    failure_domain: FailureDomainId
    service: ServiceId
    upstream: UpstreamId


class SheddingKey(NamedTuple):
    """Properties of a request that decide whether an upstream's node sheds it."""

    importance: Importance
    workspace: WorkspaceId | None
    rank: float


class _UpstreamStats:
    """Load and failures of one upstream, as known to this node.

    Attributes:
        outstanding: Attempts sent by this node that have not ended.
        failures: Failures since the last load report or ejection.
        ejections: Ejections since the last load report, at most 16.
        cutoffs: Last reported cutoffs at the margin, by workspace.
        reported_at: Time of the last load report, in seconds.

    """

    __slots__ = (
        "cutoffs",
        "ejected_until",
        "ejections",
        "failures",
        "outstanding",
        "report",
        "reported_at",
    )

    def __init__(self) -> None:
        self.outstanding = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.report = LoadReport(0, 0, ASSUMED_LIMIT, ADMIT_ALL_MARGIN, 1.0, 0.0)
        self.cutoffs: dict[WorkspaceId | None, float] = {}
        self.reported_at = float("-inf")

    def utilization(self, now: float) -> float:
        """Return the estimated utilization of the limit; above 1 requests queue."""
        load = float(self.outstanding)
        if now - self.reported_at < REPORT_MAX_AGE_S:
            load = max(load, self.report.in_flight + self.report.queued)
        return load / max(self.report.limit, 1.0)

    def sheds(self, request: SheddingKey, now: float) -> bool:
        """Return whether the upstream's node would shed a request now.

        Without a recent load report it is assumed not to.
        """
        if now - self.reported_at > REPORT_MAX_AGE_S:
            return False
        if request.importance != self.report.margin:
            return request.importance > self.report.margin
        return request.rank >= self.cutoffs.get(request.workspace, 1.0)


class LoadBalancer:
    """Load balancer of one node.

    Args:
        host: Host of the node.
        failure_domain: Failure domain of the node.
        random: Source of randomness; seeded for reproducible runs.

    """

    def __init__(
        self, *, host: HostId, failure_domain: FailureDomainId, random: Random
    ) -> None:
        self._host = host
        self._failure_domain = failure_domain
        self._random = random
        self._stats_by_upstream: dict[UpstreamId, _UpstreamStats] = {}

    def choose(
        self,
        candidates: Sequence[Candidate],
        tried_upstreams: Iterable[UpstreamId],
        now: float,
    ) -> Candidate | None:
        """Return the candidate for the next attempt, or None if all were tried.

        The candidate with the lowest score is chosen from a sample: two random ones of
        this failure domain, two of the other domains, and those on this host.

        Args:
            candidates: Upstreams of the service that accept new work.
            tried_upstreams: Upstreams to which this request has been sent already.
            now: Current time in seconds.

        """
        excluded = set(tried_upstreams)
        untried = [each for each in candidates if each.upstream not in excluded]
        usable = self._without_ejected(untried, now)
        if not usable:
            return None
        same_domain = [each for each in usable if self._is_same_domain(each)]
        other_domains = [each for each in usable if not self._is_same_domain(each)]
        pool = self._sample_candidates(same_domain) + self._sample_candidates(
            other_domains
        )
        return min(pool, key=lambda each: self._score(each, now))

    def all_candidates_shed(
        self, candidates: Sequence[Candidate], request: SheddingKey, now: float
    ) -> bool:
        """Return whether every candidate would shed a request now.

        Load reports only come with responses, so a small part of the requests is let
        through as probes to detect the end of the overload.
        """
        if not candidates or self._random.random() < PROBE_PROBABILITY:
            return False
        return all(
            self._stats_of(each.upstream).sheds(request, now) for each in candidates
        )

    def record_sent(self, upstream: UpstreamId) -> None:
        """Count an attempt that has been sent to an upstream."""
        self._stats_of(upstream).outstanding += 1

    def record_done(self, upstream: UpstreamId) -> None:
        """Count an attempt that has ended."""
        stats = self._stats_of(upstream)
        stats.outstanding = max(0, stats.outstanding - 1)

    def record_report(
        self,
        upstream: UpstreamId,
        workspace: WorkspaceId | None,
        report: LoadReport,
        now: float,
    ) -> None:
        """Store the load report of a response and end an ejection.

        A response with a load report shows that the upstream's node is reachable.
        """
        stats = self._stats_of(upstream)
        stats.cutoffs[workspace] = report.cutoff
        stats.report = report
        stats.reported_at = now
        stats.failures = 0
        stats.ejections = 0
        stats.ejected_until = 0.0

    def record_failure(self, upstream: UpstreamId, now: float) -> bool:
        """Count a failed attempt.

        Returns:
            Whether this failure ejects the upstream.

        """
        stats = self._stats_of(upstream)
        stats.failures += 1
        if stats.failures < EJECT_AFTER_FAILURES:
            return False
        ejection_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2**stats.ejections)
        stats.failures = 0
        stats.ejections = min(stats.ejections + 1, 16)
        stats.ejected_until = now + ejection_s
        return True

    def remove(self, upstream: UpstreamId) -> None:
        """Discard the statistics of an upstream that has left."""
        self._stats_by_upstream.pop(upstream, None)

    def _stats_of(self, upstream: UpstreamId) -> _UpstreamStats:
        stats = self._stats_by_upstream.get(upstream)
        if stats is None:
            stats = self._stats_by_upstream[upstream] = _UpstreamStats()
        return stats

    def _is_same_domain(self, candidate: Candidate) -> bool:
        return candidate.failure_domain == self._failure_domain

    def _without_ejected(
        self, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        healthy = [
            each
            for each in candidates
            if self._stats_of(each.upstream).ejected_until <= now
        ]
        if len(healthy) >= len(candidates) * (1 - MAX_EJECTED_RATIO):
            return healthy
        return candidates

    def _sample_candidates(self, candidates: list[Candidate]) -> list[Candidate]:
        if len(candidates) <= 2:
            return candidates
        same_host = [each for each in candidates if each.host == self._host]
        return same_host + self._random.sample(candidates, 2)

    def _score(self, candidate: Candidate, now: float) -> float:
        score = self._stats_of(candidate.upstream).utilization(now)
        if not self._is_same_domain(candidate):
            return score + OTHER_DOMAIN_PENALTY
        return score if candidate.host == self._host else score + OTHER_HOST_PENALTY
