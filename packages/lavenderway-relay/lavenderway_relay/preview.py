"""Explains where a request would go now, without sending it.

For operators who ask why requests are refused, or why they go to one host rather than
another. The deciding objects describe themselves; nothing here decides or changes
anything.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, NamedTuple

from lavenderway_core.ids import WorkspaceId

from lavenderway_relay.host_score import HostState

if TYPE_CHECKING:
    from lavenderway_core.ids import ServiceId

    from lavenderway_relay.admission import ReachedService
    from lavenderway_relay.host_score import HostAssessment
    from lavenderway_relay.model import Route
    from lavenderway_relay.state import NodeState

MAX_CANDIDATES = 20  # shown; the best ones


class PreviewQuery(NamedTuple):
    """A root request that is not sent.

    Attributes:
        authority: Value of its Host header.
        path: Its path.
        workspace: Workspace of its caller; None for a caller without a key.

    """

    authority: str
    path: str
    workspace: str | None


def preview_request(
    state: NodeState, query: PreviewQuery, now: float
) -> dict[str, Any]:
    """Return what would happen to a request, as JSON-compatible values.

    Args:
        state: State of the node that would receive it.
        query: The request.
        now: Current monotonic time in seconds.

    Returns:
        The outcome, the reasons, and under `unknown` what this node cannot know.

    """
    settings = state.settings
    unknown: list[str] = []
    preview: dict[str, Any] = {
        "node": settings.host,
        "failure_domain": settings.failure_domain,
        "configuration": state.config_version or None,
        "evacuated": sorted(state.evacuations.domains),
        "unknown": unknown,
    }
    if not state.serving:
        return preview | {"outcome": "refused: this node is stopping"}
    if state.route_table is None:
        unknown.append("this node has no configuration yet")
        return preview | {"outcome": "refused: no configuration"}
    route = state.route_table.find_route(
        query.authority.encode(errors="replace"), query.path.encode(errors="replace")
    )
    if route is None:
        unknown.append(f"no route for {query.authority}{query.path}")
        return preview | {"outcome": "refused: no route"}
    preview["route"] = route.id
    workspaces = state.route_table.configuration.workspaces
    workspace = None if query.workspace is None else WorkspaceId(query.workspace)
    if workspace is not None and workspace not in workspaces:
        unknown.append(f"workspace {workspace} is not in the configuration")
        return preview | {"outcome": "refused: no such workspace"}
    if workspace is None and workspaces and not route.public:
        return preview | {"outcome": "refused: the route needs a key"}
    importance = state.route_table.importance_class(route, workspace)
    preview["importance_class"] = importance
    over_rate = workspace is not None and _describe_tokens(
        state, workspace, preview, now
    )
    preview["services"] = [
        _describe_service(state, route, each.service, workspace, unknown, now)
        | {"weight": each.weight}
        for each in route.service_weights
    ]
    best = max(preview["services"], key=lambda each: each["weight"])
    if best["admitted_part"] == 0.0:
        outcome = f"refused: {best['limiting_service']} lacks room"
    elif over_rate:
        outcome = "refused: over the rate, unless a token owner lends a token"
    elif not best["candidates"]:
        outcome = f"refused: no host offers {best['service']}"
    else:
        outcome = f"sent to {best['candidates'][0]['host']}"
        if best["admitted_part"] < 1.0:
            outcome += f", for {best['admitted_part']:.0%} of such requests"
    if len(preview["services"]) > 1:
        outcome += f"; {best['service']} has the largest weight of the route's services"
    return preview | {"outcome": outcome}


def _describe_tokens(
    state: NodeState, workspace: WorkspaceId, preview: dict[str, Any], now: float
) -> bool:
    """Add the quota to a preview; return whether this host has no token."""
    assert state.route_table is not None
    known = state.route_table.configuration.workspaces[workspace]
    tokens = state.quota.count_tokens(workspace, now)
    preview["quota"] = {
        "rate_per_s": known.rate_per_s or None,
        "burst": known.burst,
        "tokens_here": None if math.isinf(tokens) else round(tokens, 2),
        "token_owners": state.token_owners.owners_of(
            workspace, nearest=state.settings.failure_domain
        ),
    }
    if tokens >= 1.0:
        return False
    preview["unknown"].append("whether a token owner lends a token was not asked")
    return True


def _describe_service(
    state: NodeState,
    route: Route,
    service: ServiceId,
    workspace: WorkspaceId | None,
    unknown: list[str],
    now: float,
) -> dict[str, Any]:
    """Return how requests of a route fare at one of its services."""
    assert state.route_table is not None
    importance = state.route_table.importance_class(route, workspace)
    reached = state.admission.describe(route.id, service, now)
    limiting = min(
        (each for each in reached if each.level is not None),
        key=lambda each: each.level or 0.0,
        default=None,
    )
    assessments = state.load_balancer.assess(
        state.host_registry.hosts_of(service), now, time_left_s=route.target_latency_s
    )
    for each in assessments[:MAX_CANDIDATES]:
        if each.state is HostState.NOT_CONTACTED:
            unknown.append(f"{each.record.host} has not been contacted by this node")
        elif each.report_is_old:
            unknown.append(f"the last report of {each.record.host} is old")
    return {
        "service": service,
        "reaches": [_describe_reached(each) for each in reached],
        "limiting_service": None if limiting is None else limiting.service,
        "admitted_part": _admitted_part(state, workspace, importance, limiting, now),
        "candidate_count": len(assessments),
        "candidates": [
            _describe_candidate(each) for each in assessments[:MAX_CANDIDATES]
        ],
    }


def _admitted_part(
    state: NodeState,
    workspace: WorkspaceId | None,
    importance: int,
    limiting: ReachedService | None,
    now: float,
) -> float:
    """Return the part of such requests that is admitted at present."""
    if limiting is None or limiting.level is None:
        return 1.0
    cutoff = min(1.0, max(0.0, limiting.level - importance))
    if workspace is None or cutoff in (0.0, 1.0):
        return cutoff
    if not state.divides_shortage(now):
        return cutoff
    return state.fair_share.admitted_part(workspace, importance, cutoff, now)


def _describe_reached(reached: ReachedService) -> dict[str, Any]:
    level = None if reached.level is None else round(reached.level, 3)
    return {
        "service": reached.service,
        "requests_each": round(reached.calls, 2),
        "level": level,
    }


def _describe_candidate(assessment: HostAssessment) -> dict[str, Any]:
    factors = assessment.factors
    return {
        "host": assessment.record.host,
        "failure_domain": assessment.record.failure_domain,
        "state": assessment.state.value,
        "load": round(assessment.load, 3),
        "score": round(factors.score, 4),
        "factors": {name: round(value, 4) for name, value in factors._asdict().items()},
    }
