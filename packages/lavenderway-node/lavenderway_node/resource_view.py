"""Documents that describe resources and node state to operators."""

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


def build_resource_document(
    state: NodeState,
    kind: Kind,
    name: str,
    spec: object,
    revision: Revision,
    now: float,
) -> Document:
    """Return a resource with the failure domains in which its revision is active."""
    return {
        "kind": kind.value,
        "name": name,
        "revision": revision,
        "spec": spec,
        "status": build_status_document(state, revision, now),
    }


def build_status_document(state: NodeState, revision: Revision, now: float) -> Document:
    """Return the failure domains in which a revision is active.

    A failure domain whose last report is too old counts as unreachable, because its
    hosts may have fallen behind since.
    """
    known_domains = {record.failure_domain for record in state.members.records.values()}
    domains: Document = {}
    unreachable = []
    for domain in sorted(known_domains):
        reply, received_at = state.config.domain_statuses.get(domain, (None, 0.0))
        if reply is None or now - received_at > STATUS_MAX_AGE_S:
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


def build_resource_documents(
    state: NodeState, kind: Kind, now: float
) -> list[Document]:
    """Return all resources of a kind that exist in the active configuration."""
    return [
        build_resource_document(
            state, item.kind, item.name, item.document, item.revision, now
        )
        for item in state.configuration_store.items_since(Revision(0))
        if item.kind is kind and item.document is not None
    ]


def build_host_document(record: HostRecord) -> Document:
    """Return the membership record of a host."""
    return {
        "kind": "hosts",
        "name": record.host,
        "status": {
            "failure_domain": record.failure_domain,
            "state": record.state.name.lower(),
            "address": record.address,
            "incarnation": record.incarnation,
            "upstreams": [each.upstream for each in record.upstreams],
            "holds_allotments_of": list(record.held_workspaces),
        },
    }


def build_upstream_documents(state: NodeState, now: float) -> list[Document]:
    """Return the announced upstreams and those configured by operators."""
    configured = {
        each["name"]: each
        for each in build_resource_documents(state, Kind.UPSTREAM, now)
    }
    documents: dict[str, Document] = {}
    for record in state.members.records.values():
        if record.state is HostState.DEAD:
            continue
        for upstream in record.upstreams:
            documents[upstream.upstream] = _build_upstream_document(
                record, upstream, configured
            )
    for name, resource in configured.items():
        documents.setdefault(name, resource)
    return [documents[name] for name in sorted(documents)]


def _build_upstream_document(
    record: HostRecord, upstream: UpstreamRecord, configured: dict[str, Document]
) -> Document:
    resource = configured.get(upstream.upstream)
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
    if resource is not None:
        document |= {"spec": resource["spec"], "revision": resource["revision"]}
        document["status"] = resource["status"] | status
    return document


def build_node_document(state: NodeState, now: float) -> Document:
    """Return the load, allotments and configuration state of this node."""
    confirmed_at = state.configuration_store.confirmed_at
    return {
        "host": state.host,
        "failure_domain": state.failure_domain,
        "phase": state.lifecycle.state.value,
        "revision": state.configuration_store.revision,
        "confirmed_age_s": None
        if confirmed_at is None
        else round(now - confirmed_at, 3),
        "hosts": _count_hosts_by_state(state),
        "exchanges": len(state.exchanges),
        "upstreams": [
            _build_load_document(state, name, now) for name in sorted(state.upstreams)
        ],
        "allotments": [
            {
                "row": allotment.id.row_key,
                "rate": allotment.share.rate_per_s,
                "burst": allotment.share.burst,
                "tokens": round(allotment.bucket.tokens, 2),
                "lent": allotment.bucket.lent,
                "lease_left_s": round(allotment.lease_ends_at - now, 1),
            }
            for allotment in state.allotments.values()
        ],
    }


def _count_hosts_by_state(state: NodeState) -> Document:
    counts: Document = {}
    for record in state.members.records.values():
        name = record.state.name.lower()
        counts[name] = counts.get(name, 0) + 1
    return counts


def _build_load_document(state: NodeState, name: Any, now: float) -> Document:
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
            str(workspace): round(cutoff, 3)
            for workspace, cutoff in level.cutoffs.items()
        },
        "stalled": local.admission.is_unresponsive(now),
    }
