"""Decides for which workspace and route a request runs, from its head alone."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core.context import Context
from lavenderway_core.ids import HostId, KeyId, RootId, WorkspaceId
from lavenderway_core.importance import Importance
from lavenderway_core.refusal import Reason, Refusal
from lavenderway_core.resources import RouteSpec

if TYPE_CHECKING:
    from lavenderway_core.directory import Directory

ROOT_RETRIES = 4
MAX_IDEMPOTENCY_KEY_CHARS = 255
CONFIGURATION_WAIT_S = 1.0
CONFIRMATION_WAIT_S = 5.0


class RequestHead(NamedTuple):
    """What the caller's request says about itself.

    Attributes:
        method: HTTP method.
        path: Decoded path without query.
        root: Id to use if this is a root request.
        key_digest: Digest of the bearer key, None without one.
        context: Verified context, None for a root request.
        importance: Importance that the caller asks for, if any.
        timeout_ms: Time budget that the caller asks for, if any.
        idempotency_key: Value of `Idempotency-Key`, if any.

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
    """An identified request.

    Attributes:
        workspace: Workspace that pays; None on routes open to all.
        key: Key that was presented, here or at the root.
        is_root: Whether the request counts against the rate of the workspace.
        deadline: Deadline on this node's clock, in seconds.
        retries: Retries left that may repeat an execution.

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
    parent: Context | None


class Payer(NamedTuple):
    """Workspace that pays for a request, and the key that showed it."""

    workspace: WorkspaceId
    key: KeyId


def identify(
    directory: Directory, head: RequestHead, host: HostId, now: float
) -> Call | Refusal:
    """Identify a request by its head.

    Args:
        directory: Configuration in force.
        head: Head of the request.
        host: Host of this node.
        now: Present time in seconds.

    Returns:
        The call, or a refusal that says why there is none.

    """
    if not directory.configured:
        return Refusal(Reason.UNCONFIGURED, retry_after_s=CONFIGURATION_WAIT_S)
    route = directory.route_for(head.path)
    if route is None:
        return Refusal(Reason.NO_ROUTE)
    if route.methods and head.method not in route.methods:
        return Refusal(Reason.METHOD)
    payer = _find_payer(directory, head)
    refusal = _check_payer(directory, route, payer, now)
    if refusal is not None:
        return refusal
    if len(head.idempotency_key or "") > MAX_IDEMPOTENCY_KEY_CHARS:
        return Refusal(Reason.BAD_REQUEST, detail="Idempotency-Key is too long.")
    return _build_call(route, head, payer, host, now)


def _find_payer(directory: Directory, head: RequestHead) -> Payer | None:
    """Return who pays for a request, None without a valid key.

    A context names a key that a node of the fleet has checked, so it is good unless
    the key is known to be withdrawn, even if this node does not know the key yet.
    """
    context = head.context
    if context is not None:
        if context.key is None or context.workspace is None:
            return None
        withdrawn = directory.is_withdrawn(context.key)
        return None if withdrawn else Payer(context.workspace, context.key)
    key = None if head.key_digest is None else directory.key_for(head.key_digest)
    if key is None or key.workspace not in directory.workspaces:
        return None
    return Payer(key.workspace, key.name)


def _check_payer(
    directory: Directory, route: RouteSpec, payer: Payer | None, now: float
) -> Refusal | None:
    if route.open_to_all:
        return None
    if payer is None:
        return Refusal(Reason.NO_KEY)
    if route.workspaces and payer.workspace not in route.workspaces:
        return Refusal(Reason.WRONG_WORKSPACE)
    workspace = directory.workspaces.get(payer.workspace)
    if workspace is not None and directory.refuses_keys(workspace, now):
        return Refusal(Reason.KEY_UNCONFIRMED, retry_after_s=CONFIRMATION_WAIT_S)
    return None


def _build_call(
    route: RouteSpec, head: RequestHead, payer: Payer | None, host: HostId, now: float
) -> Call:
    context = head.context
    budget_ms = route.timeout_ms
    if head.timeout_ms is not None:
        budget_ms = min(budget_ms, head.timeout_ms)
    deadline = now + budget_ms / 1000
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
        workspace=None if payer is None else payer.workspace,
        key=None if payer is None else payer.key,
        is_root=context is None,
        importance=importance,
        deadline=deadline,
        retries=ROOT_RETRIES if context is None else context.retries,
        idempotency_key=head.idempotency_key,
        parent=context,
    )
