"""Tests of the configuration store of a node."""

from __future__ import annotations

import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from lavenderway_core.configuration_store import ConfigurationStore, digest_secret
from lavenderway_core.ids import KeyId, Revision, WorkspaceId
from lavenderway_core.resources import Item, Kind, SpecDocument


def workspace(revision: int, rate: float, name: str = "coulee") -> Item:
    """Return a workspace item at a revision."""
    document: SpecDocument = {"rate": rate, "burst": rate}
    return Item(Kind.WORKSPACE, name, Revision(revision), document)


def key(revision: int, secret: str | None) -> Item:
    """Return a key item, or its deletion if `secret` is None."""
    document: SpecDocument | None = None
    if secret is not None:
        document = {"workspace": "coulee", "digest": digest_secret(secret)}
    return Item(Kind.KEY, "site", Revision(revision), document)


def route(revision: int, name: str, prefix: str) -> Item:
    """Return a route item at a revision."""
    document: SpecDocument = {
        "path_prefix": prefix,
        "service": "archive",
        "idempotent": True,
    }
    return Item(Kind.ROUTE, name, Revision(revision), document)


class ConfigurationStoreTest(unittest.TestCase):
    """Changes apply in order of revision, and late deliveries revert nothing.

    The table and several peers deliver changes, so old ones may arrive after new ones.
    """

    def test_change_is_applied(self) -> None:
        configuration_store = ConfigurationStore()
        configuration_store.apply(Revision(0), Revision(3), [workspace(3, 5.0)])
        self.assertEqual(
            5.0, configuration_store.workspaces[WorkspaceId("coulee")].rate_per_s
        )
        self.assertEqual(3, configuration_store.revision)

    def test_change_after_a_gap_is_ignored(self) -> None:
        configuration_store = ConfigurationStore()
        changed = configuration_store.apply(
            Revision(2), Revision(3), [workspace(3, 5.0)]
        )
        self.assertEqual([], changed)
        self.assertEqual(0, configuration_store.revision)

    def test_older_item_in_newer_batch_is_ignored(self) -> None:
        configuration_store = ConfigurationStore()
        configuration_store.apply(Revision(0), Revision(5), [workspace(5, 50.0)])
        configuration_store.apply(
            Revision(5), Revision(6), [workspace(4, 40.0), key(6, "s")]
        )
        self.assertEqual(
            50.0, configuration_store.workspaces[WorkspaceId("coulee")].rate_per_s
        )

    def test_deleted_key_is_not_found(self) -> None:
        configuration_store = ConfigurationStore()
        configuration_store.apply(Revision(0), Revision(1), [key(1, "secret")])
        self.assertIsNotNone(configuration_store.key_for(digest_secret("secret")))
        configuration_store.apply(Revision(1), Revision(2), [key(2, None)])
        self.assertIsNone(configuration_store.key_for(digest_secret("secret")))
        self.assertNotIn(KeyId("site"), configuration_store.keys)

    def test_key_digest_is_compared_in_full(self) -> None:
        configuration_store = ConfigurationStore()
        configuration_store.apply(Revision(0), Revision(1), [key(1, "secret")])
        digest = digest_secret("secret")
        configuration_store._keys_by_digest["0" * 64] = (
            configuration_store._keys_by_digest[digest]
        )
        self.assertIsNone(configuration_store.key_for("0" * 64))

    def test_longest_prefix_wins(self) -> None:
        configuration_store = ConfigurationStore()
        items = [route(1, "all", "/"), route(2, "a", "/a"), route(3, "ab", "/a/b")]
        configuration_store.apply(Revision(0), Revision(3), items)
        found = {
            path: configuration_store.route_for(path)
            for path in ("/a/b/c", "/a/x", "/ab", "/a")
        }
        names = {path: each.name if each else None for path, each in found.items()}
        self.assertEqual({"/a/b/c": "ab", "/a/x": "a", "/ab": "all", "/a": "a"}, names)

    def test_older_confirmation_is_ignored(self) -> None:
        configuration_store = ConfigurationStore()
        configuration_store.confirm(5.0)
        configuration_store.confirm(3.0)
        self.assertEqual(5.0, configuration_store.confirmed_at)

    @seed(20261203)
    @settings(max_examples=150, deadline=None, database=None)
    @given(st.lists(st.integers(1, 12), min_size=1, max_size=40))
    def test_any_order_of_batches_ends_at_newest_revision(
        self, order: list[int]
    ) -> None:
        history = [workspace(number, float(number)) for number in range(1, 13)]
        configuration_store = ConfigurationStore()
        applied = Revision(0)
        for revision in [*order, 12]:
            items = [item for item in history if item.revision <= revision]
            configuration_store.apply(Revision(0), Revision(revision), items)
            self.assertGreaterEqual(configuration_store.revision, applied)
            applied = configuration_store.revision
            rate = configuration_store.workspaces[WorkspaceId("coulee")].rate_per_s
            self.assertEqual(float(applied), rate)
        self.assertEqual(12, configuration_store.revision)
