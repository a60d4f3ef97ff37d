"""Events that the reducer takes in. Each comes with the time at which it happened."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from lavenderway_core.admission import LoadReport
from lavenderway_core.identification import Call
from lavenderway_core.ids import (
    ExchangeId,
    HostId,
    JobId,
    Revision,
    RouteId,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)
from lavenderway_core.importance import Importance
from lavenderway_core.messages import Envelope
from lavenderway_core.refusal import Refusal
from lavenderway_core.resources import Item
from lavenderway_core.table import Row, Ticket, TransactOutcome


class RequestArrived(NamedTuple):
    """A caller's whole request has been read and identified.

    Attributes:
        fingerprint: Digest of method, target and body, for idempotency keys.

    """

    exchange: ExchangeId
    call: Call
    fingerprint: str


class CallerLeft(NamedTuple):
    """The caller has closed its connection before the answer was whole."""

    exchange: ExchangeId


class DeadlinePassed(NamedTuple):
    """The deadline of an exchange has come."""

    exchange: ExchangeId


class AttemptAnswered(NamedTuple):
    """The head of an upstream's answer has come for an attempt."""

    job: JobId
    load: LoadReport | None


class AttemptDone(NamedTuple):
    """An answer that had begun has ended; `whole` tells whether all of it came."""

    job: JobId
    whole: bool


class AttemptRefused(NamedTuple):
    """The upstream's node has refused an attempt."""

    job: JobId
    refusal: Refusal
    load: LoadReport | None


class AttemptLost(NamedTuple):
    """The link was lost; `sent` tells whether the peer can have received it."""

    job: JobId
    sent: bool


class JobSpec(NamedTuple):
    """What the upstream's node needs to know of a call.

    Attributes:
        is_root: Whether it is a root request rather than a call further down.
        remaining_ms: Time budget left when the entry node sent it.
        retries: Retries passed down the chain.
        claim: Row that must be claimed before the call runs; None for no claim.

    """

    service: ServiceId
    upstream: UpstreamId
    route: RouteId
    root: str
    workspace: WorkspaceId | None
    key: str | None
    importance: Importance
    is_root: bool
    remaining_ms: int
    retries: int
    claim: str | None
    fingerprint: str


class JobArrived(NamedTuple):
    """A peer's attempt has arrived for an upstream of this host."""

    job: JobId
    spec: JobSpec


class JobCancelled(NamedTuple):
    """The entry node gives an attempt up."""

    job: JobId


class JobExpired(NamedTuple):
    """A job has reached its deadline, or the longest wait in the queue."""

    job: JobId


class RunResult(Enum):
    """How the upstream treated a request."""

    WHOLE = "whole"
    OVERLOADED = "overloaded"
    NOT_SENT = "not-sent"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"
    NOT_STARTED = "not-started"


class JobFinished(NamedTuple):
    """The upstream has finished with a request.

    Attributes:
        answered: Whether the head of an answer was passed on.

    """

    job: JobId
    result: RunResult
    answered: bool


class AnswerRecorded(NamedTuple):
    """A claimed job's answer is at hand, to be kept with the claim."""

    job: JobId
    answer: dict[str, object]


class UpstreamAnnounced(NamedTuple):
    """An upstream of this host announces or renews itself."""

    upstream: UpstreamId
    service: ServiceId
    address: str
    draining: bool


class UpstreamLeft(NamedTuple):
    """An upstream of this host leaves."""

    upstream: UpstreamId


class ControlReceived(NamedTuple):
    """A control message has come from a peer.

    Attributes:
        asked_at: For a reply, the time at which the request was sent.

    """

    envelope: Envelope
    asked_at: float


class ControlFailed(NamedTuple):
    """A control request has had no reply in time."""

    peer: HostId
    number: int


class RowsRead(NamedTuple):
    """Rows have been read; `rows` None means that the read failed."""

    ticket: Ticket
    rows: tuple[Row, ...] | None
    revision: Revision
    asked_at: float


class TransactSettled(NamedTuple):
    """A transaction has ended.

    Attributes:
        versions: Versions after a commit, by row key.

    """

    ticket: Ticket
    outcome: TransactOutcome
    versions: dict[str, int]
    rows: tuple[Row, ...]
    asked_at: float


class ConfigWritten(NamedTuple):
    """This node has written a configuration change for an operator."""

    base: Revision
    revision: Revision
    items: tuple[Item, ...]
    asked_at: float


class StopRequested(NamedTuple):
    """The process has been asked to stop."""


class Ticked(NamedTuple):
    """Time has passed."""


Event = (
    RequestArrived
    | CallerLeft
    | DeadlinePassed
    | AttemptAnswered
    | AttemptDone
    | AttemptRefused
    | AttemptLost
    | JobArrived
    | JobCancelled
    | JobExpired
    | JobFinished
    | AnswerRecorded
    | UpstreamAnnounced
    | UpstreamLeft
    | ControlReceived
    | ControlFailed
    | RowsRead
    | TransactSettled
    | ConfigWritten
    | StopRequested
    | Ticked
)
