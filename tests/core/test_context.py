"""Tests of the signed context."""

from __future__ import annotations

import unittest

from lavenderway_core.context import Context, sign_context, verify_context
from lavenderway_core.ids import ExchangeId, HostId, KeyId, RootId, WorkspaceId
from lavenderway_core.importance import Importance

SECRET = b"s" * 32
OTHER = b"o" * 32


def build_context() -> Context:
    """Return a context."""
    return Context(
        RootId("h.1.1"),
        WorkspaceId("coulee"),
        KeyId("site"),
        Importance.NORMAL,
        3,
        1500,
        HostId("h"),
        12.5,
        ExchangeId(7),
    )


class ContextTest(unittest.TestCase):
    """A context cannot be forged or changed."""

    def test_round_trip(self) -> None:
        signed = sign_context(build_context(), SECRET)
        self.assertEqual(build_context(), verify_context(signed, (SECRET,)))

    def test_rotation_accepts_the_old_secret(self) -> None:
        signed = sign_context(build_context(), SECRET)
        self.assertEqual(build_context(), verify_context(signed, (OTHER, SECRET)))

    def test_wrong_secret(self) -> None:
        signed = sign_context(build_context(), OTHER)
        self.assertIsNone(verify_context(signed, (SECRET,)))

    def test_every_changed_character_is_noticed(self) -> None:
        signed = sign_context(build_context(), SECRET)
        for at in range(len(signed) - 2):
            changed = (
                signed[:at] + ("A" if signed[at] != "A" else "B") + signed[at + 1 :]
            )
            self.assertIsNone(verify_context(changed, (SECRET,)), at)

    def test_raised_importance_is_noticed(self) -> None:
        raised = build_context()._replace(importance=Importance.CRITICAL)
        body = sign_context(raised, OTHER).rsplit(".", 1)[0]
        tag = sign_context(build_context(), SECRET).rsplit(".", 1)[1]
        self.assertIsNone(verify_context(f"{body}.{tag}", (SECRET,)))

    def test_rubbish(self) -> None:
        for text in ("", ".", "1..", "2.e30=.x", "1.%%%.x", "x" * 5000, "1.é.x"):
            self.assertIsNone(verify_context(text, (SECRET,)))

    def test_deadline_on_another_host_counts_from_now(self) -> None:
        context = build_context()
        self.assertEqual(12.5, context.deadline_at(HostId("h"), 100.0))
        self.assertEqual(101.5, context.deadline_at(HostId("other"), 100.0))
