"""How resources look to operators: specification and status."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lavenderway_core.ids import Revision
from lavenderway_core.membership import HostState, UpstreamState
from lavenderway_core.resources import Kind

if TYPE_CHECKING:
    from lavenderway_core.membership import HostRecord, UpstreamRecord
    from lavenderway_core.state import NodeState

STATUS_MAX_AGE_S = 5.0
Document = dict[str, Any]


def view_item(
    state: NodeState,
    kind: Kind,
    name: str,
    spec: object,
    revision: Revision,
    now: float,
) -> Document:
    """Return a resource with where its revision is in force."""
    return {
        "kind": kind.value,
        "name": name,
        "revision": revision,
        "spec": spec,
        "status": view_status(state, revision, now),
    }


def view_status(state: NodeState, revision: Revision, now: float) -> Document:
    """Return in which failure domains a revision is in force.

    A failure domain counts only while its own report is fresh, so that nothing is
    called in force that is not known to be.
    """
    known = {record.failure_domain for record in state.members.records.values()}
    domains: Document = {}
    unreachable = []
    for domain in sorted(known):
        reply, at = state.config.domains.get(domain, (None, 0.0))
        if reply is None or now - at > STATUS_MAX_AGE_S:
            unreachable.append(domain)
            continue
        domains[domain] = {
            "in_force": reply.revision >= revision,
            "revision": reply.revision,
            "hosts": reply.hosts,
            "behind": list(reply.behind) if reply.revision < revision else [],
        }
    everywhere = not unreachable and all(d["in_force"] for d in domains.values())
    return {
        "in_force_everywhere": everywhere and bool(domains),
        "failure_domains": domains,
        "unreachable": unreachable,
    }


def view_items(state: NodeState, kind: Kind, now: float) -> list[Document]:
    """Return all resources of a kind that operators have written."""
    return [
        view_item(state, item.kind, item.name, item.document, item.revision, now)
        for item in state.directory.items_since(Revision(0))
        if item.kind is kind and item.document is not None
    ]


def view_host(record: HostRecord) -> Document:
    """Return a host."""
    return {
        "kind": "hosts",
        "name": record.host,
        "status": {
            "failure_domain": record.failure_domain,
            "state": record.state.name.lower(),
            "address": record.address,
            "incarnation": record.incarnation,
            "upstreams": [each.upstream for each in record.upstreams],
            "holds_allotments_of": list(record.holds),
        },
    }


def view_upstreams(state: NodeState, now: float) -> list[Document]:
    """Return the upstreams that have announced themselves."""
    wishes = {each["name"]: each for each in view_items(state, Kind.UPSTREAM, now)}
    found: dict[str, Document] = {}
    for record in state.members.records.values():
        if record.state is HostState.DEAD:
            continue
        for upstream in record.upstreams:
            found[upstream.upstream] = _view_upstream(record, upstream, wishes)
    for name, wish in wishes.items():
        found.setdefault(name, wish)
    return [found[name] for name in sorted(found)]


def _view_upstream(
    record: HostRecord, upstream: UpstreamRecord, wishes: dict[str, Document]
) -> Document:
    wish = wishes.get(upstream.upstream)
    status: Document = {
        "host": record.host,
        "failure_domain": record.failure_domain,
        "service": upstream.service,
        "state": UpstreamState(upstream.state).name.lower(),
    }
    document: Document = {
        "kind": "upstreams",
        "name": upstream.upstream,
        "spec": {"drain": False},
        "status": status,
    }
    if wish is not None:
        document |= {"spec": wish["spec"], "revision": wish["revision"]}
        document["status"] = wish["status"] | status
    return document


def view_node(state: NodeState, now: float) -> Document:
    """Return the state of this node."""
    confirmed = state.directory.confirmed_at
    return {
        "host": state.host,
        "failure_domain": state.failure_domain,
        "phase": state.lifecycle.state.value,
        "revision": state.directory.revision,
        "confirmed_age_s": None if confirmed is None else round(now - confirmed, 3),
        "hosts": _count_hosts(state),
        "exchanges": len(state.exchanges),
        "upstreams": [_view_load(state, name, now) for name in sorted(state.upstreams)],
        "allotments": [
            {
                "row": allotment.id.row,
                "rate": allotment.share.rate_per_s,
                "burst": allotment.share.burst,
                "tokens": round(allotment.bucket.tokens, 2),
                "lent": allotment.bucket.lent,
                "lease_left_s": round(allotment.lease_ends - now, 1),
            }
            for allotment in state.allotments.values()
        ],
    }


def _count_hosts(state: NodeState) -> Document:
    counts: Document = {}
    for record in state.members.records.values():
        name = record.state.name.lower()
        counts[name] = counts.get(name, 0) + 1
    return counts


def _view_load(state: NodeState, name: Any, now: float) -> Document:
    local = state.upstreams[name]
    load = local.admission.report(None, now)
    level = local.admission.level
    return {
        "name": name,
        "service": local.service,
        "in_flight": load.in_flight,
        "queued": load.queued,
        "limit": round(load.limit, 1),
        "limiter": local.admission.limiter.phase.value,
        "shed_margin": load.margin,
        "shed_cutoffs": {
            str(name): round(cutoff, 3) for name, cutoff in level.cutoffs.items()
        },
        "stalled": local.admission.is_stalled(now),
    }
