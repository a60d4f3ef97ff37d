"""Builds configuration documents of the users' platform for tests and benches."""

from __future__ import annotations

from typing import Any


def make_route(
    prefix: str,
    service: str,
    *,
    kind: str = "safe",
    timeout: str = "3000ms",
    target: str = "500ms",
    priority: int = 1,
    public: bool = True,
    attempts: int = 2,
) -> dict[str, Any]:
    """Build a route entry of a configuration document."""
    return {
        "host": "app.example",
        "prefix": prefix,
        "kind": kind,
        "timeout": timeout,
        "target-latency": target,
        "priority": priority,
        "service": service,
        "max-attempts": attempts,
        "public": public,
    }


def make_config(
    version: int,
    routes: dict[str, dict[str, Any]],
    tenants: dict[str, dict[str, Any]] | None = None,
) -> dict[str, Any]:
    """Build a configuration document."""
    limits = {
        "max-header-bytes": 4096,
        "max-body-bytes": 65536,
        "header-timeout": "2000ms",
        "idle-timeout": "15000ms",
    }
    document: dict[str, Any] = {
        "version": f"{version:08x}",
        "routes": routes,
        "services": {},
        "limits": limits,
    }
    if tenants is not None:
        document["tenants"] = tenants
    return document
