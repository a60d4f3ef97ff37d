"""Configuration of a node, with one monotonic revision.

A revision that has been applied is never replaced by an older one, whatever the order
in which peers and the platform's table deliver changes.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from returns.result import Success

from lavenderway_core.ids import KeyId, Revision, RouteId, UpstreamId, WorkspaceId
from lavenderway_core.resources import (
    CutOffPolicy,
    Item,
    KeySpec,
    Kind,
    RouteSpec,
    UpstreamSpec,
    WorkspaceSpec,
)
from lavenderway_core.validation import check_spec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


def digest_secret(secret: str) -> str:
    """Return the SHA-256 digest of a key's secret in hexadecimal."""
    return hashlib.sha256(secret.encode("utf-8", "surrogateescape")).hexdigest()


class ConfigurationStore:
    """Resources of one configuration revision, indexed for request handling.

    Items older than those already stored are ignored.
    """

    def __init__(self) -> None:
        self.revision = Revision(0)
        self.confirmed_at: float | None = None
        self.workspaces: dict[WorkspaceId, WorkspaceSpec] = {}
        self.keys: dict[KeyId, KeySpec] = {}
        self.routes: dict[RouteId, RouteSpec] = {}
        self.drained: set[UpstreamId] = set()
        self._items: dict[tuple[Kind, str], Item] = {}
        self._keys_by_digest: dict[str, KeySpec] = {}
        self._routes_by_length: list[RouteSpec] = []

    @property
    def configured(self) -> bool:
        """Whether any configuration has been confirmed as current."""
        return self.confirmed_at is not None

    def confirm(self, at: float) -> None:
        """Record that the stored revision was the latest one at time `at`."""
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def apply(
        self, base: Revision, revision: Revision, items: Iterable[Item]
    ) -> list[Item]:
        """Apply all changes after `base` up to `revision`.

        Args:
            base: Revision after which `items` contains every changed resource.
            revision: Revision that is complete once `items` are applied.
            items: Changed resources.

        Returns:
            The items that were newer than those stored. Empty if `revision` is not
            newer than the stored one, or if changes between the stored one and `base`
            are missing.

        """
        if base > self.revision or revision <= self.revision:
            return []
        changed = [item for item in items if self._store_if_newer(item)]
        self.revision = revision
        self._rebuild_indexes()
        return changed

    def items_since(self, revision: Revision) -> list[Item]:
        """Return the items that changed after `revision`, oldest first."""
        found = (item for item in self._items.values() if item.revision > revision)
        return sorted(found, key=lambda item: item.revision)

    def key_for(self, digest: str) -> KeySpec | None:
        """Return the key whose secret has the given digest, or None."""
        found = self._keys_by_digest.get(digest)
        if found is None or not hmac.compare_digest(found.digest, digest):
            return None
        return found

    def is_withdrawn(self, key: KeyId) -> bool:
        """Return whether a key is known to have been deleted.

        An unknown key does not count as deleted, because it may have been created
        after this node's revision.
        """
        item = self._items.get((Kind.KEY, key))
        return item is not None and item.document is None

    def route_for(self, path: str) -> RouteSpec | None:
        """Return the route whose prefix is the longest match for `path`, or None."""
        return next(self._matching_routes(path), None)

    def refuses_keyed_requests(self, workspace: WorkspaceSpec, now: float) -> bool:
        """Return whether requests with a key of `workspace` are currently refused.

        Under the cut-off policy `refuse` they are refused once the configuration has
        been unconfirmed for longer than the workspace allows.
        """
        if workspace.cut_off is CutOffPolicy.SERVE or self.confirmed_at is None:
            return False
        return now - self.confirmed_at > workspace.cut_off_after_s

    def _matching_routes(self, path: str) -> Iterator[RouteSpec]:
        for route in self._routes_by_length:
            prefix = route.path_prefix
            if path == prefix or path.startswith(prefix.rstrip("/") + "/"):
                yield route

    def _store_if_newer(self, item: Item) -> bool:
        known = self._items.get((item.kind, item.name))
        if known is not None and known.revision >= item.revision:
            return False
        self._items[item.kind, item.name] = item
        return True

    def _rebuild_indexes(self) -> None:
        self.workspaces.clear()
        self.keys.clear()
        self.routes.clear()
        self.drained.clear()
        for item in self._items.values():
            self._index_item(item)
        self._keys_by_digest = {key.digest: key for key in self.keys.values()}
        by_length = sorted(self.routes.values(), key=lambda r: -len(r.path_prefix))
        self._routes_by_length = by_length

    def _index_item(self, item: Item) -> None:
        if item.document is None:
            return
        match check_spec(item.kind, item.name, item.document):
            case Success(WorkspaceSpec() as workspace):
                self.workspaces[workspace.name] = workspace
            case Success(KeySpec() as key):
                self.keys[key.name] = key
            case Success(RouteSpec() as route):
                self.routes[route.name] = route
            case Success(UpstreamSpec(name=name, drain=True)):
                self.drained.add(name)
