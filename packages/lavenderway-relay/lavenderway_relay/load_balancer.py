"""Balances requests over the hosts of a service by least expected delay.

Each host runs one upstream, a process of one service, and a node beside it; a service
has upstreams on many hosts. The load balancer of a node chooses the host of each
request that the node sends, from what this node has observed.

Designed for services whose upstreams differ in speed and utilization, some of which
fail, and for failure domains between which traffic is expensive. Each host gets a
score: the mean run time that it reported (its square root if the request is not
urgent), multiplied by factors for its load, its recent failures and its failure domain.
Each request goes to the host with the lowest score, among all hosts of a small service
or among a sample of a larger one. Hosts among these that this node has not contacted
yet are chosen first, each once, so that they report their state. Hosts that are
unreachable, by themselves or with their failure domain, or absent are a last resort;
absent means that the upstream takes no requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderway_relay.candidate_sample import CandidateSampler
from lavenderway_relay.domain_reachability import DomainReachability
from lavenderway_relay.host_score import (
    FULL_LOAD,
    INITIAL_PROBE_DELAY_S,
    REPORT_MAX_AGE_S,
    HostAssessment,
    HostState,
    HostStats,
    ScoreFactors,
    compute_factors,
    estimate_load,
    find_usual_run_time,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from lavenderway_core.ids import FailureDomainId, HostId, ServiceId

    from lavenderway_relay.model import HostRecord

# A request is urgent if the time until its latency target is less than this multiple of
# the shortest mean run time of the hosts compared.
URGENT_RUN_TIMES = 6.0
FAILURE_EWMA_WEIGHT = 0.1  # weight of the newest outcome in the moving failure ratio
# Largest random share added to a score, so that nodes do not all choose the same host
# at once.
JITTER_FRACTION = 0.1
# Longest pause between probes; bounds the time until a healed partition is noticed.
MAX_PROBE_DELAY_S = 2.0
# A host without a named limit that reported room within this time is expected to take
# what limited ones refuse.
ROOM_MAX_AGE_S = 3.0
MAX_HOSTS_WITH_ROOM = 8  # of each service that are remembered
ABSENCE_HOLD_S = 0.3  # how long an absent host is skipped
UNKNOWN_HOST = HostStats()  # of which this node has observed nothing


class LoadBalancer:
    """Load balancer of one node.

    Args:
        host: Host of this node.
        failure_domain: Failure domain of this node.
        random: Returns a random number in [0, 1).

    """

    def __init__(
        self,
        *,
        host: HostId,
        failure_domain: FailureDomainId,
        random: Callable[[], float],
    ) -> None:
        self._host = host
        self._failure_domain = failure_domain
        self._random = random
        self._stats_by_host: dict[HostId, HostStats] = {}
        self._domains = DomainReachability(own_domain=failure_domain)
        # Hosts of each service that reported room without a limit, the latest last.
        self._with_room: dict[ServiceId, dict[HostId, None]] = {}
        self._sampler = CandidateSampler(own_domain=failure_domain, random=random)

    def choose(
        self,
        candidates: Collection[HostRecord],
        now: float,
        *,
        excluded: Collection[HostId] = (),
        time_left_s: float | None = None,
        last_resort: bool = True,
    ) -> HostRecord | None:
        """Return the host with the lowest score, or one not contacted yet.

        Unreachable and absent hosts are returned only if there is no other; of these,
        the one that is due to be retried first. Returns None if all are excluded. A
        host not contacted yet is marked as contacted.

        Args:
            candidates: Hosts whose records show an upstream ready for the service.
            now: Current monotonic time in seconds.
            excluded: Hosts that must not be returned.
            time_left_s: Time until the latency target, in seconds; None marks the
                request as urgent.
            last_resort: Whether to return an unreachable or absent host if there is no
                other.

        """
        sample = self._sampler.sample(candidates)
        best, skipped = self._compare(sample, now, excluded, time_left_s)
        if best is None and len(sample) < len(candidates):
            best, skipped = self._compare(candidates, now, excluded, time_left_s)
        if best is None and skipped and last_resort:
            return min(skipped, key=lambda entry: entry[0])[1]
        return best

    def _compare(
        self,
        candidates: Collection[HostRecord],
        now: float,
        excluded: Collection[HostId],
        time_left_s: float | None,
    ) -> tuple[HostRecord | None, list[tuple[float, HostRecord]]]:
        """Return the best host, and the skipped hosts with the times to retry them.

        A host that has not been contacted yet is returned at once.
        """
        urgent = self._is_urgent(candidates, time_left_s)
        best: HostRecord | None = None
        best_score = 0.0
        skipped = []
        for record in candidates:
            if record.host in excluded:
                continue
            stats = self._stats_of(record.host)
            stats.failure_domain = record.failure_domain
            if record.upstream is not None:
                stats.service = record.upstream.service
            if stats.unreachable:
                skipped.append((stats.probe_at, record))
                continue
            if not self._domains.is_reachable(record.failure_domain, now):
                skipped.append((now + MAX_PROBE_DELAY_S, record))
                continue
            if stats.absent_until > now:
                skipped.append((stats.absent_until, record))
                continue
            if not stats.contacted and record.host != self._host:
                stats.contacted = True
                return record, skipped
            score = self._score(record, stats, now, urgent=urgent)
            if best is None or score < best_score:
                best, best_score = record, score
        return best, skipped

    def assess(
        self,
        candidates: Collection[HostRecord],
        now: float,
        *,
        time_left_s: float | None,
    ) -> list[HostAssessment]:
        """Return what is known of all candidates, the best one first; only reads.

        Args:
            candidates: Hosts whose records show an upstream ready for the service.
            now: Current monotonic time in seconds.
            time_left_s: Time until the latency target, in seconds; None marks the
                request as urgent.

        """
        urgent = self._is_urgent(candidates, time_left_s)
        assessments = []
        for record in candidates:
            stats = self._stats_by_host.get(record.host, UNKNOWN_HOST)
            assessments.append(
                HostAssessment(
                    record,
                    self._state_of(record, stats, now),
                    estimate_load(record, stats, now),
                    now - stats.reported_at > REPORT_MAX_AGE_S,
                    ScoreFactors(
                        *compute_factors(
                            record,
                            stats,
                            now,
                            urgent,
                            self._host,
                            self._failure_domain,
                        )
                    ),
                )
            )
        order = list(HostState)
        return sorted(
            assessments,
            # A host that has not been contacted is chosen before all others.
            key=lambda each: (
                each.state is not HostState.NOT_CONTACTED,
                order.index(each.state),
                each.factors.score,
            ),
        )

    def _state_of(self, record: HostRecord, stats: HostStats, now: float) -> HostState:
        if stats.unreachable:
            return HostState.UNREACHABLE
        if not self._domains.is_reachable(record.failure_domain, now):
            return HostState.DOMAIN_UNREACHABLE
        if stats.absent_until > now:
            return HostState.ABSENT
        if not stats.contacted and record.host != self._host:
            return HostState.NOT_CONTACTED
        return HostState.USABLE

    def has_room(
        self,
        candidates: Collection[HostRecord],
        now: float,
        *,
        excluded: Collection[HostId | None] = (),
    ) -> bool:
        """Return whether some host is reachable, not absent and below full load.

        Uses the load that each host reported last, whatever its age; a host that never
        reported counts as idle. None in `excluded` stands for no host.
        """
        for record in candidates:
            stats = self._stats_of(record.host)
            if record.host in excluded or stats.unreachable:
                continue
            if not self._domains.is_reachable(record.failure_domain, now):
                continue
            if stats.absent_until <= now and stats.load < FULL_LOAD:
                return True
        return False

    def has_unlimited_room(self, service: ServiceId, now: float) -> bool:
        """Return whether a host whose upstream names no limit recently had room.

        Judged by the few hosts of the service that reported so last. Unlike for
        `has_room`, a host that never reported does not count.
        """
        for host in self._with_room.get(service, ()):
            stats = self._stats_of(host)
            if (
                now - stats.reported_at <= ROOM_MAX_AGE_S
                and not stats.unreachable
                and stats.absent_until <= now
            ):
                return True
        return False

    def _record_room(self, service: ServiceId, host: HostId, stats: HostStats) -> None:
        hosts = self._with_room.setdefault(service, {})
        hosts.pop(host, None)
        if stats.limit_per_s is None and stats.load < FULL_LOAD:
            hosts[host] = None
            if len(hosts) > MAX_HOSTS_WITH_ROOM:
                del hosts[next(iter(hosts))]

    def record_sent(self, host: HostId) -> None:
        """Count a request sent to a host."""
        self._stats_of(host).outstanding += 1

    def record_done(self, host: HostId) -> None:
        """Count the end of a request sent to a host."""
        self._stats_of(host).outstanding -= 1

    def record_report(
        self,
        host: HostId,
        *,
        load: float,
        mean_s: float,
        now: float,
        limit_per_s: float | None = None,
    ) -> None:
        """Record the load and run time that a host reported with a response.

        Marks the host as reachable; an absent host stays absent.
        """
        stats = self._stats_of(host)
        stats.load = load
        stats.mean_s = mean_s or find_usual_run_time(
            self._stats_by_host.values(), stats.service
        )
        stats.limit_per_s = limit_per_s
        stats.reported_at = now
        if stats.service is not None:
            self._record_room(stats.service, host, stats)
        stats.outstanding_at_report = stats.outstanding
        self.mark_reachable(host)

    def record_outcome(self, host: HostId, *, failed: bool, now: float) -> None:
        """Record whether a request counts as failed by the upstream of a host."""
        stats = self._stats_of(host)
        if failed or stats.failure_ratio > 0.0:
            change = FAILURE_EWMA_WEIGHT * (float(failed) - stats.failure_ratio)
            stats.failure_ratio += change
        if failed:
            stats.failed_at = now

    def record_absence(self, host: HostId, now: float) -> None:
        """Skip an absent host, whose upstream takes no requests, for a short time."""
        self._stats_of(host).absent_until = now + ABSENCE_HOLD_S

    def mark_unreachable(self, host: HostId, now: float) -> bool:
        """Mark a host as unreachable; return whether it was reachable before."""
        stats = self._stats_of(host)
        was_reachable = not stats.unreachable
        stats.unreachable = True
        stats.probe_at = now + stats.probe_delay_s
        stats.probe_delay_s = min(MAX_PROBE_DELAY_S, stats.probe_delay_s * 2)
        if stats.failure_domain is not None:
            self._domains.record_loss(stats.failure_domain, host, now)
        return was_reachable

    def mark_reachable(self, host: HostId) -> None:
        """Mark a host as reachable."""
        stats = self._stats_of(host)
        stats.unreachable = False
        stats.probe_delay_s = INITIAL_PROBE_DELAY_S
        if stats.failure_domain is not None:
            self._domains.record_response(stats.failure_domain)

    def due_probes(self, now: float) -> list[HostId]:
        """Return the hosts to probe now, and schedule the next probes.

        These are unreachable hosts, and one other of each unreachable failure domain.
        """
        due = []
        for domain in self._domains.due_probes(now):
            others = [
                host
                for host, stats in self._stats_by_host.items()
                if stats.failure_domain == domain and not stats.unreachable
            ]
            if others:
                due.append(others[int(self._random() * len(others))])
        for host, stats in self._stats_by_host.items():
            if stats.unreachable and stats.probe_at <= now:
                stats.probe_at = now + stats.probe_delay_s
                due.append(host)
        return due

    def is_reachable(self, host: HostId) -> bool:
        """Return whether a host is not marked as unreachable."""
        return not self._stats_of(host).unreachable

    def reset_host(self, host: HostId) -> None:
        """Reset the statistics of a host whose upstream or node has been replaced.

        The host counts as reachable and not contacted; its outstanding requests are
        kept.
        """
        known = self._stats_by_host.get(host)
        if known is not None:
            self._stats_by_host[host] = HostStats(
                outstanding=known.outstanding,
                failure_domain=known.failure_domain,
                service=known.service,
            )
            for hosts in self._with_room.values():
                hosts.pop(host, None)

    def _is_urgent(
        self, candidates: Collection[HostRecord], time_left_s: float | None
    ) -> bool:
        if time_left_s is None:
            return True
        shortest_s = min(
            (
                self._stats_by_host.get(record.host, UNKNOWN_HOST).mean_s
                for record in candidates
            ),
            default=0.0,
        )
        return time_left_s < URGENT_RUN_TIMES * shortest_s

    def _score(
        self, record: HostRecord, stats: HostStats, now: float, *, urgent: bool
    ) -> float:
        """Return the score of a host; the lowest one is chosen."""
        run_time, load, failures, distance = compute_factors(
            record, stats, now, urgent, self._host, self._failure_domain
        )
        jitter = 1.0 + JITTER_FRACTION * self._random()
        return run_time * load * failures * distance * jitter

    def _stats_of(self, host: HostId) -> HostStats:
        stats = self._stats_by_host.get(host)
        if stats is None:
            stats = self._stats_by_host[host] = HostStats()
        return stats
