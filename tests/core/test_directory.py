"""Tests of the configuration directory of a node."""

from __future__ import annotations

import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from lavenderway_core.directory import Directory, digest_secret
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


class DirectoryTest(unittest.TestCase):
    """Changes apply in order of revision, and late deliveries revert nothing.

    The table and several peers deliver changes, so old ones may arrive after new ones.
    """

    def test_change_is_applied(self) -> None:
        directory = Directory()
        directory.apply(Revision(0), Revision(3), [workspace(3, 5.0)])
        self.assertEqual(5.0, directory.workspaces[WorkspaceId("coulee")].rate_per_s)
        self.assertEqual(3, directory.revision)

    def test_change_after_a_gap_is_ignored(self) -> None:
        directory = Directory()
        changed = directory.apply(Revision(2), Revision(3), [workspace(3, 5.0)])
        self.assertEqual([], changed)
        self.assertEqual(0, directory.revision)

    def test_older_item_in_newer_batch_is_ignored(self) -> None:
        directory = Directory()
        directory.apply(Revision(0), Revision(5), [workspace(5, 50.0)])
        directory.apply(Revision(5), Revision(6), [workspace(4, 40.0), key(6, "s")])
        self.assertEqual(50.0, directory.workspaces[WorkspaceId("coulee")].rate_per_s)

    def test_deleted_key_is_not_found(self) -> None:
        directory = Directory()
        directory.apply(Revision(0), Revision(1), [key(1, "secret")])
        self.assertIsNotNone(directory.key_for(digest_secret("secret")))
        directory.apply(Revision(1), Revision(2), [key(2, None)])
        self.assertIsNone(directory.key_for(digest_secret("secret")))
        self.assertNotIn(KeyId("site"), directory.keys)

    def test_key_digest_is_compared_in_full(self) -> None:
        directory = Directory()
        directory.apply(Revision(0), Revision(1), [key(1, "secret")])
        digest = digest_secret("secret")
        directory._keys_by_digest["0" * 64] = directory._keys_by_digest[digest]
        self.assertIsNone(directory.key_for("0" * 64))

    def test_longest_prefix_wins(self) -> None:
        directory = Directory()
        items = [route(1, "all", "/"), route(2, "a", "/a"), route(3, "ab", "/a/b")]
        directory.apply(Revision(0), Revision(3), items)
        found = {
            path: directory.route_for(path) for path in ("/a/b/c", "/a/x", "/ab", "/a")
        }
        names = {path: each.name if each else None for path, each in found.items()}
        self.assertEqual({"/a/b/c": "ab", "/a/x": "a", "/ab": "all", "/a": "a"}, names)

    def test_older_confirmation_is_ignored(self) -> None:
        directory = Directory()
        directory.confirm(5.0)
        directory.confirm(3.0)
        self.assertEqual(5.0, directory.confirmed_at)

    @seed(20261203)
    @settings(max_examples=150, deadline=None, database=None)
    @given(st.lists(st.integers(1, 12), min_size=1, max_size=40))
    def test_any_order_of_batches_ends_at_newest_revision(
        self, order: list[int]
    ) -> None:
        history = [workspace(number, float(number)) for number in range(1, 13)]
        directory = Directory()
        applied = Revision(0)
        for revision in [*order, 12]:
            items = [item for item in history if item.revision <= revision]
            directory.apply(Revision(0), Revision(revision), items)
            self.assertGreaterEqual(directory.revision, applied)
            applied = directory.revision
            rate = directory.workspaces[WorkspaceId("coulee")].rate_per_s
            self.assertEqual(float(applied), rate)
        self.assertEqual(12, directory.revision)
