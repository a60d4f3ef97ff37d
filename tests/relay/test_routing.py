"""Tests of route, workspace and importance lookups, and of weighted round-robin."""

import unittest
from collections import Counter

from lavenderway_core.ids import RouteId, ServiceId, WorkspaceId
from lavenderway_relay.model import Configuration, Route, ServiceWeight, Workspace
from lavenderway_relay.routing import RouteTable, WeightedRoundRobin


def make_route(
    name: str,
    prefix: bytes,
    *,
    priority: int = 1,
    service_weights: tuple[ServiceWeight, ...] = (),
) -> Route:
    return Route(
        id=RouteId(name),
        authority="app.example",
        prefix=prefix,
        idempotent=True,
        timeout_s=1.0,
        target_latency_s=0.1,
        priority=priority,
        service_weights=service_weights or (ServiceWeight(ServiceId("s"), 1.0),),
        max_attempts=2,
        public=False,
    )


def make_table(*routes: Route, **priorities: int | None) -> RouteTable:
    workspaces = {
        WorkspaceId(name): Workspace(
            id=WorkspaceId(name), priority=priority, rate_per_s=0.0, burst=0.0
        )
        for name, priority in priorities.items()
    }
    keys = {name.encode(): WorkspaceId(name) for name in priorities}
    return RouteTable(
        configuration=Configuration(
            version=1, routes=routes, workspaces=workspaces, workspace_of_key=keys
        )
    )


class RouteLookup(unittest.TestCase):
    """The route of the authority with the longest matching prefix is found."""

    def setUp(self) -> None:
        self.outer = make_route("outer", b"/a/")
        self.inner = make_route("inner", b"/a/b/")
        self.table = make_table(self.outer, self.inner)

    def find(self, authority: bytes, target: bytes) -> Route | None:
        return self.table.find_route(authority, target)

    def test_longest_prefix_wins(self) -> None:
        self.assertEqual(self.inner, self.find(b"app.example", b"/a/b/c"))
        self.assertEqual(self.outer, self.find(b"app.example", b"/a/x"))

    def test_query_is_not_part_of_the_path(self) -> None:
        self.assertEqual(self.outer, self.find(b"app.example", b"/a/?x=/a/b/"))
        self.assertIsNone(self.find(b"app.example", b"/?/a/"))

    def test_authority_with_port_or_capitals(self) -> None:
        self.assertEqual(self.outer, self.find(b"App.Example:80", b"/a/"))

    def test_unknown_host_or_path(self) -> None:
        self.assertIsNone(self.find(b"other.example", b"/a/"))
        self.assertIsNone(self.find(b"app.example", b"/a"))


class KeyLookup(unittest.TestCase):
    """A bearer key identifies its workspace."""

    def test_bearer_key_lookup(self) -> None:
        table = make_table(make_route("r", b"/"), coulee=None)
        self.assertEqual("coulee", table.find_workspace(b"Bearer coulee"))
        self.assertEqual("coulee", table.find_workspace(b"bearer  coulee"))
        for value in (None, b"", b"coulee", b"Basic coulee", b"Bearer other"):
            with self.subTest(value=value):
                self.assertIsNone(table.find_workspace(value))


class ImportanceClasses(unittest.TestCase):
    """The priority of the workspace takes precedence over that of the route."""

    def test_workspace_priority_comes_first(self) -> None:
        high = make_route("high", b"/h/", priority=0)
        low = make_route("low", b"/l/", priority=2)
        table = make_table(high, low, big=1, small=0)
        classes = [
            table.importance_class(route, WorkspaceId(name))
            for name in ("small", "big")
            for route in (high, low)
        ]
        self.assertEqual(sorted(classes), classes)
        self.assertEqual(4, len(set(classes)))


class WeightedServices(unittest.TestCase):
    """Weighted round-robin keeps the proportions even in short windows."""

    def test_short_windows_keep_the_proportions(self) -> None:
        service_weights = (
            ServiceWeight(ServiceId("a"), 90.0),
            ServiceWeight(ServiceId("b"), 10.0),
        )
        route = make_route("r", b"/", service_weights=service_weights)
        counter = WeightedRoundRobin()
        for _ in range(5):
            picked = Counter(counter.pick(route) for _ in range(20))
            self.assertEqual({"a": 18, "b": 2}, dict(picked))

    def test_changed_services_reset_the_credit(self) -> None:
        counter = WeightedRoundRobin()
        service_weights = (
            ServiceWeight(ServiceId("a"), 1.0),
            ServiceWeight(ServiceId("b"), 1.0),
        )
        counter.pick(make_route("r", b"/", service_weights=service_weights))
        changed = (
            ServiceWeight(ServiceId("a"), 1.0),
            ServiceWeight(ServiceId("c"), 1.0),
        )
        route = make_route("r", b"/", service_weights=changed)
        self.assertEqual({"a", "c"}, {counter.pick(route) for _ in range(2)})
