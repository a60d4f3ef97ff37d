"""Resolves the route, the workspace, the importance and the service of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderway_core.ids import RouteId, ServiceId, WorkspaceId

    from lavenderway_relay.model import Configuration, Route


class RouteTable:
    """Lookup tables for one version of the configuration.

    Args:
        configuration: Configuration to index.

    """

    def __init__(self, *, configuration: Configuration) -> None:
        self.configuration = configuration
        self._routes: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.authority, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._class_by_priorities = self._assign_classes()
        workspaces = configuration.workspaces.values()
        self._limits_workspaces = any(each.rate_per_s > 0 for each in workspaces)

    @property
    def limits_workspaces(self) -> bool:
        """Whether the configuration limits the rate of a workspace."""
        return self._limits_workspaces

    @property
    def class_count(self) -> int:
        """Number of importance classes."""
        return len(self._class_by_priorities)

    def find_route(self, authority: bytes, target: bytes) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        name = authority.decode("latin-1").lower()
        routes = self._routes.get(name)
        if routes is None:
            routes = self._routes.get(name.partition(":")[0], [])
        path = target.partition(b"?")[0]
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None

    def find_workspace(self, authorization: bytes | None) -> WorkspaceId | None:
        """Return the workspace of the bearer key in an Authorization header.

        Returns:
            The workspace, or None if the header has no known bearer key.

        """
        if authorization is None:
            return None
        scheme, _, key = authorization.partition(b" ")
        if scheme.lower() != b"bearer":
            return None
        return self.configuration.workspace_of_key.get(key.strip())

    def importance_class(self, route: Route, workspace: WorkspaceId | None) -> int:
        """Return the importance class of a request; 0 is the most important.

        The priority of the workspace takes precedence over that of the route.
        """
        return self._class_by_priorities.get(
            self._priorities_of(route, workspace), self.class_count
        )

    def _priorities_of(
        self, route: Route, workspace: WorkspaceId | None
    ) -> tuple[int, int]:
        """Return the priority of the workspace, 0 if it has none, and of the route."""
        if workspace is None:
            return (0, route.priority)
        found = self.configuration.workspaces.get(workspace)
        if found is None or found.priority is None:
            return (0, route.priority)
        return (found.priority, route.priority)

    def _assign_classes(self) -> dict[tuple[int, int], int]:
        workspaces: list[WorkspaceId | None] = [None, *self.configuration.workspaces]
        priorities = {
            self._priorities_of(route, workspace)
            for route in self.configuration.routes
            for workspace in workspaces
        }
        return {pair: index for index, pair in enumerate(sorted(priorities))}


class WeightedRoundRobin:
    """Smooth weighted round-robin over the services of each route.

    Keeps the configured proportions even over short windows.
    """

    def __init__(self) -> None:
        self._credit: dict[RouteId, dict[ServiceId, float]] = {}

    def pick(self, route: Route) -> ServiceId:
        """Return the service that takes the next request of a route."""
        if len(route.service_weights) == 1:
            return route.service_weights[0].service
        credit = self._credit.setdefault(route.id, {})
        if credit.keys() != {
            service_weight.service for service_weight in route.service_weights
        }:
            credit.clear()
        total = 0.0
        for service_weight in route.service_weights:
            credit[service_weight.service] = (
                credit.get(service_weight.service, 0.0) + service_weight.weight
            )
            total += service_weight.weight
        chosen = max(credit, key=lambda service: credit[service])
        credit[chosen] -= total
        return chosen
