"""Tests of routing, authentication and authorization by the request head."""

from __future__ import annotations

import unittest

from lavenderway_core.configuration_store import ConfigurationStore, digest_secret
from lavenderway_core.context import Context
from lavenderway_core.identification import Call, RequestHead, identify
from lavenderway_core.ids import (
    ExchangeId,
    HostId,
    KeyId,
    Revision,
    RootId,
    WorkspaceId,
)
from lavenderway_core.importance import Importance
from lavenderway_core.refusal import Reason, Refusal
from lavenderway_core.resources import Item, Kind, SpecDocument

HOST = HostId("h")
NOW = 100.0


def build_configuration_store(**workspace: object) -> ConfigurationStore:
    """Return a configuration store with a workspace, a key and a route."""
    documents: list[tuple[Kind, str, SpecDocument]] = [
        (Kind.WORKSPACE, "coulee", {"rate": 5, "burst": 5, **workspace}),
        (Kind.KEY, "k", {"workspace": "coulee", "digest": digest_secret("s")}),
        (
            Kind.ROUTE,
            "r",
            {
                "path_prefix": "/r",
                "service": "x",
                "idempotent": True,
                "importance": "high",
                "timeout_ms": 1000,
            },
        ),
    ]
    configuration_store = ConfigurationStore()
    items = [
        Item(kind, name, Revision(number + 1), document)
        for number, (kind, name, document) in enumerate(documents)
    ]
    configuration_store.apply(Revision(0), Revision(3), items)
    configuration_store.confirm(NOW)
    return configuration_store


def build_head(**changes: object) -> RequestHead:
    """Return the head of a root request with a bearer key, with fields replaced."""
    head = RequestHead("GET", "/r", RootId("x"), digest_secret("s"), *(None,) * 4)
    return head._replace(**changes)  # type: ignore[arg-type]


def build_context(importance: Importance) -> Context:
    """Return the context of a nested call."""
    return Context(
        RootId("root"),
        WorkspaceId("coulee"),
        KeyId("k"),
        importance,
        2,
        300,
        HostId("other"),
        0.0,
        ExchangeId(1),
    )


class IdentificationTest(unittest.TestCase):
    """Workspace, importance, deadline and retries of identified requests."""

    def call(
        self, head: RequestHead, configuration_store: ConfigurationStore | None = None
    ) -> Call:
        """Return the call for a head that must be accepted."""
        call = identify(
            configuration_store or build_configuration_store(), head, HOST, NOW
        )
        assert isinstance(call, Call), call
        return call

    def reason(
        self, head: RequestHead, configuration_store: ConfigurationStore, now: float
    ) -> Reason:
        """Return the reason for refusing a head that must be refused."""
        refusal = identify(configuration_store, head, HOST, now)
        assert isinstance(refusal, Refusal), refusal
        return refusal.reason

    def test_shorter_timeout_of_caller_and_route_applies(self) -> None:
        self.assertEqual(NOW + 1.0, self.call(build_head()).deadline)
        self.assertEqual(NOW + 0.2, self.call(build_head(timeout_ms=200)).deadline)
        self.assertEqual(NOW + 1.0, self.call(build_head(timeout_ms=9000)).deadline)

    def test_caller_cannot_raise_importance(self) -> None:
        low = self.call(build_head(importance=Importance.LOW))
        self.assertIs(Importance.LOW, low.importance)
        raised = self.call(build_head(importance=Importance.CRITICAL))
        self.assertIs(Importance.HIGH, raised.importance)

    def test_nested_call_cannot_raise_importance(self) -> None:
        for given, expected in (
            (Importance.LOW, Importance.LOW),
            (Importance.CRITICAL, Importance.HIGH),
        ):
            call = self.call(build_head(context=build_context(given)))
            self.assertIs(expected, call.importance)

    def test_context_sets_root_retries_and_deadline(self) -> None:
        head = build_head(context=build_context(Importance.HIGH), key_digest=None)
        call = self.call(head)
        self.assertEqual(("root", 2, False), (call.root, call.retries, call.is_root))
        self.assertAlmostEqual(NOW + 0.3, call.deadline)

    def test_context_with_a_withdrawn_key_is_refused(self) -> None:
        configuration_store = build_configuration_store()
        configuration_store.apply(
            Revision(3), Revision(4), [Item(Kind.KEY, "k", Revision(4), None)]
        )
        head = build_head(context=build_context(Importance.HIGH), key_digest=None)
        self.assertIs(Reason.NO_KEY, self.reason(head, configuration_store, NOW))

    def test_context_with_an_unknown_key_is_accepted(self) -> None:
        context = build_context(Importance.HIGH)._replace(key=KeyId("new"))
        call = self.call(build_head(context=context, key_digest=None))
        self.assertEqual(("new", "coulee"), (call.key, call.workspace))

    def test_cut_off_policy_decides_without_confirmation(self) -> None:
        serving = build_configuration_store()
        self.call(build_head(), serving)
        refusing = build_configuration_store(cut_off="refuse", cut_off_after_s=30)
        self.assertIsInstance(identify(refusing, build_head(), HOST, NOW + 29), Call)
        reason = self.reason(build_head(), refusing, NOW + 31)
        self.assertIs(Reason.KEY_UNCONFIRMED, reason)

    def test_request_without_configuration_is_refused(self) -> None:
        self.assertIs(
            Reason.UNCONFIGURED, self.reason(build_head(), ConfigurationStore(), NOW)
        )
