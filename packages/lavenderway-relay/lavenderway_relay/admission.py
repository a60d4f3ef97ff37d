"""Admits root requests where they begin, by what their whole call tree needs.

The load it answers: a service deep in the call tree that cannot bear what begins far
above it. A root whose calls fail has wasted the work of all services above, so it is
refused before it starts. Which services a route's tree reaches is learned from the
calls seen; what they can bear is learned from the levels told with their answers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.ids import ServiceId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lavenderway_core.ids import HostId, RouteId

LEVEL_LIFETIME_S = 3.0  # a host that is silent longer says nothing about its service
TREE_GAIN = 0.1  # weight of the newest request in the learned calls of a route
MIN_CALLS = 0.05  # services called less often by a route do not hold it back
RISE_PER_S = 0.5  # in classes; how fast a level is expected to recover
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0


class _HostLevel(NamedTuple):
    level: float
    weight: float
    at: float


class AdmissionVerdict(NamedTuple):
    """Whether a root request may start.

    Attributes:
        limiting: Service that has no room for it, or None if it may start.
        level: Level of that service.
        retry_after_s: When a refused request may come back, in seconds.

    """

    limiting: ServiceId | None
    level: float = 0.0
    retry_after_s: float = 0.0


class RootAdmission:
    """Learned call trees of the routes and levels of the services."""

    def __init__(self) -> None:
        self._trees: dict[tuple[RouteId, ServiceId], dict[ServiceId, float]] = {}
        self._levels: dict[ServiceId, dict[HostId, _HostLevel]] = {}

    def learn_tree(
        self, route: RouteId, service: ServiceId, calls: dict[ServiceId, float]
    ) -> None:
        """Take in the calls that one request of a route has led to."""
        tree = self._trees.setdefault((route, service), {})
        for name in tree.keys() | calls.keys():
            known = tree.get(name)
            seen = calls.get(name, 0.0)
            tree[name] = seen if known is None else known + TREE_GAIN * (seen - known)

    def calls_of(self, route: RouteId, service: ServiceId) -> float:
        """Return the calls that one request of a route leads to, on average."""
        return sum(self._trees.get((route, service), {}).values())

    def learn_level(
        self,
        service: ServiceId,
        host: HostId,
        level: float,
        now: float,
        *,
        weight: float = 1.0,
    ) -> None:
        """Take in a level that a host has told.

        Args:
            service: Service that the level is about.
            host: Host that told it.
            level: Position up to which roots are admitted.
            now: Present time in seconds.
            weight: What the host's upstream bears, in requests a second; a slow one
                says little about the service.

        """
        hosts = self._levels.setdefault(service, {})
        hosts[host] = _HostLevel(level, weight, now)

    def level_of(self, service: ServiceId, now: float) -> float | None:
        """Return the weighted mean level of a service; None if nothing is known."""
        hosts = self._levels.get(service)
        if not hosts:
            return None
        oldest = now - LEVEL_LIFETIME_S
        fresh = [known for known in hosts.values() if known.at >= oldest]
        if not fresh:
            return None
        total = sum(known.weight for known in fresh)
        return sum(known.level * known.weight for known in fresh) / total

    def services_below(self, route: RouteId, service: ServiceId) -> Iterable[ServiceId]:
        """Return the services that a request of a route reaches."""
        tree = self._trees.get((route, service), {})
        yield service
        for name, calls in tree.items():
            if calls >= MIN_CALLS and name != service:
                yield name

    def judge(
        self,
        route: RouteId,
        service: ServiceId,
        position: float,
        now: float,
        *,
        jitter: float,
    ) -> AdmissionVerdict:
        """Decide on a root request.

        Args:
            route: Route of the request.
            service: Service that the request goes to.
            position: Importance class plus a fraction in [0, 1).
            now: Present time in seconds.
            jitter: Number in [0, 1) that spreads the callers that come back.

        """
        for name in self.services_below(route, service):
            level = self.level_of(name, now)
            if level is not None and position >= level:
                wait_s = (position - level) / RISE_PER_S * (0.5 + jitter)
                retry_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
                return AdmissionVerdict(name, level, retry_s)
        return AdmissionVerdict(None)
