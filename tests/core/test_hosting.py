"""Tests of jobs at the node of an upstream's host."""

from __future__ import annotations

import unittest

from lavenderway_core import effects as fx
from lavenderway_core.assembly import reduce
from lavenderway_core.configuration_store import digest_secret
from lavenderway_core.events import (
    JobArrived,
    JobFinished,
    JobSpec,
    RunResult,
    TransactionCompleted,
    UpstreamAnnounced,
)
from lavenderway_core.ids import (
    ExchangeId,
    FailureDomainId,
    HostId,
    Incarnation,
    JobId,
    Revision,
    RouteId,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)
from lavenderway_core.importance import Importance
from lavenderway_core.refusal import Reason
from lavenderway_core.resources import Item, Kind, SpecDocument
from lavenderway_core.state import NodeState, create_state
from lavenderway_core.table import TransactOutcome

UPSTREAM = UpstreamId("u")
SERVICE = ServiceId("s")


def build_state() -> NodeState:
    """Return the state of a node with one upstream."""
    state = create_state(
        host=HostId("h"),
        failure_domain=FailureDomainId("a"),
        address="h:1",
        incarnation=Incarnation(1),
        seed=1,
        seeds=(),
        now=0.0,
    )
    reduce(state, UpstreamAnnounced(UPSTREAM, SERVICE, "u:80", draining=False), 0.0)
    return state


def apply_key(state: NodeState, revision: int, document: SpecDocument | None) -> None:
    """Apply a revision of the key `k`; None deletes the key."""
    item = Item(Kind.KEY, "k", Revision(revision), document)
    state.configuration_store.apply(
        state.configuration_store.revision, Revision(revision), [item]
    )


def build_arrival(number: int) -> JobArrived:
    """Return the arrival of an attempt from another node, with the bearer key `k`."""
    job = JobId(HostId("entry"), Incarnation(1), ExchangeId(number), 1)
    spec = JobSpec(
        SERVICE,
        UPSTREAM,
        RouteId("r"),
        f"root-{number}",
        WorkspaceId("w"),
        "k",
        Importance.NORMAL,
        True,
        1000,
        0,
        None,
        "",
    )
    return JobArrived(job, spec)


class HostingTest(unittest.TestCase):
    """Jobs with bearer keys that are known, unknown or withdrawn at this node."""

    def test_unknown_key_is_accepted(self) -> None:
        effects = reduce(build_state(), build_arrival(1), 1.0)
        self.assertEqual([fx.RunJob], [type(each) for each in effects])

    def test_known_key_is_accepted(self) -> None:
        state = build_state()
        apply_key(state, 1, {"workspace": "w", "digest": digest_secret("s")})
        effects = reduce(state, build_arrival(1), 1.0)
        self.assertEqual([fx.RunJob], [type(each) for each in effects])

    def test_withdrawn_key_is_refused(self) -> None:
        state = build_state()
        apply_key(state, 1, {"workspace": "w", "digest": digest_secret("s")})
        apply_key(state, 2, None)
        effects = reduce(state, build_arrival(1), 1.0)
        refused = [each for each in effects if isinstance(each, fx.RefuseJob)]
        self.assertEqual([Reason.NO_KEY], [each.refusal.reason for each in refused])


class ClaimReleaseTest(unittest.TestCase):
    """A claim is deleted if its request was never executed."""

    def test_claim_is_released_if_the_job_never_ran(self) -> None:
        # A caller that disconnects while the claim is written ends the job before it
        # starts. A claim left behind would block the idempotency key for a day.
        state = build_state()
        plain = build_arrival(1)
        event = plain._replace(spec=plain.spec._replace(claim="claims/w/r/x"))
        (claiming,) = reduce(state, event, 1.0)
        assert isinstance(claiming, fx.Transact)
        settled = TransactionCompleted(
            claiming.tag, TransactOutcome.COMMITTED, {"claims/w/r/x": 9}, (), 1.0
        )
        (run,) = reduce(state, settled, 1.1)
        assert isinstance(run, fx.RunJob)
        finished = JobFinished(run.job, RunResult.NOT_STARTED, response_started=False)
        effects = reduce(state, finished, 1.2)
        released = [each for each in effects if isinstance(each, fx.Transact)]
        self.assertEqual([("claims/w/r/x", 9)], list(released[0].conditions))
        self.assertIsNone(released[0].writes[0].value)
