"""Scores a host by the delay that a request is expected to have there.

Designed for services whose upstreams differ in speed and utilization, some of which
fail, and for failure domains between which traffic is expensive. The load balancer
compares the scores; the preview of a request shows their factors.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from lavenderway_relay.model import HostRecord
from lavenderway_relay.named_limit import BURST_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lavenderway_core.ids import FailureDomainId, HostId, ServiceId

INITIAL_RUN_TIME_S = 0.05  # assumed for a host that has not reported its own
# Score factor of the host of this node, which saves a network round trip. All factors
# apply to the run time if the request is urgent and to its square root otherwise; there
# a factor of 2.5 weighs as much as a run time 6.25 times as long.
SAME_HOST_FACTOR = 0.9
# Score factor of another failure domain, for urgent requests.
URGENT_CROSS_DOMAIN_FACTOR = 1.35
# Score factor of another failure domain, for requests that are not urgent; traffic
# between failure domains is expensive.
CROSS_DOMAIN_FACTOR = 2.5
LOAD_WEIGHT = 0.6  # relative increase of the score at load 1.0, quadratic in the load
FULL_LOAD = 0.9  # load from which requests are likely to queue
QUEUE_WEIGHT = 10.0  # relative increase of the score per unit of load above FULL_LOAD
FAILURE_WEIGHT = 4.0  # relative increase of the score at a failure ratio of 1.0
REPORT_MAX_AGE_S = 1.0  # for a load above `OLD_REPORT_MAX_LOAD`
OLD_REPORT_MAX_LOAD = 0.5
# Time after the last failure over which the weight of the failure ratio falls linearly
# to zero; the ratio itself is kept.
FAILURE_DECAY_S = 5.0
INITIAL_PROBE_DELAY_S = 0.4


@dataclass(slots=True)
class HostStats:
    """Statistics of one host, as observed by this node.

    Attributes:
        load: Load that the host reported last: its running and queued requests relative
            to its concurrency limit, above 1.0 when requests queue, or the load of its
            event loop if that is higher.
        mean_s: Mean run time that the host reported last, in seconds, including calls.
        reported_at: Monotonic time of the last report, in seconds.
        outstanding_at_report: Value of `outstanding` at the last report.
        outstanding: Requests sent by this node that have not ended.
        failure_ratio: Moving average of the share of outcomes recorded as failed.
        failed_at: Time of the last failure, in seconds.
        unreachable: Whether the host is marked as unreachable.
        probe_at: Time of the next probe of an unreachable host, in seconds.
        probe_delay_s: Pause used for the probe that is scheduled next, in seconds.
        contacted: Whether this node has chosen the host since the last reset; not set
            for its own host.
        absent_until: Time until which the host is skipped as absent, in seconds.
        limit_per_s: Requests per second that the upstream takes from all hosts
            together; None without a limit.
        failure_domain: Failure domain of the host; None until it has been a candidate.
        service: Service of its upstream; None until it has been a candidate.

    """

    load: float = 0.0
    mean_s: float = INITIAL_RUN_TIME_S
    reported_at: float = -1e9
    outstanding_at_report: int = 0
    outstanding: int = 0
    failure_ratio: float = 0.0
    failed_at: float = -1e9
    unreachable: bool = False
    probe_at: float = 0.0
    probe_delay_s: float = INITIAL_PROBE_DELAY_S
    contacted: bool = False
    absent_until: float = -1e9
    limit_per_s: float | None = None
    failure_domain: FailureDomainId | None = None
    service: ServiceId | None = None


class ScoreFactors(NamedTuple):
    """Factors of a score, which is their product.

    Attributes:
        run_time: The mean run time in seconds; its square root if the request is not
            urgent, so that differences in speed count less than those in load.
        load: Grows with the load, and steeply once requests queue.
        failures: Grows with recent failures.
        distance: Below 1 for the own host, above for other failure domains.

    """

    run_time: float
    load: float
    failures: float
    distance: float

    @property
    def score(self) -> float:
        """Score of the host; a lower one is better."""
        return self.run_time * self.load * self.failures * self.distance


class HostState(Enum):
    """Whether a host can be chosen; the values are shown to operators."""

    USABLE = "usable"
    NOT_CONTACTED = "not contacted"
    ABSENT = "absent"
    UNREACHABLE = "unreachable"
    DOMAIN_UNREACHABLE = "failure domain unreachable"


class HostAssessment(NamedTuple):
    """What this node knows of a host, and the score that follows.

    Attributes:
        record: Record of the host.
        state: Whether it can be chosen.
        load: Its present load, as estimated from its last report.
        report_is_old: Whether its last report is too old to count in full.
        factors: Factors of its score, without the random part.

    """

    record: HostRecord
    state: HostState
    load: float
    report_is_old: bool
    factors: ScoreFactors


def find_usual_run_time(known: Iterable[HostStats], service: ServiceId | None) -> float:
    """Return the mean run time of the hosts of a service, in seconds."""
    means = [
        stats.mean_s
        for stats in known
        if stats.service == service and stats.reported_at >= 0.0
    ]
    return sum(means) / len(means) if means else INITIAL_RUN_TIME_S


def compute_factors(
    record: HostRecord,
    stats: HostStats,
    now: float,
    urgent: bool,
    own_host: HostId,
    own_domain: FailureDomainId,
) -> tuple[float, float, float, float]:
    """Return the values of `ScoreFactors`, as a plain tuple.

    Runs several times for each request; keywords and the named tuple would make a
    choice a third slower.

    Args:
        record: Record of the host.
        stats: What this node has observed of it.
        now: Current monotonic time in seconds.
        urgent: Whether little time is left until the latency target.
        own_host: Host of this node.
        own_domain: Failure domain of this node.

    """
    load = estimate_load(record, stats, now)
    load_factor = 1.0 + LOAD_WEIGHT * min(load, 1.0) ** 2
    if load > FULL_LOAD:
        load_factor += QUEUE_WEIGHT * (load - FULL_LOAD)
    failures = 1.0
    if stats.failure_ratio > 0.0:
        decay = max(0.0, 1.0 - (now - stats.failed_at) / FAILURE_DECAY_S)
        failures += FAILURE_WEIGHT * stats.failure_ratio * decay
    if record.host == own_host:
        distance = SAME_HOST_FACTOR
    elif record.failure_domain == own_domain:
        distance = 1.0
    else:
        distance = URGENT_CROSS_DOMAIN_FACTOR if urgent else CROSS_DOMAIN_FACTOR
    run_time = stats.mean_s if urgent else math.sqrt(stats.mean_s)
    return run_time, load_factor, failures, distance


def estimate_load(record: HostRecord, stats: HostStats, now: float) -> float:
    """Return the present load of a host, from its last report and what was sent."""
    load = stats.load
    if load > OLD_REPORT_MAX_LOAD and now - stats.reported_at > REPORT_MAX_AGE_S:
        load = OLD_REPORT_MAX_LOAD
    # Net change of the outstanding requests; negative if more ended than were sent.
    sent_since_report = stats.outstanding - stats.outstanding_at_report
    if not sent_since_report:
        return max(0.0, load)
    slots = float(max(1, record.upstream.slots)) if record.upstream else 1.0
    if stats.limit_per_s is not None:
        slots = min(slots, max(1.0, stats.limit_per_s * BURST_S))
    return max(0.0, load + sent_since_report / slots)
