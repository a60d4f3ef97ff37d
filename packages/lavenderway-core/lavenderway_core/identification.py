"""Routing, authentication and authorization of a request from its head alone."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.context import Context
from lavenderway_core.ids import HostId, KeyId, RootId, WorkspaceId
from lavenderway_core.importance import Importance
from lavenderway_core.refusal import Reason, Refusal
from lavenderway_core.resources import RouteSpec

if TYPE_CHECKING:
    from lavenderway_core.configuration_store import ConfigurationStore

ROOT_RETRIES = 4
MAX_IDEMPOTENCY_KEY_CHARS = 255
CONFIGURATION_RETRY_AFTER_S = 1.0
KEY_CONFIRMATION_RETRY_AFTER_S = 5.0


class RequestHead(NamedTuple):
    """Parsed head of a caller's request.

    Attributes:
        method: HTTP method.
        path: Decoded path without query.
        root: ID to assign if this is a root request.
        key_digest: Digest of the bearer key; None without one.
        context: Verified context; None for a root request.
        importance: Requested importance; None without the header field.
        timeout_ms: Requested timeout; None without the header field.
        idempotency_key: Value of `Idempotency-Key`; None without the field.

    """

    method: str
    path: str
    root: RootId
    key_digest: str | None
    context: Context | None
    importance: Importance | None
    timeout_ms: int | None
    idempotency_key: str | None


class Call(NamedTuple):
    """A request with its route, workspace, importance, deadline and retries.

    Attributes:
        route: Route that the path matches.
        method: HTTP method.
        root: ID of the root request.
        workspace: Workspace that is charged; None without a valid key, which only
            routes open to all allow.
        key: ID of the bearer key of the root request; None without a valid one.
        is_root: Whether this is a root request. Only root requests are charged to the
            rate of the workspace, and none on routes open to all.
        importance: Importance class.
        deadline: Deadline on this node's clock, in seconds.
        retries: Remaining retries of attempts that may have been executed.
        idempotency_key: Value of `Idempotency-Key`; None without the field.
        parent_context: Context that the request came with; None for a root request.

    """

    route: RouteSpec
    method: str
    root: RootId
    workspace: WorkspaceId | None
    key: KeyId | None
    is_root: bool
    importance: Importance
    deadline: float
    retries: int
    idempotency_key: str | None
    parent_context: Context | None


class Principal(NamedTuple):
    """Authenticated workspace of a request, and the bearer key that identifies it."""

    workspace: WorkspaceId
    key: KeyId


def identify(
    configuration_store: ConfigurationStore, head: RequestHead, host: HostId, now: float
) -> Call | Refusal:
    """Route, authenticate and authorize a request.

    Args:
        configuration_store: Configuration in force.
        head: Head of the request.
        host: Host of this node.
        now: Current time in seconds.

    Returns:
        The call, or the refusal of the request.

    """
    if not configuration_store.configured:
        return Refusal(Reason.UNCONFIGURED, retry_after_s=CONFIGURATION_RETRY_AFTER_S)
    route = configuration_store.route_for(head.path)
    if route is None:
        return Refusal(Reason.NO_ROUTE)
    if route.methods and head.method not in route.methods:
        return Refusal(Reason.METHOD)
    principal = _authenticate(configuration_store, head)
    refusal = _authorize(configuration_store, route, principal, now)
    if refusal is not None:
        return refusal
    if len(head.idempotency_key or "") > MAX_IDEMPOTENCY_KEY_CHARS:
        return Refusal(Reason.BAD_REQUEST, detail="Idempotency-Key is too long.")
    return _build_call(route, head, principal, host, now)


def _authenticate(
    configuration_store: ConfigurationStore, head: RequestHead
) -> Principal | None:
    """Return the principal of a request, or None without a valid key.

    A signed context names a key that a node of the fleet has verified. It is accepted
    unless the key is known to be withdrawn, because the configuration with the key may
    not have reached this node yet.
    """
    context = head.context
    if context is not None:
        if context.key is None or context.workspace is None:
            return None
        withdrawn = configuration_store.is_withdrawn(context.key)
        return None if withdrawn else Principal(context.workspace, context.key)
    key = (
        None
        if head.key_digest is None
        else configuration_store.key_for(head.key_digest)
    )
    if key is None or key.workspace not in configuration_store.workspaces:
        return None
    return Principal(key.workspace, key.name)


def _authorize(
    configuration_store: ConfigurationStore,
    route: RouteSpec,
    principal: Principal | None,
    now: float,
) -> Refusal | None:
    if route.open_to_all:
        return None
    if principal is None:
        return Refusal(Reason.NO_KEY)
    if route.workspaces and principal.workspace not in route.workspaces:
        return Refusal(Reason.WRONG_WORKSPACE)
    workspace = configuration_store.workspaces.get(principal.workspace)
    if workspace is not None and configuration_store.refuses_keyed_requests(
        workspace, now
    ):
        return Refusal(
            Reason.KEY_UNCONFIRMED, retry_after_s=KEY_CONFIRMATION_RETRY_AFTER_S
        )
    return None


def _build_call(
    route: RouteSpec,
    head: RequestHead,
    principal: Principal | None,
    host: HostId,
    now: float,
) -> Call:
    context = head.context
    timeout_ms = route.timeout_ms
    if head.timeout_ms is not None:
        timeout_ms = min(timeout_ms, head.timeout_ms)
    deadline = now + timeout_ms / 1000
    importance = route.importance
    if head.importance is not None:
        importance = importance.lowered_to(head.importance)
    if context is not None:
        importance = importance.lowered_to(context.importance)
        deadline = min(deadline, context.deadline_at(host, now))
    return Call(
        route=route,
        method=head.method,
        root=head.root if context is None else context.root,
        workspace=None if principal is None else principal.workspace,
        key=None if principal is None else principal.key,
        is_root=context is None,
        importance=importance,
        deadline=deadline,
        retries=ROOT_RETRIES if context is None else context.retries,
        idempotency_key=head.idempotency_key,
        parent_context=context,
    )
