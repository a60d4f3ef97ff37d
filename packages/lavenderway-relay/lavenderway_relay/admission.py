"""Decides which root requests to refuse because of an overloaded service.

Each host runs one upstream and a node beside it; a service has upstreams on many hosts.
A root request comes from a caller outside the fleet, and the node that receives it is
its entry node; calls are the requests that upstreams make while they run it. If a
service deep in its call tree is overloaded, the root request fails after the services
above have done their work for nothing, so its entry node refuses it before it starts.

Each root request has a position: its importance class, of which 0 is the most
important, plus a fraction in [0, 1) that is hashed from its ID and so stays the same in
a retry with that ID. An admission level is a cutoff on the same scale: positions at or
above it are refused. Hosts report levels with their responses, that of their own
service as well as those of the services that the request called. The services that a
route reaches are learned from observed calls.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.ids import ServiceId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lavenderway_core.ids import HostId, RouteId

# A level received longer ago says nothing about the present state of a service and is
# ignored. The age counts from receipt; a level relayed by another service's host may be
# older.
LEVEL_MAX_AGE_S = 3.0
# The mean over this many hosts or more is computed anew only after some time, which is
# short against the time between two changes of a host's level.
MANY_HOSTS = 10
LEVEL_CACHE_S = 0.05
# Weight of the newest request in the moving average of a route's calls per request, by
# service.
CALL_TREE_EWMA_WEIGHT = 0.1
# The level of a service that a request of the route calls fewer times on average is
# ignored.
MIN_CALLS_PER_REQUEST = 0.05
# Rise of a level, in importance classes per second, assumed for the retry delay.
LEVEL_RECOVERY_CLASSES_PER_S = 0.5
# Bounds of the retry delay, applied after the jitter.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0


class _ReportedLevel(NamedTuple):
    """Level of a service, as reported by one host.

    Attributes:
        level: Positions at or above this are refused.
        weight: Weight in the mean over the hosts that reported recently.
        reported_at: Time at which this node received the level, in seconds.

    """

    level: float
    weight: float
    reported_at: float


class _CachedLevel(NamedTuple):
    """Mean level of a service of many hosts, with the times that it is valid for."""

    level: float | None
    computed_at: float
    expires_at: float


class AdmissionDecision(NamedTuple):
    """Decision on whether a root request may start.

    Attributes:
        limiting_service: First service found that does not accept the request, which
            need not be the most restrictive one; None if the request may start, and
            the other fields then have no meaning.
        level: Admission level of that service.
        retry_after_s: Delay after which a refused caller may retry, in seconds.

    """

    limiting_service: ServiceId | None
    level: float = 0.0
    retry_after_s: float = 0.0


class ReachedService(NamedTuple):
    """A service that requests of a route reach.

    Attributes:
        service: The service.
        calls: Requests that it gets for each one, on average.
        level: Root requests at or above this position are refused; None if it accepts
            all.

    """

    service: ServiceId
    calls: float
    level: float | None


class RootAdmission:
    """Decides which root requests may start.

    Holds the mean calls per request of each route and the service that runs it, by
    called service, and the reported levels of the services.
    """

    def __init__(self) -> None:
        self._mean_calls: dict[tuple[RouteId, ServiceId], dict[ServiceId, float]] = {}
        self._levels: dict[ServiceId, dict[HostId, _ReportedLevel]] = {}
        self._cached_levels: dict[ServiceId, _CachedLevel] = {}
        self._short_until = float("-inf")

    def record_shortage(self, now: float) -> None:
        """Record that a host has reported a level that refuses some positions."""
        self._short_until = now + LEVEL_MAX_AGE_S

    def is_short(self, now: float) -> bool:
        """Return whether a service has lacked room recently."""
        return now < self._short_until

    def update_call_tree(
        self, route: RouteId, service: ServiceId, calls: dict[ServiceId, float]
    ) -> None:
        """Include one request in the mean calls per request of a route.

        The first observation of calls to a service counts in full.

        Args:
            route: Route of the request.
            service: Service that ran the request.
            calls: Number of calls to each service due to the request, including those
                made by the called services.

        """
        means = self._mean_calls.setdefault((route, service), {})
        for name in means.keys() | calls.keys():
            mean = means.get(name)
            observed = calls.get(name, 0.0)
            means[name] = (
                observed
                if mean is None
                else mean + CALL_TREE_EWMA_WEIGHT * (observed - mean)
            )

    def expected_calls(self, route: RouteId, service: ServiceId) -> float:
        """Return the mean number of calls, direct and nested, per request.

        0.0 also if no request has been observed yet.
        """
        return sum(self._mean_calls.get((route, service), {}).values())

    def update_level(
        self,
        service: ServiceId,
        host: HostId,
        level: float,
        now: float,
        *,
        weight: float = 1.0,
    ) -> None:
        """Record an admission level reported by a host.

        Args:
            service: Service that the level applies to, which may be another one than
                that of the host's upstream.
            host: Host that reported it.
            level: Root requests at or above this position are refused.
            now: Monotonic time of receipt, in seconds.
            weight: For the level of the host's own service, the throughput of its
                upstream with all slots in use, in requests per second, so that a slow
                host has little influence; 1.0 for a relayed level of another service.

        """
        levels_by_host = self._levels.setdefault(service, {})
        levels_by_host[host] = _ReportedLevel(level, weight, now)

    def service_level(self, service: ServiceId, now: float) -> float | None:
        """Return the weighted mean of a service's levels; None without any.

        Covers the hosts whose levels were received within `LEVEL_MAX_AGE_S`.
        """
        levels_by_host = self._levels.get(service)
        if not levels_by_host:
            return None
        if len(levels_by_host) < MANY_HOSTS:
            return self._mean_level(levels_by_host, now)
        cached = self._cached_levels.get(service)
        if cached is None or not cached.computed_at <= now < cached.expires_at:
            level = self._mean_level(levels_by_host, now)
            cached = _CachedLevel(level, now, now + LEVEL_CACHE_S)
            self._cached_levels[service] = cached
        return cached.level

    def _mean_level(
        self, levels_by_host: dict[HostId, _ReportedLevel], now: float
    ) -> float | None:
        min_reported_at = now - LEVEL_MAX_AGE_S
        recent = [
            each
            for each in levels_by_host.values()
            if each.reported_at >= min_reported_at
        ]
        if not recent:
            return None
        total_weight = sum(each.weight for each in recent)
        return sum(each.level * each.weight for each in recent) / total_weight

    def reached_services(
        self, route: RouteId, service: ServiceId
    ) -> Iterable[ServiceId]:
        """Yield the service itself and the services that requests of the route call.

        Omits services called fewer than `MIN_CALLS_PER_REQUEST` times on average.
        """
        means = self._mean_calls.get((route, service), {})
        yield service
        for name, calls in means.items():
            if calls >= MIN_CALLS_PER_REQUEST and name != service:
                yield name

    def describe(
        self, route: RouteId, service: ServiceId, now: float
    ) -> list[ReachedService]:
        """Return the services that requests of a route reach; only reads.

        Args:
            route: Route of the requests.
            service: Service that they go to.
            now: Current monotonic time in seconds.

        """
        means = self._mean_calls.get((route, service), {})
        return [
            ReachedService(
                name,
                1.0 if name == service else means[name],
                self._mean_level(self._levels.get(name, {}), now),
            )
            for name in self.reached_services(route, service)
        ]

    def decide(
        self,
        route: RouteId,
        service: ServiceId,
        position: float,
        now: float,
        *,
        jitter: float,
    ) -> AdmissionDecision:
        """Decide whether a root request may start.

        A service without a recent level accepts every request. The retry delay is the
        time in which the level is assumed to rise to the position, varied by up to half
        and then clamped; at the bounds it is therefore not spread.

        Args:
            route: Route of the request.
            service: Service that the request goes to.
            position: Importance class plus a fraction in [0, 1); higher positions are
                refused first.
            now: Current monotonic time in seconds.
            jitter: Random number in [0, 1) that spreads the retries of refused callers.

        """
        for name in self.reached_services(route, service):
            level = self.service_level(name, now)
            if level is not None and position >= level:
                wait_s = (
                    (position - level) / LEVEL_RECOVERY_CLASSES_PER_S * (0.5 + jitter)
                )
                retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
                return AdmissionDecision(name, level, retry_after_s)
        return AdmissionDecision(None)
