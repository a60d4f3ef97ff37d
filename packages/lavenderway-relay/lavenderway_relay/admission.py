"""Sheds root requests whose call tree needs an overloaded service.

A root request is one that was not made by a request already running at an upstream. If
a service deep in its call tree is overloaded, the root request fails after the services
above have done their work for nothing, so its entry node refuses it before it starts.
The services that a route reaches are learned from observed calls; the load that each
service accepts is taken from the admission levels that hosts report with their
responses.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.ids import ServiceId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lavenderway_core.ids import HostId, RouteId

# An older level says nothing about the present state of a service and is ignored.
LEVEL_MAX_AGE_S = 3.0
# Weight of the newest request in the moving average of a route's calls per request.
CALL_TREE_EWMA_WEIGHT = 0.1
# The level of a service that a route calls less often than this is ignored.
MIN_CALLS_PER_REQUEST = 0.05
LEVEL_RECOVERY_CLASSES_PER_S = 0.5  # assumed for the retry delay
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0


class _ReportedLevel(NamedTuple):
    level: float
    weight: float
    reported_at: float


class AdmissionDecision(NamedTuple):
    """Decision on whether a root request may start.

    Attributes:
        limiting_service: Service that cannot accept the request; None if the request
            may start.
        level: Admission level of that service.
        retry_after_s: Delay after which a refused caller may retry, in seconds.

    """

    limiting_service: ServiceId | None
    level: float = 0.0
    retry_after_s: float = 0.0


class RootAdmission:
    """Decides which root requests may start.

    Holds the learned call trees of the routes and the reported levels of the services.
    """

    def __init__(self) -> None:
        self._call_trees: dict[tuple[RouteId, ServiceId], dict[ServiceId, float]] = {}
        self._levels: dict[ServiceId, dict[HostId, _ReportedLevel]] = {}

    def update_call_tree(
        self, route: RouteId, service: ServiceId, calls: dict[ServiceId, float]
    ) -> None:
        """Record the calls made on behalf of one request of a route.

        Args:
            route: Route of the request.
            service: Service that took the request.
            calls: Calls to each service, including those made by the called services.

        """
        tree = self._call_trees.setdefault((route, service), {})
        for name in tree.keys() | calls.keys():
            mean = tree.get(name)
            observed = calls.get(name, 0.0)
            tree[name] = (
                observed
                if mean is None
                else mean + CALL_TREE_EWMA_WEIGHT * (observed - mean)
            )

    def expected_calls(self, route: RouteId, service: ServiceId) -> float:
        """Return the average number of calls that one request of a route leads to."""
        return sum(self._call_trees.get((route, service), {}).values())

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
            service: Service that the level applies to.
            host: Host that reported it.
            level: Root requests at or above this position are refused.
            now: Current time in seconds.
            weight: Throughput of the host's upstream in requests per second, so that a
                slow host has little influence on the level of the service.

        """
        levels_by_host = self._levels.setdefault(service, {})
        levels_by_host[host] = _ReportedLevel(level, weight, now)

    def service_level(self, service: ServiceId, now: float) -> float | None:
        """Return the weighted mean of a service's recent levels, or None."""
        levels_by_host = self._levels.get(service)
        if not levels_by_host:
            return None
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
        """Yield the service itself and the services that requests of the route call."""
        tree = self._call_trees.get((route, service), {})
        yield service
        for name, calls in tree.items():
            if calls >= MIN_CALLS_PER_REQUEST and name != service:
                yield name

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

        Args:
            route: Route of the request.
            service: Service that the request goes to.
            position: Importance class plus a fraction in [0, 1).
            now: Current time in seconds.
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
