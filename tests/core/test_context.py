"""Tests of the signed context."""

from __future__ import annotations

import unittest

from lavenderway_core.context import Context, sign_context, verify_context
from lavenderway_core.ids import ExchangeId, HostId, KeyId, RootId, WorkspaceId
from lavenderway_core.importance import Importance

SECRET = b"s" * 32
OTHER_SECRET = b"o" * 32


def build_context() -> Context:
    """Return a context of the workspace `coulee`, signed by host `h`."""
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
    """Contexts round-trip; forged and altered ones are rejected."""

    def test_signed_context_is_verified(self) -> None:
        signed = sign_context(build_context(), SECRET)
        self.assertEqual(build_context(), verify_context(signed, (SECRET,)))

    def test_previous_secret_is_accepted_during_rotation(self) -> None:
        signed = sign_context(build_context(), SECRET)
        self.assertEqual(
            build_context(), verify_context(signed, (OTHER_SECRET, SECRET))
        )

    def test_unknown_secret_is_rejected(self) -> None:
        signed = sign_context(build_context(), OTHER_SECRET)
        self.assertIsNone(verify_context(signed, (SECRET,)))

    def test_any_changed_character_is_rejected(self) -> None:
        signed = sign_context(build_context(), SECRET)
        for index in range(len(signed) - 2):
            changed = (
                signed[:index]
                + ("A" if signed[index] != "A" else "B")
                + signed[index + 1 :]
            )
            self.assertIsNone(verify_context(changed, (SECRET,)), index)

    def test_forged_importance_is_rejected(self) -> None:
        raised = build_context()._replace(importance=Importance.CRITICAL)
        body = sign_context(raised, OTHER_SECRET).rsplit(".", 1)[0]
        tag = sign_context(build_context(), SECRET).rsplit(".", 1)[1]
        self.assertIsNone(verify_context(f"{body}.{tag}", (SECRET,)))

    def test_malformed_values_are_rejected(self) -> None:
        for text in ("", ".", "1..", "2.e30=.x", "1.%%%.x", "x" * 5000, "1.é.x"):
            self.assertIsNone(verify_context(text, (SECRET,)))

    def test_other_host_counts_remaining_time_from_now(self) -> None:
        context = build_context()
        self.assertEqual(12.5, context.deadline_at(HostId("h"), 100.0))
        self.assertEqual(101.5, context.deadline_at(HostId("other"), 100.0))
