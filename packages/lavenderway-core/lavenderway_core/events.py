"""Events that the reducer handles.

The reducer receives the time of an event as a separate argument.
"""

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
from lavenderway_core.table import OperationTag, Row, TransactOutcome


class RequestArrived(NamedTuple):
    """A caller's request has been read completely and identified.

    Attributes:
        fingerprint: Digest of method, target and body, to detect reuse of an
            idempotency key.

    """

    exchange: ExchangeId
    call: Call
    fingerprint: str


class CallerDisconnected(NamedTuple):
    """The caller has closed its connection before the response was complete."""

    exchange: ExchangeId


class DeadlinePassed(NamedTuple):
    """The deadline of an exchange has passed."""

    exchange: ExchangeId


class ResponseStarted(NamedTuple):
    """The head of the upstream's response to an attempt has arrived."""

    job: JobId
    load: LoadReport | None


class ResponseEnded(NamedTuple):
    """The response to an attempt has ended.

    Attributes:
        complete: Whether the response arrived completely.

    """

    job: JobId
    complete: bool


class AttemptRefused(NamedTuple):
    """The upstream's node has refused an attempt."""

    job: JobId
    refusal: Refusal
    load: LoadReport | None


class AttemptLinkLost(NamedTuple):
    """The link to the peer was lost during an attempt.

    Attributes:
        sent: Whether the peer may have received the attempt.

    """

    job: JobId
    sent: bool


class JobSpec(NamedTuple):
    """Data of a call that the node of its upstream needs.

    Attributes:
        key: ID of the caller's key, or None for a call without a key.
        root: ID of the root request.
        is_root: Whether the call is a root request, not a nested call.
        remaining_ms: Time budget left when the entry node sent the call.
        retries: Retries passed down the call chain.
        claim: Key of the row to claim before the call runs, or None for no claim.
        fingerprint: Digest of the request, stored with the claim.

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
    """An attempt has arrived for an upstream of this host."""

    job: JobId
    spec: JobSpec


class JobCancelled(NamedTuple):
    """The entry node has cancelled an attempt."""

    job: JobId


class JobExpired(NamedTuple):
    """A job has reached its deadline or the maximum time in the queue."""

    job: JobId


class RunResult(Enum):
    """Result of sending a request to an upstream.

    Attributes:
        COMPLETE: The response arrived completely.
        OVERLOADED: The response arrived; its status reports an overload.
        NOT_SENT: The node could not connect to the upstream.
        BROKEN: The connection failed or the response was invalid.
        TIMED_OUT: A timeout passed before the response was complete.
        CANCELLED: The job was aborted.
        NOT_STARTED: The request was dropped before the node could send it.

    """

    COMPLETE = "whole"
    OVERLOADED = "overloaded"
    NOT_SENT = "not-sent"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"
    NOT_STARTED = "not-started"


class JobFinished(NamedTuple):
    """A job has ended, with or without a response of the upstream.

    Attributes:
        response_started: Whether the head of a response was passed on.

    """

    job: JobId
    result: RunResult
    response_started: bool


class ResponseRecorded(NamedTuple):
    """The response of a claimed job is ready to be stored with its claim."""

    job: JobId
    response: dict[str, object]


class UpstreamAnnounced(NamedTuple):
    """An upstream of this host has announced itself or renewed its announcement."""

    upstream: UpstreamId
    service: ServiceId
    address: str
    draining: bool


class UpstreamLeft(NamedTuple):
    """An upstream of this host has deregistered."""

    upstream: UpstreamId


class ControlReceived(NamedTuple):
    """A control message has arrived from a peer.

    Attributes:
        requested_at: Time in seconds at which the request was sent, if the message is a
            reply.

    """

    envelope: Envelope
    requested_at: float


class ControlFailed(NamedTuple):
    """A control request has received no reply in time."""

    peer: HostId
    request_number: int


class RowsRead(NamedTuple):
    """A read of the platform's table has ended.

    Attributes:
        rows: Rows that match, or None if the read failed.
        revision: Revision of the table at the read.
        requested_at: Time in seconds at which the read was sent.

    """

    tag: OperationTag
    rows: tuple[Row, ...] | None
    revision: Revision
    requested_at: float


class TransactionCompleted(NamedTuple):
    """A transaction on the platform's table has ended.

    Attributes:
        versions: Versions of the written rows after a commit, by row key.
        rows: After a conflict, the current rows that the conditions name.
        requested_at: Time in seconds at which the transaction was sent.

    """

    tag: OperationTag
    outcome: TransactOutcome
    versions: dict[str, int]
    rows: tuple[Row, ...]
    requested_at: float


class ConfigWritten(NamedTuple):
    """This node has written an operator's configuration change to the table."""

    base: Revision
    revision: Revision
    items: tuple[Item, ...]
    requested_at: float


class StopRequested(NamedTuple):
    """The process has been asked to stop."""


class TimerTicked(NamedTuple):
    """The periodic timer has fired."""


Event = (
    RequestArrived
    | CallerDisconnected
    | DeadlinePassed
    | ResponseStarted
    | ResponseEnded
    | AttemptRefused
    | AttemptLinkLost
    | JobArrived
    | JobCancelled
    | JobExpired
    | JobFinished
    | ResponseRecorded
    | UpstreamAnnounced
    | UpstreamLeft
    | ControlReceived
    | ControlFailed
    | RowsRead
    | TransactionCompleted
    | ConfigWritten
    | StopRequested
    | TimerTicked
)
