"""Kinds and specifications of the resources that operators manage."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from lavenderway_core.ids import (
    KeyId,
    Revision,
    RouteId,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)
from lavenderway_core.importance import Importance


class Kind(Enum):
    """Kind of a resource; the value is its name in the operators' API."""

    WORKSPACE = "workspaces"
    KEY = "keys"
    ROUTE = "routes"
    UPSTREAM = "upstreams"


class CutOffPolicy(Enum):
    """Handling of requests with a key if the configuration is too long unconfirmed."""

    SERVE = "serve"
    REFUSE = "refuse"


class WorkspaceSpec(NamedTuple):
    """Owner of keys, with one rate limit over all hosts together.

    Attributes:
        rate_per_s: Requests allowed per second.
        burst: Requests allowed at once.
        weight: Weight relative to other workspaces when load is shed.
        cut_off: Handling of requests with a key while it cannot be confirmed that the
            configuration is the latest.
        cut_off_after_s: Seconds without such a confirmation before `cut_off` applies.

    """

    name: WorkspaceId
    rate_per_s: float
    burst: float
    weight: float
    cut_off: CutOffPolicy
    cut_off_after_s: float


class KeySpec(NamedTuple):
    """A caller's key, stored as the SHA-256 digest of its secret."""

    name: KeyId
    workspace: WorkspaceId
    digest: str


class RouteSpec(NamedTuple):
    """Route from a path prefix to a service.

    Attributes:
        idempotent: Whether a request may be executed more than once.
        open_to_all: Whether requests without a key are served.
        workspaces: Workspaces that may use the route, or empty for all of them.
        methods: Allowed HTTP methods, or empty for all of them.
        timeout_ms: Maximum time budget of a request in milliseconds.
        max_body_bytes: Maximum size of a request body in bytes.

    """

    name: RouteId
    path_prefix: str
    service: ServiceId
    idempotent: bool
    importance: Importance
    open_to_all: bool
    workspaces: frozenset[WorkspaceId]
    methods: frozenset[str]
    timeout_ms: int
    max_body_bytes: int


class UpstreamSpec(NamedTuple):
    """Operator's setting for an upstream; its host announces the upstream itself.

    Attributes:
        drain: Whether the upstream is to receive no new requests.

    """

    name: UpstreamId
    drain: bool


Spec = WorkspaceSpec | KeySpec | RouteSpec | UpstreamSpec
SpecDocument = dict[str, object]


class Item(NamedTuple):
    """Resource at the revision of its last change.

    Attributes:
        document: Specification of the resource, or None if it was deleted.

    """

    kind: Kind
    name: str
    revision: Revision
    document: SpecDocument | None
