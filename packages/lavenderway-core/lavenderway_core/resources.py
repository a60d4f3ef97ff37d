"""Resources that operators create: their kinds and specifications."""

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
    """Kind of a resource, named as in the operators' API."""

    WORKSPACE = "workspaces"
    KEY = "keys"
    ROUTE = "routes"
    UPSTREAM = "upstreams"


class CutOffPolicy(Enum):
    """What a failure domain does with keyed work when it hears no configuration."""

    SERVE = "serve"
    REFUSE = "refuse"


class WorkspaceSpec(NamedTuple):
    """The owner of keys and routes, with its rate over all hosts together.

    Attributes:
        rate_per_s: Requests per second.
        burst: Requests that may come at once.
        weight: Share relative to other workspaces under overload.
        cut_off: What to do when keys cannot be confirmed.
        cut_off_after_s: Seconds without confirmed configuration before `cut_off` acts.

    """

    name: WorkspaceId
    rate_per_s: float
    burst: float
    weight: float
    cut_off: CutOffPolicy
    cut_off_after_s: float


class KeySpec(NamedTuple):
    """A caller's key; only the SHA-256 digest of its secret is kept."""

    name: KeyId
    workspace: WorkspaceId
    digest: str


class RouteSpec(NamedTuple):
    """A path prefix served by one service.

    Attributes:
        workspaces: Workspaces that may use the route; empty for all of them.
        open_to_all: Whether requests without a key are served.
        timeout_ms: Longest time budget of a request, in milliseconds.
        max_body_bytes: Largest request body, in bytes.
        methods: Methods that are allowed; empty for all of them.

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
    """An operator's wish for an upstream that announces itself."""

    name: UpstreamId
    drain: bool


Spec = WorkspaceSpec | KeySpec | RouteSpec | UpstreamSpec
SpecDocument = dict[str, object]


class Item(NamedTuple):
    """One resource at the revision that wrote it; `document` None is a deletion."""

    kind: Kind
    name: str
    revision: Revision
    document: SpecDocument | None
