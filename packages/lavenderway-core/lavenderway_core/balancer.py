"""Chooses the upstream for an attempt by load, failures and failure domain."""

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
from lavenderway_core.shedding import NOTHING_SHED

REPORT_MAX_AGE_S = 0.5
EJECT_AFTER_FAILURES = 3
EJECT_BASE_S = 0.5
EJECT_MAX_S = 30.0
MAX_EJECTED_RATIO = 0.5
REMOTE_PENALTY = 0.1
OTHER_DOMAIN_PENALTY = 1.0
UNKNOWN_LIMIT = 8.0
PROBE_RATIO = 0.02


class Candidate(NamedTuple):
    """An upstream that may take an attempt."""

    host: HostId
    failure_domain: FailureDomainId
    service: ServiceId
    upstream: UpstreamId


class Standing(NamedTuple):
    """What decides about shedding a request."""

    importance: Importance
    workspace: WorkspaceId | None
    rank: float


class _Record:
    """What this node knows of the load of one upstream."""

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
        self.report = LoadReport(0, 0, UNKNOWN_LIMIT, NOTHING_SHED, 1.0, 0.0)
        self.cutoffs: dict[WorkspaceId | None, float] = {}
        self.reported_at = float("-inf")

    def utilisation(self, now: float) -> float:
        """Return the estimated use of the limit; over 1 means queueing."""
        load = float(self.outstanding)
        if now - self.reported_at < REPORT_MAX_AGE_S:
            load = max(load, self.report.in_flight + self.report.queued)
        return load / max(self.report.limit, 1.0)

    def sheds(self, request: Standing, now: float) -> bool:
        """Tell whether the upstream's node refuses a request at present."""
        if now - self.reported_at > REPORT_MAX_AGE_S:
            return False
        if request.importance != self.report.margin:
            return request.importance > self.report.margin
        return request.rank >= self.cutoffs.get(request.workspace, 1.0)


class Balancer:
    """Load balancer of one node.

    Args:
        host: Host of the node.
        failure_domain: Failure domain of the node.
        random: Seeded generator.

    """

    def __init__(
        self, *, host: HostId, failure_domain: FailureDomainId, random: Random
    ) -> None:
        self._host = host
        self._failure_domain = failure_domain
        self._random = random
        self._records: dict[UpstreamId, _Record] = {}

    def choose(
        self, candidates: Sequence[Candidate], tried: Iterable[UpstreamId], now: float
    ) -> Candidate | None:
        """Return the candidate for the next attempt, None if there is none.

        Args:
            candidates: Upstreams of the service that take new work.
            tried: Upstreams that have failed this request already.
            now: Present time in seconds.

        """
        excluded = set(tried)
        fresh = [each for each in candidates if each.upstream not in excluded]
        usable = self._without_ejected(fresh, now)
        if not usable:
            return None
        local = [each for each in usable if self._is_near(each)]
        far = [each for each in usable if not self._is_near(each)]
        pool = self._sample(local) + self._sample(far)
        return min(pool, key=lambda each: self._score(each, now))

    def all_shed(
        self, candidates: Sequence[Candidate], request: Standing, now: float
    ) -> bool:
        """Tell whether every candidate refuses a request at present.

        A small part of the requests is let through to learn when that ends.
        """
        if not candidates or self._random.random() < PROBE_RATIO:
            return False
        return all(
            self._record(each.upstream).sheds(request, now) for each in candidates
        )

    def record_sent(self, upstream: UpstreamId) -> None:
        """Count an attempt as outstanding."""
        self._record(upstream).outstanding += 1

    def record_done(self, upstream: UpstreamId) -> None:
        """Count an attempt as no longer outstanding."""
        record = self._record(upstream)
        record.outstanding = max(0, record.outstanding - 1)

    def record_report(
        self,
        upstream: UpstreamId,
        workspace: WorkspaceId | None,
        report: LoadReport,
        now: float,
    ) -> None:
        """Keep the load that came with a reply; the upstream is reachable."""
        record = self._record(upstream)
        record.cutoffs[workspace] = report.cutoff
        record.report = report
        record.reported_at = now
        record.failures = 0
        record.ejections = 0
        record.ejected_until = 0.0

    def record_failure(self, upstream: UpstreamId, now: float) -> bool:
        """Count a failure; return whether it ejects the upstream for a while."""
        record = self._record(upstream)
        record.failures += 1
        if record.failures < EJECT_AFTER_FAILURES:
            return False
        pause = min(EJECT_MAX_S, EJECT_BASE_S * 2**record.ejections)
        record.failures = 0
        record.ejections = min(record.ejections + 1, 16)
        record.ejected_until = now + pause
        return True

    def forget(self, upstream: UpstreamId) -> None:
        """Drop what is known of an upstream that has left."""
        self._records.pop(upstream, None)

    def _record(self, upstream: UpstreamId) -> _Record:
        record = self._records.get(upstream)
        if record is None:
            record = self._records[upstream] = _Record()
        return record

    def _is_near(self, candidate: Candidate) -> bool:
        return candidate.failure_domain == self._failure_domain

    def _without_ejected(
        self, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        healthy = [
            each
            for each in candidates
            if self._record(each.upstream).ejected_until <= now
        ]
        if len(healthy) >= len(candidates) * (1 - MAX_EJECTED_RATIO):
            return healthy
        return candidates

    def _sample(self, candidates: list[Candidate]) -> list[Candidate]:
        if len(candidates) <= 2:
            return candidates
        own = [each for each in candidates if each.host == self._host]
        return own + self._random.sample(candidates, 2)

    def _score(self, candidate: Candidate, now: float) -> float:
        score = self._record(candidate.upstream).utilisation(now)
        if not self._is_near(candidate):
            return score + OTHER_DOMAIN_PENALTY
        return score if candidate.host == self._host else score + REMOTE_PENALTY
